package policy

import "time"

// Ticket is a call that waits for a call slot of a pool.
type Ticket struct {
	// ID is unique within the queue.
	ID       uint64
	Account  string
	Weight   float64
	Class    string
	Priority int
	Deadline time.Time
	Arrived  time.Time
	// Expected is the expected time of the call, Cost its expected cost.
	Expected time.Duration
	Cost     float64
}

// Queue orders the calls that wait for a call slot of one pool.
// It is not safe for concurrent use.
type Queue interface {
	Push(now time.Time, t Ticket)
	// Pop removes and returns the call that goes next.
	Pop(now time.Time) (Ticket, bool)
	// Remove takes out a call that gave up.
	Remove(id uint64)
	Len() int
}

// Queues makes the queue of each pool.
type Queues interface {
	NewQueue() Queue
}

// FIFOQueues is the baseline: first in, first out.
type FIFOQueues struct{}

// NewQueue implements Queues.
func (FIFOQueues) NewQueue() Queue { return &fifo{} }

type fifo struct{ tickets []Ticket }

func (q *fifo) Push(_ time.Time, t Ticket) { q.tickets = append(q.tickets, t) }

func (q *fifo) Pop(time.Time) (Ticket, bool) {
	if len(q.tickets) == 0 {
		return Ticket{}, false
	}
	t := q.tickets[0]
	q.tickets = q.tickets[1:]
	return t, true
}

func (q *fifo) Remove(id uint64) {
	for i, t := range q.tickets {
		if t.ID == id {
			q.tickets = append(q.tickets[:i], q.tickets[i+1:]...)
			return
		}
	}
}

func (q *fifo) Len() int { return len(q.tickets) }
