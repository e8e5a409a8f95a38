package callerserver

import (
	"cmp"
	"net"
	"sync/atomic"
	"syscall"

	"golang.org/x/sys/unix"
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
	// systemFactor is the factor of what Linux adds.
	systemFactor = 2
	// backlogDivisor is the part of the memory of connections that those may take besides which
	// wait to be accepted.
	backlogDivisor = 3
)

// limitBacklog bounds the connections that wait to be accepted, whose callers may have sent
// something, to a number of bytes. Package net takes the largest number that the system permits.
func limitBacklog(l *net.TCPListener, bytes int64) error {
	size, err := receiveBufferOf(l)
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
	var err error
	controlErr := c.Control(func(fd uintptr) {
		if err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, waitingBuffer); err == nil {
			err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, sendBuffer)
		}
	})
	return cmp.Or(controlErr, err)
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
	if received, err := receiveBufferOf(c); err == nil {
		b.bytes.Store(int64(received) + systemFactor*sendBuffer)
	}
	return b.expected()
}

// expected returns the memory as far as it is known.
func (b *bufferBytes) expected() int64 {
	return cmp.Or(b.bytes.Load(), systemFactor*(receiveBuffer+sendBuffer))
}

// receiveBufferOf returns the size of the operating system's buffer of what a connection
// receives, or the connections of a listener.
func receiveBufferOf(c syscall.Conn) (int, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	var size int
	var sizeErr error
	err = raw.Control(func(fd uintptr) { size, sizeErr = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF) })
	return size, cmp.Or(err, sizeErr)
}
