package policy

import (
	"slices"
	"time"
)

// Ticket is a call that waits in a queue for a call slot of a pool.
type Ticket struct {
	// ID is unique within the queue.
	ID      uint64
	Account string
	Weight  float64
	Class   string
	// Priority ranks the calls of an account and size class in FairQueues; the
	// highest is served first.
	Priority int
	Deadline time.Time
	Arrived  time.Time
	// Expected is the expected duration of the call. Cost is its expected cost in
	// cost units.
	Expected time.Duration
	Cost     float64
	// Needed is a high quantile of the duration of the call and the stages after
	// it.
	Needed time.Duration
}

// LatestStart returns the latest time at which the call can start so that it and
// the stages after it end by the deadline.
func (t Ticket) LatestStart() time.Time { return t.Deadline.Add(-t.Needed) }

// Offer is the result of offering a call slot to a waiting call.
type Offer int

const (
	// OfferTaken means that the call got a slot and leaves the queue.
	OfferTaken Offer = iota
	// OfferSkipped means that no slot fits this call. The next call is offered one.
	OfferSkipped
	// OfferEnded means that no slot fits any call.
	OfferEnded
)

// Queue orders the calls that wait for a call slot of one pool.
// It is not safe for concurrent use.
type Queue interface {
	Push(now time.Time, t Ticket)
	// Serve offers slots to the calls in order until a call takes one, and reports
	// whether one did. A skipped call keeps its position.
	Serve(now time.Time, offer func(Ticket) Offer) bool
	// Ahead returns the work, as call-slot time, of the waiting calls that would
	// be served before a new call.
	Ahead(t Ticket) time.Duration
	// Remove removes a call that no longer waits. It does nothing if there is no
	// such call.
	Remove(id uint64)
	Len() int
}

// Queues creates the queue of each pool.
type Queues interface {
	NewQueue() Queue
}

// FIFOQueues is the baseline. Its queues are first in, first out.
type FIFOQueues struct{}

// NewQueue implements Queues.
func (FIFOQueues) NewQueue() Queue { return &fifo{} }

type fifo struct{ tickets []Ticket }

func (q *fifo) Push(_ time.Time, t Ticket) { q.tickets = append(q.tickets, t) }

func (q *fifo) Serve(_ time.Time, offer func(Ticket) Offer) bool {
	for i, t := range q.tickets {
		switch offer(t) {
		case OfferTaken:
			q.tickets = slices.Delete(q.tickets, i, i+1)
			return true
		case OfferEnded:
			return false
		}
	}
	return false
}

func (q *fifo) Ahead(Ticket) time.Duration {
	var work time.Duration
	for _, t := range q.tickets {
		work += t.Expected
	}
	return work
}

func (q *fifo) Remove(id uint64) {
	q.tickets = slices.DeleteFunc(q.tickets, func(t Ticket) bool { return t.ID == id })
}

func (q *fifo) Len() int { return len(q.tickets) }
