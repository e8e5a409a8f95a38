package stages

import "time"

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
