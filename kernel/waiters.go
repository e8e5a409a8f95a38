package kernel

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/savoryfold/savoryfold/policy"
)

// borrowInterval is the time between two attempts of a waiting call to borrow a
// call slot.
const borrowInterval = 100 * time.Millisecond

// waiters holds the calls that wait for a call slot of a pool. Free slots go to
// waiting calls in queue order. While any call waits, new calls must queue too.
type waiters struct {
	count atomic.Int64 // number of waiting calls

	mu    sync.Mutex
	queue policy.Queue            // guarded by mu
	calls map[uint64]*waitingCall // by ticket ID; guarded by mu
	next  uint64                  // guarded by mu
}

// waitingCall is a call in the queue.
type waitingCall struct {
	id      uint64
	pool    *Pool // guarded by waiters.mu
	req     *slotRequest
	granted chan *Server // buffered; receives at most one slot
}

func newWaiters(q policy.Queues) *waiters {
	return &waiters{queue: q.NewQueue(), calls: make(map[uint64]*waitingCall)}
}

// hasWaiting reports whether any call is waiting.
func (w *waiters) hasWaiting() bool { return w.count.Load() > 0 }

func (w *waiters) len() int { return int(w.count.Load()) }

// ahead returns the work of the waiting calls that would go before a new one.
func (w *waiters) ahead(t policy.Ticket) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.queue.Ahead(t)
}

// enqueue adds a call to the queue.
func (w *waiters) enqueue(now time.Time, p *Pool, req *slotRequest) *waitingCall {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.next++
	c := &waitingCall{id: w.next, pool: p, req: req, granted: make(chan *Server, 1)}
	w.calls[c.id] = c
	t := req.ticket
	t.ID = c.id
	w.queue.Push(now, t)
	w.count.Add(1)
	return c
}

// remove takes a call out of the queue. It returns false if the call has already
// been granted a slot.
func (w *waiters) remove(c *waitingCall) bool {
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

// dispatch grants free call slots to waiting calls until no waiting call can use
// one.
//
// No wake-up is lost: a call is counted as waiting before its last attempt to
// get a slot, and a slot is freed before its holder reads the count.
func (w *waiters) dispatch() {
	if !w.hasWaiting() {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	var full []fullServers
	offer := func(t policy.Ticket) policy.Offer { return w.offer(t, &full) }
	for w.queue.Serve(time.Now(), offer) {
	}
}

// fullServers identifies a group of servers without a free slot: those of a pool
// that run a version.
type fullServers struct {
	pool    *Pool
	version string
}

// offer grants a call a slot if a suitable one is free. The caller holds mu.
func (w *waiters) offer(t policy.Ticket, full *[]fullServers) policy.Offer {
	c := w.calls[t.ID]
	c.pool, _ = c.pool.successor(c.req)
	group := fullServers{c.pool, c.req.version}
	if slices.Contains(*full, group) {
		return policy.OfferSkipped
	}
	s := c.pool.tryAcquire(c.req)
	if s == nil {
		// The usable servers of older snapshots are also in the current one. If a
		// call that accepts any version finds no slot there, no other call can.
		if c.pool.isCurrent() && (c.req.version == "" || !c.pool.Config.Versioned) {
			return policy.OfferEnded
		}
		*full = append(*full, group)
		return policy.OfferSkipped
	}
	delete(w.calls, c.id)
	w.count.Add(-1)
	c.granted <- s
	return policy.OfferTaken
}

// poolOf returns the pool that a waiting call currently uses.
func (w *waiters) poolOf(c *waitingCall) *Pool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return c.pool
}

// wait blocks until the call has a slot. It returns nil when the context ends,
// or as soon as the call can no longer finish by its deadline.
func (w *waiters) wait(ctx context.Context, p *Pool, req *slotRequest) *Server {
	c := w.enqueue(time.Now(), p, req)
	w.dispatch()
	if s := w.immediate(ctx, c); s != nil {
		return s
	}
	lateTimer := time.NewTimer(time.Until(req.ticket.LatestStart()))
	defer lateTimer.Stop()
	borrowTicker := time.NewTicker(borrowInterval)
	defer borrowTicker.Stop()
	for {
		select {
		case s := <-c.granted:
			return s
		case <-lateTimer.C:
			p.reasons.count(reasonQueueLate)
			return w.abandon(c)
		case <-ctx.Done():
			p.reasons.count(reasonQueueEnded)
			return w.abandon(c)
		case <-borrowTicker.C:
			if s := w.borrow(ctx, c); s != nil {
				return s
			}
		}
	}
}

// immediate returns a slot that the call was granted when it was enqueued, or
// that it could borrow at once, or nil.
func (w *waiters) immediate(ctx context.Context, c *waitingCall) *Server {
	select {
	case s := <-c.granted:
		return s
	default:
		return w.borrow(ctx, c)
	}
}

// abandon removes a call from the queue. It returns nil, or the slot if one was
// granted in the meantime.
func (w *waiters) abandon(c *waitingCall) *Server {
	if w.remove(c) {
		return nil
	}
	return <-c.granted
}

// borrow tries to borrow a slot for a waiting call. If the call was granted a
// slot in the meantime, it releases the borrowed one and returns the granted one.
func (w *waiters) borrow(ctx context.Context, c *waitingCall) *Server {
	pool := w.poolOf(c)
	s := pool.borrow(ctx, c.req)
	if s == nil || w.remove(c) {
		return s
	}
	pool.release(s)
	return <-c.granted
}
