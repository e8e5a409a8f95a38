package kernel

import "time"

// PartGuard detects parts of requests that crash the servers that run them. A part is one
// of a prompt, given by its ID, or a whole request, given by its fingerprint.
type PartGuard interface {
	// RefuseParts reports whether a request with the parts must not run.
	RefuseParts(parts []uint64) bool
	// TryRequest reports whether a request that is refused as a whole, the last of its
	// parts, runs nevertheless, once, to find out whether it still crashes servers.
	TryRequest(now time.Time, parts []uint64) bool
	// PartsCrashed records that the connection to a server broke while it ran a request
	// with the parts, which was sent at a time. The parts of a prompt are not given if the
	// server had started to respond. The name of a server differs for each of its starts.
	PartsCrashed(now, sent time.Time, parts []uint64, server string)
	// PartsSucceeded records that a server began to respond to a request with these parts
	// of its prompt, or ran the request with this fingerprint to its end.
	PartsSucceeded(now time.Time, parts []uint64)
}
