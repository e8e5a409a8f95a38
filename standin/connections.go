package standin

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// connections tracks the connections of a backend server, so that all of them can
// be reset or blackholed.
type connections struct {
	mu          sync.Mutex
	open        map[*trackedConn]struct{} // guarded by mu
	refuseUntil time.Time                 // new connections are reset before; guarded by mu
}

// wrap returns a listener that tracks the connections it accepts.
func (c *connections) wrap(l net.Listener) net.Listener { return &trackedListener{l, c} }

// drop resets all connections, and new ones for the duration d.
func (c *connections) drop(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refuseUntil = time.Now().Add(d)
	for conn := range c.open {
		go conn.reset()
	}
}

// blackhole discards all further data of the connections that are open now.
func (c *connections) blackhole() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.open {
		conn.blackholed.Store(true)
	}
}

func (c *connections) add(conn net.Conn) *trackedConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := &trackedConn{Conn: conn, owner: c}
	if c.open == nil {
		c.open = make(map[*trackedConn]struct{})
	}
	if time.Now().Before(c.refuseUntil) {
		t.reset()
		return t
	}
	c.open[t] = struct{}{}
	return t
}

func (c *connections) remove(t *trackedConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, t)
}

type trackedListener struct {
	net.Listener
	owner *connections
}

// Accept implements net.Listener.
func (l *trackedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.owner.add(conn), nil
}

// trackedConn is a connection that can be blackholed: it then discards all data that
// it receives or is to send.
type trackedConn struct {
	net.Conn
	owner      *connections
	blackholed atomic.Bool
}

// Read implements net.Conn.
func (t *trackedConn) Read(b []byte) (int, error) {
	for {
		n, err := t.Conn.Read(b)
		if err != nil || !t.blackholed.Load() {
			return n, err
		}
	}
}

// Write implements net.Conn.
func (t *trackedConn) Write(b []byte) (int, error) {
	if t.blackholed.Load() {
		return len(b), nil
	}
	return t.Conn.Write(b)
}

// Close implements net.Conn.
func (t *trackedConn) Close() error {
	t.owner.remove(t)
	return t.Conn.Close()
}

// reset closes the connection with a TCP RST, as on a crash of the process.
func (t *trackedConn) reset() {
	if tcp, ok := t.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = t.Conn.Close()
}
