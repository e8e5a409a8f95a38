package policy

import "time"

const (
	// MaxServerPause bounds a pause. A server that asks for more has failed, and is to be
	// tried again.
	MaxServerPause = time.Minute
	// resumeStep is the time after a pause in which a server gets no more concurrent
	// requests than before it; then their number may double in each further step.
	resumeStep = 250 * time.Millisecond
	// resumeSteps is the number of steps after which there is no bound any more.
	resumeSteps = 5
	// resumeRetry is the time after which a request is tried again that the bound after a
	// pause leaves out: about the duration of a short request.
	resumeRetry = 50 * time.Millisecond
)

// PauseStatement is the refusal of a request by a server that wants no requests for a time.
type PauseStatement struct {
	// Length is the time from Received on, the arrival of the refusal.
	Length   time.Duration
	Received time.Time
	// Running is the number of requests that this instance had on the server besides the
	// refused one.
	Running int
	// Err is set if the stated length can't be used, or not as it is.
	Err error
}

// ServerPause is the time for which a server wants no requests from this instance, and the
// bound on their number right after it. The zero value is no pause.
type ServerPause struct {
	until time.Time
	limit int
}

// Observe applies a statement, and reports whether it begins a pause. A statement of a
// shorter time does not change a pause.
func (p *ServerPause) Observe(s PauseStatement) (begins bool) {
	until := s.Received.Add(min(s.Length, MaxServerPause))
	if !until.After(s.Received) {
		return false
	}
	if begins = !p.Active(s.Received); begins {
		p.limit = 0
	}
	p.limit = max(p.limit, s.Running, 1)
	if until.After(p.until) {
		p.until = until
	}
	return begins
}

// Active reports whether the server pauses at a time.
func (p *ServerPause) Active(now time.Time) bool { return now.Before(p.until) }

// Until returns the end of the last pause.
func (p *ServerPause) Until() time.Time { return p.until }

// Wait returns how long the server gets no request of an instance that has a number of
// requests running there.
func (p *ServerPause) Wait(now time.Time, running int) time.Duration {
	if p.Active(now) {
		return p.until.Sub(now)
	}
	step := int(now.Sub(p.until) / resumeStep)
	if p.limit == 0 || step >= resumeSteps || running < p.limit<<step {
		return 0
	}
	return resumeRetry
}
