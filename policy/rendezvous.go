package policy

import "github.com/cespare/xxhash/v2"

// Rendezvous is the weight of a member for a key. All who know the same members
// find the same one with the highest weight, and only the keys of a member that
// leaves move.
func Rendezvous(key, member string) uint64 {
	return mix(xxhash.Sum64String(key) ^ mix(xxhash.Sum64String(member)))
}
