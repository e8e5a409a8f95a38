package kernel

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/savoryfold/savoryfold/policy"
)

// testLimit bounds waits for events.
const testLimit = time.Minute

func wantUntil(deadline time.Time) *want {
	return &want{ticket: policy.Ticket{Account: "a", Weight: 1, Deadline: deadline, Cost: 1}}
}

func TestWaiters(t *testing.T) {
	Convey("Given a pool of two servers with two slots each", t, func() {
		h := testHost(t, "i0", standardDecisions())
		h.SetTables(testTables(t, 1, 2, ""))
		pool := h.Snapshot().Pool("encode")
		deadline := time.Now().Add(testLimit)
		ctx, cancel := context.WithDeadline(context.Background(), deadline)
		defer cancel()

		Convey("many callers all get their turn and never more slots than there are", func() {
			var running, most, served atomic.Int64
			var group sync.WaitGroup
			for range 64 {
				group.Go(func() {
					for range 50 {
						s := pool.acquire(ctx, wantUntil(deadline))
						if s == nil {
							return
						}
						now := running.Add(1)
						for old := most.Load(); now > old && !most.CompareAndSwap(old, now); old = most.Load() {
						}
						served.Add(1)
						running.Add(-1)
						pool.release(s)
					}
				})
			}
			group.Wait()
			So(served.Load(), ShouldEqual, 64*50)
			So(most.Load(), ShouldBeLessThanOrEqualTo, 4)
			So(pool.waiters.len(), ShouldEqual, 0)
		})

		Convey("slots that come free together wake as many callers", func() {
			var held []*Server
			for range 4 {
				held = append(held, pool.acquire(ctx, wantUntil(deadline)))
			}
			got := make(chan *Server, 3)
			for range 3 {
				go func() { got <- pool.acquire(ctx, wantUntil(deadline)) }()
			}
			waitFor(t, func() bool { return pool.waiters.len() == 3 })
			for _, s := range held[:3] {
				s.release()
			}
			pool.slotFreed()
			for range 3 {
				So(<-got, ShouldNotBeNil)
			}
		})

		Convey("a caller that can no longer be done in time is told before its deadline", func() {
			for range 4 {
				pool.acquire(ctx, wantUntil(deadline))
			}
			w := wantUntil(deadline)
			w.ticket.Needed = 2 * testLimit
			So(pool.acquire(ctx, w), ShouldBeNil)
			So(time.Now(), ShouldHappenBefore, deadline)
			So(pool.waiters.len(), ShouldEqual, 0)
			So(pool.reasons.dump()[reasonLate], ShouldEqual, 1)
		})

		Convey("a caller without a slot of its own borrows one", func() {
			for range 4 {
				pool.acquire(ctx, wantUntil(deadline))
			}
			lender := &oneSlot{}
			h.Borrower = lender
			s := pool.acquire(ctx, wantUntil(deadline))
			So(s, ShouldNotBeNil)
			pool.release(s)
			So(lender.released, ShouldEqual, 1)
		})
	})
}

// oneSlot lends a slot on any server.
type oneSlot struct{ released int }

func (l *oneSlot) Borrow(context.Context, string) (func(), bool) {
	return func() { l.released++ }, true
}

func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(testLimit); !condition(); {
		if time.Now().After(end) {
			t.Fatal("the awaited state did not come")
		}
		time.Sleep(time.Millisecond)
	}
}
