package kernel

import (
	"context"
	"time"
)

// SlotBorrower borrows call slots from other instances, for an instance whose own
// share of the servers' limits is used up or 0.
type SlotBorrower interface {
	// Borrow borrows a slot on a server, named "pool/name". It returns false
	// immediately if no instance is known to have an idle one. The release
	// function returns the slot, does not block and must be called exactly once.
	Borrow(ctx context.Context, server string) (release func(), ok bool)
}

// CacheHints estimates what backend servers hold in their caches.
type CacheHints interface {
	// CacheHint returns the estimated fraction, from 0 to 1, of a prompt prefix,
	// given by its hash, that a server, named "pool/name", has in its cache. It
	// decreases with the age of the information. It is safe for concurrent use
	// and does not allocate.
	CacheHint(now time.Time, server string, prefix uint64) float64
}
