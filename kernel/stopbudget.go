package kernel

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/savoryfold/savoryfold/policy"
)

// StopBudget decides what an instance that stops still takes on. The zero value is ready
// for use: until Begin everything fits.
type StopBudget struct {
	abort atomic.Pointer[time.Time]
	mu    sync.Mutex
	times map[string]*policy.RequestTime // by kind of work; guarded by mu
}

// maxStopBudgetKinds bounds the kinds of work whose times are kept. Kinds are named after
// routes, which configurations add and remove.
const maxStopBudgetKinds = 4096

// Begin starts a stop that aborts at the given time the requests in progress.
func (b *StopBudget) Begin(abort time.Time) { b.abort.Store(&abort) }

// Observe records the duration of complete work of a kind.
func (b *StopBudget) Observe(kind string, took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.times[kind]
	if t == nil {
		if b.times == nil || len(b.times) >= maxStopBudgetKinds {
			b.times = make(map[string]*policy.RequestTime)
		}
		t = &policy.RequestTime{}
		b.times[kind] = t
	}
	t.Observe(took)
}

// StopVerdict says whether work fits into what is left of a stop, and why.
type StopVerdict struct {
	Fits bool
	// Left is the time until the abort, Expected that of the work if Known is true.
	Left, Expected time.Duration
	Known          bool
}

// Fits reports whether work of a kind that begins now and ends by its deadline at the latest
// can end before the abort.
func (b *StopBudget) Fits(now time.Time, kind string, deadline time.Time) StopVerdict {
	abort := b.abort.Load()
	if abort == nil {
		return StopVerdict{Fits: true}
	}
	a := policy.StopAdmission{Abort: *abort, Deadline: deadline}
	b.mu.Lock()
	if t := b.times[kind]; t != nil {
		a.Expected, a.Known = t.Expected()
	}
	b.mu.Unlock()
	return StopVerdict{Fits: a.Admit(now), Left: abort.Sub(now), Expected: a.Expected, Known: a.Known}
}
