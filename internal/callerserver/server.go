// Package callerserver serves HTTP to callers. Unlike http.Server alone it answers all
// requests that reach it before it stops, and lets callers of HTTP/1.0 tell a response that
// is broken off.
package callerserver

import (
	"cmp"
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/savoryfold/savoryfold/internal/backoff"
	"github.com/savoryfold/savoryfold/policy"
)

const (
	// acceptRetryDelay is the delay after a connection that could not be
	// accepted.
	acceptRetryDelay = 20 * time.Millisecond
	// backlogTime is how long a server that stops goes on accepting, and the timeout for
	// accepting a connection that is waiting. Connections that are established but not
	// accepted would be reset when the listener closes.
	backlogTime = 50 * time.Millisecond
	// silentTime is how long a server that stops waits for a connection that has sent
	// nothing. closeCheckInterval is the time between checks that connections are closed.
	silentTime = 300 * time.Millisecond
	// headTime is how long a server that stops waits for the rest of a request's head after
	// bytes of it have arrived.
	headTime           = time.Second
	closeCheckInterval = 2 * time.Millisecond
	// refuseTime bounds the time to write that there is no room for a request.
	refuseTime = 100 * time.Millisecond
	// maxStreams is the number of requests in progress on one connection of HTTP/2. streamBuffer
	// is what of the bodies on a connection may arrive before they are read, and maxFrame the
	// largest frame, for which a connection has a buffer; the library takes no less.
	maxStreams   = 100
	streamBuffer = 64 << 10
	maxFrame     = 16 << 10
)

// Limits bound the connections of callers.
type Limits struct {
	// HeaderBytes bounds the headers of a request, HeaderTimeout the time to read them.
	HeaderBytes   int
	HeaderTimeout time.Duration
	// IdleTimeout is the time after which an idle connection is closed.
	IdleTimeout time.Duration
}

// Options are the properties of a server that cannot change while it runs.
type Options struct {
	Logger  *slog.Logger
	Handler http.Handler
	// TLS is nil for a server without TLS.
	TLS *tls.Config
	// ReadTimeout bounds the time to read a request. 0 means no bound.
	ReadTimeout time.Duration
	// WriteTimeout bounds the time to write a response. 0 means no bound.
	WriteTimeout time.Duration
	// Limits may be changed by SetLimits.
	Limits Limits
	// Room bounds the connections and their memory. The zero value means no bounds.
	Room policy.CallerLimits
	// UncountedBuffers leaves the operating system's buffers out of the memory of Room, whose
	// number of connections bounds them: for callers that hardly fill them.
	UncountedBuffers bool
	// Refuse responds to a request that shares its connection with others and for which there
	// is no room. It is required with TLS and Room.
	Refuse http.HandlerFunc
	// OnClose is called for each connection that is closed for lack of room, unless it is nil.
	OnClose func(policy.CallerPhase)
}

// Server serves callers. The limits of an http.Server cannot change while it runs, so every
// change of limits starts a new one for new connections.
type Server struct {
	options    Options
	inProgress atomic.Int64
	// accepting ends with the loop that accepts connections.
	accepting sync.WaitGroup
	// open counts the connections that are accepted and not closed. Of them, silent counts
	// those that have sent nothing yet, and multiplexed those of HTTP/2.
	open, silent, multiplexed atomic.Int64
	// unfinished has the connections with a request of HTTP/1.0 in progress as its keys.
	unfinished sync.Map
	// idle has the connections that wait for a request as its keys.
	idle sync.Map
	// stopping is true from the time from which each response closes its connection.
	stopping atomic.Bool
	room     *room

	mu       sync.Mutex
	listener *net.TCPListener // guarded by mu
	limits   Limits           // guarded by mu
	current  *chanListener    // guarded by mu
	servers  []*http.Server   // the current one is the last; guarded by mu
	stopped  bool             // guarded by mu
}

// New returns a server. Listen starts it.
func New(o Options) *Server { return &Server{options: o, limits: o.Limits, room: newRoom(o)} }

// InProgress returns the number of requests in progress.
func (s *Server) InProgress() int64 { return s.inProgress.Load() }

// MaxConnections returns the number of connections for which there is memory, besides the heads
// of their requests.
func (s *Server) MaxConnections() int { return s.room.maxConnections() }

// Connections returns the number of connections and the memory that is counted for them.
func (s *Server) Connections() (open int, held int64) { return s.room.usage() }

// Address returns the address that the server listens on. It must not be called before
// Listen.
func (s *Server) Address() net.Addr {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listener.Addr()
}

