package policy

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// Rendezvous returns the rendezvous hashing weight of a member for a key. The
// member with the highest weight owns the key. Instances that know the same
// members choose the same owner, and when a member leaves, only its keys move.
func Rendezvous(key, member string) uint64 {
	return mix(xxhash.Sum64String(key) ^ mix(xxhash.Sum64String(member)))
}

// fractionBits is the number of hash bits that are converted to a fraction: the
// precision of a float64.
const fractionBits = 53

// WeightedRendezvous is Rendezvous for members of unequal capacity: a member's
// share of the keys is proportional to its capacity. Capacities below 1 count as
// 1.
func WeightedRendezvous(key, member string, capacity float64) float64 {
	fraction := (float64(Rendezvous(key, member)>>(64-fractionBits)) + 0.5) / (1 << fractionBits)
	return -max(capacity, 1) / math.Log(fraction)
}
