package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/savoryfold/savoryfold/policy"
)

// earlyServer is a server that answers once it has the head of a request.
func earlyServer(answer func(c *net.TCPConn, r *http.Request)) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					answer(c.(*net.TCPConn), r)
				}
			}()
		}
	}()
	return l
}

const (
	// earlyPause is the time until a client that uploads more than the buffers of a
	// connection hold waits for the server.
	earlyPause = 20 * time.Millisecond
	// longUpload is more than these buffers hold.
	longUpload = 6 << 20
	// earlyAttempts is how often an end is tried that depends on which of two calls comes
	// first.
	earlyAttempts = 15
)

// TestEarlyAnswers guards against answers to requests whose body is still being sent, and
// that are cut or taken for cut: the error of a connection is reported once, to the call that
// sends or to the one that reads, and all later reads see an orderly end.
func TestEarlyAnswers(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	rst := func(c *net.TCPConn, _ *http.Request) { reset(c) }
	pause := func(c *net.TCPConn, _ *http.Request) { time.Sleep(earlyPause) }
	fin := func(c *net.TCPConn, _ *http.Request) { _ = c.CloseWrite() }
	readOn := func(_ *net.TCPConn, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) }
	type steps = []func(*net.TCPConn, *http.Request)
	for _, c := range []struct {
		name   string
		steps  steps
		broken bool
	}{
		{"reset at once", steps{rst}, true},
		{"reset while the client waits to send", steps{pause, rst}, true},
		{"reset while the client sends", steps{func(_ *net.TCPConn, r *http.Request) { _, _ = io.CopyN(io.Discard, r.Body, 1<<20) }, rst}, true},
		{"closed, and the rest of the request is read", steps{fin, readOn}, false},
		{"closed, and the connection reset later", steps{fin, pause, rst}, false},
		{"closed while the client waits to send, and reset later", steps{pause, fin, pause, rst}, false},
		{"closed at the end of the request", steps{readOn}, false},
	} {
		for _, slow := range []bool{false, true} {
			Convey(fmt.Sprintf("An early answer without a length, %s; read late: %t", c.name, slow), t, func() {
				l := earlyServer(func(conn *net.TCPConn, r *http.Request) {
					write(conn, head+"\r\npart")
					for _, step := range c.steps {
						step(conn, r)
					}
				})
				defer l.Close()
				p := New(testOptions)
				defer p.Close()
				for range earlyAttempts {
					end, data, err := earlyExchange(p, l.Addr().String(), slow)
					if c.broken {
						So(end.Verdict(), ShouldNotEqual, policy.AnswerComplete)
						continue
					}
					So(err, ShouldBeNil)
					So(end.Verdict(), ShouldEqual, policy.AnswerComplete)
					So(data, ShouldEqual, "part")
				}
			})
		}
	}
	Convey("An early answer with a length, on a connection that is kept, is complete, and the server gets no other request in place of the rest of the body", t, func() {
		rest := make(chan int64, 1)
		l := earlyServer(func(conn *net.TCPConn, r *http.Request) {
			write(conn, head+"Content-Length: 4\r\n\r\npart")
			time.Sleep(5 * earlyPause)
			n, _ := io.Copy(io.Discard, r.Body) // reads on
			select {
			case rest <- n:
			default:
			}
		})
		defer l.Close()
		p := New(testOptions)
		defer p.Close()
		end, data, err := earlyExchange(p, l.Addr().String(), false)
		So(err, ShouldBeNil)
		So(end.Verdict(), ShouldEqual, policy.AnswerComplete)
		So(data, ShouldEqual, "part")
		_, err = fetch(p, l.Addr().String(), []byte("x"))
		So(err, ShouldBeNil)
		So(p.Dials(), ShouldEqual, 2)
		So(<-rest, ShouldBeLessThan, longUpload)
	})
}

// earlyExchange sends a long request and reads the answer, some time after its head if slow
// is true.
func earlyExchange(p *Pool, address string, slow bool) (policy.AnswerEnd, string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	x, err := p.Do(ctx, &Request{Address: address, Method: http.MethodPost, URI: "/", Host: "h", Header: http.Header{}, Body: make(Bytes, longUpload)})
	if err != nil {
		return policy.AnswerEnd{Framing: policy.FramingUnknown, Cause: EndCause(err), Place: policy.InHead}, "", err
	}
	defer x.Close()
	if slow {
		time.Sleep(3 * earlyPause)
	}
	data, err := io.ReadAll(x)
	end := x.End(err)
	_ = x.Finish(0) // bytes that follow only close the connection
	return end, string(data), err
}

