package kernel

import (
	"time"

	"github.com/savoryfold/savoryfold/policy"
)

// reasonEjected counts ejections of servers, reasonSpared those that would have
// left out too many.
const (
	reasonEjected policy.Reason = "server-ejected"
	reasonSpared  policy.Reason = "server-spared"
)

// judge ejects the server if a call showed it to be an outlier.
func (s *Server) judge(now time.Time, sample policy.CallSample) {
	s.mu.Lock()
	outlier := s.ejector.Observe(now, sample)
	s.mu.Unlock()
	if outlier {
		s.pool.eject(now, s)
	}
}

// eject leaves a server out for a while, unless that leaves too few of the pool
// or of the server's version.
func (s *poolState) eject(now time.Time, server *Server) {
	s.ejectMu.Lock()
	defer s.ejectMu.Unlock()
	p := s.current.Load()
	if p == nil || server.ejected.Load() > now.UnixNano() {
		return
	}
	if !p.mayEject(now, "") || !p.mayEject(now, server.Config.Version) {
		s.reasons.count(reasonSpared)
		return
	}
	server.mu.Lock()
	until := server.ejector.Eject(now)
	server.mu.Unlock()
	server.ejected.Store(until.UnixNano())
	s.reasons.count(reasonEjected)
	p.host.Logger.Warn("backend server ejected", "server", server.ID, "until", until.UTC())
}

// mayEject reports whether one more server of a version, or of any if it is "",
// may be left out.
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
