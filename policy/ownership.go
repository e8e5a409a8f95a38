package policy

import "time"

// ownerSettleTime is the time for which an instance must have been the owner of a key
// before it acts as such. The instances' views of the fleet differ for a short time when
// it changes, and several of them then take themselves for the owner.
const ownerSettleTime = time.Second

// Ownership holds since when an instance has taken itself for the owner of keys.
type Ownership map[uint64]time.Time

// Next returns the ownership of an instance that now owns the keys.
func (o Ownership) Next(now time.Time, owned []uint64) Ownership {
	next := make(Ownership, len(owned))
	for _, key := range owned {
		since, ok := o[key]
		if !ok {
			since = now
		}
		next[key] = since
	}
	return next
}

// Settled reports whether the instance has owned a key for ownerSettleTime.
func (o Ownership) Settled(now time.Time, key uint64) bool {
	since, ok := o[key]
	return ok && now.Sub(since) >= ownerSettleTime
}
