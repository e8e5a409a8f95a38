// Package servicemoves moves the traffic of services to new versions of their
// servers, as operators order in the platform's metadata store, and takes bad
// versions back.
//
// Every instance follows the same schedule by itself and judges the new version
// by the answers that it saw. The first that sees a fault records that the move
// is rolled back, which all others obey. One instance, found by rendezvous
// hashing, records that a move is in progress or completed; if it is frozen or
// gone, the next in order does.
package servicemoves

import (
	"context"
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
	// interval is the time between two looks at the moves.
	interval = 50 * time.Millisecond
	// recordRetry is the time after which a record that may not have been
	// written is written again.
	recordRetry = 500 * time.Millisecond
	// turnPause is how long after the first instance the next in order records a
	// step that is still missing.
	turnPause = 400 * time.Millisecond
	// slowTimes is how many times longer than the old version's mean an answer
	// takes that counts as bad.
	slowTimes = 3
	// slowMargin is added to that: below, a busy machine makes the difference.
	slowMargin = 50 * time.Millisecond
	// meanWeight is the weight of a new sample in the old version's mean.
	meanWeight = 0.05
)

func init() {
	kernel.Register(kernel.ModuleInfo{
		ID:    "servicemoves",
		Phase: kernel.PhaseRequest,
		Settings: []config.Key{
			{Section: section, Name: "exposure", Kind: config.Float, Default: "0.1", Doc: "part of a service's requests that a bad version may get until its move's deadline"},
		},
		New: func() kernel.Module { return &Moves{} },
	})
}

// Moves implements kernel.VersionPicker.
type Moves struct {
	host     *kernel.Host
	exposure float64
	active   atomic.Pointer[map[string]*move]
	mu       sync.Mutex // serializes changes of active
	cancel   context.CancelFunc
	done     sync.WaitGroup
}

// move is one move that this instance follows.
type move struct {
	order *catalog.Move
	// rolledBack is true once any instance has seen the new version's fault.
	rolledBack atomic.Bool
	completed  atomic.Bool

	mu         sync.Mutex
	old, fresh policy.VersionCount // guarded by mu
	usual      time.Duration       // mean time of the old version; guarded by mu
	written    time.Time           // when a record was last written; guarded by mu
	wrote      catalog.MoveState   // guarded by mu
	since      time.Time           // when a step became due that is not recorded; guarded by mu
}

