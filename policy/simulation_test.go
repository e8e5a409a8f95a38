package policy

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// The simulation carries requests of client accounts through stages with a
// fixed number of call slots each, by values only.
type simulation struct {
	random    *rand.Rand
	admission Admission
	// early is true if waiting calls are dropped once they can no longer be
	// done in time, not only at their deadline.
	early  bool
	stages []*simStage
	events simEvents
	count  uint64
	result map[string]*simAccount
}

type simStage struct {
	slots, used int
	mean        map[string]time.Duration // by size class
	queue       Queue
	waiting     map[uint64]*simRequest
	hold        ServiceTime
	classes     [sizeClasses]ServiceTime
}

type simSource struct {
	account  string
	class    string
	rate     float64 // requests a second
	deadline time.Duration
}

type simRequest struct {
	Request
	stage int
	cost  float64
}

// simAccount counts what became of an account's requests.
type simAccount struct {
	offered, admitted, served int
	work, wasted              time.Duration
}

type simEvent struct {
	at  time.Time
	seq uint64
	run func(now time.Time)
}

type simEvents []simEvent

func (e simEvents) Len() int { return len(e) }
func (e simEvents) Less(i, k int) bool {
	if e[i].at.Equal(e[k].at) {
		return e[i].seq < e[k].seq
	}
	return e[i].at.Before(e[k].at)
}
func (e simEvents) Swap(i, k int) { e[i], e[k] = e[k], e[i] }
func (e *simEvents) Push(x any)   { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

func newSimulation(seed uint64, a Admission, q Queues, early bool) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 7)), admission: a, early: early, result: make(map[string]*simAccount)}
	for _, c := range []struct {
		slots int
		ms    time.Duration
	}{{8, 10}, {8, 20}, {8, 100}} {
		mean := c.ms * time.Millisecond
		s.stages = append(s.stages, &simStage{slots: c.slots, queue: q.NewQueue(), waiting: make(map[uint64]*simRequest),
			mean: map[string]time.Duration{"small": mean, "large": 10 * mean}})
	}
	return s
}

func (s *simulation) at(t time.Time, run func(time.Time)) {
	s.count++
	heap.Push(&s.events, simEvent{t, s.count, run})
}

// run lets the sources send for a time and returns once all requests ended.
func (s *simulation) run(sources []simSource, length time.Duration) map[string]*simAccount {
	end := epoch.Add(length)
	for _, src := range sources {
		if s.result[src.account] == nil {
			s.result[src.account] = &simAccount{}
		}
		var arrive func(now time.Time)
		arrive = func(now time.Time) {
			if now.After(end) {
				return
			}
			s.arrive(now, src)
			s.at(now.Add(time.Duration(s.random.ExpFloat64()/src.rate*1e9)), arrive)
		}
		s.at(epoch, arrive)
	}
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(simEvent)
		e.run(e.at)
	}
	return s.result
}

func (s *simulation) arrive(now time.Time, src simSource) {
	r := &simRequest{Request: Request{Account: src.account, Weight: 1, Class: src.class, Deadline: now.Add(src.deadline)}}
	var forecasts []StageForecast
	for _, st := range s.stages {
		class := &st.classes[classIndex(src.class)]
		forecasts = append(forecasts, StageForecast{Service: class.Mean(), ServiceHigh: class.High(), Hold: st.hold.Mean(),
			Ahead: st.queue.Ahead(st.ticket(0, r)), InFlight: st.used, Capacity: st.slots})
		r.Cost += float64(class.Mean()) / 1e6
	}
	s.result[src.account].offered++
	if !s.admission.Admit(now, r.Request, forecasts).Admit {
		return
	}
	s.result[src.account].admitted++
	s.enter(now, r)
}

// enter brings a request to its stage.
func (s *simulation) enter(now time.Time, r *simRequest) {
	st := s.stages[r.stage]
	if st.used < st.slots && st.queue.Len() == 0 {
		s.start(now, r)
		return
	}
	s.count++
	id := s.count
	t := st.ticket(id, r)
	t.Needed = st.classes[classIndex(r.Class)].High()
	for _, later := range s.stages[r.stage+1:] {
		t.Needed += later.classes[classIndex(r.Class)].Mean()
	}
	st.queue.Push(now, t)
	st.waiting[id] = r
	drop := r.Deadline
	if s.early {
		drop = t.Latest()
	}
	s.at(maxTime(now, drop), func(now time.Time) {
		if st.waiting[id] != nil {
			delete(st.waiting, id)
			st.queue.Remove(id)
			s.finish(now, r, false)
		}
	})
}

func (st *simStage) ticket(id uint64, r *simRequest) Ticket {
	mean := st.classes[classIndex(r.Class)].Mean()
	return Ticket{ID: id, Account: r.Account, Weight: r.Weight, Class: r.Class, Deadline: r.Deadline, Expected: mean, Cost: float64(mean) / 1e6}
}

// start runs a call; the deadline cuts it.
func (s *simulation) start(now time.Time, r *simRequest) {
	st := s.stages[r.stage]
	st.used++
	// Half of a call's time is fixed, half varies.
	mean := float64(st.mean[r.Class])
	took := time.Duration(mean/2 + s.random.ExpFloat64()*mean/2)
	cut := took > r.Deadline.Sub(now)
	if cut {
		took = max(0, r.Deadline.Sub(now))
	}
	s.at(now.Add(took), func(now time.Time) {
		st.used--
		r.cost += float64(took) / 1e6
		s.result[r.Account].work += took
		if !cut {
			st.hold.Observe(took)
			st.classes[classIndex(r.Class)].Observe(took)
		}
		s.next(now, r, cut)
		st.queue.Serve(now, func(t Ticket) Offer {
			waiting := st.waiting[t.ID]
			delete(st.waiting, t.ID)
			s.start(now, waiting)
			return OfferTaken
		})
	})
}

func (s *simulation) next(now time.Time, r *simRequest, cut bool) {
	r.stage++
	if cut || r.stage == len(s.stages) {
		s.finish(now, r, !cut)
		return
	}
	s.enter(now, r)
}

func (s *simulation) finish(now time.Time, r *simRequest, served bool) {
	s.admission.Finish(now, r.Request, Finish{Cost: r.cost, Served: served, Late: !served})
	a := s.result[r.Account]
	if served {
		a.served++
	} else {
		a.wasted += time.Duration(r.cost * 1e6)
	}
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
