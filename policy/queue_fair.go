package policy

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minCost stands for the cost of a call whose cost is not known.
	minCost = 1
	// minWeight is the least weight of an account.
	minWeight = 0.001
)

// FairQueues is the standard implementation of Queues: weighted fair queueing
// of client accounts by cost, of size classes within an account, and the
// earliest deadline first within a class.
type FairQueues struct{}

// NewQueue implements Queues.
func (FairQueues) NewQueue() Queue {
	return &fairQueue{flows: make(map[string]*flow)}
}

// fairQueue serves the account whose next call has the earliest virtual finish
// time: the account's virtual time and the cost of the call over the account's
// weight. Flows exist only while they have waiting calls.
type fairQueue struct {
	flows   map[string]*flow // by account
	order   []*flow          // every flow once
	virtual float64          // virtual time of the queue
	size    int
}

// flow holds the waiting calls of one account.
type flow struct {
	account string
	weight  float64
	// start is the virtual time from which the account's next call counts.
	start   float64
	classes [sizeClasses]classFlow
	// skipped is true if the call offered last did not fit.
	skipped bool
}

// classFlow holds the waiting calls of one size class of an account.
type classFlow struct {
	start   float64
	tickets []Ticket // by deadline
	cost    float64  // of all tickets
	work    time.Duration
}

// Push implements Queue.
func (q *fairQueue) Push(_ time.Time, t Ticket) {
	t.Cost = max(t.Cost, minCost)
	f := q.flows[t.Account]
	if f == nil {
		f = &flow{account: t.Account, start: q.virtual}
		q.flows[t.Account] = f
		q.order = append(q.order, f)
	}
	f.weight = max(t.Weight, minWeight)
	f.push(t)
	q.size++
}

// push puts a call into its class by its deadline.
func (f *flow) push(t Ticket) {
	index := classIndex(t.Class)
	c := &f.classes[index]
	if len(c.tickets) == 0 {
		// A class that was empty has no claim on the time before.
		c.start = max(c.start, f.classes[1-index].start)
	}
	at, _ := slices.BinarySearchFunc(c.tickets, t, compareTickets)
	c.tickets = slices.Insert(c.tickets, at, t)
	c.cost += t.Cost
	c.work += t.Expected
}

// compareTickets orders calls by priority, deadline and arrival.
func compareTickets(a, b Ticket) int {
	return cmp.Or(
		cmp.Compare(b.Priority, a.Priority),
		a.Deadline.Compare(b.Deadline),
		cmp.Compare(a.ID, b.ID),
	)
}

// Serve implements Queue.
func (q *fairQueue) Serve(_ time.Time, offer func(Ticket) Offer) bool {
	for _, f := range q.order {
		f.skipped = false
	}
	for {
		f := q.first()
		if f == nil {
			return false
		}
		taken, ended := q.serveFlow(f, offer)
		if taken || ended {
			return taken
		}
		f.skipped = true
	}
}

// first returns the flow with the earliest virtual finish time that was not
// skipped, or nil.
func (q *fairQueue) first() *flow {
	var best *flow
	var finish float64
	for _, f := range q.order {
		if f.skipped {
			continue
		}
		if at := f.start + f.next().Cost/f.weight; best == nil || at < finish {
			best, finish = f, at
		}
	}
	return best
}

// next returns the flow's first call.
func (f *flow) next() *Ticket { return &f.classes[f.classOrder()[0]].tickets[0] }

// classOrder returns the classes by virtual finish time, those without calls
// last.
func (f *flow) classOrder() [sizeClasses]int {
	small, large := &f.classes[0], &f.classes[1]
	if len(small.tickets) == 0 {
		return [...]int{1, 0}
	}
	if len(large.tickets) > 0 && large.start+large.tickets[0].Cost < small.start+small.tickets[0].Cost {
		return [...]int{1, 0}
	}
	return [...]int{0, 1}
}

// serveFlow offers a flow's calls in order.
func (q *fairQueue) serveFlow(f *flow, offer func(Ticket) Offer) (taken, ended bool) {
	for _, class := range f.classOrder() {
		for i, t := range f.classes[class].tickets {
			switch offer(t) {
			case OfferTaken:
				q.charge(f, class, t.Cost)
				q.remove(f, class, i)
				return true, false
			case OfferEnded:
				return false, true
			}
		}
	}
	return false, false
}

// charge moves the virtual times on by a call that goes.
func (q *fairQueue) charge(f *flow, class int, cost float64) {
	q.virtual = max(q.virtual, f.start)
	f.start += cost / f.weight
	f.classes[class].start += cost
}

// remove takes out a call, and its flow if that is empty.
func (q *fairQueue) remove(f *flow, class, i int) {
	c := &f.classes[class]
	c.cost -= c.tickets[i].Cost
	c.work -= c.tickets[i].Expected
	c.tickets = slices.Delete(c.tickets, i, i+1)
	q.size--
	if len(f.classes[0].tickets)+len(f.classes[1].tickets) > 0 {
		return
	}
	delete(q.flows, f.account)
	q.order = slices.DeleteFunc(q.order, func(other *flow) bool { return other == f })
	if q.size == 0 {
		q.virtual = 0
	}
}

// Ahead implements Queue. What goes before a call is all that has an earlier
// virtual finish time.
func (q *fairQueue) Ahead(t Ticket) time.Duration {
	cost, weight, start := max(t.Cost, minCost), max(t.Weight, minWeight), q.virtual
	var work time.Duration
	if own := q.flows[t.Account]; own != nil {
		var before float64
		before, work = own.ahead(classIndex(t.Class), cost)
		cost += before
		start = own.start
	}
	finish := start + cost/weight
	for _, f := range q.order {
		if f.account != t.Account {
			work += f.until(finish)
		}
	}
	return work
}

// ahead is the cost and the work of the account's calls that go before a new
// call of a class.
func (f *flow) ahead(class int, cost float64) (float64, time.Duration) {
	own, other := &f.classes[class], &f.classes[1-class]
	before, work := own.cost, own.work
	part := other.part(max(0, own.start+own.cost+cost-other.start))
	return before + part*other.cost, work + time.Duration(part*float64(other.work))
}

// until is the work of the flow's calls with a virtual finish time before one.
func (f *flow) until(finish float64) time.Duration {
	var work time.Duration
	cost := f.classes[0].cost + f.classes[1].cost
	part := min(1, max(0, finish-f.start)*f.weight/cost)
	for i := range f.classes {
		work += time.Duration(part * float64(f.classes[i].work))
	}
	return work
}

// part is the part of the class's waiting cost that an amount covers.
func (c *classFlow) part(amount float64) float64 {
	if c.cost <= 0 {
		return 0
	}
	return min(1, amount/c.cost)
}

// Remove implements Queue.
func (q *fairQueue) Remove(id uint64) {
	for _, f := range q.order {
		for class := range f.classes {
			tickets := f.classes[class].tickets
			i := slices.IndexFunc(tickets, func(t Ticket) bool { return t.ID == id })
			if i >= 0 {
				q.remove(f, class, i)
				return
			}
		}
	}
}

// Len implements Queue.
func (q *fairQueue) Len() int { return q.size }
