package main

import "time"

const (
	// applyBound is the time within which instances have to know what operators
	// and servers write while the store answers, in all deployments whose bounds
	// are known (config_apply_ms, drain_ms).
	applyBound = 3 * time.Second
	// watchTime is how long it is then watched that nothing is sent.
	watchTime = time.Second
)

// checkPlannedChanges checks, once the faults are over and while callers go on,
// that servers which leave and servers of a zone that is out get nothing more.
func (w *world) checkPlannedChanges() {
	s := w.anyServer()
	s.entry.Draining = true
	s.entry.Sequence++
	w.store.PutServer(s.entry)
	w.expectIdle("a server that leaves", func(other *server) bool { return other == s })
	s.entry.Draining = false
	s.entry.Sequence++
	w.store.PutServer(s.entry)

	zone := zoneOf(w.random.IntN(2))
	w.store.PutZoneOut(zone, true)
	w.expectIdle("a server of a zone that is out", func(other *server) bool { return other.entry.Zone == zone })
	w.store.PutZoneOut(zone, false)
}

// expectIdle notes servers that get requests though the instances have had time
// to learn that they should not.
func (w *world) expectIdle(what string, idle func(*server) bool) {
	time.Sleep(applyBound)
	before := make(map[*server]int)
	for _, s := range w.servers {
		if idle(s) {
			before[s] = s.requests()
		}
	}
	time.Sleep(watchTime)
	for s, n := range before {
		if got := s.requests() - n; got > 0 {
			w.ledger.note("%s, %s, got %d requests %v after the change", what, s.entry.ID, got, applyBound)
		}
	}
}

// requests counts what the server was asked for.
func (s *server) requests() int {
	if s.stage != nil {
		return len(s.stage.Calls())
	}
	return int(s.asked.Load())
}
