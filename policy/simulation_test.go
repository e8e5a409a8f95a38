package policy

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// simulation is a discrete-event simulation of client accounts' requests. Each
// request runs the stages one after another, each with a fixed number of call
// slots.
type simulation struct {
	random    *rand.Rand
	admission Admission
	// dropEarly is true if waiting calls are dropped as soon as they can no longer
	// meet their deadline, and not only at the deadline.
	dropEarly bool
	stages    []*simStage
	events    simEvents
	lastID    uint64
	accounts  map[string]*simAccount
}

type simStage struct {
	slots, used int
	mean        map[string]time.Duration // by size class
	queue       Queue
	waiting     map[uint64]*simRequest
	holdTime    ServiceTime
	classes     [sizeClasses]ServiceTime
}

type simSource struct {
	account  string
	class    string
	rate     float64 // requests per second
	deadline time.Duration
}

type simRequest struct {
	Request
	stage int
	cost  float64
}

// simAccount counts the results of an account's requests.
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

func newSimulation(seed uint64, a Admission, q Queues, dropEarly bool) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 7)), admission: a, dropEarly: dropEarly, accounts: make(map[string]*simAccount)}
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
	s.lastID++
	heap.Push(&s.events, simEvent{t, s.lastID, run})
}

// run simulates the sources for the given time and all their requests until these
// have ended. It returns the results by account.
func (s *simulation) run(sources []simSource, length time.Duration) map[string]*simAccount {
	end := epoch.Add(length)
	for _, src := range sources {
		if s.accounts[src.account] == nil {
			s.accounts[src.account] = &simAccount{}
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
	return s.accounts
}

func (s *simulation) arrive(now time.Time, src simSource) {
	r := &simRequest{Request: Request{Account: src.account, Weight: 1, Class: src.class, Deadline: now.Add(src.deadline)}}
	var forecasts []StageForecast
	for _, st := range s.stages {
		class := &st.classes[classIndex(src.class)]
		forecasts = append(forecasts, StageForecast{Service: class.Mean(), ServiceHigh: class.High(), Hold: st.holdTime.Mean(),
			Ahead: st.queue.Ahead(st.ticket(0, r)), InFlight: st.used, Capacity: st.slots})
		r.Cost += float64(class.Mean()) / 1e6
	}
	s.accounts[src.account].offered++
	if !s.admission.Admit(now, r.Request, forecasts).Admit {
		return
	}
	s.accounts[src.account].admitted++
	s.enter(now, r)
}

// enter starts a request's call of its stage, or queues it if no call slot is free.
func (s *simulation) enter(now time.Time, r *simRequest) {
	st := s.stages[r.stage]
	if st.used < st.slots && st.queue.Len() == 0 {
		s.start(now, r)
		return
	}
	s.lastID++
	id := s.lastID
	t := st.ticket(id, r)
	t.Needed = st.classes[classIndex(r.Class)].High()
	for _, later := range s.stages[r.stage+1:] {
		t.Needed += later.classes[classIndex(r.Class)].Mean()
	}
	st.queue.Push(now, t)
	st.waiting[id] = r
	drop := r.Deadline
	if s.dropEarly {
		drop = t.LatestStart()
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

// start runs a call, which ends at the latest at its deadline.
func (s *simulation) start(now time.Time, r *simRequest) {
	st := s.stages[r.stage]
	st.used++
	// Half of a call's mean duration is fixed, the other half is exponentially
	// distributed.
	mean := float64(st.mean[r.Class])
	took := time.Duration(mean/2 + s.random.ExpFloat64()*mean/2)
	deadlineExceeded := took > r.Deadline.Sub(now)
	if deadlineExceeded {
		took = max(0, r.Deadline.Sub(now))
	}
	s.at(now.Add(took), func(now time.Time) {
		st.used--
		r.cost += float64(took) / 1e6
		s.accounts[r.Account].work += took
		if !deadlineExceeded {
			st.holdTime.Observe(took)
			st.classes[classIndex(r.Class)].Observe(took)
		}
		s.next(now, r, deadlineExceeded)
		st.queue.Serve(now, func(t Ticket) Offer {
			waiting := st.waiting[t.ID]
			delete(st.waiting, t.ID)
			s.start(now, waiting)
			return OfferTaken
		})
	})
}

func (s *simulation) next(now time.Time, r *simRequest, deadlineExceeded bool) {
	r.stage++
	if deadlineExceeded || r.stage == len(s.stages) {
		s.finish(now, r, !deadlineExceeded)
		return
	}
	s.enter(now, r)
}

func (s *simulation) finish(now time.Time, r *simRequest, served bool) {
	s.admission.Finish(now, r.Request, Finish{Cost: r.cost, Served: served, Late: !served})
	a := s.accounts[r.Account]
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
