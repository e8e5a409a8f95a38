package kernel

import (
	"slices"
	"sync"
	"time"

	"github.com/savoryfold/savoryfold/policy"
)

// placementView presents a pool's servers to placement for one call.
type view struct {
	pool *Pool
	want *want
	time time.Time
	now  int64 // time in Unix nanoseconds
	// allowTried is true if servers on which the stage failed may be chosen.
	second bool
	// borrowing is true if servers without a free slot of this instance may be
	// chosen.
	borrowing bool
}

var views = sync.Pool{New: func() any { return new(view) }}

func (p *Pool) view(w *want) *view {
	now := time.Now()
	v := views.Get().(*view)
	*v = view{pool: p, want: w, time: now, now: now.UnixNano()}
	return v
}

// recycle returns the view to the pool of views.
func (v *view) free() {
	*v = view{}
	views.Put(v)
}

// Len implements policy.View.
func (v *view) Len() int { return len(v.pool.Servers) }

// Locals implements policy.View.
func (v *view) Locals() int { return v.pool.locals }

// IDs implements policy.View.
func (v *view) IDs() []uint64 { return v.pool.ids }

// Free implements policy.View.
func (v *view) Free(i int) bool {
	s := v.pool.Servers[i]
	return (v.borrowing || s.free()) && v.usable(s)
}

// At implements policy.View.
func (v *view) At(i int) policy.Candidate {
	s := v.pool.Servers[i]
	c := s.candidate(v.usable(s), i < v.pool.locals)
	if v.borrowing {
		c.Limit = max(c.Limit, c.InFlight+1)
	}
	if hints := v.pool.host.CacheHints; hints != nil && v.want.call.Prefix != 0 {
		c.CacheHint = hints.CacheHint(v.time, s.ID, v.want.call.Prefix)
	}
	return c
}

// usable reports whether the server may get the call. Leaving servers and
// servers in a zone taken out of service get none, not even from requests on an
// older snapshot.
func (v *view) usable(s *Server) bool {
	if s.excluded.Load() || s.Config.Leaving || v.pool.tables.ZoneOut(s.Config.Zone) {
		return false
	}
	if v.want.version != "" && v.pool.Config.Versioned && !s.runs(v.want.version) {
		return false
	}
	if s.ejected.Load() > v.now {
		return false
	}
	return v.second || !slices.Contains(v.want.tried, s.ID)
}
