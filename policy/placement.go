package policy

import (
	"sync"
	"sync/atomic"
	"time"
)

// Candidate is what placement knows of one backend server.
type Candidate struct {
	// Usable is false for a server that must not get the call: its zone is out,
	// it is leaving, ejected, of another version, or tried already.
	Usable bool
	// Local is true if the server stands in the instance's availability zone.
	Local bool
	// InFlight counts this instance's calls on the server, Limit its share of
	// the server's limit, Total the whole limit.
	InFlight, Limit, Total int
	// Reported is the server's own count of calls, at the time of its last
	// load report, corrected for what was sent and finished since.
	Reported int
	// Expected is the expected time of one call on the server.
	Expected time.Duration
	// ID is a hash of the server's identity, for rendezvous hashing.
	ID uint64
	// CacheHint is the part of the call's prefix that the server is believed
	// to hold, from 0 to 1.
	CacheHint float64
}

// Free reports whether this instance may send one more call.
func (c Candidate) Free() bool { return c.Usable && c.InFlight < c.Limit }

// View gives access to a pool's candidates without copying them all.
type View interface {
	Len() int
	// Locals is the number of candidates in the instance's availability zone,
	// which come first.
	Locals() int
	// IDs holds the candidates' IDs by index.
	IDs() []uint64
	// Free reports whether candidate i is usable and has a free call slot.
	Free(i int) bool
	At(i int) Candidate
}

// Call is what placement knows of a stage call.
type Call struct {
	// Prefix is the hash of the prompt prefix; 0 means that there is none.
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

// RoundRobin is the baseline: it takes the usable servers of each pool in turn.
type RoundRobin struct {
	next sync.Map // a pool's first server -> *atomic.Uint64
}

// turn counts the choices in a pool.
func (p *RoundRobin) turn(pool uint64) uint64 {
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
	start := int(p.turn(v.IDs()[0]) % uint64(n))
	for i := range n {
		index := (start + i) % n
		if v.Free(index) {
			return Choice{Index: index, Reason: "turn"}
		}
	}
	return Choice{Index: NoServer, Reason: "full"}
}
