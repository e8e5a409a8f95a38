package callerserver

import (
	"bufio"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"log/slog"
	"math/big"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/savoryfold/savoryfold/internal/membudget"
	"github.com/savoryfold/savoryfold/policy"
)

// testTLS returns the settings of a server with a certificate of its own.
func testTLS(t *testing.T) *tls.Config {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	return &tls.Config{Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}}}
}

// startServer starts a server, with TLS if config is not nil.
func startServer(t *testing.T, config *tls.Config, h http.HandlerFunc) *Server {
	s := New(Options{Logger: slog.New(slog.DiscardHandler), Handler: h, TLS: config})
	if err := s.Listen("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	return s
}

// dial connects to a server, with TLS if the server has it.
func dial(s *Server) (net.Conn, error) {
	if s.options.TLS != nil {
		return tls.Dial("tcp", s.Address().String(), &tls.Config{InsecureSkipVerify: true})
	}
	return net.Dial("tcp", s.Address().String())
}

// TestCallersCanTellAbortedResponses guards against callers that take a response for complete
// because their protocol ends it with the connection.
func TestCallersCanTellAbortedResponses(t *testing.T) {
	const part = "a part of a body"
	for _, k := range []struct {
		name string
		// end ends the response of a handler that has written part of it.
		end func(stop context.CancelFunc)
		// complete is true if the response is complete.
		complete bool
	}{
		{"is complete", func(context.CancelFunc) {}, true},
		{"is broken off", func(context.CancelFunc) { panic(http.ErrAbortHandler) }, false},
		{"exceeds the grace period of a stop", func(stop context.CancelFunc) { stop(); time.Sleep(100 * time.Millisecond) }, false},
	} {
		for _, config := range []*tls.Config{nil, testTLS(t)} {
			for _, head := range []string{"HTTP/1.0\r\n", "HTTP/1.0\r\nConnection: keep-alive\r\n", "HTTP/1.1\r\n", "HTTP/1.1\r\nConnection: close\r\n"} {
				Convey(fmt.Sprintf("A response that %s can be told by callers of %q, TLS %t", k.name, head, config != nil), t, func() {
					stopped := make(chan struct{})
					ctx, stop := context.WithCancel(context.Background())
					s := startServer(t, config, func(w http.ResponseWriter, _ *http.Request) {
						_, _ = io.WriteString(w, part)
						_ = http.NewResponseController(w).Flush()
						k.end(stop)
					})
					conn, err := dial(s)
					So(err, ShouldBeNil)
					defer conn.Close()
					_, err = fmt.Fprintf(conn, "GET / %sHost: a.example\r\n\r\n", head)
					So(err, ShouldBeNil)
					resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
					So(err, ShouldBeNil)
					go func() {
						defer close(stopped)
						_ = s.Stop(ctx) // ends with the context if the request exceeds it
					}()
					body, err := io.ReadAll(resp.Body)
					So(string(body), ShouldEqual, part)
					So(err == nil, ShouldEqual, k.complete)
					<-stopped
					stop()
				})
			}
		}
	}
}

// TestStopWithHTTP2 guards against a stop that waits for idle connections of HTTP/2, or that
// breaks off a response on one.
func TestStopWithHTTP2(t *testing.T) {
	Convey("A stop answers the request in progress and closes the connection", t, func() {
		started, proceed := make(chan struct{}), make(chan struct{})
		s := startServer(t, testTLS(t), func(w http.ResponseWriter, _ *http.Request) {
			close(started)
			<-proceed
			_, _ = io.WriteString(w, "whole")
		})
		client := &http.Client{Transport: &http.Transport{ForceAttemptHTTP2: true, TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}}
		defer client.CloseIdleConnections()
		bodies := make(chan string, 1)
		go func() {
			resp, err := client.Get("https://" + s.Address().String())
			if err != nil {
				bodies <- err.Error()
				return
			}
			defer resp.Body.Close()
			body, err := io.ReadAll(resp.Body)
			bodies <- fmt.Sprint(resp.ProtoMajor, string(body), err)
		}()
		<-started
		time.AfterFunc(100*time.Millisecond, func() { close(proceed) })
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		So(s.Stop(ctx), ShouldBeNil)
		So(<-bodies, ShouldEqual, "2whole<nil>")
	})
}

// TestAbandonUnread guards against responses that are not read and keep the memory of their
// requests while others need it.
func TestAbandonUnread(t *testing.T) {
	Convey("A request whose caller does not read gives way, one whose caller reads does not", t, func() {
		b := membudget.New(policy.MemoryShares{Limit: 1 << 20, GroupFactor: 100, MemberFactor: 100, StallTime: policy.StallTime}, nil)
		held, ended := make(chan struct{}, 2), make(chan error, 2)
		s := startServer(t, nil, func(w http.ResponseWriter, r *http.Request) {
			hold := b.Open("a", "a")
			defer hold.Close()
			if hold.Grow(600<<10) != nil {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			AbandonUnread(r, hold)
			held <- struct{}{}
			_, err := w.Write(make([]byte, 32<<20))
			ended <- err
		})
		request := func() net.Conn {
			c := dialServer(s, false)
			_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n")
			So(err, ShouldBeNil)
			return c
		}
		defer request().Close()
		<-held // before another request can get the memory
		status := 0
		for end := time.Now().Add(10 * time.Second); status != http.StatusOK && time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			c := request()
			status = readStatus(c)
			_ = c.Close()
		}
		So(status, ShouldEqual, http.StatusOK)
		first, second := <-ended, <-ended
		So((first == nil) != (second == nil), ShouldBeTrue)
	})
}
