package rollout

import (
	"cmp"
	"math"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/savoryfold/savoryfold/config"
	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/policy"
)

// Maximum ages of the evidence of other instances. Older evidence is ignored.
const (
	// lastMaxAge applies to LastOld and LastNew, the evidence of the last seconds.
	lastMaxAge = 3 * time.Second
	// recentMaxAge applies to RecentOld and RecentNew.
	recentMaxAge = 10 * time.Second
	// totalMaxAge applies to all evidence of an instance.
	totalMaxAge = 5 * time.Minute
)

// move is one version move with the state that this instance has of it.
type move struct {
	id       uint64
	route    string
	move     config.VersionMove
	traffic  traffic
	revision atomic.Uint64
	// newServers is true if every versioned pool of the route has a server
	// that runs the new version and may get calls. oldServers is true if the
	// tables list one of the old version: it is independent of health, so that
	// a short outage of all old servers does not send all requests to an
	// unproved version.
	newServers, oldServers atomic.Bool

	share      atomic.Uint64 // bits of a float64
	rolledBack atomic.Bool
	deferred   atomic.Bool // result of the last mustWait

	mu           sync.Mutex
	tracker      policy.MoveTracker      // calls of this instance; guarded by mu
	step         int                     // highest step that was proved; guarded by mu
	why          string                  // reason of the rollback; guarded by mu
	rolledBackAt time.Time               // guarded by mu
	done         time.Time               // zero until completed; guarded by mu
	byInstance   map[string]peerEvidence // by ID of another instance; guarded by mu
	othersTotal  policy.MoveEvidence     // sum over byInstance; guarded by mu
}

// peerEvidence is the newest evidence of another instance.
type peerEvidence struct {
	at       time.Time
	evidence policy.MoveEvidence
}

// traffic holds the properties by which routes that move to the same version
// are ordered.
type traffic struct {
	retryable bool
	large     bool
	cost      float64
	route     string
}

// before reports whether t moves before o. Retryable traffic moves first, then
// routes whose size is not large, then the cheaper routes.
func (t traffic) before(o traffic) bool {
	if t.retryable != o.retryable {
		return t.retryable
	}
	if t.large != o.large {
		return o.large
	}
	return cmp.Or(cmp.Compare(t.cost, o.cost), strings.Compare(t.route, o.route)) < 0
}

func trafficOf(r *config.Route) traffic {
	t := traffic{retryable: r.Retryable(), large: r.Size == config.Large, route: r.Name}
	for _, s := range r.Stages {
		t.cost += s.CostWeight
	}
	return t
}

// moveID returns an ID that stays the same over edits of the route that do not
// change the move, so that a rollback holds until a new move is configured.
func moveID(route string, m config.VersionMove) uint64 {
	return xxhash.Sum64String(strings.Join([]string{
		route, m.From, m.To,
		strconv.FormatInt(m.Start.UnixNano(), 10), strconv.FormatInt(m.CompleteBy.UnixNano(), 10),
	}, "\x00"))
}

func newMove(r *config.Route) *move {
	return &move{id: moveID(r.Name, *r.Move), route: r.Name, move: *r.Move, traffic: trafficOf(r), byInstance: make(map[string]peerEvidence)}
}

// spec returns the move in the form that the policy takes.
func (m *move) spec() policy.Move {
	return policy.Move{
		Route: m.route, From: m.move.From, To: m.move.To, Start: m.move.Start, By: m.move.CompleteBy,
		Retryable: m.traffic.retryable, Deferred: m.deferred.Load(),
	}
}

// ownEvidence returns the evidence of this instance, as sent to others. The
// caller holds mu.
func (m *move) ownEvidence(now time.Time) policy.MoveEvidence {
	e := m.tracker.Evidence(now)
	e.Step, e.RolledBack = m.step, m.rolledBack.Load()
	return e
}

// evidence returns the evidence of all instances. The caller holds mu.
func (m *move) evidence(now time.Time) policy.MoveEvidence {
	return m.ownEvidence(now).Plus(m.othersTotal)
}

