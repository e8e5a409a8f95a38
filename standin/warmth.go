package standin

import "time"

// settleTime is the time after a warm server turned cold in which the calls
// that came before are no fault of the sender.
const settleTime = time.Second

// Warmth says how a backend server starts. A cold server is slow and bears
// ColdLimit calls; it gets warm half by time and half by calls served, and
// what it bears grows in step.
type Warmth struct {
	// Cold is true for a server that starts cold.
	Cold bool
	// ColdLimit is the number of calls that a cold server bears; 0 means that
	// it bears any number.
	ColdLimit int
	// Time and Calls are what it takes to get warm.
	Time  time.Duration
	Calls int
	// Slow multiplies the time of the work on a cold server; 0 means 1.
	Slow float64
}

// bears is the number of calls that a server bears.
func (c Warmth) bears(warm float64, capacity int) int {
	return c.ColdLimit + int(warm*float64(max(capacity-c.ColdLimit, 0)))
}

func (c Warmth) slowness(warm float64) float64 {
	return 1 + (max(c.Slow, 1)-1)*(1-warm)
}

// warmState is how warm a server is.
type warmState struct {
	since  time.Time
	turned time.Time // when it turned cold without a restart
	isWarm bool
	served int
}

func (s *warmState) start(now time.Time, cold bool) {
	*s = warmState{since: now, isWarm: !cold}
}

func (s *warmState) turnCold(now time.Time) {
	*s = warmState{since: now, turned: now}
}

func (s *warmState) settling(now time.Time) bool { return now.Sub(s.turned) < settleTime }

// warm is from 0, cold, to 1.
func (s *warmState) warm(now time.Time, c Warmth) float64 {
	if s.isWarm {
		return 1
	}
	warm := half(float64(now.Sub(s.since)), float64(c.Time)) + half(float64(s.served), float64(c.Calls))
	s.isWarm = warm >= 1
	return warm
}

// half is the part of a goal that is reached, from 0 to one half.
func half(reached, goal float64) float64 {
	if goal <= 0 || reached >= goal {
		return 0.5
	}
	return max(reached, 0) / goal / 2
}
