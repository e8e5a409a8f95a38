package kernel

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/savoryfold/savoryfold/config"
)

// refreshInterval is the time between two refreshes of the limits of all
// servers.
const refreshInterval = 200 * time.Millisecond

// entryStopFraction is the fraction of stop_timeout in which requests in
// progress may finish. The rest is for the other modules, which among other
// things write the remaining claim records to the log.
const entryStopFraction = 0.8

// State is an instance's own state.
type State int32

// The states of an instance, in life-cycle order.
const (
	StateStarting State = iota
	StateReady
	StateLeaving
	StateStopped
)

var stateNames = [...]string{"starting", "ready", "leaving", "stopped"}

// String returns the state's name.
func (s State) String() string { return stateNames[s] }

// Instance holds the modules of one instance and manages their life cycle.
type Instance struct {
	Host    *Host
	modules []loadedModule
	state   atomic.Int32
	stop    chan struct{}
	once    sync.Once
}

type loadedModule struct {
	info   ModuleInfo
	module Module
}

// NewInstance provisions and validates the modules that the settings select.
// Nothing is started.
func NewInstance(s *config.Settings, logger *slog.Logger, level *slog.LevelVar) (*Instance, error) {
	in := &Instance{stop: make(chan struct{})}
	in.Host = &Host{
		Settings: s,
		Logger:   logger.With("instance", s.String("instance", "id")),
		LogLevel: level,
		Metrics:  metrics.NewRegistry(),
		Instance: in,
	}
	for _, info := range Modules() {
		if !selected(s, info) {
			continue
		}
		m := info.New()
		in.Host.bind(m)
		in.modules = append(in.modules, loadedModule{info, m})
	}
	if err := in.provision(); err != nil {
		return nil, err
	}
	return in, nil
}

func (in *Instance) provision() error {
	for _, l := range in.modules {
		if p, ok := l.module.(Provisioner); ok {
			if err := p.Provision(in.Host); err != nil {
				return errors.Wrapf(err, "provision %s", l.info.ID)
			}
		}
	}
	for _, l := range in.modules {
		if v, ok := l.module.(Validator); ok {
			if err := v.Validate(); err != nil {
				return errors.Wrapf(err, "validate %s", l.info.ID)
			}
		}
	}
	return nil
}

// Module returns the module with the ID, or nil if the settings disable it.
func (in *Instance) Module(id ModuleID) Module {
	for _, l := range in.modules {
		if l.info.ID == id {
			return l.module
		}
	}
	return nil
}

// State returns the instance's state.
func (in *Instance) State() State { return State(in.state.Load()) }

// Ready reports whether the instance accepts requests: it has started, has
// configuration tables and is not leaving.
func (in *Instance) Ready() bool {
	return in.State() == StateReady && in.Host.Snapshot() != nil
}

// Shutdown requests a graceful stop. It does not wait for it and may be called
// more than once.
func (in *Instance) Shutdown() { in.once.Do(func() { close(in.stop) }) }

// Run starts the modules, serves until the context ends or Shutdown is called,
// and then stops gracefully: new requests are refused, those in progress finish.
func (in *Instance) Run(ctx context.Context) error {
	lifetime, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	started, err := in.start(lifetime)
	if err == nil {
		in.setState(StateReady, MemberReady)
		in.refreshLimits(ctx)
	}
	in.setState(StateLeaving, MemberLeaving)
	for _, l := range in.modules[:started] {
		if p, ok := l.module.(StopPreparer); ok {
			p.PrepareStop()
		}
	}
	stopErr := in.stopModules(started)
	in.state.Store(int32(StateStopped))
	in.Host.Logger.Info("instance stopped")
	if err != nil {
		return err
	}
	return stopErr
}

// start starts the modules in order and returns how many have started.
func (in *Instance) start(ctx context.Context) (int, error) {
	for i, l := range in.modules {
		if s, ok := l.module.(Starter); ok {
			if err := s.Start(ctx); err != nil {
				return i, errors.Wrapf(err, "start %s", l.info.ID)
			}
		}
	}
	return len(in.modules), nil
}

// refreshLimits refreshes the servers' limits periodically until the context ends
// or a stop is requested.
func (in *Instance) refreshLimits(ctx context.Context) {
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			if snap := in.Host.Snapshot(); snap != nil {
				in.Host.runtime.refresh(in.Host, snap, now)
			}
		case <-in.stop:
			return
		case <-ctx.Done():
			return
		}
	}
}

// stopModules stops the first n modules in reverse order.
func (in *Instance) stopModules(n int) error {
	total := in.Host.Settings.Duration("instance", "stop_timeout")
	allCtx, cancel := context.WithTimeout(context.Background(), total)
	defer cancel()
	// Unfinished requests at the entry must not use up the time that is needed to
	// write claims to the log.
	entryCtx, cancelEntry := context.WithTimeout(allCtx, time.Duration(entryStopFraction*float64(total)))
	defer cancelEntry()
	var firstErr error
	for i := n - 1; i >= 0; i-- {
		l := in.modules[i]
		s, ok := l.module.(Stopper)
		if !ok {
			continue
		}
		ctx := allCtx
		if l.info.Phase == PhaseEntry {
			ctx = entryCtx
		}
		if err := s.Stop(ctx); err != nil && firstErr == nil {
			firstErr = errors.Wrapf(err, "stop %s", l.info.ID)
		}
	}
	return firstErr
}

func (in *Instance) setState(s State, m MemberState) {
	in.state.Store(int32(s))
	in.Host.Logger.Info("instance state changed", "state", s.String())
	if in.Host.Membership != nil {
		in.Host.Membership.SetState(m)
	}
}
