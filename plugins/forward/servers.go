package forward

import (
	"log/slog"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/savoryfold/savoryfold/catalog"
	"github.com/savoryfold/savoryfold/platform"
	"github.com/savoryfold/savoryfold/policy"
)

const (
	// maxReportAge is the age from which on a load reported by a server is
	// ignored.
	maxReportAge = 2 * time.Second
	// latencyWeight is the weight of a new sample in smoothed latencies.
	latencyWeight = 0.2
	// minSlownessSamples is the number of responses from which on the latency
	// of a server is compared with that of its peers. The comparison also needs
	// at least this many such servers.
	minSlownessSamples = 3
	// slownessExpiry is the time without a response after which a server counts
	// as fast as its peers, so that it is tried again.
	slownessExpiry = 3 * time.Second
)

// serverStates holds what this instance has observed of the backend servers.
type serverStates struct {
	ejections policy.Ejections
	logger    *slog.Logger
	mu        sync.RWMutex
	byID      map[string]*serverState // guarded by mu
	byHash    map[uint64]*serverState // the same states; guarded by mu
}

// serverState holds what this instance has observed of a server since one start
// of the server.
type serverState struct {
	hash    uint64
	startMS int64

	mu           sync.Mutex
	inFlight     int
	ejector      policy.Ejector
	ejectedUntil time.Time // end of the ejection
	// running and waiting are the load that the server reported at reportedAt;
	// sent and done count the requests of this instance since then.
	running, waiting, slots int
	reportedAt              time.Time
	sent, done              int
	// pace is the pace of the server's machine by the same report; 0 if unknown. work,
	// sentWork and doneWork are as inFlight, sent and done, in mean requests.
	pace                     float64
	rest                     policy.RestPace
	work, sentWork, doneWork float64
	// createdAt is when this instance began to observe this start of the server.
	createdAt time.Time
	// firstByteTime is the smoothed time to the first byte over a number of
	// samples, the last of them taken at lastResponse.
	firstByteTime time.Duration
	samples       int
	lastResponse  time.Time
	// coldUntil is the time until which a server counts as cold after an
	// ejection.
	coldUntil time.Time
}

// get returns the state of a server since its latest start, and creates it if
// there is none.
func (s *serverStates) get(server *catalog.Server) *serverState {
	s.mu.RLock()
	state := s.byID[server.ID]
	s.mu.RUnlock()
	if state != nil && state.startMS == server.StartUnixMilli {
		return state
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if state = s.byID[server.ID]; state != nil && state.startMS == server.StartUnixMilli {
		return state
	}
	if s.byID == nil {
		s.byID, s.byHash = make(map[string]*serverState), make(map[uint64]*serverState)
	}
	state = &serverState{hash: xxhash.Sum64String(server.ID), startMS: server.StartUnixMilli, createdAt: time.Now(), ejector: s.ejections.NewEjector()}
	s.byID[server.ID], s.byHash[state.hash] = state, state
	return state
}

// prune drops the states of servers that are not in a catalog snapshot.
func (s *serverStates) prune(view *catalog.Catalog) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, state := range s.byID {
		if view.Server(id) == nil {
			delete(s.byID, id)
			delete(s.byHash, state.hash)
		}
	}
}

// withHash returns the state of the server with the hash, or nil.
func (s *serverStates) withHash(hash uint64) *serverState {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.byHash[hash]
}

// refresh applies a new catalog snapshot.
func (f *Forward) refresh(view *catalog.Catalog) {
	f.entry.SetLimits(connLimits(view.Config.Limits))
	f.servers.prune(view)
}

// serverSnapshot is the state of a server at one moment. The load is -1 if
// unknown.
type serverSnapshot struct {
	inFlight, load, slots int
	firstByteTime         time.Duration
	samples               int
	usable                bool
	// cold is true if the server counts as cold after an ejection.
	cold bool
	// figure is the latest report, whatever its age.
	figure loadFigure
}

// loadFigure is the latest load that a server reported, in mean requests, adjusted by what
// this instance sent and finished since. known is false if there is none.
type loadFigure struct {
	known bool
	load  float64
	// work is the work of this instance's requests on the server.
	work float64
	// pace is the reported pace, rest the one at rest; 0 if unknown.
	pace, rest float64
	age        time.Duration
}

