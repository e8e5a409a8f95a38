package kernel

import (
	"sync"
	"time"

	"github.com/savoryfold/savoryfold/config"
)

// runtimeState keeps the runtime state of pools and servers across revisions.
type runtimeState struct {
	mu      sync.Mutex
	servers map[serverKey]*serverState // guarded by mu
	pools   map[string]*poolState      // by name; guarded by mu
	sharers sharers
}

type serverKey struct{ pool, name, address string }

// build makes a snapshot for the configuration tables. It keeps the state of
// servers and pools that are still listed and drops that of the others. The
// caller holds mu.
func (rt *runtimeState) build(h *Host, t *config.Tables) *Snapshot {
	now := time.Now()
	oldServers, oldPools := rt.servers, rt.pools
	rt.servers = make(map[serverKey]*serverState)
	rt.pools = make(map[string]*poolState)
	snap := &Snapshot{Tables: t, pools: make(map[string]*Pool)}
	for name, pc := range t.Pools {
		state := oldPools[name]
		if state == nil {
			state = newPoolState(h.Decisions.Queues)
		}
		rt.pools[name] = state
		servers := make([]*Server, 0, len(pc.Servers))
		for _, sc := range pc.Servers {
			servers = append(servers, rt.server(h, oldServers, sc, pc, now))
		}
		snap.pools[name] = newPool(h, t, pc, state, servers)
	}
	rt.refresh(h, snap, now)
	return snap
}

// exclude blocks new calls on servers that were removed from the tables, are
// leaving or are in a zone taken out of service, including calls of requests on
// older snapshots. It runs after the new snapshot is published, so that a request
// whose own snapshot has only excluded servers finds the new ones. The caller
// holds mu.
func (rt *runtimeState) exclude(snap, old *Snapshot) {
	for _, p := range snap.pools {
		for _, s := range p.Servers {
			s.excluded.Store(s.Config.Leaving || snap.Tables.ZoneOut(s.Config.Zone))
		}
	}
	if old == nil {
		return
	}
	for _, p := range old.pools {
		for _, s := range p.Servers {
			key := serverKey{s.Config.Pool, s.Config.Name, s.Config.Address}
			if rt.servers[key] != s.serverState {
				s.excluded.Store(true)
			}
		}
	}
}

func (rt *runtimeState) server(h *Host, old map[serverKey]*serverState, c config.Server, pool *config.Pool, now time.Time) *Server {
	key := serverKey{c.Pool, c.Name, c.Address}
	s := old[key]
	if s == nil {
		s = newServerState(c, pool, &h.Decisions, now)
	}
	s.configure(pool)
	rt.servers[key] = s
	return &Server{Config: c, serverState: s}
}

// refresh recomputes the allowance of every server of a snapshot.
func (rt *runtimeState) refresh(h *Host, snap *Snapshot, now time.Time) {
	settle := h.Settings.Duration("instance", "settle")
	roster := rt.sharers.update(now, limitSharers(h), settle)
	for _, p := range snap.pools {
		p.refresh(now, roster)
	}
}
