package discovery

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/savoryfold/savoryfold/internal/upstream"
	"github.com/savoryfold/savoryfold/platform"
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

// TestSlowReader guards against a zone that waits for its reader while the reader
// receives a large response over a slow link.
func TestSlowReader(t *testing.T) {
	Convey("A reader that has been receiving a response for long refuses reads that wait for it", t, func() {
		d := &Discovery{leaving: make(chan struct{}), operators: &watch{topic: platform.OperatorTopic}, servers: &watch{topic: platform.ServersTopic}}
		d.operators.history.reset(7)
		d.operators.history.setDirect(true)
		read := func(from uint64) int {
			body, err := cbor.Marshal(recordsRequest{platform.OperatorTopic, from})
			So(err, ShouldBeNil)
			w := httptest.NewRecorder()
			d.serveRecords(w, httptest.NewRequest(http.MethodPost, recordsPath, bytes.NewReader(body)))
			return w.Code
		}
		d.operators.pending.setReceiving(time.Now())
		So(read(7), ShouldEqual, http.StatusServiceUnavailable) // after the wait
		d.operators.pending.setReceiving(time.Now().Add(-time.Second))
		began := time.Now()
		So(read(7), ShouldEqual, http.StatusServiceUnavailable)
		So(time.Since(began), ShouldBeLessThan, peerReadWait/2)
		d.operators.history.add([]platform.StoreRecord{{Key: "k", Offset: 7}})
		So(read(7), ShouldEqual, http.StatusOK)
		d.operators.pending.end()
		So(read(8), ShouldEqual, http.StatusOK)
	})
}
