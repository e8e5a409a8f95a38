package standin

import "time"

// coldGrace is how long a server that turned cold without a restart has no limit. Its
// calls in progress were sent while it was warm, so they do not count as overload.
const coldGrace = time.Second

// WarmUp configures the cold start of a backend server. A cold server is slow and
// crashes beyond ColdLimit concurrent calls. Time and calls served each contribute
// half of the warm-up, and the limit grows with it up to the capacity.
type WarmUp struct {
	// Cold makes the server start cold.
	Cold bool
	// ColdLimit is the number of concurrent calls that a cold server sustains; 0
	// means no limit.
	ColdLimit int
	// Time and Calls are the time and the number of calls that a full warm-up
	// takes.
	Time  time.Duration
	Calls int
	// Slow multiplies the duration of a call on a cold server; 0 means 1.
	Slow float64
}

// maxCalls returns the number of concurrent calls that a server sustains.
func (c WarmUp) maxCalls(warm float64, capacity int) int {
	return c.ColdLimit + int(warm*float64(max(capacity-c.ColdLimit, 0)))
}

func (c WarmUp) slowness(warm float64) float64 {
	return 1 + (max(c.Slow, 1)-1)*(1-warm)
}

// warmUpState is the progress of the warm-up.
type warmUpState struct {
	since        time.Time
	turnedColdAt time.Time // when it turned cold without a restart
	isWarm       bool
	served       int
}

func (s *warmUpState) start(now time.Time, cold bool) {
	*s = warmUpState{since: now, isWarm: !cold}
}

func (s *warmUpState) turnCold(now time.Time) {
	*s = warmUpState{since: now, turnedColdAt: now}
}

func (s *warmUpState) inGrace(now time.Time) bool { return now.Sub(s.turnedColdAt) < coldGrace }

// level returns the progress of the warm-up, from 0 (cold) to 1 (warm).
func (s *warmUpState) level(now time.Time, c WarmUp) float64 {
	if s.isWarm {
		return 1
	}
	warm := halfProgress(float64(now.Sub(s.since)), float64(c.Time)) + halfProgress(float64(s.served), float64(c.Calls))
	s.isWarm = warm >= 1
	return warm
}

// halfProgress returns the progress towards a goal, scaled from 0 to 0.5.
func halfProgress(reached, goal float64) float64 {
	if goal <= 0 || reached >= goal {
		return 0.5
	}
	return max(reached, 0) / goal / 2
}
