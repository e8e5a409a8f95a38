package stages

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/savoryfold/savoryfold/internal/backoff"
	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/policy"
)

const (
	// avoidTime is how long an instance that did not answer is no dispatcher.
	avoidTime = time.Second
	// queryAfter is the time without an answer after which a dispatcher that
	// has work of this instance is asked how it is. Under load it keeps a stage
	// for long, but answers this at once.
	queryAfter = 150 * time.Millisecond
	// queryTimeout bounds such a question.
	queryTimeout = 400 * time.Millisecond
)

// peers knows the dispatchers that do work for this instance.
type peers struct {
	avoided backoff.Avoided // instances that did not answer
	mu      sync.Mutex
	links   map[groupKey]*peerLink // guarded by mu
	reach   policy.ZoneReach       // guarded by mu
}

// peerLink is the work that a dispatcher does for this instance. Its context
// ends when the dispatcher turns out to be out of reach.
type peerLink struct {
	owner       kernel.FleetMember
	ctx         context.Context
	cancel      context.CancelFunc
	outstanding int
	heard       time.Time // when it answered last, or got work while it had none
	querying    bool
}

// failed notes that an instance did not answer, and reports whether its zone now
// counts as cut off and did not before.
func (p *peers) failed(m kernel.FleetMember) bool {
	now := time.Now()
	p.avoided.Add(m.ID, now.Add(avoidTime))
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.reach.Cut(now, m.Zone)
	p.reach.Failed(now, m.Zone, m.ID)
	return !before && p.reach.Cut(now, m.Zone)
}

// lost notes that a dispatcher did not answer.
func (s *Stages) lost(m kernel.FleetMember) {
	if s.peers.failed(m) && m.Zone != s.host.Zone() {
		s.host.Counter(`zones_out_of_reach{zone="` + m.Zone + `"}`).Inc(1)
		s.host.Logger.Warn("availability zone out of reach, stage work goes elsewhere", "zone", m.Zone, "last", m.ID)
	}
}

// cut returns the zones among those of the members that seem to be out of reach.
// The own zone never is: whoever is silent there has died.
func (p *peers) cut(now time.Time, own string, members []kernel.FleetMember) map[string]bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	var zones map[string]bool
	for _, m := range members {
		if m.Zone != own && !zones[m.Zone] && p.reach.Cut(now, m.Zone) {
			if zones == nil {
				zones = make(map[string]bool)
			}
			zones[m.Zone] = true
		}
	}
	return zones
}

// begin counts a stage that is given to a dispatcher. The returned context ends
// with the request or when the dispatcher is out of reach; done is called at
// the end of the stage.
func (p *peers) begin(ctx context.Context, now time.Time, key groupKey, owner kernel.FleetMember) (context.Context, func()) {
	p.mu.Lock()
	l := p.links[key]
	if l == nil || l.owner.ID != owner.ID || l.ctx.Err() != nil {
		l = &peerLink{owner: owner}
		l.ctx, l.cancel = context.WithCancel(context.Background())
		p.links[key] = l
	}
	if l.outstanding == 0 {
		l.heard = now
	}
	l.outstanding++
	p.mu.Unlock()
	limited, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(l.ctx, cancel)
	return limited, func() {
		stop()
		cancel()
		p.mu.Lock()
		l.outstanding--
		p.mu.Unlock()
	}
}

// heard notes an answer of a group's dispatcher.
func (s *Stages) heard(key groupKey, owner kernel.FleetMember, answer dispatchAnswer) {
	now := time.Now()
	s.waits.Store(key, &forecast{waits: kernel.StageForecast{InTime: answer.InTime, Late: answer.Late}, at: now})
	s.peers.mu.Lock()
	defer s.peers.mu.Unlock()
	if s.peers.reach.Cut(now, owner.Zone) && owner.Zone != s.host.Zone() {
		s.host.Logger.Info("availability zone within reach again", "zone", owner.Zone, "instance", owner.ID)
	}
	s.peers.reach.Reached(owner.Zone)
	if l := s.peers.links[key]; l != nil {
		l.heard = now
	}
}

// queryPeers asks the dispatchers how they are that have work of this instance
// and did not answer lately.
func (s *Stages) queryPeers(ctx context.Context, now time.Time) {
	s.peers.mu.Lock()
	defer s.peers.mu.Unlock()
	for key, l := range s.peers.links {
		if l.outstanding == 0 || l.querying || now.Sub(l.heard) < queryAfter || l.ctx.Err() != nil {
			continue
		}
		l.querying = true
		s.done.Go(func() { s.query(ctx, key, l) })
	}
}

// query asks a dispatcher how it is. If it does not answer, the work that it
// has is done elsewhere.
func (s *Stages) query(ctx context.Context, key groupKey, l *peerLink) {
	body, err := cbor.Marshal(dispatchRequest{Group: key.service, Zone: key.zone})
	if err != nil {
		panic("stages: query: " + err.Error())
	}
	limited, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	answer, err := s.exchange(limited, l.owner.Address, body)
	if err == nil {
		s.heard(key, l.owner, answer)
	}
	s.peers.mu.Lock()
	l.querying = false
	stages := l.outstanding
	s.peers.mu.Unlock()
	if err == nil || ctx.Err() != nil {
		return
	}
	s.host.Logger.Warn("dispatcher out of reach", "dispatcher", l.owner.ID, "service", key.service, "zone", key.zone, "stages", stages, "error", err)
	s.lost(l.owner)
	l.cancel()
}
