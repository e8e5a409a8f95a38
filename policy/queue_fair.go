package policy

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minCost is the minimum cost of a call, also used if the cost is unknown.
	minCost = 1
	// minWeight is the minimum weight of an account.
	minWeight = 0.001
)

// FairQueues is the standard implementation of Queues. It serves client accounts
// by weighted fair queueing (WFQ) on cost, the size classes of an account by
// fair queueing on cost, and the calls of a class by priority and then earliest
// deadline first.
type FairQueues struct{}

// NewQueue implements Queues.
func (FairQueues) NewQueue() Queue {
	return &fairQueue{flows: make(map[string]*flow)}
}

// fairQueue serves the account whose next call has the earliest virtual finish
// time, which is the flow's virtualStart plus the call's cost divided by the
// account's weight. A flow exists only while it has waiting calls.
type fairQueue struct {
	flows       map[string]*flow // by account
	flowList    []*flow          // the flows in order of their creation
	virtualTime float64          // virtualStart of new flows
	size        int
}

// flow holds the waiting calls of one account.
type flow struct {
	account string
	weight  float64
	// virtualStart is the virtual time at which the account's next call starts.
	virtualStart float64
	classes      [sizeClasses]classFlow
	// skipped is true if the current Serve has offered slots to all calls of the
	// flow and none took one.
	skipped bool
}

// classFlow holds the waiting calls of one size class of an account.
type classFlow struct {
	virtualStart float64
	tickets      []Ticket // in the order of compareTickets
	cost         float64  // of all tickets
	work         time.Duration
}

// Push implements Queue.
func (q *fairQueue) Push(_ time.Time, t Ticket) {
	t.Cost = max(t.Cost, minCost)
	f := q.flows[t.Account]
	if f == nil {
		f = &flow{account: t.Account, virtualStart: q.virtualTime}
		q.flows[t.Account] = f
		q.flowList = append(q.flowList, f)
	}
	f.weight = max(t.Weight, minWeight)
	f.push(t)
	q.size++
}

// push inserts a call into its class in the order of compareTickets.
func (f *flow) push(t Ticket) {
	index := classIndex(t.Class)
	c := &f.classes[index]
	if len(c.tickets) == 0 {
		// A class that was empty gets no credit for the time without calls.
		c.virtualStart = max(c.virtualStart, f.classes[1-index].virtualStart)
	}
	at, _ := slices.BinarySearchFunc(c.tickets, t, compareTickets)
	c.tickets = slices.Insert(c.tickets, at, t)
	c.cost += t.Cost
	c.work += t.Expected
}

// compareTickets orders calls by descending priority, then deadline, then ID.
func compareTickets(a, b Ticket) int {
	return cmp.Or(
		cmp.Compare(b.Priority, a.Priority),
		a.Deadline.Compare(b.Deadline),
		cmp.Compare(a.ID, b.ID),
	)
}

// Serve implements Queue.
func (q *fairQueue) Serve(_ time.Time, offer func(Ticket) Offer) bool {
	for _, f := range q.flowList {
		f.skipped = false
	}
	for {
		f := q.nextFlow()
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

// nextFlow returns the flow with the earliest virtual finish time that was not
// skipped, or nil.
func (q *fairQueue) nextFlow() *flow {
	var best *flow
	var finish float64
	for _, f := range q.flowList {
		if f.skipped {
			continue
		}
		if at := f.virtualStart + f.nextTicket().Cost/f.weight; best == nil || at < finish {
			best, finish = f, at
		}
	}
	return best
}

// nextTicket returns the call of the flow that is served next.
func (f *flow) nextTicket() *Ticket { return &f.classes[f.classOrder()[0]].tickets[0] }

// classOrder returns the indices of the classes in the order of the virtual
// finish time of their first calls. An empty class is last.
func (f *flow) classOrder() [sizeClasses]int {
	small, large := &f.classes[0], &f.classes[1]
	if len(small.tickets) == 0 {
		return [...]int{1, 0}
	}
	if len(large.tickets) > 0 && large.virtualStart+large.tickets[0].Cost < small.virtualStart+small.tickets[0].Cost {
		return [...]int{1, 0}
	}
	return [...]int{0, 1}
}

// serveFlow offers slots to a flow's calls in order. taken is true if a call took
// a slot, and ended if no slot fits any call.
func (q *fairQueue) serveFlow(f *flow, offer func(Ticket) Offer) (taken, ended bool) {
	for _, class := range f.classOrder() {
		for i, t := range f.classes[class].tickets {
			switch offer(t) {
			case OfferTaken:
				q.advance(f, class, t.Cost)
				q.remove(f, class, i)
				return true, false
			case OfferEnded:
				return false, true
			}
		}
	}
	return false, false
}

// advance advances the virtual times by the cost of a call that took a slot.
func (q *fairQueue) advance(f *flow, class int, cost float64) {
	q.virtualTime = max(q.virtualTime, f.virtualStart)
	f.virtualStart += cost / f.weight
	f.classes[class].virtualStart += cost
}

// remove removes a call, and its flow if no call is left.
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
	q.flowList = slices.DeleteFunc(q.flowList, func(other *flow) bool { return other == f })
	if q.size == 0 {
		q.virtualTime = 0
	}
}

// Ahead implements Queue. The calls with an earlier virtual finish time are
// served first.
func (q *fairQueue) Ahead(t Ticket) time.Duration {
	cost, weight, start := max(t.Cost, minCost), max(t.Weight, minWeight), q.virtualTime
	var work time.Duration
	if own := q.flows[t.Account]; own != nil {
		var before float64
		before, work = own.ahead(classIndex(t.Class), cost)
		cost += before
		start = own.virtualStart
	}
	finish := start + cost/weight
	for _, f := range q.flowList {
		if f.account != t.Account {
			work += f.workBefore(finish)
		}
	}
	return work
}

// ahead returns the cost and the work of the account's calls that are served
// before a new call of a class. All waiting calls of that class count.
func (f *flow) ahead(class int, cost float64) (float64, time.Duration) {
	own, other := &f.classes[class], &f.classes[1-class]
	before, work := own.cost, own.work
	fraction := other.coveredFraction(max(0, own.virtualStart+own.cost+cost-other.virtualStart))
	return before + fraction*other.cost, work + time.Duration(fraction*float64(other.work))
}

// workBefore returns the work of the flow's calls up to a virtual finish time.
func (f *flow) workBefore(finish float64) time.Duration {
	var work time.Duration
	cost := f.classes[0].cost + f.classes[1].cost
	fraction := min(1, max(0, finish-f.virtualStart)*f.weight/cost)
	for i := range f.classes {
		work += time.Duration(fraction * float64(f.classes[i].work))
	}
	return work
}

// coveredFraction returns the fraction of the waiting calls' cost that an amount
// of cost covers.
func (c *classFlow) coveredFraction(amount float64) float64 {
	if c.cost <= 0 {
		return 0
	}
	return min(1, amount/c.cost)
}

// Remove implements Queue.
func (q *fairQueue) Remove(id uint64) {
	for _, f := range q.flowList {
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
