// Package rollout gradually shifts the traffic of a route from one version of
// its backend servers to another, and reports the progress of version moves and
// availability-zone moves to operators.
//
// The traffic share of the new version is a pure function of the time, the
// evidence and the rollbacks, so that a move continues while the log and other
// instances are unreachable. Instances exchange evidence and rollbacks in
// gossip digests. Rollbacks and completed moves are also recorded on the log
// stream "moves".
package rollout

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/savoryfold/savoryfold/config"
	"github.com/savoryfold/savoryfold/internal/periodic"
	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/policy"
)

const section = "rollout"

const (
	refreshInterval = 200 * time.Millisecond
	// startupHoldoff limits the time after a start during which an instance sends
	// no requests to new versions because it does not know earlier rollbacks yet.
	startupHoldoff = 5 * time.Second
)

func init() {
	kernel.Register(kernel.ModuleInfo{
		ID:    "versions",
		Phase: kernel.PhaseConfig,
		Settings: []config.Key{
			{Section: section, Name: "restate_every", Kind: config.Duration, Default: "10m", Doc: "time after which rollbacks and completed moves are appended to the log again; at most half of the log's retention time"},
		},
		New: func() kernel.Module { return &Rollout{} },
	})
}

// Rollout implements kernel.Versions and kernel.Moves.
type Rollout struct {
	host           *kernel.Host
	logger         *slog.Logger
	started        time.Time
	rollbacksKnown atomic.Bool // true once the log was read to its end or another instance's rollbacks arrived
	alerts         chan *move  // moves whose new version had a bad call on this instance
	moves          atomic.Pointer[moveSet]
	stop           context.CancelFunc
	routines       sync.WaitGroup

	mu         sync.Mutex
	events     map[uint64]event     // read from the log, by move ID; guarded by mu
	zones      map[string]zoneCalls // by instance; guarded by mu
	lastDigest cachedDigest         // guarded by mu
}

// moveSet holds all version moves of one revision of the tables. The set is
// immutable; the moves in it are not.
type moveSet struct{ byRoute map[string]*move }

// ordered returns the moves sorted by route name.
func (s *moveSet) ordered() []*move {
	var out []*move
	for _, route := range slices.Sorted(maps.Keys(s.byRoute)) {
		out = append(out, s.byRoute[route])
	}
	return out
}

// Provision implements kernel.Provisioner.
func (r *Rollout) Provision(h *kernel.Host) error {
	r.host = h
	r.logger = h.Logger.With("module", "versions")
	r.events = make(map[uint64]event)
	r.zones = make(map[string]zoneCalls)
	r.moves.Store(&moveSet{})
	r.alerts = make(chan *move, maxAlerts)
	h.OnTables(r.onTables)
	if h.Digests != nil {
		r.register(h.Digests)
	}
	if h.Peers != nil {
		h.Peers.Handle(alertMethod, r.receiveAlert)
	}
	return nil
}

// register registers the sources and sinks of both kinds of digest.
func (r *Rollout) register(d kernel.Digests) {
	d.Source(evidenceKind, r.encodeEvidence)
	d.Source(rollbacksKind, r.encodeRollbacks)
	d.Sink(rollbacksKind, r.receiveRollbacks)
	d.Sink(evidenceKind, r.receiveEvidence)
}

// Start implements kernel.Starter.
func (r *Rollout) Start(ctx context.Context) error {
	ctx, r.stop = context.WithCancel(ctx)
	r.started = time.Now()
	r.routines.Go(func() { r.run(ctx) })
	if r.host.Peers != nil {
		r.routines.Go(func() { r.sendAlerts(ctx) })
	}
	if r.host.Log != nil {
		r.routines.Go(func() { r.follow(ctx) })
		r.routines.Go(func() { r.record(ctx) })
	}
	return nil
}

// Stop implements kernel.Stopper.
func (r *Rollout) Stop(context.Context) error {
	r.stop()
	r.routines.Wait()
	return nil
}

// run recomputes the traffic shares at every refreshInterval.
func (r *Rollout) run(ctx context.Context) {
	periodic.Run(ctx, refreshInterval, func(now time.Time) { r.refresh(now) })
}

func (r *Rollout) refresh(now time.Time) {
	r.dropStaleZones(now)
	set, snap := r.moves.Load(), r.host.Snapshot()
	for _, m := range set.byRoute {
		m.deferred.Store(set.mustWait(m))
		m.newServers.Store(hasLiveServers(snap, m.route, m.move.To))
		r.update(now, m)
	}
}

// update recomputes the traffic share of one move, or rolls the move back.
func (r *Rollout) update(now time.Time, m *move) {
	if !r.rollbacksKnown.Load() && now.Sub(r.started) < startupHoldoff {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.dropStaleEvidence(now)
	decide := r.host.Decisions.Rollout
	spec, e := m.spec(), m.evidence(now)
	m.step = max(m.step, decide.AllowedStep(spec, e))
	if reason, fault := decide.RollBack(now, spec, e); fault {
		r.rollBack(m, now, string(reason))
		return
	}
	share := decide.Share(now, spec, e)
	m.setShare(share)
	r.host.Gauge(`version_share_permille{route="` + m.route + `"}`).Update(int64(share * 1000))
	if share >= 1 && m.done.IsZero() {
		m.done = now
		r.logger.Info("version rollout complete", "route", m.route, "to", m.move.To)
	}
}

// rollBack sends all requests to the old version again. It is final: no later
// evidence reverts it. The caller holds the move's mu.
func (r *Rollout) rollBack(m *move, now time.Time, why string) {
	if !m.rolledBack.CompareAndSwap(false, true) {
		return
	}
	m.setShare(0)
	m.why, m.rolledBackAt = why, now
	r.host.Counter(`version_rollbacks{route="` + m.route + `"}`).Inc(1)
	r.host.Gauge(`version_share_permille{route="` + m.route + `"}`).Update(0)
	r.logger.Warn("version rolled back", "route", m.route, "to", m.move.To, "why", why)
}

// Pick implements kernel.Versions.
func (r *Rollout) Pick(_ time.Time, route *config.Route, random uint64) string {
	if route.Move == nil {
		return ""
	}
	m := r.moves.Load().byRoute[route.Name]
	if m == nil || m.move != *route.Move {
		return route.Move.From
	}
	return m.pick(random)
}

// Observe implements kernel.Versions.
func (r *Rollout) Observe(now time.Time, route, version string, call policy.MoveCall) {
	m := r.moves.Load().byRoute[route]
	if m == nil || (version != m.move.From && version != m.move.To) {
		return
	}
	call.New = version == m.move.To
	m.mu.Lock()
	defer m.mu.Unlock()
	bad := m.tracker.Observe(now, call)
	if !call.New || m.rolledBack.Load() {
		return
	}
	if bad {
		r.alert(m)
	}
	if reason, fault := r.host.Decisions.Rollout.RollBack(now, m.spec(), m.evidence(now)); fault {
		r.rollBack(m, now, string(reason))
	}
}
