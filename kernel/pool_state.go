package kernel

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/savoryfold/savoryfold/config"
	"github.com/savoryfold/savoryfold/policy"
)

// decayDivisor sets the weight with which an idle server's smoothed call time
// moves towards the pool's mean at each refresh: 1/64. Without this decay a
// server that was slow once would never be chosen again.
const decayDivisor = 64

// poolState is the runtime state of a pool. It is kept across revisions.
type poolState struct {
	waiters *waiters
	reasons reasonCounters
	// freed counts the events that may have freed a call slot.
	freed atomic.Int64
	// capacity is the sum of the usable servers' allowances at the last refresh.
	// It is at least 1 if there is a usable server.
	capacity atomic.Int64

	current atomic.Pointer[Pool] // of the newest snapshot
	ejectMu sync.Mutex           // serializes ejections

	mu       sync.Mutex
	holdTime policy.ServiceTime                 // how long calls of all size classes hold a slot; guarded by mu
	classes  [policy.Classes]policy.ServiceTime // guarded by mu
}

func newPoolState(q policy.Queues) *poolState {
	s := &poolState{waiters: newWaiters(q)}
	s.freed.Store(1)
	return s
}

// observe records the duration of a successful call.
func (s *poolState) observe(sample policy.CallSample) {
	if !sample.OK {
		return
	}
	s.mu.Lock()
	s.holdTime.Observe(sample.Latency)
	s.classes[policy.Class(sample.Class)].Observe(sample.Latency)
	s.mu.Unlock()
}

// callTime returns the mean and a high quantile of the call durations of a size
// class.
func (s *poolState) callTime(class string) (mean, high time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &s.classes[policy.Class(class)]
	return c.Mean(), c.High()
}

// ticket adds the expected duration and cost of a call to a stage's queue ticket.
func (p *Pool) ticket(stage config.Stage, t policy.Ticket) policy.Ticket {
	t.Expected, _ = p.callTime(t.Class)
	t.Cost = milliseconds(t.Expected) * stage.CostWeight
	return t
}

// forecast returns the load and call times of this pool, as input for the
// admission of a request with the ticket.
func (p *Pool) forecast(stage config.Stage, t policy.Ticket) policy.StageForecast {
	f := policy.StageForecast{
		Pool: p.Config.Name, CostWeight: stage.CostWeight,
		Waiting: p.waiters.len(), Capacity: int(p.capacity.Load()),
	}
	for _, s := range p.Servers {
		f.InFlight += int(s.inFlight.Load())
	}
	if p.waiters.hasWaiting() {
		f.Ahead = p.waiters.ahead(p.ticket(stage, t))
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	class := &p.classes[policy.Class(t.Class)]
	f.Service, f.ServiceHigh, f.Hold = class.Mean(), class.High(), p.holdTime.Mean()
	return f
}

// refresh recomputes the servers' allowances and the pool's capacity.
func (p *Pool) refresh(now time.Time, r roster) {
	p.mu.Lock()
	meanHold := p.holdTime.Mean()
	var highCallTime time.Duration
	for i := range p.classes {
		highCallTime = max(highCallTime, p.classes[i].High())
	}
	p.mu.Unlock()
	p.current.Store(p)
	v := p.newView(&slotRequest{})
	defer v.recycle()
	capacity, usable := int64(0), int64(0)
	for _, s := range p.Servers {
		s.refresh(now, p.host.ID(), r, highCallTime)
		s.decayCallTime(meanHold)
		if v.usable(s) {
			capacity += s.allowance.Load()
			usable = 1
		}
	}
	// An instance without a share has capacity 1: it borrows one slot at a time.
	p.capacity.Store(max(capacity, usable))
	p.slotFreed()
}

// slotFreed offers free slots to waiting calls. It must be called after every
// event that may have freed a call slot.
func (p *poolState) slotFreed() {
	p.freed.Add(1)
	p.waiters.dispatch()
}
