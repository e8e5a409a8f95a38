package policy

import "time"

const (
	// ejectConsecutiveFailures is the number of consecutive failures that eject a
	// server.
	ejectConsecutiveFailures = 5
	// ejectFailureRate is the fraction of failed calls that ejects a server, once
	// the window contains ejectMinCalls calls.
	ejectFailureRate = 0.5
	ejectMinCalls    = 10
	// ejectWindow is the time after which the counts of calls are reset.
	ejectWindow = 10 * time.Second
	// minEjectTime is the duration of the first ejection. The duration doubles with
	// each further ejection, up to maxEjectTime.
	minEjectTime = 2 * time.Second
	maxEjectTime = time.Minute
	// ejectResetFactor is a multiple of the duration of the last ejection. A server
	// without an ejection for longer than that starts again with minEjectTime.
	ejectResetFactor = 5
)

// Ejector decides when one backend server is ejected, that is, gets no calls for
// some time.
// It is not safe for concurrent use.
type Ejector interface {
	// Observe records the result of a call and reports whether the server should
	// be ejected.
	Observe(now time.Time, s CallSample) bool
	// Eject ejects the server and returns the end of the ejection.
	Eject(now time.Time) time.Time
}

// Ejections creates the ejectors of servers.
type Ejections interface {
	NewEjector() Ejector
	// Allowed reports whether one more server of a group may be ejected. ejected is
	// the number of the group's ejected servers, group that of all its servers.
	Allowed(ejected, group int) bool
}

// OutlierEjections is the standard implementation of Ejections. A server is ejected
// if it is unresponsive, after consecutive failures, or because of a high failure
// rate. Each further ejection is longer, up to a maximum.
type OutlierEjections struct{}

// NewEjector implements Ejections.
func (OutlierEjections) NewEjector() Ejector { return &outlierEjector{} }

// Allowed implements Ejections. At most half of a group may be ejected.
func (OutlierEjections) Allowed(ejected, group int) bool { return 2*(ejected+1) <= group }

// NoEjections is the baseline. No server is ejected.
type NoEjections struct{}

// NewEjector implements Ejections.
func (NoEjections) NewEjector() Ejector { return noEjector{} }

// Allowed implements Ejections.
func (NoEjections) Allowed(int, int) bool { return false }

type noEjector struct{}

func (noEjector) Observe(time.Time, CallSample) bool { return false }
func (noEjector) Eject(now time.Time) time.Time      { return now }

// outlierEjector counts the calls and failures of one server.
type outlierEjector struct {
	windowStart         time.Time     // time of the last reset of the counts
	ejectedUntil        time.Time     // end of the last ejection
	lastEjectTime       time.Duration // duration of the last ejection
	calls               int32
	failures            int32
	consecutiveFailures int32 // since the last success
}

// Observe implements Ejector. Refused calls do not count, because they are a sign
// of load. Calls ended by their deadline do not count, because they are no sign of
// a failure.
func (o *outlierEjector) Observe(now time.Time, s CallSample) bool {
	if s.Refused || s.DeadlineExceeded || now.Before(o.ejectedUntil) {
		return false
	}
	if now.Sub(o.windowStart) >= ejectWindow {
		o.windowStart = now
		o.calls, o.failures = 0, 0
	}
	o.calls++
	if s.OK {
		o.consecutiveFailures = 0
		return false
	}
	o.failures++
	o.consecutiveFailures++
	if s.Unresponsive {
		return true
	}
	tooMany := o.calls >= ejectMinCalls && float64(o.failures) >= ejectFailureRate*float64(o.calls)
	return o.consecutiveFailures >= ejectConsecutiveFailures || tooMany
}

// Eject implements Ejector. If the first call after an ejection fails, the server
// is ejected again.
func (o *outlierEjector) Eject(now time.Time) time.Time {
	if now.Sub(o.ejectedUntil) > ejectResetFactor*o.lastEjectTime {
		o.lastEjectTime = 0
	}
	o.lastEjectTime = min(max(2*o.lastEjectTime, minEjectTime), maxEjectTime)
	o.ejectedUntil = now.Add(o.lastEjectTime)
	o.calls, o.failures = 0, 0
	o.consecutiveFailures = ejectConsecutiveFailures - 1
	return o.ejectedUntil
}
