package policy

import "time"

const (
	// maxStartWait bounds the wait of a request for the first catalog of an instance.
	// Reading it takes a few calls to the metadata store.
	maxStartWait = time.Second
	// startWaitFraction is the part of a request's remaining time that it may wait. The
	// caller needs the rest for another instance if the wait is in vain.
	startWaitFraction = 0.25
	// maxStartWaiting bounds the requests of an instance that wait at the same time.
	maxStartWaiting = 1024
)

// StartWait returns how long a request may wait for the first catalog of an instance that
// has just started, 0 if it must be refused at once. waiting is the number of requests that
// wait already, and remaining the time that the caller of this one allows, 0 if unknown.
//
// After all instances have restarted, no instance has a catalog. A refused caller then
// comes back to another instance that may refuse it as well, and has used up its retries by
// the time the first catalogs are read.
func StartWait(waiting int, remaining time.Duration) time.Duration {
	if waiting >= maxStartWaiting {
		return 0
	}
	if remaining <= 0 {
		return maxStartWait
	}
	return min(maxStartWait, time.Duration(startWaitFraction*float64(remaining)))
}
