package callerserver

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestStopAnswersAcceptedConnections guards against a planned stop that closes
// connections on which a request has just been sent, without a response.
func TestStopAnswersAcceptedConnections(t *testing.T) {
	Convey("Every request that was sent before the stop gets a response", t, func() {
		const rounds, connections = 10, 100
		cut := 0
		for range rounds {
			s := New(Options{Logger: slog.New(slog.DiscardHandler), Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				time.Sleep(5 * time.Millisecond)
				_, _ = w.Write([]byte("ok"))
			})})
			So(s.Listen("127.0.0.1:0"), ShouldBeNil)
			address := s.Address().String()
			var sent, answered sync.WaitGroup
			var unanswered atomic.Int64
			for range connections {
				sent.Add(1)
				answered.Go(func() {
					if err := sendRequest(address, sent.Done); err != nil {
						unanswered.Add(1)
					}
				})
			}
			sent.Wait()
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			So(s.Stop(ctx), ShouldBeNil)
			cancel()
			answered.Wait()
			cut += int(unanswered.Load())
		}
		So(cut, ShouldEqual, 0)
	})
}

// TestStopAnswersRequestsBeingRead guards against a planned stop that closes a connection as
// idle although a part of its next request has been read: the rest may have been read by
// then, and the request be passed on.
func TestStopAnswersRequestsBeingRead(t *testing.T) {
	for _, secure := range []bool{false, true} {
		Convey(fmt.Sprint("A request of which a part was read when the stop began gets a response, with TLS: ", secure), t, func() {
			config := testTLS(t)
			if !secure {
				config = nil
			}
			s := startServer(t, config, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok")) })
			c := dialServer(s, config != nil)
			defer c.Close()
			reader := bufio.NewReader(c)
			exchange := func(before func()) {
				_, err := fmt.Fprint(c, "GET / HTTP/1.1\r\n")
				So(err, ShouldBeNil)
				before()
				_, err = fmt.Fprint(c, "Host: a.example\r\n\r\n")
				So(err, ShouldBeNil)
				r, err := http.ReadResponse(reader, nil)
				So(err, ShouldBeNil)
				_, err = io.Copy(io.Discard, r.Body)
				So(err, ShouldBeNil)
				So(r.StatusCode, ShouldEqual, http.StatusOK)
			}
			exchange(func() {})
			idle := dialServer(s, config != nil)
			defer idle.Close()
			_, err := fmt.Fprint(idle, "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n")
			So(err, ShouldBeNil)
			_, err = http.ReadResponse(bufio.NewReader(idle), nil)
			So(err, ShouldBeNil)
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			stopped := make(chan error, 1)
			began := time.Now()
			exchange(func() {
				time.Sleep(20 * time.Millisecond) // the first part is read
				go func() { stopped <- s.Stop(ctx) }()
				time.Sleep(200 * time.Millisecond)
			})
			So(<-stopped, ShouldBeNil)
			So(time.Since(began), ShouldBeLessThan, time.Second) // the idle connection did not delay it
			_, err = reader.ReadByte()
			So(err, ShouldEqual, io.EOF)
		})
	}
}

// dialServer connects to a server.
func dialServer(s *Server, secure bool) net.Conn {
	if secure {
		c, err := tls.Dial("tcp", s.Address().String(), &tls.Config{InsecureSkipVerify: true}) // #nosec: the test's own server
		So(err, ShouldBeNil)
		return c
	}
	c, err := net.Dial("tcp", s.Address().String())
	So(err, ShouldBeNil)
	return c
}

// sendRequest sends a request over a new connection, calls sent, and reads the response.
func sendRequest(address string, sent func()) error {
	c, err := net.Dial("tcp", address)
	if err == nil {
		_, err = fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n")
	}
	sent()
	if err != nil {
		return err
	}
	defer c.Close()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}
