package policy

import (
	"sync"
	"sync/atomic"
	"time"
)

// Candidate describes one backend server to a Placement.
type Candidate struct {
	// Usable is false for a server that must not get the call: its zone is
	// excluded, or the server is leaving, ejected, of another version, or was
	// already tried for this call.
	Usable bool
	// Local is true if the server is in the instance's availability zone.
	Local bool
	// InFlight is the number of this instance's calls on the server. Limit is this
	// instance's share of the server's concurrency limit, and Total is the limit of
	// all instances together.
	InFlight, Limit, Total int
	// Reported is the server's own count of calls in its last load report,
	// adjusted by the calls that this instance started and finished since.
	Reported int
	// Expected is the expected duration of one call on the server.
	Expected time.Duration
	// ID is a hash of the server's identity, for rendezvous hashing.
	ID uint64
	// CacheHint is the fraction of the call's prompt prefix that the server's
	// cache is estimated to hold, from 0 to 1.
	CacheHint float64
}

// Free reports whether this instance may send one more call to the server.
func (c Candidate) Free() bool { return c.Usable && c.InFlight < c.Limit }

// View gives access to a pool's candidates without a copy of all of them.
type View interface {
	Len() int
	// Locals returns the number of candidates in the instance's availability
	// zone. They have the lowest indices.
	Locals() int
	// IDs returns the candidates' IDs by index.
	IDs() []uint64
	// Free reports whether candidate i is usable and has a free call slot.
	Free(i int) bool
	At(i int) Candidate
}

// Call describes a stage call to a Placement.
type Call struct {
	// Prefix is the hash of the prompt prefix, or 0 if there is none.
	Prefix uint64
	// Random is a random number drawn for this call.
	Random uint64
	Class  string
}

// NoServer is the index of a Choice that found no server.
const NoServer = -1

// Choice is a placement decision.
type Choice struct {
	// Index is the candidate's index, or NoServer.
	Index  int
	Reason Reason
}

// Placement chooses the backend server of a stage call.
// Implementations are safe for concurrent use and do not allocate.
type Placement interface {
	Choose(now time.Time, c Call, v View) Choice
}

// RoundRobin is the baseline. It chooses the free servers of each pool in turn.
type RoundRobin struct {
	next sync.Map // *atomic.Uint64 by the ID of a pool's first server
}

// nextTurn returns the number of choices in a pool, including this one.
func (p *RoundRobin) nextTurn(pool uint64) uint64 {
	next, ok := p.next.Load(pool)
	if !ok {
		next, _ = p.next.LoadOrStore(pool, new(atomic.Uint64))
	}
	return next.(*atomic.Uint64).Add(1)
}

// Choose implements Placement.
func (p *RoundRobin) Choose(_ time.Time, _ Call, v View) Choice {
	n := v.Len()
	if n == 0 {
		return Choice{Index: NoServer, Reason: "empty"}
	}
	start := int(p.nextTurn(v.IDs()[0]) % uint64(n))
	for i := range n {
		index := (start + i) % n
		if v.Free(index) {
			return Choice{Index: index, Reason: "turn"}
		}
	}
	return Choice{Index: NoServer, Reason: "full"}
}
