package standin

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// connections tracks the connections of a backend server, so that they can be
// dropped or go silent all at once.
type connections struct {
	mu    sync.Mutex
	open  map[*trackedConn]struct{} // guarded by mu
	until time.Time                 // no connection lives before; guarded by mu
}

// wrap returns a listener whose connections are tracked.
func (c *connections) wrap(l net.Listener) net.Listener { return &trackedListener{l, c} }

// drop resets all connections, and new ones for a time.
func (c *connections) drop(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.until = time.Now().Add(d)
	for conn := range c.open {
		go conn.reset()
	}
}

// silence lets all connections of this moment go silent for good.
func (c *connections) silence() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.open {
		conn.silent.Store(true)
	}
}

func (c *connections) add(conn net.Conn) *trackedConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := &trackedConn{Conn: conn, owner: c}
	if c.open == nil {
		c.open = make(map[*trackedConn]struct{})
	}
	if time.Now().Before(c.until) {
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

// trackedConn is a connection that can go silent: what arrives is swallowed,
// and what is written goes nowhere.
type trackedConn struct {
	net.Conn
	owner  *connections
	silent atomic.Bool
}

// Read implements net.Conn.
func (t *trackedConn) Read(b []byte) (int, error) {
	for {
		n, err := t.Conn.Read(b)
		if err != nil || !t.silent.Load() {
			return n, err
		}
	}
}

// Write implements net.Conn.
func (t *trackedConn) Write(b []byte) (int, error) {
	if t.silent.Load() {
		return len(b), nil
	}
	return t.Conn.Write(b)
}

// Close implements net.Conn.
func (t *trackedConn) Close() error {
	t.owner.remove(t)
	return t.Conn.Close()
}

// reset ends the connection as a crashed process does.
func (t *trackedConn) reset() {
	if tcp, ok := t.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = t.Conn.Close()
}
