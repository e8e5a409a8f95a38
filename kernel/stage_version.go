package kernel

import (
	"time"

	"github.com/savoryfold/savoryfold/config"
	"github.com/savoryfold/savoryfold/policy"
)

// observeVersion reports the result of a call to the Versions module, for the
// version of the server.
func (s *stageRun) observeVersion(now time.Time, done finishedCall) {
	v := s.host.Versions
	if v == nil || !s.pool.Config.Versioned {
		return
	}
	v.Observe(now, s.route.Name, done.server.Config.Version, policy.MoveCall{
		OK: done.sample.OK, Latency: done.sample.Latency, Cold: done.server.cold.Load(),
		Load: loadOf(done.server, done.sample.InFlight),
	})
}

// loadOf returns the fraction of a server's allowance that is in use.
func loadOf(server *Server, inFlight int) float64 {
	return float64(inFlight) / float64(max(1, server.allowance.Load()))
}

// nextVersion chooses the version for retries after a call failed on the server.
// A stream that has begun stays with its version, since the retry continues the
// text where the first call ended. Until the completion time of a version
// rollout, retries fall back from the new version to the old one, so that callers
// do not see the new version's faults.
func (s *stageRun) nextVersion(server *Server) {
	if s.call.Events != nil && s.call.Events.LastID() != "" {
		s.slotReq.version = server.Config.Version
		return
	}
	m := s.route.Move
	if m == nil || !time.Now().Before(m.CompleteBy) || s.slotReq.version != m.To || s.ranVersioned() || !s.pool.HasServer(m.From) {
		return
	}
	s.slotReq.version = m.From
	s.version = m.From
}

// ranVersioned reports whether an earlier stage ran on a versioned pool. All
// stages of a request use the same version.
func (s *stageRun) ranVersioned() bool {
	for _, earlier := range s.route.Stages {
		if earlier.Name == s.stage.Name {
			break
		}
		if s.versioned(earlier) {
			return true
		}
	}
	return false
}

func (s *stageRun) versioned(stage config.Stage) bool {
	return s.snap.Pool(stage.Pool).Config.Versioned
}
