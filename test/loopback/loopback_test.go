package loopback

import (
	"net"
	"syscall"
	"testing"

	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"
)

// TestFreeAddressStaysFree guards against tests whose instances cannot listen
// because another socket took their port after it was found free.
func TestFreeAddressStaysFree(t *testing.T) {
	Convey("A listener on the same port of 127.0.0.1 does not take the address", t, func() {
		for range 20 {
			address, err := FreeAddress("tcp")
			So(err, ShouldBeNil)
			_, port, err := net.SplitHostPort(address)
			So(err, ShouldBeNil)
			other, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", port))
			if err == nil {
				defer other.Close()
			} else {
				So(errors.Is(err, syscall.EADDRINUSE), ShouldBeTrue) // another process has the port
			}
			l, err := net.Listen("tcp", address)
			So(err, ShouldBeNil)
			So(l.Close(), ShouldBeNil)
		}
	})
}
