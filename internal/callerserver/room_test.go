package callerserver

import (
	"bufio"
	"crypto/tls"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/savoryfold/savoryfold/policy"
)

const (
	wholeRequest = "POST /read HTTP/1.1\r\nHost: a.example\r\nContent-Length: 2\r\n\r\nab"
	partOfBody   = "POST /read HTTP/1.1\r\nHost: a.example\r\nContent-Length: 2\r\n\r\na"
	partOfHead   = "POST /read HTTP/1.1\r\nHost: a.exam"
)

// readStatus reads a response and returns its status, 0 if there is none.
func readStatus(c net.Conn) int {
	_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// roomReturns waits until a server whose callers have left holds no room.
func roomReturns(s *Server) bool {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		open, held := s.Connections()
		s.room.mu.Lock()
		closing := s.room.closing
		s.room.mu.Unlock()
		if open == 0 && held == 0 && closing == 0 {
			return true
		}
	}
	return false
}

// TestRoom guards against new callers that are kept out by connections on which nothing moves,
// and against connections with a complete request that are closed for others.
func TestRoom(t *testing.T) {
	manyLines := strings.Repeat("a: b\r\n", 500)
	for _, k := range []struct {
		name string
		room policy.CallerLimits
		// first is what the connections that come first send, phase that in which one of them
		// is closed once another caller comes.
		first string
		phase policy.CallerPhase
	}{
		{"a stalled body", policy.CallerLimits{Connections: 3, ConnectionBytes: 1 << 30}, partOfBody, policy.CallerIncomplete},
		{"a stalled head", policy.CallerLimits{Connections: 3, ConnectionBytes: 1 << 30}, partOfHead, policy.CallerIncomplete},
		{"nothing sent", policy.CallerLimits{Connections: 3, ConnectionBytes: 1 << 30}, "", policy.CallerIncomplete},
		{"an idle connection", policy.CallerLimits{Connections: 3, ConnectionBytes: 1 << 30}, wholeRequest, policy.CallerIdle},
		{"long heads", policy.CallerLimits{Connections: 1000, ConnectionBytes: 3*connBytes + 3*60<<10}, "POST /read HTTP/1.1\r\nHost: a.example\r\n" + manyLines, policy.CallerIncomplete},
	} {
		Convey("A new caller is served although there is no room, first: "+k.name, t, func() {
			closed := make(chan policy.CallerPhase, 10)
			s := New(Options{Logger: slog.New(slog.DiscardHandler), Room: k.room, OnClose: func(p policy.CallerPhase) { closed <- p },
				Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
					if _, err := io.Copy(io.Discard, r.Body); err != nil {
						panic(http.ErrAbortHandler)
					}
				})})
			So(s.Listen("127.0.0.1:0"), ShouldBeNil)
			conns := make([]net.Conn, 3)
			for i := range conns {
				c := dialServer(s, false)
				defer c.Close()
				conns[i] = c
				_, err := io.WriteString(c, k.first)
				So(err, ShouldBeNil)
				if k.first == wholeRequest {
					So(readStatus(c), ShouldEqual, 200)
				}
			}
			time.Sleep(policy.StallTime + 100*time.Millisecond)
			c := dialServer(s, false)
			defer c.Close()
			_, err := io.WriteString(c, strings.Replace(wholeRequest, "\r\n", "\r\n"+manyLines, 1))
			So(err, ShouldBeNil)
			So(readStatus(c), ShouldEqual, 200)
			So(<-closed, ShouldEqual, k.phase)
			for _, c := range append(conns, c) {
				_ = c.Close()
			}
			So(roomReturns(s), ShouldBeTrue)
		})
	}
	Convey("A complete request in progress is not closed for others", t, func() {
		proceed, started := make(chan struct{}), make(chan struct{})
		s := New(Options{Logger: slog.New(slog.DiscardHandler), Room: policy.CallerLimits{Connections: 1, ConnectionBytes: 1 << 30},
			Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				close(started)
				<-proceed
			})})
		So(s.Listen("127.0.0.1:0"), ShouldBeNil)
		c := dialServer(s, false)
		defer c.Close()
		_, err := io.WriteString(c, wholeRequest)
		So(err, ShouldBeNil)
		<-started
		other := dialServer(s, false)
		defer other.Close()
		So(readStatus(other), ShouldEqual, 0)
		close(proceed)
		So(readStatus(c), ShouldEqual, 200)
	})
}

