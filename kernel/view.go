package kernel

import (
	"slices"
	"sync"
	"time"

	"github.com/savoryfold/savoryfold/policy"
)

// placementView presents a pool's servers to placement for one call.
type placementView struct {
	pool     *Pool
	req      *slotRequest
	time     time.Time
	nowNanos int64 // time in Unix nanoseconds
	// allowTried is true if servers on which the stage failed may be chosen.
	allowTried bool
	// borrowing is true if servers without a free slot of this instance may be
	// chosen.
	borrowing bool
}

var viewPool = sync.Pool{New: func() any { return new(placementView) }}

func (p *Pool) newView(req *slotRequest) *placementView {
	now := time.Now()
	v := viewPool.Get().(*placementView)
	*v = placementView{pool: p, req: req, time: now, nowNanos: now.UnixNano()}
	return v
}

// recycle returns the view to the pool of views.
func (v *placementView) recycle() {
	*v = placementView{}
	viewPool.Put(v)
}

// Len implements policy.View.
func (v *placementView) Len() int { return len(v.pool.Servers) }

// Locals implements policy.View.
func (v *placementView) Locals() int { return v.pool.locals }

// IDs implements policy.View.
func (v *placementView) IDs() []uint64 { return v.pool.ids }

// Free implements policy.View.
func (v *placementView) Free(i int) bool {
	s := v.pool.Servers[i]
	return (v.borrowing || s.hasFreeSlot()) && v.usable(s)
}

// At implements policy.View.
func (v *placementView) At(i int) policy.Candidate {
	s := v.pool.Servers[i]
	c := s.candidate(v.usable(s), i < v.pool.locals)
	if v.borrowing {
		c.Limit = max(c.Limit, c.InFlight+1)
	}
	if hints := v.pool.host.CacheHints; hints != nil && v.req.call.Prefix != 0 {
		c.CacheHint = hints.CacheHint(v.time, s.ID, v.req.call.Prefix)
	}
	return c
}

// usable reports whether the server may get the call. Leaving servers and
// servers in a zone taken out of service get none, not even from requests on an
// older snapshot.
func (v *placementView) usable(s *Server) bool {
	if s.excluded.Load() || s.Config.Leaving || v.pool.tables.ZoneOut(s.Config.Zone) {
		return false
	}
	if v.req.version != "" && v.pool.Config.Versioned && !s.runs(v.req.version) {
		return false
	}
	if s.ejected.Load() > v.nowNanos {
		return false
	}
	return v.allowTried || !slices.Contains(v.req.tried, s.ID)
}
