package policy

import "time"

const (
	// inputFetchTime is the minimum time that a stage server is given to fetch the inputs of
	// a call: a few round trips, and what instances and servers are late under load.
	inputFetchTime = 60 * time.Millisecond
	// inputFetchFactor is the multiple of the time that the inputs take over an idle link
	// that a server is given to fetch them.
	inputFetchFactor = 3
	// maxFetchSlowness is the slowness of a server up to which its calls are taken to start
	// at once. Calls that wait behind those of another dispatcher seem slow as well.
	maxFetchSlowness = 1.3
)

// InputFetch describes a call to a stage server that fetches results of earlier stages
// when its turn comes, before it works on its pieces.
type InputFetch struct {
	// Alone is true if the server runs no other call when the call starts, so that its
	// turn comes at once.
	Alone bool
	// Slowness is that of PieceServer.
	Slowness float64
	// Bytes is the size of the inputs of all pieces together, and LinkRate the rate of the
	// server's link in bytes per second, 0 if it is unknown.
	Bytes, LinkRate int64
}

// Time returns the time from the start of the call until the server has fetched the inputs,
// so that their makers may drop them. It reports false if that is not known before the
// call ends.
func (f InputFetch) Time() (time.Duration, bool) {
	if !f.Alone || f.Slowness > maxFetchSlowness || f.LinkRate <= 0 {
		return 0, false
	}
	transfer := time.Duration(float64(f.Bytes) / float64(f.LinkRate) * float64(time.Second))
	return inputFetchTime + inputFetchFactor*transfer, true
}

const (
	// otherCallersTime is the time for which a sign that other dispatchers call the same
	// servers counts. It is short, as each wrong guess fails the jobs of one call only.
	otherCallersTime = 1500 * time.Millisecond
	// idleDispatcherTime is the time without work after which a dispatcher may have been
	// replaced by another one.
	idleDispatcherTime = 500 * time.Millisecond
)

// SoleCaller judges whether a dispatcher is the only one that calls a group of stage
// servers. Instances agree on the dispatcher without messages, so that there are several
// while their lists of the fleet differ. The zero value is ready to use. It is not safe for
// concurrent use.
type SoleCaller struct {
	lastWork    time.Time
	othersUntil time.Time
}

// StageCall describes a call that has ended to SoleCaller.
type StageCall struct {
	// Refused is true if the server was full, InputGone if it did not find an input that
	// had been released during the call.
	Refused, InputGone bool
}

// Work records that the dispatcher got work. One that got none for a time may have taken
// over from another one just now, whose calls are still in progress.
func (c *SoleCaller) Work(now time.Time) {
	if now.Sub(c.lastWork) > idleDispatcherTime {
		c.othersUntil = now.Add(otherCallersTime)
	}
	c.lastWork = now
}

// Observe records a call that has ended.
func (c *SoleCaller) Observe(now time.Time, call StageCall) {
	if call.Refused || call.InputGone {
		c.othersUntil = now.Add(otherCallersTime)
	}
}

// Sole reports whether there was no sign of another dispatcher.
func (c *SoleCaller) Sole(now time.Time) bool { return !now.Before(c.othersUntil) }
