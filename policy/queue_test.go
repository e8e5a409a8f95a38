package policy

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

func take(Ticket) Offer { return OfferTaken }

// serveOne returns the ID of the call that is served next, or 0.
func serveOne(q Queue) uint64 {
	var id uint64
	q.Serve(epoch, func(t Ticket) Offer { id = t.ID; return OfferTaken })
	return id
}

func TestFairQueueShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := FairQueues{}.NewQueue()
		accounts := rapid.IntRange(2, 6).Draw(t, "accounts")
		weights := make([]float64, accounts)
		served := make([]float64, accounts)
		next, highest := uint64(0), 0.0
		push := func(i int) {
			next++
			cost := rapid.Float64Range(1, 50).Draw(t, "cost")
			highest = max(highest, cost)
			q.Push(epoch, Ticket{ID: next, Account: fmt.Sprint(i), Weight: weights[i], Cost: cost, Class: rapid.SampledFrom([]string{"small", "large"}).Draw(t, "class")})
		}
		for i := range accounts {
			weights[i] = rapid.Float64Range(0.5, 4).Draw(t, "weight")
			push(i)
			push(i)
		}
		for range 200 {
			var i int
			q.Serve(epoch, func(x Ticket) Offer {
				_, _ = fmt.Sscan(x.Account, &i)
				served[i] += x.Cost
				return OfferTaken
			})
			push(i)
		}
		for i := range accounts {
			for k := range accounts {
				gap := served[i]/weights[i] - served[k]/weights[k]
				if bound := highest/weights[i] + highest/weights[k]; gap > bound {
					t.Fatalf("account %d is %.1f ahead of account %d, want at most %.1f", i, gap, k, bound)
				}
			}
		}
	})
}

// Guards against lost and duplicated calls: after any sequence of pushes, removals
// and serves, every call has left the queue once or still waits.
func TestQueuesConserveCalls(t *testing.T) {
	for name, queues := range map[string]Queues{"fair": FairQueues{}, "fifo": FIFOQueues{}} {
		rapid.Check(t, func(t *rapid.T) {
			q := queues.NewQueue()
			waiting := make(map[uint64]bool)
			var next uint64
			for range rapid.IntRange(1, 100).Draw(t, "steps") {
				switch rapid.IntRange(0, 3).Draw(t, "step") {
				case 0, 1:
					next++
					waiting[next] = true
					q.Push(epoch, Ticket{ID: next, Account: rapid.StringMatching("[a-c]").Draw(t, "account"), Weight: 1, Cost: 1,
						Class: rapid.SampledFrom([]string{"small", "large"}).Draw(t, "class"), Deadline: epoch.Add(time.Duration(rapid.IntRange(0, 9).Draw(t, "deadline")) * time.Second)})
				case 2:
					id := rapid.Uint64Range(1, 100).Draw(t, "id")
					q.Remove(id)
					delete(waiting, id)
				case 3:
					if id := serveOne(q); id != 0 {
						if !waiting[id] {
							t.Fatalf("%s: served call %d, which is not waiting", name, id)
						}
						delete(waiting, id)
					} else if len(waiting) > 0 {
						t.Fatalf("%s: no call served while %d wait", name, len(waiting))
					}
				}
				if q.Len() != len(waiting) {
					t.Fatalf("%s: length %d, want %d", name, q.Len(), len(waiting))
				}
			}
		})
	}
}

func TestFairQueue(t *testing.T) {
	Convey("Given a fair queue", t, func() {
		q := FairQueues{}.NewQueue()
		push := func(id uint64, account, class string, cost float64, deadline time.Duration) {
			q.Push(epoch, Ticket{ID: id, Account: account, Weight: 1, Class: class, Cost: cost, Deadline: epoch.Add(deadline)})
		}
		Convey("the call of an account with the earliest deadline is served first", func() {
			push(1, "a", "small", 1, 3*time.Second)
			push(2, "a", "small", 1, time.Second)
			So(serveOne(q), ShouldEqual, 2)
		})
		Convey("a large call does not block the small ones of its account", func() {
			push(1, "a", "large", 100, time.Second)
			for id := uint64(2); id <= 4; id++ {
				push(id, "a", "small", 10, 2*time.Second)
			}
			So([]uint64{serveOne(q), serveOne(q), serveOne(q), serveOne(q)}, ShouldResemble, []uint64{2, 3, 4, 1})
		})
		Convey("a call of a new account is served before the backlog of another", func() {
			for id := uint64(1); id <= 50; id++ {
				push(id, "greedy", "small", 10, time.Second)
			}
			serveOne(q)
			push(99, "modest", "small", 10, 3*time.Second)
			So([]uint64{serveOne(q), serveOne(q)}, ShouldContain, uint64(99))
		})
		Convey("a skipped call keeps its position, and later calls are served", func() {
			push(1, "a", "small", 1, time.Second)
			push(2, "a", "small", 1, 2*time.Second)
			var offered []uint64
			So(q.Serve(epoch, func(t Ticket) Offer {
				offered = append(offered, t.ID)
				if t.ID == 1 {
					return OfferSkipped
				}
				return OfferTaken
			}), ShouldBeTrue)
			So(offered, ShouldResemble, []uint64{1, 2})
			So(serveOne(q), ShouldEqual, 1)
			So(q.Serve(epoch, take), ShouldBeFalse)
		})
	})
}

func BenchmarkFairQueue(b *testing.B) {
	q := FairQueues{}.NewQueue()
	for i := range 1000 {
		q.Push(epoch, Ticket{ID: uint64(i), Account: fmt.Sprint(i % 570), Weight: 1, Cost: 1, Deadline: epoch.Add(time.Duration(i))})
	}
	b.ReportAllocs()
	for b.Loop() {
		var t Ticket
		q.Serve(epoch, func(x Ticket) Offer { t = x; return OfferTaken })
		q.Push(epoch, t)
	}
}
