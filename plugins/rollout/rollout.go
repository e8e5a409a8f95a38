// Package rollout moves routes from one version of their servers to another,
// and tells operators how moves of versions and availability zones stand.
//
// The share of the new version is a pure function of the time, the evidence and
// rollbacks, so that a move goes on while the log and other instances are out
// of reach. Instances share evidence and rollbacks in digests; rollbacks and finished
// moves are also records of the stream "moves".
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

// Times of the module.
const (
	tick = 200 * time.Millisecond
	// startHold is the longest time after a start for which no request goes to
	// a new version, while nothing was heard of rollbacks yet.
	startHold = 5 * time.Second
)

func init() {
	kernel.Register(kernel.ModuleInfo{
		ID:    "versions",
		Phase: kernel.PhaseConfig,
		Settings: []config.Key{
			{Section: section, Name: "restate_every", Kind: config.Duration, Default: "10m", Doc: "time after which rollbacks and finished moves are recorded on the log again; at most half of the time that the log keeps records"},
		},
		New: func() kernel.Module { return &Rollout{} },
	})
}

// Rollout implements kernel.Versions and kernel.Moves.
type Rollout struct {
	host     *kernel.Host
	logger   *slog.Logger
	started  time.Time
	informed atomic.Bool // true once the log or another instance was heard
	alerts   chan *move  // moves whose new version had a bad call here
	moves    atomic.Pointer[moveSet]
	stop     context.CancelFunc
	routines sync.WaitGroup

	mu     sync.Mutex
	events map[uint64]event     // of the log, by move; guarded by mu
	zones  map[string]zoneCalls // by instance; guarded by mu
	said   saidDigest           // guarded by mu
}

// moveSet is all version moves of one revision of the tables. It is immutable.
type moveSet struct{ byRoute map[string]*move }

// ordered returns the moves by route.
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

// register makes the digests known.
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

// run works out the shares again and again.
func (r *Rollout) run(ctx context.Context) {
	periodic.Run(ctx, tick, func(now time.Time) { r.refresh(now) })
}

func (r *Rollout) refresh(now time.Time) {
	r.forgetZones(now)
	set, snap := r.moves.Load(), r.host.Snapshot()
	for _, m := range set.byRoute {
		m.behind.Store(set.behind(m))
		m.newServers.Store(running(snap, m.route, m.move.To))
		r.update(now, m)
	}
}

// update works out the share of one move.
func (r *Rollout) update(now time.Time, m *move) {
	if !r.informed.Load() && now.Sub(r.started) < startHold {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.forgetStale(now)
	decide := r.host.Decisions.Rollout
	spec, e := m.spec(), m.evidence(now)
	m.step = max(m.step, decide.Proved(spec, e))
	if reason, fault := decide.RollBack(now, spec, e); fault {
		r.rollBack(m, now, string(reason))
		return
	}
	share := decide.Share(now, spec, e)
	m.setShare(share)
	r.host.Gauge(`version_share_permille{route="` + m.route + `"}`).Update(int64(share * 1000))
	if share >= 1 && m.done.IsZero() {
		m.done = now
		r.logger.Info("version move done", "route", m.route, "to", m.move.To)
	}
}

// rollBack takes a version back for good. The caller holds the move's mu.
func (r *Rollout) rollBack(m *move, now time.Time, why string) {
	if !m.rolledBack.CompareAndSwap(false, true) {
		return
	}
	m.setShare(0)
	m.why, m.rolledBackAt = why, now
	r.host.Counter(`version_rollbacks{route="` + m.route + `"}`).Inc(1)
	r.host.Gauge(`version_share_permille{route="` + m.route + `"}`).Update(0)
	r.logger.Warn("version taken back", "route", m.route, "to", m.move.To, "why", why)
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
