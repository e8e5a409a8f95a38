package callerserver

import (
	"crypto/tls"
	"math"
	"net"
	"net/http"
	"time"

	"golang.org/x/net/http2"
)

const (
	// goAwayTime is how long an idle connection of HTTP/2 stays open for a request that the caller
	// sent before it read that no more are accepted.
	goAwayTime = time.Second
	// noIdleTimeout turns the idle timeout of http.Server off. Its timer is started again when a
	// connection of HTTP/2 ends with requests in progress, and then keeps the connection in memory
	// until the timeout.
	noIdleTimeout = -1
	// longWriteTimeout is the write timeout of streams of HTTP/2 until a handler sets a shorter one.
	// Without any, a deadline that a handler sets while its stream ends keeps the connection in
	// memory until the deadline.
	longWriteTimeout = 24 * time.Hour
)

// limitIdle follows the state of a connection with TLS, and ends it once it has been idle for the
// idle timeout.
func (s *Server) limitIdle(c *tls.Conn, conn *callerConn, state http.ConnState) {
	s.mu.Lock()
	limits := s.limits
	s.mu.Unlock()
	conn.mu.Lock()
	defer conn.mu.Unlock()
	switch {
	case state != http.StateIdle || limits.IdleTimeout <= 0:
		if conn.idleTimer != nil {
			conn.idleTimer.Stop()
		}
	case conn.idleTimer == nil:
		conn.idleTimer = time.AfterFunc(limits.IdleTimeout, func() { conn.endIdle(c, limits.HeaderTimeout) })
	default:
		conn.idleTimer.Reset(limits.IdleTimeout)
	}
}

// endIdle ends the connection unless a request has arrived. A head of HTTP/1 of which a part has
// arrived has headerTimeout to become one.
func (c *callerConn) endIdle(secure net.Conn, headerTimeout time.Duration) {
	if !c.multiplexed.Load() {
		if c.endIfIdle(time.Now(), headerTimeout); c.isIdle() {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.idleTimer.Reset(max(headerTimeout, headTime))
		}
		return
	}
	if !c.isIdle() {
		return
	}
	time.AfterFunc(goAwayTime, func() {
		if c.isIdle() {
			_ = c.Close()
		}
	})
	// The error is ignored: the connection is closed in any case.
	_ = http2.NewFramer(secure, nil).WriteGoAway(math.MaxInt32, http2.ErrCodeNo, nil)
}

// isIdle reports whether the connection waits for a request.
func (c *callerConn) isIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idle
}