// Listen listens on an address (host:port) and serves in the background.
func (s *Server) Listen(address string) error {
	var config net.ListenConfig
	if s.room.bounded() {
		config.Control = limitBuffers
	}
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	l := listener.(*net.TCPListener) // as the network is "tcp"
	if s.room.bounded() {
		if err := limitBacklog(l, s.options.Room.ConnectionBytes/backlogDivisor); err != nil {
			_ = l.Close()
			return errors.Wrap(err, "listen")
		}
	}
	s.mu.Lock()
	s.listener = l
	s.startServer()
	s.mu.Unlock()
	s.accepting.Go(func() { s.accept(l) })
	return nil
}

// accept passes every connection to the current server.
func (s *Server) accept(l *net.TCPListener) {
	for {
		c, err := l.AcceptTCP()
		if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		if err != nil {
			// The usual cause is that the process is out of file descriptors,
			// which are freed when connections end.
			s.options.Logger.Error("could not accept a connection, retrying", "error", err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		s.handOff(c)
	}
}

// crowded reports whether connections wait to be accepted.
func (s *Server) crowded() bool {
	s.mu.Lock()
	l := s.listener
	s.mu.Unlock()
	waiting, err := hasBacklog(l)
	return err == nil && waiting // there is an error once the listener is closed
}

// handOff passes a connection to the current server. If the listener of that
// server has closed in the meantime, another server has replaced it.
func (s *Server) handOff(c *net.TCPConn) {
	conn := &callerConn{TCPConn: c, room: s.room, secure: s.options.TLS != nil, reading: true, crowded: s.crowded, ended: make(chan struct{})}
	conn.abandonWrite = func() { _ = c.SetWriteDeadline(past) }
	conn.setPhase(policy.CallerIncomplete, time.Now())
	if !s.room.add(conn, s.crowded) {
		return
	}
	s.open.Add(1)
	s.silent.Add(1)
	for {
		s.mu.Lock()
		current := s.current
		s.mu.Unlock()
		if current.deliver(conn) {
			return
		}
	}
}

// serve serves one request. A response of HTTP/1.0 may end with its connection, so that the
// connection is reset if it closes before the response is complete.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	s.inProgress.Add(1)
	defer s.inProgress.Add(-1)
	if s.stopping.Load() && r.ProtoMajor == 1 {
		w.Header().Set("Connection", "close")
	}
	conn := callerConnOf(r)
	if conn != nil && r.ProtoMajor == 1 {
		if s.room.bounded() {
			conn.delayPipelined()
		}
		defer s.trackRequest(conn, w, r)()
		defer conn.setHold(nil)
	}
	if conn != nil && r.ProtoMajor > 1 && s.room.bounded() {
		head := headBytes(r) + streamBytes
		if !s.room.addRequest(conn, head) {
			// What is refused is not counted, so it must not wait for a caller that does not read.
			_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(refuseTime))
			s.options.Refuse(w, r)
			return
		}
		defer s.room.endRequest(conn, head)
		defer conn.trackStream(r)()
		// The library writes the rest of a response after the handler, when nothing counts it.
		defer func() { _ = http.NewResponseController(w).Flush() }()
	}
	if conn == nil || r.ProtoAtLeast(1, 1) {
		s.options.Handler.ServeHTTP(w, r)
		return
	}
	s.unfinished.Store(conn, nil)
	complete := false
	defer func() {
		s.unfinished.Delete(conn)
		if !complete {
			conn.reset(s.options.Logger)
		}
	}()
	s.options.Handler.ServeHTTP(w, r)
	complete = true
}

// SetLimits applies limits to new connections.
func (s *Server) SetLimits(l Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l == s.limits || s.stopped {
		return
	}
	s.limits = l
	if s.listener != nil {
		s.startServer()
	}
}

