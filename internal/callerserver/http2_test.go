package callerserver

import (
	"bytes"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"github.com/savoryfold/savoryfold/internal/membudget"
	"github.com/savoryfold/savoryfold/policy"
)

// dialHTTP2 connects to a server with HTTP/2, sends the start of a connection and the heads of a
// number of requests without a body.
func dialHTTP2(s *Server, requests int, settings ...http2.Setting) (*tls.Conn, *http2.Framer) {
	c, err := tls.Dial("tcp", s.Address().String(), &tls.Config{InsecureSkipVerify: true, NextProtos: []string{http2.NextProtoTLS}}) // #nosec: the test's own server
	So(err, ShouldBeNil)
	_, err = io.WriteString(c, http2.ClientPreface)
	So(err, ShouldBeNil)
	framer := http2.NewFramer(c, c)
	So(framer.WriteSettings(settings...), ShouldBeNil)
	for i := range requests {
		var block bytes.Buffer
		encoder := hpack.NewEncoder(&block)
		for _, h := range []hpack.HeaderField{{Name: ":method", Value: "GET"}, {Name: ":scheme", Value: "https"}, {Name: ":authority", Value: "a.example"}, {Name: ":path", Value: "/"}} {
			So(encoder.WriteField(h), ShouldBeNil)
		}
		So(framer.WriteHeaders(http2.HeadersFrameParam{StreamID: uint32(2*i + 1), BlockFragment: block.Bytes(), EndStream: true, EndHeaders: true}), ShouldBeNil)
	}
	return c, framer
}

// startIdle starts a server with TLS and an idle timeout.
func startIdle(t *testing.T, idle time.Duration, h http.HandlerFunc) *Server {
	s := New(Options{
		Logger: slog.New(slog.DiscardHandler), Handler: h, TLS: testTLS(t), Limits: Limits{IdleTimeout: idle, HeaderTimeout: time.Second},
		Room: policy.CallerLimits{Connections: 1000, ConnectionBytes: 1 << 30}, Refuse: func(http.ResponseWriter, *http.Request) {},
	})
	if err := s.Listen("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	return s
}

// TestClosedConnectionsAreFreed guards against connections of HTTP/2 that are closed during their
// requests and stay in memory until the idle timeout or a write deadline.
func TestClosedConnectionsAreFreed(t *testing.T) {
	const conns, requests = 50, 4
	var served, freed atomic.Int64
	s := startIdle(t, time.Minute, func(w http.ResponseWriter, r *http.Request) {
		if served.Add(1)%requests == 1 {
			runtime.AddCleanup(callerConnOf(r), func(int) { freed.Add(1) }, 0)
		}
		<-r.Context().Done()
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(time.Minute))
	})
	Convey("A connection that was closed during its requests is freed", t, func() {
		for range conns {
			before := served.Load()
			c, _ := dialHTTP2(s, requests)
			eventually(func() bool { return served.Load() == before+requests })
			So(c.NetConn().Close(), ShouldBeNil)
		}
		So(eventually(func() bool { runtime.GC(); return freed.Load() == conns }), ShouldBeTrue)
	})
}

// eventually waits until a condition holds, for 10 s at most, and reports whether it does.
func eventually(condition func() bool) bool {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

// TestLargestFrame guards against a buffer of 1 MiB for the frames of each connection.
func TestLargestFrame(t *testing.T) {
	s := startIdle(t, time.Minute, func(http.ResponseWriter, *http.Request) {})
	Convey("A caller learns that frames of 16 KiB are the largest ones", t, func() {
		c, framer := dialHTTP2(s, 0)
		defer c.Close()
		frame, err := framer.ReadFrame()
		So(err, ShouldBeNil)
		So(frame, ShouldHaveSameTypeAs, &http2.SettingsFrame{})
		size, _ := frame.(*http2.SettingsFrame).Value(http2.SettingMaxFrameSize)
		So(size, ShouldEqual, 16<<10)
	})
}

// TestIdleTimeout guards against connections with TLS that stay open without a request, or are
// closed during one.
func TestIdleTimeout(t *testing.T) {
	const idle = 100 * time.Millisecond
	s := startIdle(t, idle, func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(3 * idle)
		_, _ = io.WriteString(w, "ok")
	})
	Convey("An idle connection of HTTP/2 is closed after GOAWAY, once its requests have their responses", t, func() {
		c, framer := dialHTTP2(s, 2)
		defer c.Close()
		responses, away := 0, false
		var err error
		for err == nil {
			var frame http2.Frame
			frame, err = framer.ReadFrame()
			if err != nil {
				break
			}
			if frame.Header().Type == http2.FrameData && frame.Header().Flags.Has(http2.FlagDataEndStream) {
				So(away, ShouldBeFalse)
				responses++
			}
			if f, ok := frame.(*http2.GoAwayFrame); ok {
				away = true
				So(f.ErrCode, ShouldEqual, http2.ErrCodeNo)
			}
		}
		So(responses, ShouldEqual, 2)
		So(away, ShouldBeTrue)
		So(eventually(func() bool { open, _ := s.Connections(); return open == 0 }), ShouldBeTrue)
	})
	Convey("An idle connection of HTTP/1 is closed", t, func() {
		for _, next := range []string{"", "GE"} {
			c := dialServer(s, true)
			_, err := fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n")
			So(err, ShouldBeNil)
			So(readStatus(c), ShouldEqual, http.StatusOK)
			_, err = io.WriteString(c, next)
			So(err, ShouldBeNil)
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			context.AfterFunc(ctx, func() { _ = c.Close() })
			_, err = io.Copy(io.Discard, c)
			So(err, ShouldBeNil)
			So(ctx.Err(), ShouldBeNil)
			cancel()
		}
	})
}

// TestUnreadResponsesOverHTTP2 guards against responses of HTTP/2 that are not read and keep the
// memory of their requests while others need it.
func TestUnreadResponsesOverHTTP2(t *testing.T) {
	for _, size := range []int{100, 1 << 20} {
		b := membudget.New(policy.MemoryShares{Limit: 1 << 20, GroupFactor: 100, MemberFactor: 100, StallTime: policy.StallTime}, nil)
		served := make(chan struct{}, 1)
		s := startIdle(t, time.Minute, func(w http.ResponseWriter, r *http.Request) {
			hold := b.Open("a", "a")
			defer hold.Close()
			if hold.Grow(600<<10) != nil {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			served <- struct{}{}
			defer BeginResponse(w, r, hold)()
			_, _ = w.Write(make([]byte, size))
		})
		Convey(fmt.Sprint("A request whose caller does not read gives way, bytes: ", size), t, func() {
			c, _ := dialHTTP2(s, 1, http2.Setting{ID: http2.SettingInitialWindowSize, Val: 0})
			defer c.Close()
			<-served                                                                                                                            // before another request can get the memory
			client := &http.Client{Transport: &http.Transport{ForceAttemptHTTP2: true, TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}} // #nosec: the test's own server
			defer client.CloseIdleConnections()
			var statuses []int
			So(eventually(func() bool {
				resp, err := client.Get("https://" + s.Address().String())
				if err != nil {
					return false
				}
				defer resp.Body.Close()
				statuses = append(statuses, resp.StatusCode)
				return resp.StatusCode == http.StatusOK
			}), ShouldBeTrue)
			So(statuses[0], ShouldEqual, http.StatusServiceUnavailable)
		})
	}
}
