package kernel

import (
	"github.com/savoryfold/savoryfold/config"
)

// Snapshot is one revision of the configuration tables, with the runtime state of
// the servers that they list. The set of pools and servers is immutable; a request
// uses one snapshot from its first stage to its last.
type Snapshot struct {
	Tables *config.Tables
	pools  map[string]*Pool
}

// Pool returns the pool with the name, or nil.
func (s *Snapshot) Pool(name string) *Pool { return s.pools[name] }

// Snapshot returns the current snapshot, or nil before the first one.
func (h *Host) Snapshot() *Snapshot { return h.snapshot.Load() }

// OnTables registers a function that is called after new tables became active.
// It must be called during provisioning only.
func (h *Host) OnTables(f func(*config.Tables)) { h.onTables = append(h.onTables, f) }

// SetTables makes tables active, unless their revision is not newer than that of
// the active ones. It reports whether tables of that revision are active now.
func (h *Host) SetTables(t *config.Tables) bool {
	h.runtime.mu.Lock()
	defer h.runtime.mu.Unlock()
	old := h.snapshot.Load()
	if old != nil && t.Revision <= old.Tables.Revision {
		return t.Revision == old.Tables.Revision
	}
	snap := h.runtime.build(h, t)
	h.snapshot.Store(snap)
	h.runtime.exclude(snap, old)
	for _, p := range snap.pools {
		p.slotFreed()
	}
	h.Gauge("config_revision").Update(int64(t.Revision))
	h.Logger.Info("configuration tables active", "revision", t.Revision, "routes", len(t.Routes), "pools", len(t.Pools))
	for _, f := range h.onTables {
		f(t)
	}
	return true
}