// TestHeads guards against answers that are none by their first line or their framing, and
// against the refusal of those of sound servers.
func TestHeads(t *testing.T) {
	for _, c := range []struct {
		answer string
		ok     bool
	}{
		{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", true},
		{"HTTP/1.1 200\r\nContent-Length: 2\r\n\r\nok", true},
		{"HTTP/1.1 200 \r\nContent-Length: 2\r\n\r\nok", true},
		{"HTTP/1.1 200 all is well\r\nContent-Length: 2\r\n\r\nok", true},
		{"HTTP/1.1 200 OK\nContent-Length: 2\n\nok", true},
		{"HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok", true},
		{"HTTP/1.0 200 OK\r\n\r\nok", true},
		{"HTTP/1.2 200 OK\r\nContent-Length: 2\r\n\r\nok", true},
		{"HTTP/1.1 299 Other\r\nContent-Length: 2\r\n\r\nok", true},
		{"HTTP/1.1 599 Other\r\nContent-Length: 2\r\n\r\nok", true},
		{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nok", true},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 9\r\n\r\n2\r\nok\r\n0\r\n\r\n", true},
		{"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 199 Other\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", true},

		{"HTTP/0.9 200 OK\r\nContent-Length: 2\r\n\r\nok", false},
		{"HTTP/2.0 200 OK\r\nContent-Length: 2\r\n\r\nok", false},
		{"HTTP/1.1  200 OK\r\nContent-Length: 2\r\n\r\nok", false},
		{"HTTP/1.1\t200 OK\r\nContent-Length: 2\r\n\r\nok", false},
		{"HTTP/1.1 600 Other\r\nContent-Length: 2\r\n\r\nok", false},
		{"HTTP/1.1 999 Other\r\nContent-Length: 2\r\n\r\nok", false},
		{"HTTP/1.1 000 Other\r\nContent-Length: 2\r\n\r\nok", false},
		{"HTTP/1.1 0 Other\r\nContent-Length: 2\r\n\r\nok", false},
		{"HTTP/1.1 099 Other\r\nContent-Length: 2\r\n\r\nok", false},
		{"HTTP/1.1 1200 Other\r\nContent-Length: 2\r\n\r\nok", false},
		{"HTTP/1.1 -200 Other\r\nContent-Length: 2\r\n\r\nok", false},
		{"HTTP/1.1 +20 Other\r\nContent-Length: 2\r\n\r\nok", false},
		{"HTTP/1.1 020 Other\r\nContent-Length: 2\r\n\r\nok", false},
		{"HTTP/1.1 200OK\r\nContent-Length: 2\r\n\r\nok", false},
		{"HTTP/1.1\r\nContent-Length: 2\r\n\r\nok", false},
		{"HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false},
		{"HTTP/2.0 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false},
		{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 1\r\n\r\nok", false},
		{"HTTP/1.1 200 OK\r\nContent-Length: 2, 1\r\n\r\nok", false},
		{"HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nok", false},
		{"HTTP/1.1 200 OK\r\nContent-Length: +2\r\n\r\nok", false},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nok", false},
		{"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", false},
		{"HTTP/1.0 200 OK\r\nContent-Length: 2\r\ntransfer-encoding: chunked\r\n\r\nok", false},
		{"HTTP/1.1 200 OK\r\nContent-Le", false},
		{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n", false},
	} {
		for _, end := range []string{"close", "reset"} {
			Convey(fmt.Sprintf("An answer %q, then %s", c.answer, end), t, func() {
				s := newRawServer(t, func(_, _ int, conn net.Conn) {
					write(conn, c.answer)
					if end == "reset" {
						time.Sleep(earlyPause)
						reset(conn)
					}
					_ = conn.Close()
				})
				defer s.listener.Close()
				got, err := fetch(New(testOptions), s.listener.Addr().String(), []byte("x"))
				framed := c.answer != "HTTP/1.0 200 OK\r\n\r\nok"
				if !c.ok || end == "reset" && !framed {
					So(err, ShouldNotBeNil)
					So(MaybeSent(err), ShouldBeTrue)
					return
				}
				So(err, ShouldBeNil)
				So(got, ShouldEqual, "ok")
			})
		}
	}
}
