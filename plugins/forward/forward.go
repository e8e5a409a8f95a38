// Package forward passes requests of callers through to backend servers,
// unchanged, after the stages that their route asks for.
//
// A request takes one way: it is matched with a route and a client account,
// admitted if it can still be done in time, gets the results of its stages, and
// is sent to one server. It is sent again only if it may run twice or surely
// has not run.
package forward

import (
	"context"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/savoryfold/savoryfold/config"
	"github.com/savoryfold/savoryfold/internal/periodic"
	"github.com/savoryfold/savoryfold/internal/upstream"
	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/policy"
)

const section = "forward"

func init() {
	kernel.Register(kernel.ModuleInfo{
		ID:    "forward",
		Phase: kernel.PhaseEntry,
		Settings: []config.Key{
			{Section: section, Name: "listen", Kind: config.Address, Doc: "address for callers whose requests are passed through; empty means none"},
			{Section: section, Name: "readiness", Kind: config.Address, Doc: "address at which the platform asks whether the instance takes connections"},
			{Section: section, Name: "metrics", Kind: config.Address, Doc: "address of the metrics; empty means none"},
			{Section: section, Name: "dial_timeout", Kind: config.Duration, Default: "300ms", Doc: "longest wait for a connection to a backend server"},
			{Section: section, Name: "silence", Kind: config.Duration, Default: "1500ms", Doc: "time after which a connection to a backend server that acknowledges nothing is broken"},
			{Section: section, Name: "idle_timeout", Kind: config.Duration, Default: "8s", Doc: "how long an idle connection to a backend server is kept, if the server says nothing shorter"},
			{Section: section, Name: "grace", Kind: config.Duration, Default: "8s", Doc: "time from the signal to stop to the end by force"},
			{Section: section, Name: "drain", Kind: config.Duration, Default: "2500ms", Doc: "how long callers may go on with open connections after a signal to stop; the platform needs two looks, a second apart, to see that the instance is not ready"},
			{Section: section, Name: "memory", Kind: config.Size, Default: "0", Doc: "memory of the process; the garbage collector keeps well below. 0 means no bound"},
			{Section: section, Name: "repeat_ratio", Kind: config.Float, Default: "0.1", Doc: "repeats permitted for each request of a service, over all instances"},
			{Section: section, Name: "repeat_extra", Kind: config.Float, Default: "0", Doc: "repeats permitted beside that in a window, over all instances"},
			{Section: section, Name: "repeat_window", Kind: config.Duration, Default: "10s", Doc: "window of the repeat budget"},
		},
		New: func() kernel.Module { return &Forward{} },
	})
}

const (
	// memoryPart is the part of the process's memory at which the garbage
	// collector works as hard as it takes.
	memoryPart = 0.7
	// upkeepInterval is the time between two looks at idle connections.
	upkeepInterval = time.Second
)

// Forward is the entry for callers whose requests are passed through.
type Forward struct {
	host    *kernel.Host
	pool    *upstream.Pool
	servers serverStates
	budgets repeatBudgets
	latency serviceTimes

	entry     *entryServer
	readiness *http.Server
	metrics   *http.Server
	leaving   atomic.Bool
	// bodies counts the bytes of request bodies in memory.
	bodies    atomic.Int64
	maxBodies int64

	cancel context.CancelFunc
	done   sync.WaitGroup
	// ending ends when the requests in progress have to be answered, since the
	// grace of a stop is nearly over.
	ending   context.Context
	endGrace context.CancelFunc
}

// Provision implements kernel.Provisioner.
func (f *Forward) Provision(h *kernel.Host) error {
	s := h.Settings
	f.host = h
	f.pool = upstream.New(upstream.Options{
		DialTimeout: s.Duration(section, "dial_timeout"),
		Silence:     s.Duration(section, "silence"),
		Idle:        s.Duration(section, "idle_timeout"),
	})
	f.servers.ejections = h.Decisions.Ejections
	if f.servers.ejections == nil {
		f.servers.ejections = policy.NoEjections{}
	}
	f.servers.logger = h.Logger
	f.budgets.ratio = s.Float(section, "repeat_ratio")
	f.budgets.extra = s.Float(section, "repeat_extra")
	f.budgets.window = s.Duration(section, "repeat_window")
	f.maxBodies = maxBodyMemory
	if memory := s.Bytes(section, "memory"); memory > 0 {
		debug.SetMemoryLimit(int64(memoryPart * float64(memory)))
		f.maxBodies = memory / bodyMemoryPart
	}
	f.ending, f.endGrace = context.WithCancel(context.Background())
	f.entry = newEntryServer(h.Logger, http.HandlerFunc(f.serve))
	if h.Catalogs != nil {
		h.Catalogs.OnCatalog(f.refresh)
	}
	return nil
}

// Validate implements kernel.Validator.
func (f *Forward) Validate() error {
	if f.host.Settings.String(section, "listen") != "" && f.host.Catalogs == nil {
		return errors.New("[forward] listen: needs the module discovery")
	}
	return nil
}

// Start implements kernel.Starter.
func (f *Forward) Start(ctx context.Context) error {
	s := f.host.Settings
	address := s.String(section, "listen")
	if address == "" {
		return nil
	}
	ctx, f.cancel = context.WithCancel(ctx)
	f.done.Go(func() { f.upkeep(ctx) })
	if err := f.entry.start(address); err != nil {
		return errors.Wrap(err, "forward")
	}
	var err error
	if f.readiness, err = serveSmall(f.host.Logger, s.String(section, "readiness"), f.readinessHandler()); err != nil {
		return errors.Wrap(err, "forward readiness")
	}
	if f.metrics, err = serveSmall(f.host.Logger, s.String(section, "metrics"), f.metricsHandler()); err != nil {
		return errors.Wrap(err, "forward metrics")
	}
	f.host.Logger.Info("forwarding", "address", address)
	return nil
}

// upkeep closes connections that are idle for too long.
func (f *Forward) upkeep(ctx context.Context) {
	periodic.Run(ctx, upkeepInterval, func(now time.Time) { f.pool.Trim(now) })
}

// PrepareStop implements kernel.StopPreparer: from now on the instance is not
// ready and asks callers to leave their connections.
func (f *Forward) PrepareStop() { f.leaving.Store(true) }

const (
	// stopMargin is left of the grace for what comes after the last answer.
	stopMargin = 700 * time.Millisecond
	// answerTime is left before that for the answers to requests that cannot be
	// finished within the grace: a refusal if they have not run.
	answerTime = 400 * time.Millisecond
)

// Stop implements kernel.Stopper: requests go on to be served until callers
// have left, then those in progress finish.
func (f *Forward) Stop(context.Context) error {
	if f.cancel == nil {
		return nil
	}
	defer f.cancel()
	f.leaving.Store(true)
	began := time.Now()
	grace := f.host.Settings.Duration(section, "grace") - stopMargin
	time.Sleep(min(f.host.Settings.Duration(section, "drain"), grace))
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(grace))
	defer cancel()
	answerAll := time.AfterFunc(time.Until(began.Add(grace-answerTime)), f.endGrace)
	defer answerAll.Stop()
	err := f.entry.stop(ctx)
	if err != nil {
		f.host.Logger.Warn("requests were cut at the end of the grace", "in_progress", f.entry.inProgress.Load(), "error", err)
	}
	for _, s := range []*http.Server{f.readiness, f.metrics} {
		if s != nil {
			_ = s.Close() // nothing of it needs an answer
		}
	}
	f.cancel()
	f.done.Wait()
	f.pool.Close()
	return nil
}
