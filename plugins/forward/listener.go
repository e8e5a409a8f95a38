package forward

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/savoryfold/savoryfold/catalog"
	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/platform"
)

// Limits that hold before the first configuration, and where it says nothing.
// They are those of net/http or common among servers.
const (
	defaultHeaderBytes   = http.DefaultMaxHeaderBytes
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = time.Minute
	// smallTimeout bounds requests for readiness and metrics.
	smallTimeout = 5 * time.Second
	// acceptPause is the pause after a connection that could not be accepted.
	acceptPause = 20 * time.Millisecond
)

// entryServer serves callers. The limits of net/http's server cannot change
// while it runs, so every change of them starts a server for new connections.
type entryServer struct {
	logger     *slog.Logger
	handler    http.Handler
	inProgress atomic.Int64

	mu       sync.Mutex
	listener net.Listener    // guarded by mu
	limits   catalog.Limits  // guarded by mu
	current  *handedListener // guarded by mu
	servers  []*http.Server  // the current one is the last; guarded by mu
	stopped  bool            // guarded by mu
}

func newEntryServer(logger *slog.Logger, h http.Handler) *entryServer {
	e := &entryServer{logger: logger}
	e.handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.inProgress.Add(1)
		defer e.inProgress.Add(-1)
		h.ServeHTTP(w, r)
	})
	return e
}

// start listens and serves.
func (e *entryServer) start(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	e.mu.Lock()
	e.listener = l
	e.serveNew()
	e.mu.Unlock()
	go e.accept(l)
	return nil
}

// accept hands every connection to the server in force.
func (e *entryServer) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// Out of descriptors, mostly: it passes when connections end.
			e.logger.Error("connection not accepted", "error", err)
			time.Sleep(acceptPause)
			continue
		}
		e.hand(c)
	}
}

// hand gives a connection to the server in force. One whose listener closed
// meanwhile was replaced by another.
func (e *entryServer) hand(c net.Conn) {
	for {
		e.mu.Lock()
		current, stopped := e.current, e.stopped
		e.mu.Unlock()
		if stopped {
			_ = c.Close() // nothing was read from it
			return
		}
		if current.hand(c) {
			return
		}
	}
}

// setLimits puts limits in force for new connections.
func (e *entryServer) setLimits(l catalog.Limits) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if l == e.limits || e.stopped {
		return
	}
	e.limits = l
	if e.listener != nil {
		e.serveNew()
	}
}

// serveNew starts a server with the limits in force. The caller holds mu.
func (e *entryServer) serveNew() {
	headerBytes, headerTimeout, idleTimeout := e.limits.HeaderBytes, e.limits.HeaderTimeout, e.limits.IdleTimeout
	if headerBytes <= 0 {
		headerBytes = defaultHeaderBytes
	}
	if headerTimeout <= 0 {
		headerTimeout = defaultHeaderTimeout
	}
	if idleTimeout <= 0 {
		idleTimeout = defaultIdleTimeout
	}
	server := &http.Server{
		Handler: e.handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: headerBytes,
		ErrorLog: slog.NewLogLogger(e.logger.Handler(), slog.LevelDebug),
	}
	old := e.current
	e.current = &handedListener{address: e.listener.Addr(), conns: make(chan net.Conn), closed: make(chan struct{})}
	e.servers = append(e.servers, server)
	go func(l net.Listener) {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			e.logger.Error("entry ended", "error", err)
		}
	}(e.current)
	if old != nil {
		_ = old.Close()
	}
}

// stop ends listening and idle connections and lets requests in progress finish
// until the context ends; then it breaks them off.
func (e *entryServer) stop(ctx context.Context) error {
	e.mu.Lock()
	e.stopped = true
	if e.listener != nil {
		_ = e.listener.Close()
	}
	servers := e.servers
	e.mu.Unlock()
	var wg sync.WaitGroup
	var mu sync.Mutex
	var first error
	for _, s := range servers {
		wg.Go(func() {
			if err := s.Shutdown(ctx); err != nil {
				_ = s.Close() // breaks off what the grace does not allow
				mu.Lock()
				defer mu.Unlock()
				first = err
			}
		})
	}
	wg.Wait()
	return first
}

// handedListener is a listener whose connections another one accepts.
type handedListener struct {
	address net.Addr
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

// hand gives a connection to the listener's server, and reports whether it
// takes one.
func (l *handedListener) hand(c net.Conn) bool {
	select {
	case l.conns <- c:
		return true
	case <-l.closed:
		return false
	}
}

// Accept implements net.Listener.
func (l *handedListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *handedListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *handedListener) Addr() net.Addr { return l.address }

// serveSmall serves a handler on an address of its own; none if it is empty.
func serveSmall(logger *slog.Logger, address string, h http.Handler) (*http.Server, error) {
	if address == "" {
		return nil, nil
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	server := &http.Server{
		Handler: h, ReadHeaderTimeout: smallTimeout, ReadTimeout: smallTimeout, WriteTimeout: smallTimeout, IdleTimeout: defaultIdleTimeout,
		ErrorLog: slog.NewLogLogger(logger.Handler(), slog.LevelDebug),
	}
	go func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			logger.Error("listener ended", "address", address, "error", err)
		}
	}()
	return server, nil
}

// readinessHandler tells the platform whether the instance takes connections:
// it has a configuration and is not leaving.
func (f *Forward) readinessHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if f.leaving.Load() || f.host.Catalogs.Catalog() == nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	return mux
}

// metricsHandler serves the metrics and the dump of the process's state.
func (f *Forward) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		if err := kernel.WriteMetrics(w, f.host.Metrics); err != nil {
			f.host.Logger.Debug("metrics not written", "error", err)
		}
	})
	return mux
}
