// Package servicemoves rolls out new versions of services: it moves a service's
// traffic to the servers of a new version, as operators request in the platform's
// metadata store, and rolls bad versions back. The settings and the store call
// such a rollout a move.
//
// Every instance follows the same schedule independently and judges the new version
// by the responses that all instances have received, which they share. The first
// instance that detects a fault records the rollback, and all others follow it. One
// instance, chosen by rendezvous hashing, records that a rollout is in progress or
// completed. If it hangs or has left, the next instance in rendezvous order takes
// over.
package servicemoves

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/savoryfold/savoryfold/catalog"
	"github.com/savoryfold/savoryfold/config"
	"github.com/savoryfold/savoryfold/internal/periodic"
	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/policy"
)

const section = "moves"

const (
	// checkInterval is the time between two checks of the active rollouts.
	checkInterval = 50 * time.Millisecond
	// recordRetryInterval is the time after which a state that is still not
	// recorded is written again.
	recordRetryInterval = 500 * time.Millisecond
	// takeoverDelay is how much longer each instance in rendezvous order waits than
	// the one before it until it records a state that is still missing.
	takeoverDelay = 400 * time.Millisecond
)

func init() {
	kernel.Register(kernel.ModuleInfo{
		ID:    "servicemoves",
		Phase: kernel.PhaseRequest,
		Settings: []config.Key{
			{Section: section, Name: "exposure_slack", Kind: config.Int, Default: "50", Doc: "requests that a bad version may get beyond that share; a trial uses some of them where a service has few requests"},
			{Section: section, Name: "exposure", Kind: config.Float, Default: "0.1", Doc: "maximum share of a service's requests that a bad version may get until the deadline of its rollout"},
		},
		New: func() kernel.Module { return &Moves{} },
	})
}

// Moves implements kernel.VersionPicker. It tracks the active rollouts by
// service.
type Moves struct {
	host     *kernel.Host
	exposure float64
	slack    int
	active   atomic.Pointer[map[string]*move]
	mu       sync.Mutex // serializes changes of active
	times    responseTimes
	reports  reports
	cancel   context.CancelFunc
	done     sync.WaitGroup
}

// move is one active rollout.
type move struct {
	command *catalog.Move
	// rolledBack is true once any instance has detected a fault of the new version.
	rolledBack atomic.Bool
	completed  atomic.Bool
	// plan is what is known of the new version, and its shares while it is on trial. It is
	// replaced as a whole.
	plan atomic.Pointer[policy.TrialPlan]

	mu           sync.Mutex
	counts       map[string]policy.RouteCounts // of this instance, by route; guarded by mu
	lastWrite    time.Time                     // when pendingState was last written; guarded by mu
	pendingState catalog.MoveState             // state to be recorded; guarded by mu
	pendingSince time.Time                     // when pendingState became due; guarded by mu
}

// Provision implements kernel.Provisioner.
func (m *Moves) Provision(h *kernel.Host) error {
	m.host = h
	m.exposure = h.Settings.Float(section, "exposure")
	m.slack = h.Settings.Int(section, "exposure_slack")
	m.active.Store(&map[string]*move{})
	if h.Catalogs != nil {
		h.Catalogs.OnCatalog(m.refresh)
	}
	if h.SharedState != nil {
		h.SharedState.OnState(stateKind, m.mergeReport)
	}
	return nil
}

// Start implements kernel.Starter.
func (m *Moves) Start(ctx context.Context) error {
	ctx, m.cancel = context.WithCancel(ctx)
	m.done.Go(func() { m.run(ctx) })
	return nil
}

// Stop implements kernel.Stopper.
func (m *Moves) Stop(context.Context) error {
	m.cancel()
	m.done.Wait()
	return nil
}

// refresh updates the active rollouts from a new catalog snapshot.
func (m *Moves) refresh(snapshot *catalog.Catalog) {
	m.mu.Lock()
	defer m.mu.Unlock()
	old := *m.active.Load()
	if len(snapshot.Moves) == 0 && len(old) == 0 {
		return
	}
	next := make(map[string]*move, len(snapshot.Moves))
	for service, command := range snapshot.Moves {
		mv := old[service]
		if mv == nil || mv.command.Order != command.Order {
			mv = continuedMove(mv, command)
		}
		if s, ok := snapshot.Statuses[service]; ok && s.Order == command.Order {
			mv.rolledBack.Store(mv.rolledBack.Load() || s.State == catalog.MoveRolledBack)
			mv.completed.Store(mv.completed.Load() || s.State == catalog.MoveCompleted)
		}
		next[service] = mv
	}
	m.active.Store(&next)
}

