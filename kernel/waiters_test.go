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

// testTimeout is the maximum wait for an event.
const testTimeout = time.Minute

func slotRequestUntil(deadline time.Time) *slotRequest {
	return &slotRequest{ticket: policy.Ticket{Account: "a", Weight: 1, Deadline: deadline, Cost: 1}}
}

func TestWaiters(t *testing.T) {
	Convey("Given a pool of two servers with two slots each", t, func() {
		h := testHost(t, "i0", standardDecisions())
		h.SetTables(testTables(t, 1, 2, ""))
		pool := h.Snapshot().Pool("encode")
		deadline := time.Now().Add(testTimeout)
		ctx, cancel := context.WithDeadline(context.Background(), deadline)
		defer cancel()

		Convey("many callers all get a slot, and never more at once than exist", func() {
			var running, peak, served atomic.Int64
			var group sync.WaitGroup
			for range 64 {
				group.Go(func() {
					for range 50 {
						s := pool.acquire(ctx, slotRequestUntil(deadline))
						if s == nil {
							return
						}
						now := running.Add(1)
						for old := peak.Load(); now > old && !peak.CompareAndSwap(old, now); old = peak.Load() {
						}
						served.Add(1)
						running.Add(-1)
						pool.release(s)
					}
				})
			}
			group.Wait()
			So(served.Load(), ShouldEqual, 64*50)
			So(peak.Load(), ShouldBeLessThanOrEqualTo, 4)
			So(pool.waiters.len(), ShouldEqual, 0)
		})

		Convey("slots freed together wake the same number of callers", func() {
			var held []*Server
			for range 4 {
				held = append(held, pool.acquire(ctx, slotRequestUntil(deadline)))
			}
			got := make(chan *Server, 3)
			for range 3 {
				go func() { got <- pool.acquire(ctx, slotRequestUntil(deadline)) }()
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

		Convey("a call that can no longer finish in time fails before its deadline", func() {
			for range 4 {
				pool.acquire(ctx, slotRequestUntil(deadline))
			}
			req := slotRequestUntil(deadline)
			req.ticket.Needed = 2 * testTimeout
			So(pool.acquire(ctx, req), ShouldBeNil)
			So(time.Now(), ShouldHappenBefore, deadline)
			So(pool.waiters.len(), ShouldEqual, 0)
			So(pool.reasons.dump()[reasonQueueLate], ShouldEqual, 1)
		})

		Convey("a caller without a slot of its own borrows one", func() {
			for range 4 {
				pool.acquire(ctx, slotRequestUntil(deadline))
			}
			borrower := &fakeBorrower{}
			h.Borrower = borrower
			s := pool.acquire(ctx, slotRequestUntil(deadline))
			So(s, ShouldNotBeNil)
			pool.release(s)
			So(borrower.released, ShouldEqual, 1)
		})
	})
}

// fakeBorrower borrows a slot on any server.
type fakeBorrower struct{ released int }

func (l *fakeBorrower) Borrow(context.Context, string) (func(), bool) {
	return func() { l.released++ }, true
}

func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !condition(); {
		if time.Now().After(end) {
			t.Fatal("condition not met before the test timeout")
		}
		time.Sleep(time.Millisecond)
	}
}
