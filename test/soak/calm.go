package main

import "time"

const (
	// applyTimeout is the time within which instances must apply what operators
	// and servers write while the store is available. It covers config_apply_ms
	// and drain_ms of all known deployments.
	applyTimeout = 3 * time.Second
	// observationTime is the time after applyTimeout during which the affected
	// servers must get no requests.
	observationTime = time.Second
)

// checkPlannedChanges checks, after the faults and while callers still send
// requests, that a draining server and the servers of a zone that is out get no
// further requests.
func (tb *testbed) checkPlannedChanges() {
	s := tb.anyServer()
	s.entry.Draining = true
	s.entry.Sequence++
	tb.store.PutServer(s.entry)
	tb.expectIdle("a server that leaves", func(other *server) bool { return other == s })
	s.entry.Draining = false
	s.entry.Sequence++
	tb.store.PutServer(s.entry)

	zone := zoneOf(tb.random.IntN(2))
	tb.store.PutZoneOut(zone, true)
	tb.expectIdle("a server of a zone that is out", func(other *server) bool { return other.entry.Zone == zone })
	tb.store.PutZoneOut(zone, false)
}

// expectIdle reports servers that still get requests after applyTimeout although
// they must not.
func (tb *testbed) expectIdle(what string, idle func(*server) bool) {
	time.Sleep(applyTimeout)
	before := make(map[*server]int)
	for _, s := range tb.servers {
		if idle(s) {
			before[s] = s.requestCount()
		}
	}
	time.Sleep(observationTime)
	for s, n := range before {
		if got := s.requestCount() - n; got > 0 {
			tb.checker.addViolation("%s, %s, got %d requests %v after the change", what, s.entry.ID, got, applyTimeout)
		}
	}
}

// requestCount returns the number of requests or stage calls that reached the
// server.
func (s *server) requestCount() int {
	if s.stage != nil {
		return len(s.stage.Calls())
	}
	return int(s.received.Load())
}
