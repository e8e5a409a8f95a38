package kernel

import (
	"context"
	"time"
)

// SlotBorrower takes call slots of other instances, for an instance whose own
// share of the servers' limits is used up or 0.
type SlotBorrower interface {
	// Borrow takes a slot on a server, named "pool/name". It returns false at
	// once if no instance is known to have an idle one. The release function
	// gives the slot back, does not block and is called exactly once.
	Borrow(ctx context.Context, server string) (release func(), ok bool)
}

// CacheHints knows what backend servers are believed to hold in their caches.
type CacheHints interface {
	// CacheHint is the part of a prompt prefix, given by its hash, that a
	// server, named "pool/name", is believed to hold: from 0 to 1, less with
	// the age of the belief. It is safe for concurrent use and does not
	// allocate.
	CacheHint(now time.Time, server string, prefix uint64) float64
}
