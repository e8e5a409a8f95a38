package kernel

// Rank is the place of this instance among the live ones in the rendezvous
// order of a key, from 0. Instances with equal views agree on it, so that one
// of them does what one should do and the next ones step in later.
func (h *Host) Rank(key string) int { return rankOf(h.ID(), liveIDs(h), key) }

// ZoneRank is the Rank among the live instances of this instance's
// availability zone.
func (h *Host) ZoneRank(key string) int {
	ids := []string{h.ID()}
	if h.Membership != nil {
		for _, m := range h.Membership.View().Live() {
			if m.ID != h.ID() && m.Zone == h.Zone() {
				ids = append(ids, m.ID)
			}
		}
	}
	return rankOf(h.ID(), ids, key)
}
