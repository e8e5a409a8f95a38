package callerserver

import (
	"cmp"
	"context"
	"crypto/tls"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/savoryfold/savoryfold/internal/membudget"
	"github.com/savoryfold/savoryfold/policy"
)

// callerConn is a connection of a caller.
type callerConn struct {
	*net.TCPConn
	room   *room
	secure bool
	// sentBytes is used by the goroutine that serves the connection.
	sentBytes   bool
	multiplexed atomic.Bool
	// base is the memory of the connection without the head of a request, requests that of its
	// requests of HTTP/2; guarded by the mutex of room.
	base, requests int64
	// held is the memory that the connection holds, closing is true from the decision to close
	// it until it has ended; guarded by the mutex of room.
	held    int64
	closing bool

	mu sync.Mutex
	// phase is what the connection is used for since began, progress when bytes were last read
	// in it; guarded by mu.
	phase           policy.CallerPhase
	began, progress time.Time
	// reading is true until a head has been read, of which head is the memory so far; guarded
	// by mu.
	reading bool
	head    int64
	// large is true from a head that was counted until the next idle time; guarded by mu.
	large bool
	// streams and completeStreams are the numbers of requests of a connection of HTTP/2, and of
	// those that have arrived; guarded by mu.
	streams, completeStreams int
	// hold is the memory of a complete request in progress, nil without one; guarded by mu.
	hold *membudget.Hold
	// hasRead is true if bytes were read since the last response; guarded by mu.
	hasRead bool
	// ended is closed once the connection has to be closed for others.
	ended chan struct{}
	// crowded reports whether connections wait to be accepted.
	crowded func() bool
	// abandonWrite ends a write that waits for the caller.
	abandonWrite func()
	// idle is true from the end of a response until the head of the next request was read;
	// guarded by mu.
	idle bool
	// receivedAt is when bytes were last read after the last write, zero if none were: a part
	// of the next request, or the rest of a body that the response did not wait for; guarded
	// by mu.
	receivedAt time.Time
	// ending is true if the connection ends unless a byte is read first; guarded by mu.
	ending bool
	// unread is true from the end of a handler that did not read the whole body until the next
	// request, unreadLeft what may be read of the rest meanwhile; guarded by mu.
	unread     bool
	unreadLeft int
	// idleTimer is nil until a connection with TLS is idle first; guarded by mu.
	idleTimer *time.Timer
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	if c.skippedTooMuch() {
		return 0, os.ErrDeadlineExceeded // http.Server then responds and closes the connection
	}
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		if head := c.received(p[:n]); head > 0 {
			c.room.setHead(c, head)
		}
	}
	return n, err
}

// received records that bytes were read. It returns the memory of the head that they are part
// of, 0 while it need not be counted.
func (c *callerConn) received(p []byte) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.receivedAt = time.Now()
	c.unreadLeft -= len(p)
	c.hasRead = true
	if c.ending {
		c.ending = false
		_ = c.TCPConn.SetReadDeadline(time.Time{}) // http.Server sets its own next
	}
	return c.countHead(p)
}

// setUnread records that a handler has ended and did not read the whole body, or that the next
// request is awaited.
func (c *callerConn) setUnread(unread bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unread, c.unreadLeft = unread, maxUnreadBytes
}

// skippedTooMuch reports whether no more of the rest of a body may be read.
func (c *callerConn) skippedTooMuch() bool {
	c.mu.Lock()
	unread, left := c.unread, c.unreadLeft
	c.mu.Unlock()
	return unread && (left <= 0 || left <= maxUnreadBytes-crowdedUnreadBytes && c.crowded())
}

// Close implements net.Conn. If the caller may still be sending a body, it gets time to read the
// response: bytes that arrive after the connection is closed would make its system discard it.
// Much is discarded only while no other connections wait to be accepted.
func (c *callerConn) Close() error {
	c.mu.Lock()
	unread := c.unread
	c.unread = false // the next call closes at once
	c.mu.Unlock()
	if unread && c.CloseWrite() == nil && c.TCPConn.SetReadDeadline(time.Now().Add(lingerTime)) == nil {
		for left := lingerBytes; left > 0 && !c.crowded(); left -= lingerStep {
			if _, err := io.CopyN(io.Discard, struct{ io.Reader }{c.TCPConn}, lingerStep); err != nil {
				break // the caller has sent all, or has left
			}
		}
	}
	return c.TCPConn.Close()
}

// Write implements net.Conn.
func (c *callerConn) Write(p []byte) (int, error) {
	hold := c.beginWrite()
	defer hold.MayAbandon(nil)
	return c.TCPConn.Write(p)
}

// ReadFrom implements io.ReaderFrom, for which a net.TCPConn has a fast path.
func (c *callerConn) ReadFrom(r io.Reader) (int64, error) {
	hold := c.beginWrite()
	defer hold.MayAbandon(nil)
	return c.TCPConn.ReadFrom(r)
}

