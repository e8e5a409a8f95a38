package kernel

import (
	"maps"
	"sync"
	"sync/atomic"

	"github.com/savoryfold/savoryfold/policy"
)

// Reasons of the pools' own decisions, in addition to those of the policies.
const (
	reasonQueueLate  policy.Reason = "queue-late"
	reasonQueueEnded policy.Reason = "queue-gone"
	reasonBorrowed   policy.Reason = "borrowed"
)

// reasonCounters counts decisions by their reason. Lookups take no lock; the
// first use of a reason replaces the map by a copy that has it.
type reasonCounters struct {
	counts atomic.Pointer[map[policy.Reason]*atomic.Int64]
	mu     sync.Mutex
}

func (r *reasonCounters) count(reason policy.Reason) { r.counter(reason).Add(1) }

func (r *reasonCounters) counter(reason policy.Reason) *atomic.Int64 {
	if m := r.counts.Load(); m != nil {
		if c := (*m)[reason]; c != nil {
			return c
		}
	}
	return r.add(reason)
}

func (r *reasonCounters) add(reason policy.Reason) *atomic.Int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := make(map[policy.Reason]*atomic.Int64)
	if m := r.counts.Load(); m != nil {
		maps.Copy(next, *m)
	}
	if next[reason] == nil {
		next[reason] = &atomic.Int64{}
	}
	r.counts.Store(&next)
	return next[reason]
}

func (r *reasonCounters) dump() map[policy.Reason]int64 {
	out := make(map[policy.Reason]int64)
	if m := r.counts.Load(); m != nil {
		for reason, c := range *m {
			out[reason] = c.Load()
		}
	}
	return out
}
