package kernel

// runs reports whether the server runs a version: the tables say so, and its
// last load report, if it tells a version, says the same. A server that still
// has to load the version would prove it with the answers of another.
func (s *Server) runs(version string) bool {
	if s.Config.Version != version {
		return false
	}
	r := s.report.Load()
	return r == nil || r.Version == "" || r.Version == version
}
