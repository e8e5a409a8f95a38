// Package forward proxies requests of callers to backend servers, unchanged,
// after running the stages of their route.
//
// Each request is matched with a route and a client account, admitted if it can
// still meet its deadline, given the results of its stages, and sent to one
// server. It is retried only if it may run more than once or has certainly not
// run.
package forward

import (
	"cmp"
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/savoryfold/savoryfold/catalog"
	"github.com/savoryfold/savoryfold/config"
	"github.com/savoryfold/savoryfold/internal/callerserver"
	"github.com/savoryfold/savoryfold/internal/membudget"
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
			{Section: section, Name: "listen", Kind: config.Address, Doc: "address on which to accept requests that are forwarded to backend servers; empty means none"},
			{Section: section, Name: "readiness", Kind: config.Address, Doc: "address of the readiness endpoint that the platform polls; empty means none"},
			{Section: section, Name: "metrics", Kind: config.Address, Doc: "address of the metrics endpoint; empty means none"},
			{Section: section, Name: "dial_timeout", Kind: config.Duration, Default: "300ms", Doc: "timeout for connecting to a backend server"},
			{Section: section, Name: "silence", Kind: config.Duration, Default: "1500ms", Doc: "time after which a connection to a backend server that acknowledges no data counts as broken"},
			{Section: section, Name: "idle_timeout", Kind: config.Duration, Default: "8s", Doc: "how long an idle connection to a backend server is kept, unless the server announces a shorter time"},
			{Section: section, Name: "grace", Kind: config.Duration, Default: "8s", Doc: "grace period between the stop signal and forced termination"},
			{Section: section, Name: "drain", Kind: config.Duration, Default: "2500ms", Doc: "how long callers may keep using open connections after the stop signal; the platform needs two polls, a second apart, to see that the instance is not ready"},
			{Section: section, Name: "memory", Kind: config.Size, Default: "0", Doc: "memory available to the process; the limit of the garbage collector is set well below it. 0 means no limit"},
			{Section: section, Name: "descriptors", Kind: config.Int, Default: "0", Doc: "file descriptors available to the process, of which callers may take a part. 0 means those that the operating system allows"},
			{Section: section, Name: "repeat_ratio", Kind: config.Float, Default: "0.1", Doc: "retries allowed for each request of a service, over all instances"},
			{Section: section, Name: "repeat_extra", Kind: config.Float, Default: "0", Doc: "additional retries allowed in each window, over all instances"},
			{Section: section, Name: "repeat_window", Kind: config.Duration, Default: "10s", Doc: "window of the retry budget"},
			{Section: section, Name: "balance", Kind: config.Enum, Accepted: []string{balanceCounts, balanceEven}, Default: balanceCounts, Doc: "how servers are chosen. " + balanceCounts + " compares counts of requests. " + balanceEven + " weighs reports by their age and exchanges them with other instances, for services whose servers report the pace of their machines; for other services it is as " + balanceCounts},
		},
		New: func() kernel.Module { return &Forward{} },
	})
}

const (
	// trimInterval is the time between checks for idle connections.
	trimInterval = time.Second
	// serverBuffer is the size in bytes of the operating system's buffers of a connection to a
	// server, which fill while a caller does not read a stream.
	serverBuffer = 16 << 10
)

// Forward accepts the requests of callers and forwards them to backend servers.
type Forward struct {
	host         *kernel.Host
	pool         *upstream.Pool
	servers      serverStates
	retryBudgets retryBudgets
	latencies    serviceLatencies
	demand       demandTotals
	reach        zoneReach
	even         evenLoad

	entry     *callerserver.Server
	readiness *callerserver.Server
	metrics   *callerserver.Server
	leaving   atomic.Bool
	// stop decides which requests are still taken on during a stop. The project's own
	// interface stops by another time (kernel.Host.StopBudget).
	stop kernel.StopBudget
	// loaded is true once a request did not have to wait for the first catalog; waiting
	// counts those that do.
	loaded  atomic.Bool
	waiting atomic.Int64
	memory  memory
	// callers bounds the connections and requests of callers.
	callers policy.CallerLimits

	cancel context.CancelFunc
	done   sync.WaitGroup
	// requestsCtx ends shortly before the end of the grace period of a stop, so
	// that requests in progress still get a response.
	requestsCtx    context.Context
	cancelRequests context.CancelFunc
}

