package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"
)

const (
	// maxLimitInterval is the longest time between the ends and starts of rate limits.
	maxLimitInterval = 2 * time.Second
	// minLimitDuration and maxLimitDuration bound the time for which a server states a
	// limit.
	minLimitDuration = 5 * time.Second
	maxLimitDuration = 9 * time.Second
	// limitLearnTime is the time after the first statement from which on a limit binds,
	// and limitWindow the span over which requests are counted.
	limitLearnTime = 3 * time.Second
	limitWindow    = 4 * time.Second
)

// injectRateLimits makes servers state rate limits, one server after another, and checks
// the requests that they get, until the context ends. It draws its random numbers apart
// from the faults, so that the faults of a seed stay what they were.
func (tb *testbed) injectRateLimits(ctx context.Context) {
	random := rand.New(rand.NewPCG(tb.options.Seed, 2))
	for {
		sleep(ctx, time.Duration(random.Int64N(int64(maxLimitInterval))))
		if ctx.Err() != nil {
			return
		}
		s := tb.servers[random.IntN(len(tb.servers))]
		rate := []float64{0.5, 1, 4, 20}[random.IntN(4)]
		length := minLimitDuration + time.Duration(random.Int64N(int64(maxLimitDuration-minLimitDuration)))
		tb.printFault("server states a rate limit", fmt.Sprintf("%s %v", s.entry.ID, rate), length)
		began := time.Now()
		s.stateRateLimit(strconv.FormatFloat(rate, 'g', -1, 64))
		sleep(ctx, length)
		tb.checkRateLimit(s, rate, began, time.Now())
		s.stateRateLimit("")
	}
}

// checkRateLimit checks the requests that a server got while it stated a limit.
func (tb *testbed) checkRateLimit(s *server, rate float64, began, ended time.Time) {
	allowed := int(1.5*rate*limitWindow.Seconds()) + 5
	var counted []time.Time
	for _, at := range s.arrivals() {
		if at.After(began.Add(limitLearnTime)) && at.Before(ended) {
			counted = append(counted, at)
		}
	}
	for i, first := range counted {
		n := 0
		for _, at := range counted[i:] {
			if at.Sub(first) < limitWindow {
				n++
			}
		}
		if n > allowed {
			tb.checker.addViolation("%s states a limit of %v a second and got %d requests in %v, allowed %d", s.entry.ID, rate, n, limitWindow, allowed)
			return
		}
	}
}

func (s *server) stateRateLimit(text string) {
	if s.stage != nil {
		s.stage.StateRateLimit(text)
		return
	}
	s.backend.StateRateLimit(text)
}

// arrivals returns when the requests of the server arrived.
func (s *server) arrivals() []time.Time {
	if s.stage != nil {
		return s.stage.Arrivals()
	}
	return s.backend.Arrivals()
}
