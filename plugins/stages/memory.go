package stages

import (
	"sync"
	"time"

	"github.com/savoryfold/savoryfold/platform"
)

// usableMemoryFraction is the fraction of a stage server's memory for results
// that is used: the configured sizes of results are approximate.
const usableMemoryFraction = 0.9

// memory tracks the results that a stage server holds in memory.
type memory struct {
	// used is the size in bytes of the results held, and of those that calls in
	// progress will make.
	used    int64
	results map[string]heldResult
	// released holds the results whose release is still to be sent to the
	// server.
	released []string
}

// heldResult is a result that the server holds until it is released or expires.
type heldResult struct {
	bytes   int64
	expires time.Time
}

// usableResultMemory returns the memory for results that is used on one server,
// in bytes. The caller holds mu.
func (g *group) usableResultMemory() int64 {
	return int64(usableMemoryFraction * float64(g.service.ResultMemory))
}

// add records the results of a call as held.
func (m *memory) add(handles []string, bytes int64, expires time.Time) {
	if m.results == nil {
		m.results = make(map[string]heldResult)
	}
	for _, h := range handles {
		m.results[h] = heldResult{bytes, expires}
		m.used += bytes
	}
}

// remove removes results that the server no longer holds.
func (m *memory) remove(handles []string) {
	for _, h := range handles {
		if r, ok := m.results[h]; ok {
			m.used -= r.bytes
			delete(m.results, h)
		}
	}
}

// expire removes results that have expired at the server.
func (m *memory) expire(now time.Time) {
	for h, r := range m.results {
		if now.After(r.expires) {
			m.used -= r.bytes
			delete(m.results, h)
		}
	}
}

// maxReturnedResults bounds the results that are remembered of one server: those of
// many calls.
const maxReturnedResults = 4096

// returnedResults remembers the handles of the latest results of a server, released
// ones included. The zero value is ready to use. It is safe for concurrent use.
type returnedResults struct {
	mu      sync.Mutex
	handles map[string]bool // guarded by mu
	order   []string        // oldest first; guarded by mu
}

// add records the results of a call. It reports false, and records nothing, if one of
// them was returned before.
func (r *returnedResults) add(results []platform.PieceResult) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, result := range results {
		if result.Handle != "" && r.handles[result.Handle] {
			return false
		}
	}
	if r.handles == nil {
		r.handles = make(map[string]bool)
	}
	for _, result := range results {
		if result.Handle != "" && !r.handles[result.Handle] {
			r.handles[result.Handle] = true
			r.order = append(r.order, result.Handle)
		}
	}
	for extra := len(r.order) - maxReturnedResults; extra > 0; extra-- {
		delete(r.handles, r.order[0])
		r.order = r.order[1:]
	}
	return true
}