// continuedMove returns a move for a command, with what is known of the move before if its
// command is the same one, which the operator has written again.
func continuedMove(before *move, command *catalog.Move) *move {
	mv := &move{command: command, counts: make(map[string]policy.RouteCounts)}
	mv.plan.Store(&policy.TrialPlan{Verdict: policy.VersionUntested})
	if before == nil || !before.command.ReceivedAt.Equal(command.ReceivedAt) {
		return mv
	}
	before.mu.Lock()
	defer before.mu.Unlock()
	mv.counts = maps.Clone(before.counts)
	mv.rolledBack.Store(before.rolledBack.Load())
	mv.completed.Store(before.completed.Load())
	mv.plan.Store(before.plan.Load())
	return mv
}

// PickVersion implements kernel.VersionPicker. During a rollout, a request goes
// either to the new version or to the others. If only one of these groups has
// usable servers, it gets all requests, except that a version that was rolled
// back gets none.
func (m *Moves) PickVersion(now time.Time, service, route string, random float64) func(version string) bool {
	mv := (*m.active.Load())[service]
	if mv == nil {
		return nil
	}
	target := mv.command.TargetVersion
	useNew := random < m.share(now, mv, route)
	hasOld, hasNew := m.versionsPresent(service, target)
	if !hasNew || mv.rolledBack.Load() && hasOld {
		useNew = false
	} else if !hasOld && !mv.rolledBack.Load() {
		useNew = true
	}
	return func(version string) bool { return (version == target) == useNew }
}

// share returns the share of the requests on a route that the new version gets now, from 0
// to 1.
func (m *Moves) share(now time.Time, mv *move, route string) float64 {
	switch {
	case mv.rolledBack.Load():
		return 0
	case mv.completed.Load():
		return 1
	}
	plan := mv.plan.Load()
	step := policy.ServiceMove(mv.command.Age(now), mv.command.Duration, m.exposure)
	if plan.Verdict == policy.VersionGood && step.Share == 1 {
		return 1
	}
	return plan.Share(route)
}

// versionsPresent reports whether the service has usable servers of other
// versions and of the target version.
func (m *Moves) versionsPresent(service, target string) (hasOld, hasNew bool) {
	snapshot := m.host.Catalogs.Catalog()
	for _, s := range snapshot.Servers(service) {
		if !snapshot.Usable(s) {
			continue
		}
		if s.Version == target {
			hasNew = true
		} else {
			hasOld = true
		}
	}
	return hasOld, hasNew
}

// CountVersion implements kernel.VersionPicker.
func (m *Moves) CountVersion(service, route, version string) {
	mv := (*m.active.Load())[service]
	if mv == nil || mv.rolledBack.Load() || mv.completed.Load() {
		return
	}
	mv.mu.Lock()
	defer mv.mu.Unlock()
	counts := mv.counts[route]
	counts.Sent++
	if version == mv.command.TargetVersion {
		counts.SentNew++
	}
	mv.counts[route] = counts
}

// ObserveVersion implements kernel.VersionPicker. It rolls the new version back
// once the responses show a fault that the old version does not have.
func (m *Moves) ObserveVersion(now time.Time, service, route, version string, failed bool, took time.Duration) {
	mean := m.meanTime(service, route)
	slow := mean.slow(took)
	mv := (*m.active.Load())[service]
	ongoing := mv != nil && !mv.rolledBack.Load() && !mv.completed.Load()
	isNew := ongoing && version == mv.command.TargetVersion
	if !failed && !isNew {
		m.times.add(service, route, took)
	}
	if !ongoing {
		return
	}
	if isNew && !failed && !mean.known() && mv.command.Age(now) < mv.command.Duration {
		return // nothing to compare its time with, so that it is no evidence
	}
	mv.mu.Lock()
	counts := mv.counts[route]
	count := &counts.Old
	if isNew {
		count = &counts.New
	}
	count.Responses++
	if failed || slow {
		count.Bad++
	}
	mv.counts[route] = counts
	mv.mu.Unlock()
	if isNew {
		m.judge(now, service, mv)
	}
}

// SlowResponse implements kernel.VersionPicker.
func (m *Moves) SlowResponse(service, route string, took time.Duration) bool {
	return m.meanTime(service, route).slow(took)
}

// meanTime returns the mean response time of a service on a route: that of this instance,
// or that of all instances during a rollout if this one has too few responses.
func (m *Moves) meanTime(service, route string) responseTime {
	mean := m.times.get(service, route)
	if mv := (*m.active.Load())[service]; mv != nil && !mean.known() {
		mean = mean.join(m.reports.meanTime(service, route, mv.command.Order))
	}
	return mean
}

// counts returns the responses that all instances have received in a rollout, by
// route.
func (m *Moves) counts(service string, mv *move) map[string]policy.RouteCounts {
	counts := m.reports.sum(service, mv.command.Order)
	mv.mu.Lock()
	defer mv.mu.Unlock()
	for route, c := range mv.counts {
		counts[route] = counts[route].Add(c)
	}
	return counts
}

