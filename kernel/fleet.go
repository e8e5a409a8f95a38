package kernel

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/savoryfold/savoryfold/config"
)

// fleet keeps the runtime state of pools and servers over revisions.
type fleet struct {
	mu      sync.Mutex
	servers map[serverKey]*Server // guarded by mu
	queues  map[string]*waiters   // by pool; guarded by mu
}

type serverKey struct{ pool, name, address string }

// build makes a snapshot for the tables. It keeps the state of servers that
// stay and forgets those that went. The caller holds mu.
func (f *fleet) build(h *Host, t *config.Tables) *Snapshot {
	now := time.Now()
	old := f.servers
	f.servers = make(map[serverKey]*Server)
	if f.queues == nil {
		f.queues = make(map[string]*waiters)
	}
	snap := &Snapshot{Tables: t, pools: make(map[string]*Pool)}
	for name, pc := range t.Pools {
		p := &Pool{Config: pc, host: h, tables: t}
		for _, sc := range pc.Servers {
			p.Servers = append(p.Servers, f.server(h, old, sc, pc, now))
		}
		if f.queues[name] == nil {
			f.queues[name] = &waiters{queue: h.Decisions.Queues.NewQueue()}
		}
		p.waiters = f.queues[name]
		snap.pools[name] = p
	}
	refresh(h, snap, now)
	return snap
}

func (f *fleet) server(h *Host, old map[serverKey]*Server, c config.Server, pool *config.Pool, now time.Time) *Server {
	key := serverKey{c.Pool, c.Name, c.Address}
	s := old[key]
	if s == nil {
		s = newServer(c, pool, h.Decisions.Limits, now)
	}
	f.servers[key] = s
	return s
}

// refresh works out the allowance of every server of a snapshot.
func refresh(h *Host, snap *Snapshot, now time.Time) {
	live := liveIDs(h)
	for _, p := range snap.pools {
		for _, s := range p.Servers {
			s.refresh(now, h.Decisions.Limits, rankOf(h.ID(), live, s.ID), len(live))
		}
		p.waiters.wake()
	}
}

// liveIDs returns the IDs of the instances that share the servers' limits.
func liveIDs(h *Host) []string {
	ids := []string{h.ID()}
	if h.Membership == nil {
		return ids
	}
	for _, m := range h.Membership.View().Live() {
		if m.ID != h.ID() {
			ids = append(ids, m.ID)
		}
	}
	slices.Sort(ids)
	return ids
}

// rankOf is the place of an instance among the live ones in the rendezvous
// order of a server, from 0.
func rankOf(self string, live []string, server string) int {
	mine := rendezvous(self, server)
	rank := 0
	for _, id := range live {
		weight := rendezvous(id, server)
		if weight > mine || (weight == mine && strings.Compare(id, self) < 0) {
			rank++
		}
	}
	return rank
}

func rendezvous(instance, key string) uint64 {
	return xxhash.Sum64String(instance + "\x00" + key)
}
