// Package loopback finds addresses for the processes and instances of tests.
package loopback

import (
	"fmt"
	"math/rand/v2"
	"net"

	"github.com/pkg/errors"
)

// FreeAddress returns an address (host:port) on which nothing listens, for a network
// "tcp" or "udp". Its host is a random loopback address. Other sockets of the
// machine use 127.0.0.1, so that none takes the port before the caller listens.
func FreeAddress(network string) (string, error) {
	// 127.0.0.0/16 is left out: it holds 127.0.0.1.
	host := fmt.Sprintf("127.%d.%d.%d:0", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254))
	if network == "udp" {
		conn, err := net.ListenPacket(network, host)
		if err != nil {
			return "", errors.Wrap(err, "find free address")
		}
		defer conn.Close()
		return conn.LocalAddr().String(), nil
	}
	l, err := net.Listen(network, host)
	if err != nil {
		return "", errors.Wrap(err, "find free address")
	}
	defer l.Close()
	return l.Addr().String(), nil
}
