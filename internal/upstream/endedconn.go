package upstream

import (
	"context"
	"io"
	"net"
	"sync"
	"syscall"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// endedConn is a TCP connection whose Read returns the error that ended the connection,
// also if a Write got it. The system reports such an error once, to the call that comes
// first. To a Read after it, the connection looks as if the peer had closed it in order, so
// that an answer whose end is that of its connection would look complete.
type endedConn struct {
	net.Conn
	// writing is held during each Write.
	writing sync.Mutex
	// writeErr is the first error of a Write; guarded by writing.
	writeErr error
}

// DialContext returns a function for http.Transport that dials with a dialer. Connections
// report resets to whoever reads, also if a request is being sent meanwhile.
func DialContext(d *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &endedConn{Conn: c}, nil
	}
}

// SyscallConn implements syscall.Conn.
func (c *endedConn) SyscallConn() (syscall.RawConn, error) {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.Errorf("%T has no file descriptor", c.Conn)
	}
	return raw.SyscallConn()
}

// Write implements net.Conn.
func (c *endedConn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil && c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Read implements net.Conn.
func (c *endedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != io.EOF || !c.gone() {
		return n, err
	}
	// A Write in progress ends at once, since the connection is gone.
	c.writing.Lock()
	defer c.writing.Unlock()
	// EPIPE is the error if the peer closed the connection in order, and reset it later.
	if c.writeErr != nil && !errors.Is(c.writeErr, syscall.EPIPE) {
		return n, c.writeErr
	}
	return n, err
}

// tcpClose is the state of a connection that was reset or has timed out (TCP_CLOSE).
const tcpClose = 7

// gone reports whether the connection was reset or has timed out, rather than closed by the
// peer. That includes one that this side has closed since: net/http does so if a request
// cannot be sent.
func (c *endedConn) gone() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	gone := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		gone = err == nil && info.State == tcpClose
	})
	return err != nil || gone
}
