// Package entryhttp serves the HTTP API for callers.
//
//	POST /v1/routes/{route}   run a request; the response is one body or an event stream
//	GET  /healthz             liveness: the process runs
//	GET  /readyz              readiness: the instance accepts requests
package entryhttp

import (
	"cmp"
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/savoryfold/savoryfold/config"
	"github.com/savoryfold/savoryfold/internal/callerserver"
	"github.com/savoryfold/savoryfold/internal/httpapi"
	"github.com/savoryfold/savoryfold/internal/membudget"
	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/policy"
)

const section = "entry"

const (
	// maxHeaderBytes bounds the headers of a request.
	maxHeaderBytes = 16 << 10
	// defaultMemory is the memory of the process if the memory setting is 0.
	defaultMemory = 1 << 30
	// accountFactor is the multiple of the free memory that the requests of a client account may
	// hold, accountRouteFactor that of those of one route.
	accountFactor      = 3
	accountRouteFactor = 2
	// routeFactor lets the complete requests of one route take seven eighths of the memory for
	// requests.
	routeFactor = 7
)

func init() {
	kernel.Register(kernel.ModuleInfo{
		ID:    "entryhttp",
		Phase: kernel.PhaseEntry,
		Settings: []config.Key{
			{Section: section, Name: "listen", Kind: config.Address, Doc: "address to listen on for callers; required unless the module entryhttp is disabled"},
			{Section: section, Name: "tls_cert", Doc: "certificate file (PEM) for callers; empty means plain HTTP"},
			{Section: section, Name: "tls_key", Doc: "private key file (PEM) of tls_cert"},
			{Section: section, Name: "max_body", Kind: config.Size, Default: "1MiB", Doc: "largest request body"},
			{Section: section, Name: "max_requests", Kind: config.Int, Default: "4096", Doc: "maximum number of requests in progress; further ones are refused"},
			{Section: section, Name: "memory", Kind: config.Size, Default: "0", Doc: "memory available to the process, of which callers may take a part; the limit of the garbage collector is set well below it. 0 means 1 GiB for callers and no limit of the garbage collector"},
			{Section: section, Name: "descriptors", Kind: config.Int, Default: "0", Doc: "file descriptors available to the process, of which callers may take a part. 0 means those that the operating system allows"},
			{Section: section, Name: "header_timeout", Kind: config.Duration, Default: "5s", Doc: "longest time to read the headers of a request"},
			{Section: section, Name: "body_timeout", Kind: config.Duration, Default: "10s", Doc: "longest time to read a complete request, headers and body"},
			{Section: section, Name: "write_timeout", Kind: config.Duration, Default: "5s", Doc: "longest time that one write to a caller may take"},
			{Section: section, Name: "idle_timeout", Kind: config.Duration, Default: "60s", Doc: "time after which an idle connection is closed"},
			{Section: section, Name: "drain", Kind: config.Duration, Default: "1s", Doc: "on a graceful stop, time between reporting not ready and refusing new connections"},
		},
		New: func() kernel.Module { return &Entry{} },
	})
}

// Entry is the HTTP server for callers.
type Entry struct {
	host         *kernel.Host
	server       *callerserver.Server
	maxBodyBytes int64
	inFlight     atomic.Int64
	maxRequests  int64
	// callers bounds the connections and requests of callers, requests what the latter hold, and
	// complete the complete ones of each route.
	callers  policy.CallerLimits
	requests *membudget.Budget
	complete *membudget.Bulkhead
	drain    time.Duration
	// writeTimeout bounds each write. Without it, a caller that does not read
	// would occupy a call slot and delay a graceful stop.
	writeTimeout time.Duration
}

