package kernel

import "github.com/savoryfold/savoryfold/policy"

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