// snapshot returns the state at a time.
func (s *serverState) snapshot(now time.Time) serverSnapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := serverSnapshot{inFlight: s.inFlight, load: -1, slots: s.slots, firstByteTime: s.firstByteTime, samples: s.samples, usable: !now.Before(s.ejectedUntil), cold: now.Before(s.coldUntil)}
	l.figure = loadFigure{known: !s.reportedAt.IsZero(), work: s.work, pace: s.pace, rest: s.rest.Value(), age: now.Sub(s.reportedAt)}
	l.figure.load = max(0, float64(s.running+s.waiting)+s.sentWork-s.doneWork)
	if now.Sub(s.reportedAt) < maxReportAge {
		l.load = max(0, s.running+s.waiting+s.sent-s.done)
	}
	if now.Sub(s.lastResponse) > slownessExpiry {
		l.samples = 0
	}
	return l
}

// begin counts a request that is about to be sent, and its predicted work.
func (s *serverState) begin(work float64) {
	s.mu.Lock()
	s.inFlight++
	s.sent++
	s.work += work
	s.sentWork += work
	s.mu.Unlock()
}

// end counts a request that has ended.
func (s *serverState) end(work float64) {
	s.mu.Lock()
	s.inFlight--
	s.done++
	s.work = max(0, s.work-work)
	s.doneWork += work
	s.mu.Unlock()
}

// recordLoad records the load that a server reports in a response.
func (s *serverState) recordLoad(now time.Time, a platform.ResponseInfo) {
	if !a.HasLoad {
		return
	}
	s.mu.Lock()
	s.running, s.waiting, s.slots, s.reportedAt = a.Running, a.Waiting, a.Slots, now
	s.recordPace(now, a.Pace)
	s.sent, s.done, s.sentWork, s.doneWork = 0, 0, 0, 0
	s.mu.Unlock()
}

// recordPace records the pace of a report. The caller holds mu.
func (s *serverState) recordPace(at time.Time, pace float64) {
	s.pace = pace
	if pace > 0 {
		s.rest.Add(at, pace)
	}
}

// recordFirstByte records the time to the first byte of a response.
func (s *serverState) recordFirstByte(now time.Time, d time.Duration) {
	s.mu.Lock()
	if s.samples == 0 {
		s.firstByteTime = d
	}
	s.firstByteTime += time.Duration(latencyWeight * float64(d-s.firstByteTime))
	s.samples++
	s.lastResponse = now
	s.mu.Unlock()
}

// observe records the result of an exchange, and ejects the server if it is an
// outlier. The limit on ejections does not apply to an unresponsive server.
func (f *Forward) observe(now time.Time, server *catalog.Server, state *serverState, sample policy.CallSample) {
	state.mu.Lock()
	outlier := state.ejector.Observe(now, sample)
	state.mu.Unlock()
	if !outlier || !sample.Unresponsive && !f.mayEject(now, server) {
		return
	}
	state.mu.Lock()
	state.ejectedUntil = state.ejector.Eject(now)
	until := state.ejectedUntil
	if c := f.host.Catalogs.Catalog().Service(server.Service); c != nil {
		state.coldUntil = until.Add(c.ColdStart)
	}
	state.mu.Unlock()
	f.pool.CloseIdle(server.Address)
	f.host.Counter(`servers_ejected{service="` + server.Service + `"}`).Inc(1)
	f.host.Logger.Warn("server ejected", "server", server.ID, "service", server.Service, "unreachable", sample.Unresponsive, "for", until.Sub(now))
}

// mayEject reports whether one more server of the service may be ejected.
func (f *Forward) mayEject(now time.Time, server *catalog.Server) bool {
	ejected, group := 0, 0
	view := f.host.Catalogs.Catalog()
	for _, s := range view.Servers(server.Service) {
		if !view.Usable(s) {
			continue
		}
		group++
		if !f.servers.get(s).snapshot(now).usable {
			ejected++
		}
	}
	return f.servers.ejections.Allowed(ejected, group)
}

// fleetSize returns the number of instances, 0 while it is unknown. Without a fleet
// this instance is the only one.
func (f *Forward) fleetSize() int {
	if f.host.Fleet == nil {
		return 1
	}
	return len(f.host.Fleet.Members())
}
