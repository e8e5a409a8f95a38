// Package sockets sets and reads the sizes of the operating system's buffers of connections.
package sockets

import (
	"cmp"
	"syscall"

	"golang.org/x/sys/unix"
)

// SystemFactor is the factor by which Linux enlarges a size that is set, for its own records.
const SystemFactor = 2

// SetBuffers sets the sizes in bytes of the buffers of what a connection, or those of a listener,
// receive and send. Without sizes, Linux lets them grow to megabytes.
func SetBuffers(c syscall.RawConn, receive, send int) error {
	var err error
	controlErr := c.Control(func(fd uintptr) {
		if err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receive); err == nil {
			err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, send)
		}
	})
	return cmp.Or(controlErr, err)
}

// ReceiveBuffer returns the size of the buffer of what a connection, or those of a listener,
// receive. Not every system takes the size that is set.
func ReceiveBuffer(c syscall.Conn) (int, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	var size int
	var sizeErr error
	err = raw.Control(func(fd uintptr) { size, sizeErr = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF) })
	return size, cmp.Or(err, sizeErr)
}
