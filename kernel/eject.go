package kernel

import (
	"time"

	"github.com/savoryfold/savoryfold/policy"
)

// reasonEjected counts ejections of servers, reasonEjectionCapped those that were
// suppressed because too many servers would have been ejected.
const (
	reasonEjected        policy.Reason = "server-ejected"
	reasonEjectionCapped policy.Reason = "server-spared"
)

// checkOutlier ejects the server if a call shows that it is an outlier.
func (s *Server) checkOutlier(now time.Time, sample policy.CallSample) {
	s.mu.Lock()
	outlier := s.ejector.Observe(now, sample)
	s.mu.Unlock()
	if outlier {
		s.pool.eject(now, s)
	}
}

// eject ejects a server temporarily, unless too few servers of the pool or of the
// server's version would remain.
func (s *poolState) eject(now time.Time, server *Server) {
	s.ejectMu.Lock()
	defer s.ejectMu.Unlock()
	p := s.current.Load()
	if p == nil || server.ejected.Load() > now.UnixNano() {
		return
	}
	if !p.mayEject(now, "") || !p.mayEject(now, server.Config.Version) {
		s.reasons.count(reasonEjectionCapped)
		return
	}
	server.mu.Lock()
	until := server.ejector.Eject(now)
	server.mu.Unlock()
	server.ejected.Store(until.UnixNano())
	s.reasons.count(reasonEjected)
	p.host.Logger.Warn("backend server ejected", "server", server.ID, "until", until.UTC())
}

// mayEject reports whether one more server of a version, or of any version if it
// is "", may be ejected.
func (p *Pool) mayEject(now time.Time, version string) bool {
	ejected, group := 0, 0
	for _, s := range p.Servers {
		if s.excluded.Load() || (version != "" && s.Config.Version != version) {
			continue
		}
		group++
		if s.ejected.Load() > now.UnixNano() {
			ejected++
		}
	}
	return p.host.Decisions.ejections().Allowed(ejected, group)
}
