package discovery

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/savoryfold/savoryfold/internal/upstream"
)

// TestInterruptedRead guards against a read from another instance that starts over
// while its response is arriving.
func TestInterruptedRead(t *testing.T) {
	Convey("With a read from another instance", t, func() {
		respond, begun, finish := make(chan struct{}), make(chan struct{}), make(chan struct{})
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			<-respond
			_, _ = w.Write([]byte("first"))
			_ = http.NewResponseController(w).Flush()
			close(begun)
			<-finish
			_, _ = w.Write([]byte("last"))
		}))
		defer server.Close()
		pool := upstream.New(upstream.FleetOptions())
		defer pool.Close()
		var p pendingRead
		ctx, interrupted := p.begin(context.Background())
		result := make(chan error, 1)
		go func() {
			x, err := pool.Do(p.call(ctx), &upstream.Request{Address: server.Listener.Addr().(*net.TCPAddr).String(), Method: http.MethodGet, URI: "/", Host: "h"})
			if err == nil {
				_, err = x.ReadAll(1 << 10)
				x.Close()
			}
			result <- err
		}()
		Convey("that is held, an interrupt ends it", func() {
			So(p.interrupt(), ShouldBeTrue)
			So(<-result, ShouldNotBeNil)
			So(interrupted(), ShouldBeTrue)
			close(respond)
			close(finish)
		})
		Convey("whose response is arriving, an interrupt has no effect", func() {
			close(respond)
			<-begun
			for p.receivingFor(time.Now()) == 0 {
				time.Sleep(time.Millisecond)
			}
			So(p.interrupt(), ShouldBeFalse)
			close(finish)
			So(<-result, ShouldBeNil)
			So(interrupted(), ShouldBeFalse)
		})
	})
}
