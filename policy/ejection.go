package policy

import "time"

const (
	// ejectRun is the number of failures in a row that eject a server.
	ejectRun = 5
	// ejectRate is the part of failed calls that ejects a server, once the
	// window holds ejectCalls calls.
	ejectRate  = 0.5
	ejectCalls = 10
	// ejectWindow is the time after which the counts of calls begin anew.
	ejectWindow = 10 * time.Second
	// ejectFirst is the time of the first ejection, ejectLongest of the longest.
	ejectFirst   = 2 * time.Second
	ejectLongest = time.Minute
	// ejectForgiven is how many times the last ejection a server has to work
	// well until its ejections count from the first again.
	ejectForgiven = 5
)

// Ejector decides when one backend server is left out for a while.
// It is not safe for concurrent use.
type Ejector interface {
	// Observe takes the result of a call and reports whether the server is to
	// be ejected.
	Observe(now time.Time, s CallSample) bool
	// Eject returns the time until which the server is left out.
	Eject(now time.Time) time.Time
}

// Ejections makes the ejectors of servers.
type Ejections interface {
	NewEjector() Ejector
	// Allowed reports whether one more server may be left out of a group, of
	// which so many are left out already.
	Allowed(ejected, group int) bool
}

// OutlierEjections is the standard implementation of Ejections: silence on old
// and new connections, failures in a row or a high rate of failures eject a
// server, each time for longer.
type OutlierEjections struct{}

// NewEjector implements Ejections.
func (OutlierEjections) NewEjector() Ejector { return &outlier{} }

// Allowed implements Ejections: never more than half of a group.
func (OutlierEjections) Allowed(ejected, group int) bool { return 2*(ejected+1) <= group }

// NoEjections is the baseline: no server is ejected.
type NoEjections struct{}

// NewEjector implements Ejections.
func (NoEjections) NewEjector() Ejector { return noEjector{} }

// Allowed implements Ejections.
func (NoEjections) Allowed(int, int) bool { return false }

type noEjector struct{}

func (noEjector) Observe(time.Time, CallSample) bool { return false }
func (noEjector) Eject(now time.Time) time.Time      { return now }

// outlier counts the failures of one server.
type outlier struct {
	window time.Time     // when the counts began
	until  time.Time     // end of the last ejection
	last   time.Duration // time of the last ejection
	calls  int32
	failed int32
	run    int32 // failures in a row
}

// Observe implements Ejector. A refusal shows load and a call that its deadline
// cut shows nothing, so neither counts.
func (o *outlier) Observe(now time.Time, s CallSample) bool {
	if s.Refused || s.Cut || now.Before(o.until) {
		return false
	}
	if now.Sub(o.window) >= ejectWindow {
		o.window = now
		o.calls, o.failed = 0, 0
	}
	o.calls++
	if s.OK {
		o.run = 0
		return false
	}
	o.failed++
	o.run++
	if s.Dead {
		return true
	}
	tooMany := o.calls >= ejectCalls && float64(o.failed) >= ejectRate*float64(o.calls)
	return o.run >= ejectRun || tooMany
}

// Eject implements Ejector. The first failure after an ejection ejects again.
func (o *outlier) Eject(now time.Time) time.Time {
	if now.Sub(o.until) > ejectForgiven*o.last {
		o.last = 0
	}
	o.last = min(max(2*o.last, ejectFirst), ejectLongest)
	o.until = now.Add(o.last)
	o.calls, o.failed = 0, 0
	o.run = ejectRun - 1
	return o.until
}
