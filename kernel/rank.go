package kernel

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rank is the place of this instance among the live ones in the rendezvous
// order of a key, from 0. Instances with equal views agree on it, so that one
// of them does what one should do and the next ones step in later.
func (h *Host) Rank(key string) int { return rankAmong(h.ID(), liveSharers(h), key) }

// ZoneRank is the Rank among the live instances of this instance's
// availability zone.
func (h *Host) ZoneRank(key string) int {
	live := slices.DeleteFunc(liveSharers(h), func(m sharer) bool { return m.zone != h.Zone() })
	return rankAmong(h.ID(), live, key)
}

// First returns the first live members in the rendezvous order of a key, at
// most n. The instance itself is among the members.
func (h *Host) First(key string, n int) []Member {
	if h.Membership == nil {
		return nil
	}
	hash := xxhash.Sum64String(key)
	live := h.Membership.View().Live()
	slices.SortFunc(live, func(a, b Member) int {
		return before(newSharer(a.ID, a.Zone), newSharer(b.ID, b.Zone), home{}, hash)
	})
	return live[:min(n, len(live))]
}

// rankAmong is the rank of an instance in the rendezvous order of a key.
func rankAmong(self string, live []sharer, key string) int {
	r := roster{list: live}
	return r.rank(self, home{}, xxhash.Sum64String(key))
}
