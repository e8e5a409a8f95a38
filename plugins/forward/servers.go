package forward

import (
	"log/slog"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"

	"github.com/savoryfold/savoryfold/catalog"
	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/platform"
	"github.com/savoryfold/savoryfold/policy"
)

const (
	// reportLife is the age at which a server's account of its load counts no
	// more.
	reportLife = 2 * time.Second
	// timeWeight is the weight of a new sample in smoothed times.
	timeWeight = 0.2
	// slowSamples is the number of answers after which a server's own time is
	// compared with that of its peers.
	slowSamples = 3
	// slowForget is the time after which a server that got nothing is taken to
	// be as fast as its peers, so that it is tried again.
	slowForget = 3 * time.Second
)

// serverStates holds what this instance saw of the backend servers.
type serverStates struct {
	ejections policy.Ejections
	logger    *slog.Logger
	mu        sync.RWMutex
	byID      map[string]*serverState // guarded by mu
}

// serverState is what this instance saw of one life of a server.
type serverState struct {
	hash uint64
	born int64

	mu       sync.Mutex
	inFlight int
	ejector  policy.Ejector
	ejected  time.Time // until when the server is left out
	// running and waiting are what the server said at reported; sent and done
	// count this instance's requests since.
	running, waiting, slots int
	reported                time.Time
	sent, done              int
	// first is the smoothed time to the first byte of an answer, over samples
	// answers, the last at answered.
	first    time.Duration
	samples  int
	answered time.Time
	// suspectUntil is when a server that was lost and is back ceases to count
	// as cold.
	suspectUntil time.Time
	cold         *rate.Limiter
	coldRate     float64
}

// get returns the state of a server's present life.
func (s *serverStates) get(server *catalog.Server) *serverState {
	s.mu.RLock()
	state := s.byID[server.ID]
	s.mu.RUnlock()
	if state != nil && state.born == server.Born {
		return state
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if state = s.byID[server.ID]; state != nil && state.born == server.Born {
		return state
	}
	if s.byID == nil {
		s.byID = make(map[string]*serverState)
	}
	state = &serverState{hash: xxhash.Sum64String(server.ID), born: server.Born, ejector: s.ejections.NewEjector()}
	s.byID[server.ID] = state
	return state
}

// retain forgets the servers that the view does not name.
func (s *serverStates) retain(view *catalog.Catalog) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.byID {
		if view.Server(id) == nil {
			delete(s.byID, id)
		}
	}
}

// refresh takes a new view.
func (f *Forward) refresh(view *catalog.Catalog) {
	f.entry.setLimits(view.Config.Limits)
	f.servers.retain(view)
}

// look is a server's state at one moment.
type look struct {
	inFlight, reported, slots int
	first                     time.Duration
	samples                   int
	usable                    bool
}

// look returns the state at a time.
func (s *serverState) look(now time.Time) look {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := look{inFlight: s.inFlight, reported: -1, slots: s.slots, first: s.first, samples: s.samples, usable: !now.Before(s.ejected)}
	if now.Sub(s.reported) < reportLife {
		l.reported = max(0, s.running+s.waiting+s.sent-s.done)
	}
	if now.Sub(s.answered) > slowForget {
		l.samples = 0
	}
	return l
}

// begin counts a request that is about to be sent.
func (s *serverState) begin() {
	s.mu.Lock()
	s.inFlight++
	s.sent++
	s.mu.Unlock()
}

// end counts a request that has ended.
func (s *serverState) end() {
	s.mu.Lock()
	s.inFlight--
	s.done++
	s.mu.Unlock()
}

// report takes the server's account of its load.
func (s *serverState) report(now time.Time, a platform.Answer) {
	if !a.HasLoad {
		return
	}
	s.mu.Lock()
	s.running, s.waiting, s.slots, s.reported = a.Running, a.Waiting, a.Slots, now
	s.sent, s.done = 0, 0
	s.mu.Unlock()
}

// answeredIn takes the time to the first byte of an answer.
func (s *serverState) answeredIn(now time.Time, d time.Duration) {
	s.mu.Lock()
	if s.samples == 0 {
		s.first = d
	}
	s.first += time.Duration(timeWeight * float64(d-s.first))
	s.samples++
	s.answered = now
	s.mu.Unlock()
}

// observe takes the result of an exchange into the server's health.
func (f *Forward) observe(now time.Time, server *catalog.Server, state *serverState, sample policy.CallSample) {
	state.mu.Lock()
	outlier := state.ejector.Observe(now, sample)
	state.mu.Unlock()
	if !outlier || !sample.Dead && !f.mayEject(now, server) {
		return
	}
	state.mu.Lock()
	state.ejected = state.ejector.Eject(now)
	until := state.ejected
	if c := f.host.Catalogs.Catalog().Service(server.Service); c != nil {
		state.suspectUntil = until.Add(c.ColdStart)
	}
	state.mu.Unlock()
	f.pool.Forget(server.Address)
	f.host.Counter(`servers_ejected{service="` + server.Service + `"}`).Inc(1)
	f.host.Logger.Warn("server ejected", "server", server.ID, "service", server.Service, "unreachable", sample.Dead, "for", until.Sub(now))
}

// mayEject reports whether the service can go without one more server.
func (f *Forward) mayEject(now time.Time, server *catalog.Server) bool {
	ejected, group := 0, 0
	view := f.host.Catalogs.Catalog()
	for _, s := range view.Servers(server.Service) {
		if !view.Usable(s) {
			continue
		}
		group++
		if !f.servers.get(s).look(now).usable {
			ejected++
		}
	}
	return f.servers.ejections.Allowed(ejected, group)
}

// coldAllows reports whether a server may get one more request now as far as
// its temperature goes, and counts the request if so.
func (f *Forward) coldAllows(now time.Time, service *catalog.Service, server *catalog.Server, state *serverState) bool {
	if service.ColdRate <= 0 {
		return true
	}
	state.mu.Lock()
	defer state.mu.Unlock()
	if !server.Cold(now) && !now.Before(state.suspectUntil) {
		return true
	}
	share := policy.ColdShare(service.ColdRate, f.host.Rank(server.ID), max(1, len(f.members())))
	if share <= 0 {
		return false
	}
	if state.cold == nil || state.coldRate != share {
		state.cold, state.coldRate = rate.NewLimiter(rate.Limit(share), 1), share
	}
	return state.cold.AllowN(now, 1)
}

// members returns the known instances of the fleet.
func (f *Forward) members() []kernel.FleetMember {
	if f.host.Fleet == nil {
		return nil
	}
	return f.host.Fleet.Members()
}
