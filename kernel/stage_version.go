package kernel

import "github.com/savoryfold/savoryfold/config"

// nextVersion chooses the version for further calls of the stage after one that
// failed on the server. A stream that has begun stays with its version, whose
// text goes on where the first call ended. During a version move the old
// version takes over from the new one, so that callers do not see its faults.
func (s *stageRun) nextVersion(server *Server) {
	if s.call.Events != nil && s.call.Events.LastID() != "" {
		s.want.version = server.Config.Version
		return
	}
	m := s.route.Move
	if m == nil || s.want.version != m.To || s.ranVersioned() || !s.pool.hasServer(m.From) {
		return
	}
	s.want.version = m.From
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
