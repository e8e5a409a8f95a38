package serverrates

import (
	"time"

	"github.com/savoryfold/savoryfold/catalog"
	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/policy"
)

// ObservePause implements kernel.ServerRates.
func (m *Rates) ObservePause(server *catalog.Server, s policy.PauseStatement) {
	if s.Err != nil {
		m.host.Counter(`server_pauses_invalid{service="` + server.Service + `"}`).Inc(1)
		m.host.Logger.Warn("server states an invalid pause", "server", server.ID, "service", server.Service, "used", s.Length, "error", s.Err)
	}
	if s.Length <= 0 {
		return
	}
	if known := (*m.servers.Load())[server.ID]; known != nil && known.server.StartUnixMilli > server.StartUnixMilli {
		return // a late response of an earlier start
	}
	r := m.add(server)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.usedAt = s.Received
	if !r.pause.Observe(s) {
		return
	}
	r.pausing = true
	m.host.Counter(`server_pauses{service="` + server.Service + `"}`).Inc(1)
	m.host.Logger.Info("server asks for a pause", "server", server.ID, "service", server.Service, "for", s.Length, "running", s.Running, "source", "response")
}

// pauseWait returns how long a server wants no request because of a pause.
func (m *Rates) pauseWait(now time.Time, q kernel.TurnRequest) time.Duration {
	r := m.lookup(q.Server)
	if r == nil {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pause.Wait(now, q.Running)
}

// endPause logs the end of a pause, and reports whether the server pauses. The caller holds
// the server's mu.
func (m *Rates) endPause(now time.Time, r *serverRate) bool {
	if r.pausing && !r.pause.Active(now) {
		r.pausing = false
		m.host.Logger.Info("pause of a server has ended", "server", r.server.ID, "service", r.server.Service, "ended_ago", now.Sub(r.pause.Until()))
	}
	return r.pausing
}
