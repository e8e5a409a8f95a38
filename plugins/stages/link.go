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
	// dispatcherCooldown is how long an instance that did not respond is not
	// chosen as dispatcher.
	dispatcherCooldown = time.Second
	// probeAfter is the time without a response after which a dispatcher that
	// runs stages for this instance is probed. Under load a stage takes long,
	// but a dispatcher responds to a probe at once.
	probeAfter = 150 * time.Millisecond
	// probeTimeout bounds a probe.
	probeTimeout = 400 * time.Millisecond
)

// peers tracks the dispatchers that run stages for this instance.
type peers struct {
	coolDowns backoff.CoolDowns // instances that did not respond
	mu        sync.Mutex
	links     map[groupKey]*peerLink // guarded by mu
	reach     policy.ZoneReach       // guarded by mu
}

// peerLink tracks the stages that a dispatcher runs for this instance. Its
// context ends when the dispatcher is found unreachable.
type peerLink struct {
	owner        kernel.FleetMember
	ctx          context.Context
	cancel       context.CancelFunc
	outstanding  int
	lastResponse time.Time // or the start of the first outstanding stage, if later
	probing      bool
}

// recordFailure records that an instance did not respond, and reports whether
// its zone has become unreachable as a result.
func (p *peers) recordFailure(m kernel.FleetMember) bool {
	now := time.Now()
	p.coolDowns.Add(m.ID, now.Add(dispatcherCooldown))
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.reach.Unreachable(now, m.Zone)
	p.reach.Failed(now, m.Zone, m.ID)
	return !before && p.reach.Unreachable(now, m.Zone)
}

// dispatcherFailed records that a dispatcher did not respond.
func (s *Stages) dispatcherFailed(m kernel.FleetMember) {
	if s.peers.recordFailure(m) && m.Zone != s.host.Zone() {
		s.host.Counter(`zones_out_of_reach{zone="` + m.Zone + `"}`).Inc(1)
		s.host.Logger.Warn("availability zone unreachable, sending its stages to other zones", "zone", m.Zone, "last_failed", m.ID)
	}
}

// unreachableZones returns the zones of the members that appear unreachable.
// The local zone is never one of them: an instance that does not respond within
// the zone has itself failed.
func (p *peers) unreachableZones(now time.Time, localZone string, members []kernel.FleetMember) map[string]bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	var zones map[string]bool
	for _, m := range members {
		if m.Zone != localZone && !zones[m.Zone] && p.reach.Unreachable(now, m.Zone) {
			if zones == nil {
				zones = make(map[string]bool)
			}
			zones[m.Zone] = true
		}
	}
	return zones
}

// begin counts a stage that is sent to a dispatcher. The returned context ends
// with the request or when the dispatcher is found unreachable. The returned
// function must be called at the end of the stage.
func (p *peers) begin(ctx context.Context, now time.Time, key groupKey, owner kernel.FleetMember) (context.Context, func()) {
	p.mu.Lock()
	l := p.links[key]
	if l == nil || l.owner.ID != owner.ID || l.ctx.Err() != nil {
		l = &peerLink{owner: owner}
		l.ctx, l.cancel = context.WithCancel(context.Background())
		p.links[key] = l
	}
	if l.outstanding == 0 {
		l.lastResponse = now
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

// recordResponse records a response of a group's dispatcher and the forecast in
// it.
func (s *Stages) recordResponse(key groupKey, owner kernel.FleetMember, response dispatchResponse) {
	now := time.Now()
	s.forecasts.Store(key, &forecast{waits: kernel.StageForecast{InTime: response.InTime, Late: response.Late}, at: now})
	s.peers.mu.Lock()
	defer s.peers.mu.Unlock()
	if s.peers.reach.Unreachable(now, owner.Zone) && owner.Zone != s.host.Zone() {
		s.host.Logger.Info("availability zone reachable again", "zone", owner.Zone, "instance", owner.ID)
	}
	s.peers.reach.Reached(owner.Zone)
	if l := s.peers.links[key]; l != nil {
		l.lastResponse = now
	}
}

// probeDispatchers probes the dispatchers that run stages for this instance and
// have not responded for probeAfter.
func (s *Stages) probeDispatchers(ctx context.Context, now time.Time) {
	s.peers.mu.Lock()
	defer s.peers.mu.Unlock()
	for key, l := range s.peers.links {
		if l.outstanding == 0 || l.probing || now.Sub(l.lastResponse) < probeAfter || l.ctx.Err() != nil {
			continue
		}
		l.probing = true
		s.done.Go(func() { s.probe(ctx, key, l) })
	}
}

// probe checks whether a dispatcher responds. If it does not, the stages sent
// to it are run elsewhere.
func (s *Stages) probe(ctx context.Context, key groupKey, l *peerLink) {
	body, err := cbor.Marshal(dispatchRequest{Service: key.service, Zone: key.zone})
	if err != nil {
		panic("stages: encode probe: " + err.Error())
	}
	limited, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	response, err := s.exchange(limited, l.owner.Address, body)
	if err == nil {
		s.recordResponse(key, l.owner, response)
	}
	s.peers.mu.Lock()
	l.probing = false
	stages := l.outstanding
	s.peers.mu.Unlock()
	if err == nil || ctx.Err() != nil {
		return
	}
	s.host.Logger.Warn("dispatcher unreachable, running its stages elsewhere", "dispatcher", l.owner.ID, "service", key.service, "zone", key.zone, "stages", stages, "error", err)
	s.dispatcherFailed(l.owner)
	l.cancel()
}