// TestRoomForMultiplexedRequests guards against heads that fill the memory on few connections.
func TestRoomForMultiplexedRequests(t *testing.T) {
	Convey("A request of HTTP/2 whose head does not fit with those of others is refused", t, func() {
		proceed, started := make(chan struct{}), make(chan struct{}, 2)
		s := New(Options{Logger: slog.New(slog.DiscardHandler), TLS: testTLS(t), Room: policy.CallerLimits{Connections: 10, ConnectionBytes: 4*tlsConnBytes + 100<<10 + 2*streamBytes},
			Refuse: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) },
			Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
				started <- struct{}{}
				<-proceed
			})})
		So(s.Listen("127.0.0.1:0"), ShouldBeNil)
		client := &http.Client{Transport: &http.Transport{ForceAttemptHTTP2: true, TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}} // #nosec: the test's own server
		defer client.CloseIdleConnections()
		status := func(bytes int) int {
			r, err := http.NewRequest(http.MethodGet, "https://"+s.Address().String(), nil)
			if err != nil {
				return 0
			}
			r.Header.Set("X-Long", strings.Repeat("x", bytes))
			resp, err := client.Do(r)
			if err != nil {
				return 0
			}
			defer resp.Body.Close()
			return resp.StatusCode
		}
		first := make(chan int, 1)
		go func() { first <- status(200 << 10) }()
		<-started
		So(status(200<<10), ShouldEqual, http.StatusServiceUnavailable)
		close(proceed)
		So(<-first, ShouldEqual, http.StatusOK)
		So(status(200<<10), ShouldEqual, http.StatusOK)
		client.CloseIdleConnections()
		So(roomReturns(s), ShouldBeTrue)
	})
}

// TestNoRoomToCheck guards against a server without bounds that refuses a request because its
// connection has ended in the meantime.
func TestNoRoomToCheck(t *testing.T) {
	Convey("A request of HTTP/2 runs although its connection has ended", t, func() {
		s := New(Options{Logger: slog.New(slog.DiscardHandler), Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })})
		r := httptest.NewRequest(http.MethodGet, "/", nil)
		r.ProtoMajor = 2
		w := httptest.NewRecorder()
		s.serve(w, r.WithContext(withCallerConn(r.Context(), &callerConn{room: s.room})))
		So(w.Code, ShouldEqual, http.StatusNoContent)
	})
}

// TestUnreadBody guards against a response that waits without an end for the rest of a body
// that the handler did not read.
func TestUnreadBody(t *testing.T) {
	for _, framing := range []string{"Transfer-Encoding: chunked\r\n\r\n5\r\nab", "Content-Length: 1000\r\n\r\nab"} {
		Convey(fmt.Sprintf("A request that is refused without its body gets a response, %q", framing), t, func() {
			s := startServer(t, nil, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusUnauthorized) })
			c := dialServer(s, false)
			defer c.Close()
			_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: a.example\r\n"+framing)
			So(err, ShouldBeNil)
			So(readStatus(c), ShouldEqual, http.StatusUnauthorized)
		})
	}
}

// TestRefusedWhileSending guards against a caller that sends its whole body before it reads and
// finds the connection reset, without the response that refuses the request.
func TestRefusedWhileSending(t *testing.T) {
	const size = 3 << 20
	for _, k := range []struct{ name, header, body string }{
		{"a length", fmt.Sprintf("Content-Length: %d\r\n", size), strings.Repeat("x", size)},
		{"one chunk", "Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n", size) + strings.Repeat("x", size) + "\r\n0\r\n\r\n"},
		{"chunks of one byte", "Transfer-Encoding: chunked\r\n", strings.Repeat("1\r\nx\r\n", size/6) + "0\r\n\r\n"},
	} {
		for _, secure := range []bool{false, true} {
			Convey(fmt.Sprintf("A request that is refused gets a response, with %s, TLS: %t", k.name, secure), t, func() {
				config := testTLS(t)
				if !secure {
					config = nil
				}
				s := startServer(t, config, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusUnauthorized) })
				c := dialServer(s, secure)
				defer c.Close()
				_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: a.example\r\n"+k.header+"\r\n"+k.body)
				So(err, ShouldBeNil)
				So(readStatus(c), ShouldEqual, http.StatusUnauthorized)
			})
		}
	}
	Convey("A connection stays open after a small body that the handler did not read", t, func() {
		s := startServer(t, nil, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusUnauthorized) })
		c := dialServer(s, false)
		defer c.Close()
		reader := bufio.NewReader(c)
		for range 20 {
			_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: a.example\r\nContent-Length: 20000\r\n\r\n"+strings.Repeat("x", 20000))
			So(err, ShouldBeNil)
			resp, err := http.ReadResponse(reader, nil)
			So(err, ShouldBeNil)
			So(resp.Close, ShouldBeFalse)
			So(resp.Body.Close(), ShouldBeNil)
		}
	})
}
