package discovery

import (
	"time"

	"github.com/savoryfold/savoryfold/catalog"
)

// maxLeaving bounds the servers of which it is kept that they have stated to leave. Their
// statements come with each response, so that one that is dropped is soon known again.
const maxLeaving = 4096

// ServerLeaves implements kernel.Catalogs. Every response of a leaving server says so, and
// all but the first take no lock.
func (d *Discovery) ServerLeaves(server *catalog.Server) {
	if start, ok := d.stated.Load(server.ID); ok && start.(int64) >= server.StartUnixMilli {
		return
	}
	d.update(func(s *state) bool {
		if !s.markLeaving(server) {
			return false
		}
		d.noteLeaving(s)
		d.host.Counter(`servers_stated_leaving{service="` + server.Service + `"}`).Inc(1)
		d.host.Logger.Info("server states that it leaves", "server", server.ID, "service", server.Service, "born", server.StartUnixMilli,
			"entry_age", time.Since(server.FirstSeen), "source", "response")
		return true
	})
}

// noteLeaving makes the leaving servers known to ServerLeaves and to operators. The caller
// holds mu.
func (d *Discovery) noteLeaving(s *state) {
	d.stated.Clear()
	for id, start := range s.leaving {
		d.stated.Store(id, start)
	}
	d.host.Gauge("servers_stated_leaving_now").Update(int64(len(s.leaving)))
}

// markLeaving records that a start of a server leaves, and reports whether that is news.
func (s *state) markLeaving(server *catalog.Server) bool {
	known := s.servers[server.ID]
	if start, ok := s.leaving[server.ID]; ok && start >= server.StartUnixMilli || known != nil && known.StartUnixMilli > server.StartUnixMilli {
		return false
	}
	for id := range s.leaving {
		if len(s.leaving) < maxLeaving {
			break
		}
		delete(s.leaving, id)
	}
	s.leaving[server.ID] = server.StartUnixMilli
	if known != nil && known.StartUnixMilli == server.StartUnixMilli {
		leaving := *known
		leaving.Draining = true
		s.servers[server.ID] = &leaving
	}
	return true
}

// applyLeaving applies what a server has stated to its entry, and reports whether the entry
// shows that it has started again.
func (s *state) applyLeaving(server *catalog.Server) (started bool) {
	start, ok := s.leaving[server.ID]
	switch {
	case !ok || server.StartUnixMilli < start:
		return false
	case server.StartUnixMilli == start:
		server.Draining = true
		return false
	}
	delete(s.leaving, server.ID)
	return true
}