// Provision implements kernel.Provisioner.
func (e *Entry) Provision(h *kernel.Host) error {
	s := h.Settings
	e.host = h
	e.maxBodyBytes = s.Bytes(section, "max_body")
	e.maxRequests = int64(s.Int(section, "max_requests"))
	e.drain = s.Duration(section, "drain")
	e.writeTimeout = s.Duration(section, "write_timeout")
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/routes/{route}", e.serveRoute)
	mux.HandleFunc("GET /healthz", e.serveHealth)
	mux.HandleFunc("GET /readyz", e.serveReady)
	tlsConfig, err := httpapi.ServerTLS(s.String(section, "tls_cert"), s.String(section, "tls_key"))
	if err != nil {
		return errors.Wrap(err, "[entry]")
	}
	bytes := s.Bytes(section, "memory")
	if bytes > 0 {
		membudget.LimitProcess(bytes)
	}
	e.callers = policy.NewCallerLimits(cmp.Or(bytes, defaultMemory), callerserver.Descriptors(s.Int(section, "descriptors")))
	e.requests = membudget.New(policy.MemoryShares{Limit: e.callers.RequestMemory, GroupFactor: accountFactor, MemberFactor: accountRouteFactor, StallTime: policy.StallTime},
		func(scope policy.MemoryScope) {
			h.Counter(`memory_refused{kind="requests",scope="` + scope.String() + `"}`).Inc(1)
		})
	e.complete = membudget.NewBulkhead(policy.Bulkhead{Limit: e.callers.RequestMemory, Factor: routeFactor})
	e.server = callerserver.New(callerserver.Options{
		Room: e.callers, Refuse: refuse,
		OnClose: func(p policy.CallerPhase) { h.Counter(`caller_connections_closed{phase="` + p.String() + `"}`).Inc(1) },
		Logger:  h.Logger, Handler: e.withWriteDeadline(mux), TLS: tlsConfig, ReadTimeout: s.Duration(section, "body_timeout"),
		Limits: callerserver.Limits{HeaderBytes: maxHeaderBytes, HeaderTimeout: s.Duration(section, "header_timeout"), IdleTimeout: s.Duration(section, "idle_timeout")},
	})
	return nil
}

// refuse responds that there is no memory for a request. A body would wait for a caller that does
// not read.
func refuse(w http.ResponseWriter, _ *http.Request) {
	setOutcomeHeaders(w.Header(), noMemory)
	w.WriteHeader(httpStatus(noMemory))
}

// Validate implements kernel.Validator.
func (e *Entry) Validate() error {
	if e.host.Settings.String(section, "listen") == "" {
		return errors.New("[entry] listen: is required, want an address IP:PORT")
	}
	return nil
}

// Start implements kernel.Starter.
func (e *Entry) Start(context.Context) error {
	if err := e.server.Listen(e.host.Settings.String(section, "listen")); err != nil {
		return errors.Wrap(err, "entry")
	}
	e.host.Logger.Info("entry server listening", "address", e.Address())
	return nil
}

// Address returns the address that the server listens on. It must not be called
// before Start.
func (e *Entry) Address() string { return e.server.Address().String() }

// Stop implements kernel.Stopper. It waits for the drain time, in which the load
// balancer sees that the instance is not ready. Then it refuses new connections
// and waits for the requests that have reached it until ctx is done.
func (e *Entry) Stop(ctx context.Context) error {
	if deadline, ok := ctx.Deadline(); ok {
		e.host.StopBudget.Begin(deadline)
	}
	drained := time.NewTimer(e.drain)
	defer drained.Stop()
	select {
	case <-drained.C:
	case <-ctx.Done():
	}
	return errors.Wrap(e.server.Stop(ctx), "entry")
}

// withWriteDeadline sets a write deadline before h runs. A handler that runs longer must call
// suspendWriteDeadline, and extendWriteDeadline before it writes.
func (e *Entry) withWriteDeadline(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.extendWriteDeadline(w)
		h.ServeHTTP(w, r)
	})
}

// extendWriteDeadline sets the write deadline to writeTimeout from now.
func (e *Entry) extendWriteDeadline(w http.ResponseWriter) {
	// The error is ignored: connections of http.Server support write deadlines.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(e.writeTimeout))
}

// suspendWriteDeadline sets a write deadline beyond all requests. With HTTP/2, a deadline that
// passes ends the request even if nothing is being written.
func (e *Entry) suspendWriteDeadline(w http.ResponseWriter) {
	// The error is ignored: connections of http.Server support write deadlines.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(suspendTime))
}

func (e *Entry) serveHealth(w http.ResponseWriter, _ *http.Request) {
	httpapi.WriteJSON(w, http.StatusOK, map[string]string{"state": e.host.Instance.State().String()})
}

func (e *Entry) serveReady(w http.ResponseWriter, _ *http.Request) {
	status := http.StatusOK
	if !e.host.Instance.Ready() {
		status = http.StatusServiceUnavailable
	}
	httpapi.WriteJSON(w, status, map[string]string{"state": e.host.Instance.State().String()})
}
