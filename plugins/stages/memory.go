package stages

import "time"

// memoryPart is the part of a stage server's memory for results that is used:
// the sizes of results are told as approximate.
const memoryPart = 0.9

// memory is what is known of a stage server's memory for results.
type memory struct {
	// used counts the bytes of results, and of those that calls in progress
	// will make.
	used    int64
	results map[string]heldResult
	// released holds results that the server is to be told of.
	released []string
}

// heldResult is a result that lies at the server until it is released or
// expires there.
type heldResult struct {
	bytes   int64
	expires time.Time
}

// room is the memory for results of one server, in bytes. The caller holds mu.
func (g *group) room() int64 { return int64(memoryPart * float64(g.service.ResultMemory)) }

// hold counts results that a call has made.
func (m *memory) hold(handles []string, bytes int64, expires time.Time) {
	if m.results == nil {
		m.results = make(map[string]heldResult)
	}
	for _, h := range handles {
		m.results[h] = heldResult{bytes, expires}
		m.used += bytes
	}
}

// forget counts results that the server no longer holds.
func (m *memory) forget(handles []string) {
	for _, h := range handles {
		if r, ok := m.results[h]; ok {
			m.used -= r.bytes
			delete(m.results, h)
		}
	}
}

// expire forgets results whose time at the server is over.
func (m *memory) expire(now time.Time) {
	for h, r := range m.results {
		if now.After(r.expires) {
			m.used -= r.bytes
			delete(m.results, h)
		}
	}
}
