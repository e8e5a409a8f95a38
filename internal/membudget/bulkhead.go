package membudget

import (
	"sync"

	"github.com/savoryfold/savoryfold/policy"
)

// Bulkhead bounds the complete requests in progress of each service. It is safe for concurrent use.
type Bulkhead struct {
	limits policy.Bulkhead

	mu       sync.Mutex
	total    int64            // guarded by mu
	services map[string]int64 // guarded by mu
}

// NewBulkhead returns a bulkhead without requests.
func NewBulkhead(limits policy.Bulkhead) *Bulkhead {
	return &Bulkhead{limits: limits, services: make(map[string]int64)}
}

// Enter begins a request of n bytes. It reports false if the request does not fit. Otherwise leave
// must be called.
func (b *Bulkhead) Enter(service string, n int64) (leave func(), fits bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.limits.Fits(b.total, b.services[service], n) {
		return nil, false
	}
	b.add(service, n)
	return func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.add(service, -n)
	}, true
}

// add adds n bytes to those of a service. The caller holds mu.
func (b *Bulkhead) add(service string, n int64) {
	b.total += n
	if b.services[service] += n; b.services[service] == 0 {
		delete(b.services, service)
	}
}
