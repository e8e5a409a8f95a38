package forward

import (
	"sync"
	"time"

	"github.com/savoryfold/savoryfold/policy"
)

// repeatBudgets bounds the repeats of each service. Services are those of the
// configuration, so their number is bounded.
type repeatBudgets struct {
	ratio, extra float64
	window       time.Duration
	mu           sync.Mutex
	byService    map[string]*policy.RepeatBudget // guarded by mu
}

// get returns the budget of a service. The caller holds mu.
func (b *repeatBudgets) get(service string) *policy.RepeatBudget {
	if b.byService == nil {
		b.byService = make(map[string]*policy.RepeatBudget)
	}
	budget := b.byService[service]
	if budget == nil {
		budget = &policy.RepeatBudget{Ratio: b.ratio, Extra: b.extra, Window: b.window}
		b.byService[service] = budget
	}
	return budget
}

// request counts a request for a service.
func (b *repeatBudgets) request(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.get(service).Request(now)
}

// allow reports whether a request may be sent to one more server, and counts it
// if so.
func (b *repeatBudgets) allow(now time.Time, service string, fleet int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.get(service).Allow(now, fleet)
}

// serviceTimes holds the smoothed time to the first byte by service, as
// forecast.
type serviceTimes struct {
	mu sync.Mutex
	m  map[string]time.Duration // guarded by mu
}

// add takes a sample.
func (t *serviceTimes) add(service string, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.m == nil {
		t.m = make(map[string]time.Duration)
	}
	old, ok := t.m[service]
	if !ok {
		t.m[service] = d
		return
	}
	t.m[service] = old + time.Duration(timeWeight*float64(d-old))
}

// get returns the expected time, 0 if nothing is known.
func (t *serviceTimes) get(service string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.m[service]
}