// Provision implements kernel.Provisioner.
func (f *Forward) Provision(h *kernel.Host) error {
	s := h.Settings
	f.host = h
	f.servers.ejections = h.Decisions.Ejections
	if f.servers.ejections == nil {
		f.servers.ejections = policy.NoEjections{}
	}
	f.servers.logger = h.Logger
	f.even.on, f.even.host, f.even.servers = s.String(section, "balance") == balanceEven, h, &f.servers
	f.retryBudgets.ratio = s.Float(section, "repeat_ratio")
	f.retryBudgets.extra = s.Float(section, "repeat_extra")
	f.retryBudgets.window = s.Duration(section, "repeat_window")
	bytes := s.Bytes(section, "memory")
	if bytes > 0 {
		membudget.LimitProcess(bytes)
	}
	bytes = cmp.Or(bytes, defaultMemory)
	f.callers = policy.NewCallerLimits(bytes, callerserver.Descriptors(s.Int(section, "descriptors")))
	f.memory = f.newMemory(bytes, f.callers)
	f.pool = upstream.New(upstream.Options{
		DialTimeout: s.Duration(section, "dial_timeout"),
		UserTimeout: s.Duration(section, "silence"),
		IdleTimeout: s.Duration(section, "idle_timeout"),
		MaxOpen:     f.callers.ServerConnections,
		Buffer:      serverBuffer,
	})
	f.requestsCtx, f.cancelRequests = context.WithCancel(context.Background())
	f.entry = callerserver.New(callerserver.Options{
		Logger: h.Logger, Handler: http.HandlerFunc(f.serve), Limits: connLimits(catalog.Limits{}), Room: f.callers,
		OnClose: func(p policy.CallerPhase) { h.Counter(`caller_connections_closed{phase="` + p.String() + `"}`).Inc(1) },
	})
	if h.Catalogs != nil {
		h.Catalogs.OnCatalog(f.refresh)
	}
	return nil
}

// Validate implements kernel.Validator.
func (f *Forward) Validate() error {
	if f.host.Settings.String(section, "listen") != "" && f.host.Catalogs == nil {
		return errors.New("[forward] listen: requires the discovery module")
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
	f.done.Go(func() { f.trimIdle(ctx) })
	if err := f.entry.Listen(address); err != nil {
		return errors.Wrap(err, "forward")
	}
	var err error
	if f.readiness, err = serveInternal(f.host.Logger, s.String(section, "readiness"), f.readinessHandler()); err != nil {
		return errors.Wrap(err, "forward readiness")
	}
	if f.metrics, err = serveInternal(f.host.Logger, s.String(section, "metrics"), f.metricsHandler()); err != nil {
		return errors.Wrap(err, "forward metrics")
	}
	f.host.Logger.Info("server for callers listening", "address", address)
	return nil
}

// trimIdle closes connections that have been idle for too long.
func (f *Forward) trimIdle(ctx context.Context) {
	periodic.Run(ctx, trimInterval, func(now time.Time) {
		f.pool.CloseExpired(now)
		f.memory.publish(f)
		f.even.publish(now)
	})
}

// PrepareStop implements kernel.StopPreparer. From then on the instance reports
// that it is not ready and asks callers to close their connections.
func (f *Forward) PrepareStop() {
	f.stop.Begin(time.Now().Add(f.host.Settings.Duration(section, "grace") - stopMargin - abortMargin))
	f.leaving.Store(true)
}

const (
	// stopMargin is the part of the grace period kept for the steps after the
	// last response.
	stopMargin = 700 * time.Millisecond
	// abortMargin is the time before the start of stopMargin that is reserved for
	// the responses to requests that cannot finish within the grace period. A
	// request that has not run gets a refusal.
	abortMargin = 400 * time.Millisecond
)

// Stop implements kernel.Stopper. It keeps serving for the drain time, so that
// callers can leave, and then waits for requests in progress.
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
	abort := time.AfterFunc(time.Until(began.Add(grace-abortMargin)), f.cancelRequests)
	defer abort.Stop()
	err := f.entry.Stop(ctx)
	if err != nil {
		f.host.Logger.Warn("requests aborted at the end of the grace period", "in_progress", f.entry.InProgress(), "error", err)
	}
	for _, s := range []*callerserver.Server{f.readiness, f.metrics} {
		if s != nil {
			_ = s.Close() // its requests need no response
		}
	}
	f.cancel()
	f.done.Wait()
	f.pool.Close()
	return nil
}
