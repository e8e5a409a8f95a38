package kernel

import "github.com/savoryfold/savoryfold/policy"

// FleetOwner returns the member that does for all what the key names, among
// those that may: instances that know the same members agree on it, and a member
// gets as large a part of the keys as its capacity is. It has no ID if none may.
func FleetOwner(key string, members []FleetMember, may func(FleetMember) bool) FleetMember {
	var best FleetMember
	var weight float64
	for _, m := range members {
		if !may(m) {
			continue
		}
		if w := policy.WeightedRendezvous(key, m.ID, m.Capacity); w > weight {
			best, weight = m, w
		}
	}
	return best
}
