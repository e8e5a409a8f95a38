package forward

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/savoryfold/savoryfold/catalog"
	"github.com/savoryfold/savoryfold/internal/backoff"
	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/platform"
)

// Defaults before the first configuration, and for limits that it does not set.
// They are those of net/http or common among servers.
const (
	defaultHeaderBytes   = http.DefaultMaxHeaderBytes
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = time.Minute
	// internalTimeout bounds requests for readiness and metrics.
	internalTimeout = 5 * time.Second
	// acceptRetryDelay is the delay after a connection that could not be
	// accepted.
	acceptRetryDelay = 20 * time.Millisecond
	// backlogTime is how long a server that stops goes on accepting: connections that
	// are established but not accepted would be reset when its listener closes.
	backlogTime = 50 * time.Millisecond
	// handOffInterval is the time between checks that all accepted connections have
	// reached their server.
	handOffInterval = time.Millisecond
)

// entryServer serves callers. The limits of an http.Server cannot change while
// it runs, so every change of limits starts a new one for new connections.
type entryServer struct {
	logger     *slog.Logger
	handler    http.Handler
	inProgress atomic.Int64
	// accepting ends with the loop that accepts connections. handedOff counts the
	// accepted connections that their http.Server does not know yet.
	accepting sync.WaitGroup
	handedOff atomic.Int64

	mu       sync.Mutex
	listener *net.TCPListener // guarded by mu
	limits   catalog.Limits   // guarded by mu
	current  *chanListener    // guarded by mu
	servers  []*http.Server   // the current one is the last; guarded by mu
	stopped  bool             // guarded by mu
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

// start listens on an address and serves in the background.
func (e *entryServer) start(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	e.mu.Lock()
	e.listener = l.(*net.TCPListener) // as the network is "tcp"
	e.startServer()
	e.mu.Unlock()
	e.accepting.Go(func() { e.accept(l) })
	return nil
}

// accept passes every connection to the current server.
func (e *entryServer) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		if err != nil {
			// The usual cause is that the process is out of file descriptors,
			// which are freed when connections end.
			e.logger.Error("could not accept a connection, retrying", "error", err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		e.handOff(c)
	}
}

// handOff passes a connection to the current server. If the listener of that
// server has closed in the meantime, another server has replaced it.
func (e *entryServer) handOff(c net.Conn) {
	e.handedOff.Add(1)
	for {
		e.mu.Lock()
		current, stopped := e.current, e.stopped
		e.mu.Unlock()
		if stopped {
			e.handedOff.Add(-1)
			_ = c.Close() // nothing was read from it
			return
		}
		if current.deliver(c) {
			return
		}
	}
}

// setLimits applies limits to new connections.
func (e *entryServer) setLimits(l catalog.Limits) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if l == e.limits || e.stopped {
		return
	}
	e.limits = l
	if e.listener != nil {
		e.startServer()
	}
}

// startServer starts a server with the current limits, in place of the previous
// one. The caller holds mu.
func (e *entryServer) startServer() {
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
		ConnState: func(_ net.Conn, state http.ConnState) {
			if state == http.StateNew {
				e.handedOff.Add(-1)
			}
		},
	}
	old := e.current
	e.current = &chanListener{address: e.listener.Addr(), conns: make(chan net.Conn), closed: make(chan struct{})}
	e.servers = append(e.servers, server)
	go func(l net.Listener) {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			e.logger.Error("server for callers failed", "error", err)
		}
	}(e.current)
	if old != nil {
		_ = old.Close()
	}
}

// stop accepts what has reached the listener, closes it and idle connections, and waits
// for requests in progress. When the context ends, it aborts those that remain.
func (e *entryServer) stop(ctx context.Context) error {
	e.stopAccepting(ctx)
	e.mu.Lock()
	e.stopped = true
	servers := e.servers
	e.mu.Unlock()
	var wg sync.WaitGroup
	var mu sync.Mutex
	var shutdownErr error
	for _, s := range servers {
		wg.Go(func() {
			if err := s.Shutdown(ctx); err != nil {
				_ = s.Close() // aborts requests that exceed the grace period
				mu.Lock()
				defer mu.Unlock()
				shutdownErr = err
			}
		})
	}
	wg.Wait()
	return shutdownErr
}

// stopAccepting closes the listener once all connections that have reached it are known
// to their server.
func (e *entryServer) stopAccepting(ctx context.Context) {
	e.mu.Lock()
	l := e.listener
	e.mu.Unlock()
	if l == nil {
		return
	}
	if err := l.SetDeadline(time.Now().Add(backlogTime)); err != nil {
		e.logger.Warn("could not accept the rest of the connections", "error", err)
		_ = l.Close()
	}
	e.accepting.Wait()
	_ = l.Close()
	for e.handedOff.Load() > 0 && ctx.Err() == nil {
		backoff.Sleep(ctx, handOffInterval)
	}
}

// chanListener is a listener for connections that another listener has
// accepted.
type chanListener struct {
	address net.Addr
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

// deliver passes a connection to Accept, and reports false if the listener is
// closed.
func (l *chanListener) deliver(c net.Conn) bool {
	select {
	case l.conns <- c:
		return true
	case <-l.closed:
		return false
	}
}

// Accept implements net.Listener.
func (l *chanListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *chanListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *chanListener) Addr() net.Addr { return l.address }

// serveInternal serves a handler on an address of its own. It does nothing if
// the address is empty.
func serveInternal(logger *slog.Logger, address string, h http.Handler) (*http.Server, error) {
	if address == "" {
		return nil, nil
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	server := &http.Server{
		Handler: h, ReadHeaderTimeout: internalTimeout, ReadTimeout: internalTimeout, WriteTimeout: internalTimeout, IdleTimeout: defaultIdleTimeout,
		ErrorLog: slog.NewLogLogger(logger.Handler(), slog.LevelDebug),
	}
	go func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			logger.Error("server for readiness or metrics failed", "address", address, "error", err)
		}
	}()
	return server, nil
}

// readinessHandler reports to the platform whether the instance takes
// connections: it has a configuration and is not leaving.
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

// metricsHandler serves the metrics in the Prometheus text format.
func (f *Forward) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		if err := kernel.WriteMetrics(w, f.host.Metrics); err != nil {
			f.host.Logger.Debug("could not write metrics", "error", err)
		}
	})
	return mux
}
