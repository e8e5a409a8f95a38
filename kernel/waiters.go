package kernel

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/savoryfold/savoryfold/policy"
)

// borrowInterval is the time between two tries of a waiting call to borrow a
// call slot.
const borrowInterval = 100 * time.Millisecond

// waiters holds the calls that wait for a call slot of a pool. Slots are handed
// to waiting calls in the order of the queue; while any call waits, no other
// takes a slot past it.
type waiters struct {
	count atomic.Int64 // calls that wait

	mu    sync.Mutex
	queue policy.Queue            // guarded by mu
	calls map[uint64]*waitingCall // by ticket; guarded by mu
	next  uint64                  // guarded by mu
}

// waitingCall is one call that waits.
type waitingCall struct {
	id      uint64
	pool    *Pool // guarded by waiters.mu
	want    *want
	granted chan *Server // holds one slot at most
}

func newWaiters(q policy.Queues) *waiters {
	return &waiters{queue: q.NewQueue(), calls: make(map[uint64]*waitingCall)}
}

// busy reports whether calls wait.
func (w *waiters) busy() bool { return w.count.Load() > 0 }

func (w *waiters) len() int { return int(w.count.Load()) }

// ahead is the work of the waiting calls that would go before a new one.
func (w *waiters) ahead(t policy.Ticket) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.queue.Ahead(t)
}

// join puts a call into the queue.
func (w *waiters) join(now time.Time, p *Pool, want *want) *waitingCall {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.next++
	c := &waitingCall{id: w.next, pool: p, want: want, granted: make(chan *Server, 1)}
	w.calls[c.id] = c
	t := want.ticket
	t.ID = c.id
	w.queue.Push(now, t)
	w.count.Add(1)
	return c
}

// leave takes a call out. It returns false if the call was granted a slot.
func (w *waiters) leave(c *waitingCall) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.calls[c.id] == nil {
		return false
	}
	delete(w.calls, c.id)
	w.queue.Remove(c.id)
	w.count.Add(-1)
	return true
}

// dispatch grants free call slots to waiting calls until none fits.
//
// No wake-up is lost: a call is counted before it tries for the last time, and
// a slot is free before its holder looks at the count.
func (w *waiters) dispatch() {
	if !w.busy() {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	var refused []refusal
	offer := func(t policy.Ticket) policy.Offer { return w.offer(t, &refused) }
	for w.queue.Serve(time.Now(), offer) {
	}
}

// refusal names the servers that are full: those of a version in a pool.
type refusal struct {
	pool    *Pool
	version string
}

// offer grants a call a slot if one fits. The caller holds mu.
func (w *waiters) offer(t policy.Ticket, refused *[]refusal) policy.Offer {
	c := w.calls[t.ID]
	c.pool, _ = c.pool.successor(c.want)
	r := refusal{c.pool, c.want.version}
	if slices.Contains(*refused, r) {
		return policy.OfferSkipped
	}
	s := c.pool.try(c.want)
	if s == nil {
		// The usable servers of an older snapshot are among those in force.
		if c.pool.inForce() && (c.want.version == "" || !c.pool.Config.Versioned) {
			return policy.OfferEnded
		}
		*refused = append(*refused, r)
		return policy.OfferSkipped
	}
	delete(w.calls, c.id)
	w.count.Add(-1)
	c.granted <- s
	return policy.OfferTaken
}

// poolOf returns the pool that a waiting call uses now.
func (w *waiters) poolOf(c *waitingCall) *Pool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return c.pool
}

// wait waits until the call has a slot. It returns nil when the context ends,
// or as soon as the call can no longer be done by its deadline.
func (w *waiters) wait(ctx context.Context, p *Pool, want *want) *Server {
	c := w.join(time.Now(), p, want)
	w.dispatch()
	if s := w.first(ctx, c); s != nil {
		return s
	}
	late := time.NewTimer(time.Until(want.ticket.Latest()))
	defer late.Stop()
	retry := time.NewTicker(borrowInterval)
	defer retry.Stop()
	for {
		select {
		case s := <-c.granted:
			return s
		case <-late.C:
			p.reasons.count(reasonLate)
			return w.giveUp(c)
		case <-ctx.Done():
			p.reasons.count(reasonGone)
			return w.giveUp(c)
		case <-retry.C:
			if s := w.borrow(ctx, c); s != nil {
				return s
			}
		}
	}
}

// first returns the slot that a call was granted when it joined, or that is
// lent to it at once, or nil.
func (w *waiters) first(ctx context.Context, c *waitingCall) *Server {
	select {
	case s := <-c.granted:
		return s
	default:
		return w.borrow(ctx, c)
	}
}

// giveUp takes a call out; a slot that was granted meanwhile is used.
func (w *waiters) giveUp(c *waitingCall) *Server {
	if w.leave(c) {
		return nil
	}
	return <-c.granted
}

// borrow tries to borrow a slot for a waiting call.
func (w *waiters) borrow(ctx context.Context, c *waitingCall) *Server {
	pool := w.poolOf(c)
	s := pool.borrow(ctx, c.want)
	if s == nil || w.leave(c) {
		return s
	}
	pool.release(s)
	return <-c.granted
}
