package kernel

// runs reports whether the server runs a version: the tables list it with that
// version, and its last load report, if it names a version, confirms it. Without
// the second check, the answers of a server that still runs the old version would
// be counted for the new one when a rollout is judged.
func (s *Server) runs(version string) bool {
	if s.Config.Version != version {
		return false
	}
	r := s.report.Load()
	return r == nil || r.Version == "" || r.Version == version
}