// judge rolls the new version of a rollout back if the responses that all instances
// have received show a fault, and keeps it on trial while they may.
func (m *Moves) judge(now time.Time, service string, mv *move) {
	counts := m.counts(service, mv)
	mv.mu.Lock()
	own := maps.Clone(mv.counts)
	mv.mu.Unlock()
	trial := policy.Trial{Age: mv.command.Age(now), Duration: mv.command.Duration, Exposure: m.exposure, Slack: m.slack, Instances: m.instances()}
	if !m.warm(now, service, mv.command.TargetVersion) {
		trial.Slack = 0 // responses of cold servers are no evidence
	}
	plan := trial.Plan(policy.OnRoutes(counts, m.routeOf(service)), own)
	if before := mv.plan.Swap(&plan); before.Verdict != plan.Verdict || before.Route != plan.Route {
		m.host.Logger.Info("verdict on a version changed", "service", service, "version", mv.command.TargetVersion, "order", mv.command.Order,
			"verdict", plan.Verdict.String(), "before", before.Verdict.String(), "route", plan.Route, "age", trial.Age, "counts", counts)
	}
	if plan.Verdict == policy.VersionBad && !mv.completed.Load() && mv.rolledBack.CompareAndSwap(false, true) {
		m.host.Logger.Warn("version rolled back", "service", service, "version", mv.command.TargetVersion, "order", mv.command.Order, "route", plan.Route, "counts", counts)
	}
}

// instances returns the number of instances that send requests.
func (m *Moves) instances() int {
	if m.host.Fleet == nil {
		return 1
	}
	return len(m.host.Fleet.Members())
}

// warm reports whether a version of a service has a usable server that is not cold.
func (m *Moves) warm(now time.Time, service, version string) bool {
	snapshot := m.host.Catalogs.Catalog()
	return slices.ContainsFunc(snapshot.Servers(service), func(s *catalog.Server) bool {
		return s.Version == version && snapshot.Usable(s) && !s.Cold(now)
	})
}

// routeOf returns a function that reports whether a route may send requests to a service
// now.
func (m *Moves) routeOf(service string) func(route string) bool {
	snapshot := m.host.Catalogs.Catalog()
	s := snapshot.Service(service)
	return func(route string) bool {
		return route == kernel.StageCalls && s != nil && s.Batch != nil || snapshot.RouteSendsTo(route, service)
	}
}

// run records the states of rollouts until the context ends.
func (m *Moves) run(ctx context.Context) {
	periodic.Run(ctx, checkInterval, func(now time.Time) {
		for service, mv := range *m.active.Load() {
			if !mv.rolledBack.Load() && !mv.completed.Load() {
				m.judge(now, service, mv)
			}
			m.record(ctx, now, service, mv)
		}
		m.publishReport(now)
	})
}

// record writes the state of a rollout to the store if it is not recorded yet and
// it is this instance's turn.
func (m *Moves) record(ctx context.Context, now time.Time, service string, mv *move) {
	state := catalog.MoveInProgress
	switch {
	case mv.rolledBack.Load():
		state = catalog.MoveRolledBack
	case mv.completed.Load():
		state = catalog.MoveCompleted
	case mv.plan.Load().Verdict != policy.VersionGood:
	case policy.ServiceMove(mv.command.Age(now), mv.command.Duration, m.exposure).Complete:
		if _, hasNew := m.versionsPresent(service, mv.command.TargetVersion); !hasNew {
			return // no usable server has the new version
		}
		state = catalog.MoveCompleted
	}
	if recorded, ok := m.host.Catalogs.Catalog().Statuses[service]; ok && recorded.Order == mv.command.Order && recorded.State == state {
		return
	}
	mv.mu.Lock()
	if mv.pendingState != state || mv.pendingSince.IsZero() {
		mv.pendingSince, mv.pendingState, mv.lastWrite = now, state, time.Time{}
	}
	turn := state == catalog.MoveRolledBack || now.Sub(mv.pendingSince) >= time.Duration(m.host.Rank(service))*takeoverDelay
	due := turn && now.Sub(mv.lastWrite) >= recordRetryInterval
	if due {
		mv.lastWrite = now
	}
	mv.mu.Unlock()
	if !due {
		return
	}
	status := catalog.MoveStatus{TargetVersion: mv.command.TargetVersion, Order: mv.command.Order, State: state}
	err := m.host.Catalogs.RecordMove(ctx, service, status)
	m.host.Logger.Info("rollout state write finished", "service", service, "target", status.TargetVersion, "state", state.String(), "order", status.Order, "counts", m.counts(service, mv), "error", err)
}

// Dump implements kernel.Dumper.
func (m *Moves) Dump() any {
	type dump struct {
		Target     string                        `json:"target"`
		Order      uint64                        `json:"order"`
		RolledBack bool                          `json:"rolled_back"`
		Completed  bool                          `json:"completed"`
		Counts     map[string]policy.RouteCounts `json:"counts"`
	}
	out := make(map[string]dump)
	for service, mv := range *m.active.Load() {
		mv.mu.Lock()
		out[service] = dump{mv.command.TargetVersion, mv.command.Order, mv.rolledBack.Load(), mv.completed.Load(), maps.Clone(mv.counts)}
		mv.mu.Unlock()
	}
	return out
}
