package kernel

import (
	"github.com/savoryfold/savoryfold/config"
)

// Snapshot is one revision of the tables with the runtime state of the servers
// that they name. It is immutable; a request uses one from first to last.
type Snapshot struct {
	Tables *config.Tables
	pools  map[string]*Pool
}

// Pool returns the pool with the name, or nil.
func (s *Snapshot) Pool(name string) *Pool { return s.pools[name] }

// Snapshot returns the snapshot in force, or nil before the first one.
func (h *Host) Snapshot() *Snapshot { return h.snapshot.Load() }

// OnTables registers a function that is called after tables were put in force.
// It is called during provisioning only.
func (h *Host) OnTables(f func(*config.Tables)) { h.onTables = append(h.onTables, f) }

// SetTables puts tables in force. Older tables than those in force are ignored,
// and SetTables reports whether the tables are in force now.
func (h *Host) SetTables(t *config.Tables) bool {
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	old := h.snapshot.Load()
	if old != nil && t.Revision <= old.Tables.Revision {
		return t.Revision == old.Tables.Revision
	}
	snap := h.fleet.build(h, t)
	h.snapshot.Store(snap)
	h.fleet.exclude(snap, old)
	for _, p := range snap.pools {
		p.slotFreed()
	}
	h.Gauge("config_revision").Update(int64(t.Revision))
	h.Logger.Info("tables in force", "revision", t.Revision, "routes", len(t.Routes), "pools", len(t.Pools))
	for _, f := range h.onTables {
		f(t)
	}
	return true
}