// Provision implements kernel.Provisioner.
func (m *Moves) Provision(h *kernel.Host) error {
	m.host = h
	m.exposure = h.Settings.Float(section, "exposure")
	m.active.Store(&map[string]*move{})
	if h.Catalogs != nil {
		h.Catalogs.OnCatalog(m.refresh)
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

// refresh takes a new view.
func (m *Moves) refresh(view *catalog.Catalog) {
	m.mu.Lock()
	defer m.mu.Unlock()
	old := *m.active.Load()
	if len(view.Moves) == 0 && len(old) == 0 {
		return
	}
	next := make(map[string]*move, len(view.Moves))
	for service, order := range view.Moves {
		mv := old[service]
		if mv == nil || mv.order.Order != order.Order {
			mv = &move{order: order}
		}
		if s, ok := view.Statuses[service]; ok && s.Order == order.Order {
			mv.rolledBack.Store(mv.rolledBack.Load() || s.State == catalog.MoveRolledBack)
			mv.completed.Store(s.State == catalog.MoveCompleted)
		}
		next[service] = mv
	}
	m.active.Store(&next)
}

// PickVersion implements kernel.VersionPicker. While a service moves, a request
// goes to the new version or to the others; the servers of one group take all
// if the other has none.
func (m *Moves) PickVersion(now time.Time, service string, random float64) func(version string) bool {
	mv := (*m.active.Load())[service]
	if mv == nil {
		return nil
	}
	target := mv.order.Target
	fresh := random < m.share(now, mv)
	old, moved := m.present(service, target)
	if !moved || mv.rolledBack.Load() && old {
		fresh = false
	} else if !old && !mv.rolledBack.Load() {
		fresh = true
	}
	return func(version string) bool { return (version == target) == fresh }
}

// share is the part of the requests that the new version gets now.
func (m *Moves) share(now time.Time, mv *move) float64 {
	switch {
	case mv.rolledBack.Load():
		return 0
	case mv.completed.Load():
		return 1
	}
	return policy.ServiceMove(mv.order.Age(now), mv.order.Duration, m.exposure).Share
}

// present reports whether usable servers of other versions and of the target
// are known.
func (m *Moves) present(service, target string) (old, moved bool) {
	view := m.host.Catalogs.Catalog()
	for _, s := range view.Servers(service) {
		if !view.Usable(s) {
			continue
		}
		if s.Version == target {
			moved = true
		} else {
			old = true
		}
	}
	return old, moved
}

// ObserveVersion implements kernel.VersionPicker.
func (m *Moves) ObserveVersion(now time.Time, service, version string, failed bool, took time.Duration) {
	mv := (*m.active.Load())[service]
	if mv == nil || mv.rolledBack.Load() || mv.completed.Load() {
		return
	}
	mv.mu.Lock()
	defer mv.mu.Unlock()
	count := &mv.old
	if version == mv.order.Target {
		count = &mv.fresh
	} else if !failed {
		mv.usual += time.Duration(meanWeight * float64(took-mv.usual))
		if count.Answers == 0 {
			mv.usual = took
		}
	}
	count.Answers++
	if failed || mv.usual > 0 && took > slowTimes*mv.usual+slowMargin {
		count.Bad++
	}
	if policy.BadVersion(mv.old, mv.fresh) && mv.rolledBack.CompareAndSwap(false, true) {
		m.host.Logger.Warn("version rolled back", "service", service, "version", mv.order.Target, "order", mv.order.Order,
			"answers", mv.fresh.Answers, "bad", mv.fresh.Bad, "old_answers", mv.old.Answers, "old_bad", mv.old.Bad)
	}
}

// run records the steps of moves until the context ends.
func (m *Moves) run(ctx context.Context) {
	periodic.Run(ctx, interval, func(now time.Time) {
		for service, mv := range *m.active.Load() {
			m.record(ctx, now, service, mv)
		}
	})
}

// record writes the state of a move if it is this instance's turn.
func (m *Moves) record(ctx context.Context, now time.Time, service string, mv *move) {
	state := catalog.MoveInProgress
	switch {
	case mv.rolledBack.Load():
		state = catalog.MoveRolledBack
	case mv.completed.Load():
		return
	case policy.ServiceMove(mv.order.Age(now), mv.order.Duration, m.exposure).Complete:
		if _, moved := m.present(service, mv.order.Target); !moved {
			return // nothing has moved
		}
		state = catalog.MoveCompleted
	}
	if recorded, ok := m.host.Catalogs.Catalog().Statuses[service]; ok && recorded.Order == mv.order.Order && recorded.State == state {
		return
	}
	mv.mu.Lock()
	if mv.wrote != state || mv.since.IsZero() {
		mv.since, mv.wrote, mv.written = now, state, time.Time{}
	}
	turn := state == catalog.MoveRolledBack || now.Sub(mv.since) >= time.Duration(m.host.Rank(service))*turnPause
	due := turn && now.Sub(mv.written) >= recordRetry
	if due {
		mv.written = now
	}
	mv.mu.Unlock()
	if !due {
		return
	}
	status := catalog.MoveStatus{Target: mv.order.Target, Order: mv.order.Order, State: state}
	err := m.host.Catalogs.RecordMove(ctx, service, status)
	m.host.Logger.Info("state of a move recorded", "service", service, "target", status.Target, "state", state.String(), "order", status.Order, "error", err)
}

// Dump implements kernel.Dumper.
func (m *Moves) Dump() any {
	type dump struct {
		Target             string `json:"target"`
		Order              uint64 `json:"order"`
		RolledBack         bool   `json:"rolled_back"`
		Completed          bool   `json:"completed"`
		Answers, Bad       int
		OldAnswers, OldBad int
	}
	out := make(map[string]dump)
	for service, mv := range *m.active.Load() {
		mv.mu.Lock()
		out[service] = dump{mv.order.Target, mv.order.Order, mv.rolledBack.Load(), mv.completed.Load(), mv.fresh.Answers, mv.fresh.Bad, mv.old.Answers, mv.old.Bad}
		mv.mu.Unlock()
	}
	return out
}
