package kernel

// InFlight returns the number of this instance's calls on the server.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// ZoneInFlight returns the number of this instance's calls on the servers of an
// availability zone.
func (s *Snapshot) ZoneInFlight(zone string) int64 {
	var n int64
	for _, p := range s.pools {
		for _, server := range p.Servers {
			if server.Config.Zone == zone {
				n += server.InFlight()
			}
		}
	}
	return n
}