// beginWrite begins a write. The request in progress may be abandoned during the write if the
// caller does not read. It returns the memory of the request, which may be nil.
func (c *callerConn) beginWrite() *membudget.Hold {
	c.mu.Lock()
	c.receivedAt = time.Time{}
	hold := c.hold
	c.mu.Unlock()
	hold.MayAbandonStalled(c.abandonWrite)
	return hold
}

// setHold sets the memory of the request in progress.
func (c *callerConn) setHold(h *membudget.Hold) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hold = h
}

// AbandonUnread lets a complete request of HTTP/1 end for lack of memory, with a closed
// connection, while its caller does not read the response.
func AbandonUnread(r *http.Request, hold *membudget.Hold) {
	if conn := callerConnOf(r); conn != nil && r.ProtoMajor == 1 {
		conn.setHold(hold)
	}
}

// past is a deadline that has passed.
var past = time.Unix(1, 0)

// SetReadDeadline implements net.Conn. A connection that is ending keeps its deadline.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ending {
		t = past
	}
	return c.TCPConn.SetReadDeadline(t)
}

// setIdle records whether the connection waits for a request.
func (c *callerConn) setIdle(idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = idle
}

// endIfIdle makes the connection end if it waits for a request of which nothing was read. The
// goroutine that serves it then closes it. Bytes that have arrived and may be a part of the
// request have headTime to become one.
func (c *callerConn) endIfIdle(now time.Time, headTime time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idle || c.ending || now.Sub(c.receivedAt) < headTime {
		return
	}
	c.ending = true
	_ = c.TCPConn.SetReadDeadline(past)
}

// reset closes the connection with a reset, and before TLS could announce its end.
func (c *callerConn) reset(logger *slog.Logger) {
	err := c.SetLinger(0)
	if err = cmp.Or(err, c.TCPConn.Close()); err != nil {
		logger.Info("could not reset a caller's connection", "error", err)
	}
}

// unwrap returns the caller's connection behind c, or nil if there is none.
func unwrap(c net.Conn) *callerConn {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	conn, _ := c.(*callerConn)
	return conn
}

type callerConnKey struct{}

// withCallerConn adds the caller's connection to the context of its requests. It is a hook
// of http.Server.
func withCallerConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, unwrap(c))
}

func callerConnOf(r *http.Request) *callerConn {
	conn, _ := r.Context().Value(callerConnKey{}).(*callerConn)
	return conn
}

// trackState counts the connections by what they have sent. It is a hook of http.Server.
func (s *Server) trackState(c net.Conn, state http.ConnState) {
	conn := unwrap(c)
	if conn == nil {
		return
	}
	if state != http.StateNew && !conn.sentBytes {
		conn.sentBytes = true
		s.silent.Add(-1)
		if t, ok := c.(*tls.Conn); ok && t.ConnectionState().NegotiatedProtocol == "h2" {
			s.multiplexed.Add(1)
			s.room.setMultiplexed(conn)
		}
	}
	conn.setIdle(state == http.StateIdle)
	if state == http.StateIdle {
		conn.setUnread(false)
	}
	if t, ok := c.(*tls.Conn); ok {
		s.limitIdle(t, conn, state)
	}
	if state == http.StateIdle && !conn.multiplexed.Load() && conn.awaitRequest() {
		s.room.setHead(conn, 0)
	}
	if state == http.StateIdle && !conn.multiplexed.Load() {
		s.idle.Store(conn, nil)
	} else {
		s.idle.Delete(conn)
	}
	if state == http.StateClosed || state == http.StateHijacked {
		s.open.Add(-1)
		s.room.remove(conn)
		if conn.multiplexed.Load() {
			s.multiplexed.Add(-1)
		}
	}
}

// acceptedConns is the number of connections that may be accepted before the goroutine that starts
// to serve them runs. With one core and many callers, it runs rarely.
const acceptedConns = 64

// chanListener is a listener for connections that another listener has
// accepted.
type chanListener struct {
	address net.Addr
	conns   chan net.Conn

	mu     sync.RWMutex
	closed bool // guarded by mu; nothing is sent to conns from then on
}

// deliver passes a connection to Accept, and reports false if the listener is
// closed.
func (l *chanListener) deliver(c net.Conn) bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	if l.closed {
		return false
	}
	l.conns <- c
	return true
}

// Accept implements net.Listener. Connections that were delivered before Close are accepted.
func (l *chanListener) Accept() (net.Conn, error) {
	if c, open := <-l.conns; open {
		return c, nil
	}
	return nil, net.ErrClosed
}

// Close implements net.Listener.
func (l *chanListener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.closed {
		l.closed = true
		close(l.conns)
	}
	return nil
}

// Addr implements net.Listener.
func (l *chanListener) Addr() net.Addr { return l.address }
