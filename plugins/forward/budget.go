package forward

import (
	"sync"
	"time"

	"github.com/savoryfold/savoryfold/policy"
)

// retryBudgets holds the retry budget of each service. The services are those
// of the configuration, so their number is bounded.
type retryBudgets struct {
	ratio, extra float64
	window       time.Duration
	mu           sync.Mutex
	byService    map[string]*policy.RetryBudget // guarded by mu
}

// get returns the budget of a service. The caller holds mu.
func (b *retryBudgets) get(service string) *policy.RetryBudget {
	if b.byService == nil {
		b.byService = make(map[string]*policy.RetryBudget)
	}
	budget := b.byService[service]
	if budget == nil {
		budget = &policy.RetryBudget{Ratio: b.ratio, Extra: b.extra, Window: b.window}
		b.byService[service] = budget
	}
	return budget
}

// countRequest counts a request to a service.
func (b *retryBudgets) countRequest(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.get(service).Request(now)
}

// allowRetry reports whether a request may be retried, and counts the retry if
// so.
func (b *retryBudgets) allowRetry(now time.Time, service string, fleet int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.get(service).Allow(now, fleet)
}

// serviceLatencies holds the smoothed time to the first byte of each service,
// which is the forecast for the next request.
type serviceLatencies struct {
	mu        sync.Mutex
	byService map[string]time.Duration // guarded by mu
}

// add records a sample.
func (t *serviceLatencies) add(service string, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byService == nil {
		t.byService = make(map[string]time.Duration)
	}
	old, ok := t.byService[service]
	if !ok {
		t.byService[service] = d
		return
	}
	t.byService[service] = old + time.Duration(latencyWeight*float64(d-old))
}

// get returns the expected time to the first byte, 0 if unknown.
func (t *serviceLatencies) get(service string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.byService[service]
}
