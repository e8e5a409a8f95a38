package kernel

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"

	"github.com/savoryfold/savoryfold/config"
	"github.com/savoryfold/savoryfold/policy"
)

// Pool is one pool of a snapshot.
type Pool struct {
	Config *config.Pool
	// Servers holds the servers of the instance's own availability zone first.
	Servers []*Server
	locals  int      // number of servers in the instance's own zone
	ids     []uint64 // hashes of the servers' IDs, by index
	host    *Host
	tables  *config.Tables
	// fullAtFreed is the value of freed at which a call that accepts any server
	// last found no slot. While freed has not changed, another try is useless.
	fullAtFreed atomic.Int64
	*poolState
}

// slotRequest describes the call slot that a stage call needs from a pool.
type slotRequest struct {
	ticket  policy.Ticket
	call    policy.Call
	version string
	tried   []string // IDs of servers on which the stage has failed
}

// anyServer reports whether the request accepts every server.
func (req *slotRequest) anyServer() bool { return req.version == "" && len(req.tried) == 0 }

// newPool builds a pool of a snapshot. The servers' allowances are set later, by
// refresh.
func newPool(h *Host, t *config.Tables, c *config.Pool, state *poolState, servers []*Server) *Pool {
	p := &Pool{Config: c, Servers: servers, host: h, tables: t, poolState: state}
	slices.SortStableFunc(p.Servers, func(a, b *Server) int {
		return p.distance(a) - p.distance(b)
	})
	served := make(servedZones)
	for _, s := range p.Servers {
		if !s.Config.Leaving && !t.ZoneOut(s.Config.Zone) {
			served[s.Config.Zone] = true
		}
	}
	for _, s := range p.Servers {
		s.pool = state
		s.home = home{s.Config.Zone, &served}
		p.locals += 1 - p.distance(s)
		p.ids = append(p.ids, s.hash)
	}
	return p
}

// distance returns 0 for a server in the instance's own zone, else 1.
func (p *Pool) distance(s *Server) int {
	if s.Config.Zone == p.host.Zone() {
		return 0
	}
	return 1
}

// acquire takes a call slot on the server that placement chooses. While none is
// free it waits in the pool's queue and periodically tries to borrow one. It
// returns nil when the context ends or the call can no longer finish in time.
func (p *Pool) acquire(ctx context.Context, req *slotRequest) *Server {
	if !p.waiters.hasWaiting() {
		if s := p.tryAcquire(req); s != nil {
			return s
		}
	}
	return p.waiters.wait(ctx, p, req)
}

// tryAcquire takes a call slot if one is free now, or returns nil.
func (p *Pool) tryAcquire(req *slotRequest) *Server {
	freed := p.freed.Load()
	if p.fullAtFreed.Load() == freed && req.anyServer() {
		return nil
	}
	v := p.newView(req)
	defer v.recycle()
	for range len(p.Servers) + 1 {
		choice := p.choose(req, v)
		if choice.Index == policy.NoServer {
			p.reasons.count(choice.Reason)
			if req.anyServer() {
				p.fullAtFreed.Store(freed)
			}
			return nil
		}
		if s := p.Servers[choice.Index]; s.acquire() {
			p.reasons.count(choice.Reason)
			return s
		}
	}
	return nil
}

// choose asks placement for a server. It prefers servers on which the stage has
// not failed, and accepts any other if there is none.
func (p *Pool) choose(req *slotRequest, v *placementView) policy.Choice {
	call := req.call
	call.Random = rand.Uint64()
	placement := p.host.Decisions.Placement
	choice := placement.Choose(v.time, call, v)
	if choice.Index == policy.NoServer && len(req.tried) > 0 && !v.allowTried {
		v.allowTried = true
		choice = placement.Choose(v.time, call, v)
	}
	return choice
}

// release returns a call slot and offers it to waiting calls.
func (p *Pool) release(s *Server) {
	s.release()
	p.slotFreed()
}

// HasServer reports whether any server of the pool may get calls of a version.
func (p *Pool) HasServer(version string) bool {
	v := p.newView(&slotRequest{version: version})
	defer v.recycle()
	return slices.ContainsFunc(p.Servers, v.usable)
}

// isCurrent reports whether the pool belongs to the current snapshot.
func (p *Pool) isCurrent() bool { return p.host.Snapshot().Pool(p.Config.Name) == p }

// successor returns the pool itself if one of its servers may get the call, else
// the pool of the same name in the current snapshot: operators may have replaced
// all servers while the request was in progress. It reports whether the returned
// pool has a server for the call.
func (p *Pool) successor(req *slotRequest) (*Pool, bool) {
	for !p.HasServer(req.version) {
		now := p.host.Snapshot().Pool(p.Config.Name)
		if now == nil || now == p || now.poolState != p.poolState {
			return p, false
		}
		p = now
	}
	return p, true
}
