package kernel

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rank returns the position, from 0, of this instance among the live ones in the
// rendezvous order of a key. Instances with equal membership views agree on it,
// so that rank 0 can perform a singleton task and the next ranks take over if it
// does not.
func (h *Host) Rank(key string) int { return rankAmong(h.ID(), liveSharers(h), key) }

// ZoneRank is like Rank, among the live instances of this instance's
// availability zone only.
func (h *Host) ZoneRank(key string) int {
	live := slices.DeleteFunc(liveSharers(h), func(m sharer) bool { return m.zone != h.Zone() })
	return rankAmong(h.ID(), live, key)
}

// FirstRanked returns the first n live members, or all if there are fewer, in the
// rendezvous order of a key. This instance is one of the candidates.
func (h *Host) FirstRanked(key string, n int) []Member {
	if h.Membership == nil {
		return nil
	}
	hash := xxhash.Sum64String(key)
	live := h.Membership.View().Live()
	slices.SortFunc(live, func(a, b Member) int {
		return compareSharers(newSharer(a.ID, a.Zone), newSharer(b.ID, b.Zone), home{}, hash)
	})
	return live[:min(n, len(live))]
}

// rankAmong returns the rank of an instance in the rendezvous order of a key.
func rankAmong(self string, live []sharer, key string) int {
	r := roster{list: live}
	return r.rank(self, home{}, xxhash.Sum64String(key))
}