// dropStaleEvidence recomputes othersTotal without evidence that is too old. The
// caller holds mu.
func (m *move) dropStaleEvidence(now time.Time) {
	m.othersTotal = policy.MoveEvidence{}
	for id, peer := range m.byInstance {
		age := now.Sub(peer.at)
		if age > totalMaxAge {
			delete(m.byInstance, id)
			continue
		}
		if age > lastMaxAge {
			peer.evidence.LastOld, peer.evidence.LastNew = policy.VersionEvidence{}, policy.VersionEvidence{}
		}
		if age > recentMaxAge {
			peer.evidence.RecentOld, peer.evidence.RecentNew = policy.VersionEvidence{}, policy.VersionEvidence{}
		}
		m.othersTotal = m.othersTotal.Plus(peer.evidence)
	}
}

func (m *move) setShare(s float64) { m.share.Store(math.Float64bits(s)) }

func (m *move) getShare() float64 { return math.Float64frombits(m.share.Load()) }

// randomBits is the number of random bits that a float64 holds exactly.
const randomBits = 53

// pick chooses the version for a request. It avoids a version without servers,
// except that it never returns a version that was rolled back.
func (m *move) pick(random uint64) string {
	useNew := float64(random>>(64-randomBits))/(1<<randomBits) < m.getShare()
	switch {
	case m.rolledBack.Load() || !m.newServers.Load():
		useNew = false
	case !m.oldServers.Load():
		useNew = true
	}
	if useNew {
		return m.move.To
	}
	return m.move.From
}

// proved reports whether the evidence has proved the version on the route, at
// least for the first step.
func (m *move) proved() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.step > 0
}

// mustWait reports whether m must wait for a route that moves to the same version
// before it and has not proved that version yet. An earlier route that was
// rolled back blocks only routes whose requests are not retryable.
func (s *moveSet) mustWait(m *move) bool {
	for _, o := range s.byRoute {
		if o == m || o.move.To != m.move.To || !o.traffic.before(m.traffic) {
			continue
		}
		if o.rolledBack.Load() && !m.traffic.retryable {
			return true
		}
		if !o.rolledBack.Load() && !o.proved() {
			return true
		}
	}
	return false
}

// onTables installs a new revision of the tables. Unchanged moves keep their
// evidence and their rollbacks.
func (r *Rollout) onTables(t *config.Tables) {
	old := r.moves.Load()
	next := &moveSet{byRoute: make(map[string]*move)}
	for name, route := range t.Routes {
		if route.Move == nil {
			continue
		}
		m := old.byRoute[name]
		if m == nil || m.id != moveID(name, *route.Move) {
			m = newMove(route)
		}
		m.revision.Store(route.Revision)
		m.oldServers.Store(hasConfiguredServers(t, route, m.move.From))
		next.byRoute[name] = m
	}
	r.mu.Lock()
	events := make([]event, 0, len(r.events))
	for _, e := range r.events {
		events = append(events, e)
	}
	r.mu.Unlock()
	r.moves.Store(next)
	for _, e := range events {
		r.apply(e)
	}
	r.refresh(time.Now())
}

// hasLiveServers reports whether every versioned pool of a route has a server
// that runs the version and may get calls now.
func hasLiveServers(snap *kernel.Snapshot, route, version string) bool {
	if snap == nil || snap.Tables.Routes[route] == nil {
		return false
	}
	for _, s := range snap.Tables.Routes[route].Stages {
		if p := snap.Pool(s.Pool); p.Config.Versioned && !p.HasServer(version) {
			return false
		}
	}
	return true
}

// hasConfiguredServers reports whether the tables list, in every versioned pool
// of a route, a server of the version that may get calls.
func hasConfiguredServers(t *config.Tables, route *config.Route, version string) bool {
	for _, s := range route.Stages {
		p := t.Pools[s.Pool]
		if p == nil || !p.Versioned {
			continue
		}
		found := false
		for _, server := range p.Servers {
			found = found || (server.Version == version && !server.Leaving && !t.ZoneOut(server.Zone))
		}
		if !found {
			return false
		}
	}
	return true
}
