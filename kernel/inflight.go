package kernel

// InFlight returns the number of this instance's running calls on the server,
// including the slots that it lends to other instances.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// ZoneInFlight returns the sum of InFlight over the servers of an availability
// zone.
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
