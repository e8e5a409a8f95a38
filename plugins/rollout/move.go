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

// Ages of what other instances said.
const (
	// lastAge is the age from which the evidence of their last seconds is left
	// out.
	lastAge = 3 * time.Second
	// recentAge is the age from which their recent evidence is left out.
	recentAge = 10 * time.Second
	// totalAge is the age from which all their evidence is left out.
	totalAge = 5 * time.Minute
)

// move is one version move with this instance's view of it.
type move struct {
	id       uint64
	route    string
	move     config.VersionMove
	traffic  traffic
	revision atomic.Uint64
	// newServers tells whether every versioned pool of the route has a server
	// that runs the new version and gets calls, oldServers whether the tables
	// name one of the old version. A short fault of all old servers does not
	// bring all requests to a version that is not proved.
	newServers, oldServers atomic.Bool

	share      atomic.Uint64 // bits of a float64
	rolledBack atomic.Bool
	behind     atomic.Bool

	mu           sync.Mutex
	tracker      policy.MoveTracker // guarded by mu
	step         int                // guarded by mu
	why          string             // guarded by mu
	rolledBackAt time.Time          // guarded by mu
	done         time.Time          // guarded by mu
	heard        map[string]heard   // by instance; guarded by mu
	others       policy.MoveEvidence
}

// heard is what another instance said last.
type heard struct {
	at       time.Time
	evidence policy.MoveEvidence
}

// traffic orders routes that move to the same version.
type traffic struct {
	repeatable bool
	large      bool
	cost       float64
	route      string
}

// before orders the cheapest repeatable traffic first.
func (t traffic) before(o traffic) bool {
	if t.repeatable != o.repeatable {
		return t.repeatable
	}
	if t.large != o.large {
		return o.large
	}
	return cmp.Or(cmp.Compare(t.cost, o.cost), strings.Compare(t.route, o.route)) < 0
}

func trafficOf(r *config.Route) traffic {
	t := traffic{repeatable: r.Repeatable(), large: r.Size == config.Large, route: r.Name}
	for _, s := range r.Stages {
		t.cost += s.CostWeight
	}
	return t
}

// moveID identifies a move over edits of its route that do not change it, so
// that only a new move is free of an earlier one's rollback.
func moveID(route string, m config.VersionMove) uint64 {
	return xxhash.Sum64String(strings.Join([]string{
		route, m.From, m.To,
		strconv.FormatInt(m.Start.UnixNano(), 10), strconv.FormatInt(m.By.UnixNano(), 10),
	}, "\x00"))
}

func newMove(r *config.Route) *move {
	return &move{id: moveID(r.Name, *r.Move), route: r.Name, move: *r.Move, traffic: trafficOf(r), heard: make(map[string]heard)}
}

// spec is the move as the policy sees it.
func (m *move) spec() policy.Move {
	return policy.Move{
		Route: m.route, From: m.move.From, To: m.move.To, Start: m.move.Start, By: m.move.By,
		Repeatable: m.traffic.repeatable, Behind: m.behind.Load(),
	}
}

// own is what this instance says to others. The caller holds mu.
func (m *move) own(now time.Time) policy.MoveEvidence {
	e := m.tracker.Evidence(now)
	e.Step, e.RolledBack = m.step, m.rolledBack.Load()
	return e
}

// evidence is that of all instances. The caller holds mu.
func (m *move) evidence(now time.Time) policy.MoveEvidence { return m.own(now).Plus(m.others) }

// forgetStale adds up what others said, without what is too old. The caller
// holds mu.
func (m *move) forgetStale(now time.Time) {
	m.others = policy.MoveEvidence{}
	for id, h := range m.heard {
		age := now.Sub(h.at)
		if age > totalAge {
			delete(m.heard, id)
			continue
		}
		if age > lastAge {
			h.evidence.LastOld, h.evidence.LastNew = policy.VersionEvidence{}, policy.VersionEvidence{}
		}
		if age > recentAge {
			h.evidence.RecentOld, h.evidence.RecentNew = policy.VersionEvidence{}, policy.VersionEvidence{}
		}
		m.others = m.others.Plus(h.evidence)
	}
}

func (m *move) setShare(s float64) { m.share.Store(math.Float64bits(s)) }

func (m *move) getShare() float64 { return math.Float64frombits(m.share.Load()) }

// randomBits is the number of random bits that a float64 holds exactly.
const randomBits = 53

// pick chooses the version for a request. A version without servers is not
// chosen, unless the other one was taken back.
func (m *move) pick(random uint64) string {
	fresh := float64(random>>(64-randomBits))/(1<<randomBits) < m.getShare()
	switch {
	case m.rolledBack.Load() || !m.newServers.Load():
		fresh = false
	case !m.oldServers.Load():
		fresh = true
	}
	if fresh {
		return m.move.To
	}
	return m.move.From
}

// proved reports whether the version has proved itself on the route.
func (m *move) proved() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.step > 0
}

// behind reports whether another route that goes first has not proved the
// version yet. One that was taken back holds up those that may not be repeated.
func (s *moveSet) behind(m *move) bool {
	for _, o := range s.byRoute {
		if o == m || o.move.To != m.move.To || !o.traffic.before(m.traffic) {
			continue
		}
		if o.rolledBack.Load() && !m.traffic.repeatable {
			return true
		}
		if !o.rolledBack.Load() && !o.proved() {
			return true
		}
	}
	return false
}

// onTables takes a new revision of the tables. Moves that stay keep their
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
		m.oldServers.Store(hasServers(t, route, m.move.From))
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

// running reports whether every versioned pool of a route has a server that
// runs the version and may get calls now.
func running(snap *kernel.Snapshot, route, version string) bool {
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

// hasServers reports whether the tables name, in every versioned pool of a
// route, a server of the version that may get calls.
func hasServers(t *config.Tables, route *config.Route, version string) bool {
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
