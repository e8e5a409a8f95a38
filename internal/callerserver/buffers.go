package callerserver

import (
	"cmp"
	"net"
	"sync/atomic"
	"syscall"

	"golang.org/x/sys/unix"

	"github.com/savoryfold/savoryfold/internal/sockets"
)

const (
	// receiveBuffer and sendBuffer are the sizes of the operating system's buffers of a
	// connection, in bytes, without the same size that Linux adds to each for its own records.
	// Without them, the system lets a buffer grow to megabytes behind a request that is not
	// read on or a response that the caller does not read.
	receiveBuffer = 8 << 10
	sendBuffer    = 8 << 10
	// waitingBuffer is that of what a connection receives before it is accepted.
	waitingBuffer = 2 << 10
	// backlogDivisor is the part of the memory of connections that those may take besides which
	// wait to be accepted.
	backlogDivisor = 3
)

// limitBacklog bounds the connections that wait to be accepted, whose callers may have sent
// something, to a number of bytes. Package net takes the largest number that the system permits.
func limitBacklog(l *net.TCPListener, bytes int64) error {
	size, err := sockets.ReceiveBuffer(l)
	if err != nil {
		return err
	}
	raw, err := l.SyscallConn()
	if err != nil {
		return err
	}
	waiting := min(bytes/int64(max(size, 1)), maxBacklog)
	var listenErr error
	err = raw.Control(func(fd uintptr) { listenErr = unix.Listen(int(fd), int(waiting)) })
	return cmp.Or(err, listenErr)
}

// maxBacklog is the number of waiting connections that Linux permits by default.
const maxBacklog = 4096

// limitBuffers sets the sizes of the buffers of a listener's connections until they are accepted.
// It is a function for net.ListenConfig.
func limitBuffers(_, _ string, c syscall.RawConn) error {
	return sockets.SetBuffers(c, waitingBuffer, sendBuffer)
}

// bufferBytes is the memory of the operating system's buffers of one connection, 0 until it is
// known.
type bufferBytes struct{ bytes atomic.Int64 }

// set sets the buffers of a connection that was accepted, and returns their memory. It is measured
// with the first one: not every system takes the sizes that are set.
func (b *bufferBytes) set(c *net.TCPConn) int64 {
	_ = c.SetReadBuffer(receiveBuffer) // what was measured counts
	if bytes := b.bytes.Load(); bytes > 0 {
		return bytes
	}
	if received, err := sockets.ReceiveBuffer(c); err == nil {
		b.bytes.Store(int64(received) + sockets.SystemFactor*sendBuffer)
	}
	return b.expected()
}

// expected returns the memory as far as it is known.
func (b *bufferBytes) expected() int64 {
	return cmp.Or(b.bytes.Load(), sockets.SystemFactor*(receiveBuffer+sendBuffer))
}
