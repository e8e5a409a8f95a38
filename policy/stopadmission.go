package policy

import "time"

// longestWindow is the number of samples after which the longest of them is forgotten, one
// window later.
const longestWindow = 64

// RequestTime estimates how long nearly all requests of a kind take, from samples of
// complete ones. It is not safe for concurrent use.
type RequestTime struct {
	typical ServiceTime
	// longest and before are the longest samples of the current and the last window.
	longest, before time.Duration
	samples         int
}

// Observe records the duration of a request.
func (t *RequestTime) Observe(took time.Duration) {
	t.typical.Observe(took)
	if t.samples%longestWindow == 0 {
		t.longest, t.before = 0, t.longest
	}
	t.samples++
	t.longest = max(t.longest, took)
}

// Expected returns the time that nearly all requests take, and whether there are samples:
// the high quantile or, if it is more, the longest of the last one or two windows.
func (t *RequestTime) Expected() (time.Duration, bool) {
	return max(t.typical.High(), t.longest, t.before), t.samples > 0
}

// StopAdmission describes a request, or a step of one that cannot be undone, at an instance
// that stops.
type StopAdmission struct {
	// Abort is when the instance aborts the requests in progress.
	Abort time.Time
	// Deadline is when the request ends in any case.
	Deadline time.Time
	// Expected is the time that it is expected to take; Known is false if there are no
	// samples.
	Expected time.Duration
	Known    bool
}

// Admit reports whether the request may be accepted, or the step started: only if it ends
// before the abort, by its own deadline or as expected. A request that was aborted after a
// server has started to run it would have an unknown result.
func (a StopAdmission) Admit(now time.Time) bool {
	if !a.Deadline.After(a.Abort) {
		return true
	}
	return a.Known && !now.Add(a.Expected).After(a.Abort)
}
