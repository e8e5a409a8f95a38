package kernel

// runs reports whether the server runs a version: the tables list it with that
// version, and its last load report, if it names a version, confirms it. Otherwise
// the answers of a server that has not loaded the version yet would count as
// evidence for the version.
func (s *Server) runs(version string) bool {
	if s.Config.Version != version {
		return false
	}
	r := s.report.Load()
	return r == nil || r.Version == "" || r.Version == version
}