// startServer starts a server with the current limits, in place of the previous
// one. The caller holds mu.
func (s *Server) startServer() {
	server := &http.Server{
		Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: s.limits.HeaderTimeout, ReadTimeout: s.options.ReadTimeout, WriteTimeout: s.options.WriteTimeout,
		IdleTimeout: s.limits.IdleTimeout, MaxHeaderBytes: s.limits.HeaderBytes, TLSConfig: s.options.TLS,
		ErrorLog:    slog.NewLogLogger(s.options.Logger.Handler(), slog.LevelDebug),
		ConnState:   s.trackState,
		ConnContext: withCallerConn,
	}
	if s.options.TLS != nil {
		server.IdleTimeout, server.WriteTimeout = noIdleTimeout, cmp.Or(s.options.WriteTimeout, longWriteTimeout)
	}
	if s.room.bounded() {
		server.HTTP2 = &http.HTTP2Config{
			MaxConcurrentStreams: maxStreams, MaxReceiveBufferPerConnection: streamBuffer, MaxReceiveBufferPerStream: streamBuffer, MaxReadFrameSize: maxFrame,
		}
	}
	old := s.current
	s.current = &chanListener{address: s.listener.Addr(), conns: make(chan net.Conn, acceptedConns)}
	s.servers = append(s.servers, server)
	go func(l net.Listener) {
		serve := server.Serve
		if s.options.TLS != nil {
			serve = func(l net.Listener) error { return server.ServeTLS(l, "", "") }
		}
		if err := serve(l); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			s.options.Logger.Error("server for callers failed", "error", err)
		}
	}(s.current)
	if old != nil {
		_ = old.Close()
	}
}

// Close closes the listener and all connections at once. Requests in progress get no response.
func (s *Server) Close() error {
	s.mu.Lock()
	s.stopped = true
	l, servers := s.listener, s.servers
	s.mu.Unlock()
	var err error
	if l != nil {
		err = l.Close()
		s.accepting.Wait()
	}
	for _, server := range servers {
		err = cmp.Or(err, server.Close())
	}
	return err
}

// Stop accepts what has reached the listener, closes it and idle connections, and waits
// for requests in progress. When the context ends, it aborts those that remain.
func (s *Server) Stop(ctx context.Context) error {
	s.stopAccepting(ctx)
	s.mu.Lock()
	s.stopped = true
	servers := s.servers
	s.mu.Unlock()
	// http.Server.Shutdown would drop the requests of HTTP/1 that it reads from then on
	// without a response, and SetKeepAlivesEnabled closes connections as idle of whose next
	// request a part was read. Instead each response closes its connection, and
	// awaitRequests ends those that are idle.
	s.stopping.Store(true)
	err := s.awaitRequests(ctx)
	if err == nil && s.multiplexed.Load() > 0 {
		for _, server := range servers {
			err = cmp.Or(err, server.Shutdown(ctx))
		}
	}
	s.unfinished.Range(func(conn, _ any) bool {
		conn.(*callerConn).reset(s.options.Logger)
		return true
	})
	for _, server := range servers {
		_ = server.Close() // what remains has sent nothing, or exceeds the grace period
	}
	return err
}

// awaitRequests waits until all connections are closed, but for those of HTTP/2 and those
// that have sent nothing for silentTime. It returns the context's error if that ends first.
func (s *Server) awaitRequests(ctx context.Context) error {
	began := time.Now()
	for {
		now := time.Now()
		s.idle.Range(func(conn, _ any) bool {
			conn.(*callerConn).endIfIdle(now, headTime)
			return true
		})
		open := s.open.Load() - s.multiplexed.Load()
		if open == 0 || open == s.silent.Load() && time.Since(began) > silentTime {
			return nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		backoff.Sleep(ctx, closeCheckInterval)
	}
}

// stopAccepting closes the listener once all connections that have reached it are
// accepted.
func (s *Server) stopAccepting(ctx context.Context) {
	s.mu.Lock()
	l := s.listener
	s.mu.Unlock()
	if l == nil {
		return
	}
	backoff.Sleep(ctx, backlogTime)
	if err := l.SetDeadline(time.Unix(1, 0)); err != nil {
		s.options.Logger.Warn("could not accept the rest of the connections", "error", err)
		_ = l.Close()
	}
	s.accepting.Wait()
	s.acceptBacklog(l)
	_ = l.Close()
}

// acceptBacklog accepts the connections that wait in the listener's backlog.
func (s *Server) acceptBacklog(l *net.TCPListener) {
	for {
		waiting, err := hasBacklog(l)
		if err == nil && !waiting {
			return
		}
		var c *net.TCPConn
		if err == nil {
			err = l.SetDeadline(time.Now().Add(backlogTime))
		}
		if err == nil {
			c, err = l.AcceptTCP()
		}
		if err != nil {
			s.options.Logger.Warn("could not accept the rest of the connections", "error", err)
			return
		}
		s.handOff(c)
	}
}

// hasBacklog reports whether a connection waits to be accepted.
func hasBacklog(l *net.TCPListener) (bool, error) {
	raw, err := l.SyscallConn()
	if err != nil {
		return false, err
	}
	ready := 0
	var pollErr error
	err = raw.Control(func(fd uintptr) {
		ready, pollErr = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
	})
	return ready > 0, cmp.Or(err, pollErr)
}
