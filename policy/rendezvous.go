package policy

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// Rendezvous is the weight of a member for a key. All who know the same members
// find the same one with the highest weight, and only the keys of a member that
// leaves move.
func Rendezvous(key, member string) uint64 {
	return mix(xxhash.Sum64String(key) ^ mix(xxhash.Sum64String(member)))
}

// fractionBits is the number of bits of a hash that make a fraction.
const fractionBits = 53

// WeightedRendezvous is Rendezvous for members of unequal capacity: a member
// gets as large a part of the keys as its capacity is of all.
func WeightedRendezvous(key, member string, capacity float64) float64 {
	fraction := (float64(Rendezvous(key, member)>>(64-fractionBits)) + 0.5) / (1 << fractionBits)
	return -max(capacity, 1) / math.Log(fraction)
}
