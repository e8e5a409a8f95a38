package kernel

import (
	"cmp"
	"slices"

	"github.com/savoryfold/savoryfold/policy"
)

// FleetOwner returns the eligible member that owns a key, by weighted rendezvous
// hashing. Instances that know the same members agree on the owner, and each
// member owns a share of the keys proportional to its capacity. The result has an
// empty ID if no member is eligible.
func FleetOwner(key string, members []FleetMember, eligible func(FleetMember) bool) FleetMember {
	var best FleetMember
	var weight float64
	for _, m := range members {
		if !eligible(m) {
			continue
		}
		if w := policy.WeightedRendezvous(key, m.ID, m.Capacity); w > weight {
			best, weight = m, w
		}
	}
	return best
}

// FleetRanking returns the members in the rendezvous order of a key, those of a zone
// first. Instances that know the same members agree on it.
func FleetRanking(key, zone string, members []FleetMember) []FleetMember {
	type ranked struct {
		FleetMember
		weight float64
	}
	all := make([]ranked, len(members))
	for i, m := range members {
		all[i] = ranked{m, policy.WeightedRendezvous(key, m.ID, m.Capacity)}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		if (a.Zone == zone) != (b.Zone == zone) {
			if a.Zone == zone {
				return -1
			}
			return 1
		}
		return cmp.Compare(b.weight, a.weight)
	})
	ranking := make([]FleetMember, len(all))
	for i, m := range all {
		ranking[i] = m.FleetMember
	}
	return ranking
}
