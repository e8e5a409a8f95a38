package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"
)

var testOptions = Options{DialTimeout: time.Second, Silence: 2 * time.Second, Idle: 10 * time.Second}

// rawServer answers each request on each connection by a function of the
// connection's and the request's number.
type rawServer struct {
	listener net.Listener
	answer   func(conn, n int, c net.Conn)
	mu       sync.Mutex
	requests []string // guarded by mu
}

func newRawServer(t *testing.T, answer func(conn, n int, c net.Conn)) *rawServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &rawServer{listener: l, answer: answer}
	go func() {
		for conn := 0; ; conn++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(conn, c)
		}
	}()
	return s
}

func (s *rawServer) serve(conn int, c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	for n := 0; ; n++ {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		s.mu.Lock()
		s.requests = append(s.requests, r.Method+" "+r.RequestURI+" "+string(body))
		s.mu.Unlock()
		s.answer(conn, n, c)
	}
}

// seen returns the requests that arrived.
func (s *rawServer) seen() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.requests...)
}

func (s *rawServer) count() int { return len(s.seen()) }

const whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func write(c net.Conn, text string) { _, _ = io.WriteString(c, text) }

func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// fetch makes one request and reads its answer.
func fetch(p *Pool, address string, body []byte) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	x, err := p.Do(ctx, &Request{Address: address, Method: "GET", URI: "/a%2Fb?c=d", Host: "h.example", Header: http.Header{}, Body: body, MaxIdle: time.Minute})
	if err != nil {
		return "", err
	}
	defer x.Close()
	data, err := io.ReadAll(x)
	if err != nil {
		return "", err
	}
	return string(data), x.Finish(0)
}

func TestAnswers(t *testing.T) {
	for _, c := range []struct {
		name   string
		answer func(conn, n int, c net.Conn)
		want   string
		err    string
	}{
		{"whole", func(_, _ int, c net.Conn) { write(c, whole) }, "ok", ""},
		{"behind an informational one", func(_, _ int, c net.Conn) { write(c, "HTTP/1.1 103 Early Hints\r\n\r\n"+whole) }, "ok", ""},
		{"in chunks", func(_, _ int, c net.Conn) {
			write(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n")
		}, "ok", ""},
		{"without length, with the end of the connection", func(_, _ int, c net.Conn) {
			write(c, "HTTP/1.1 200 OK\r\n\r\nok")
			_ = c.Close()
		}, "ok", ""},
		{"without length, reset", func(_, _ int, c net.Conn) {
			write(c, "HTTP/1.1 200 OK\r\n\r\nok")
			time.Sleep(50 * time.Millisecond)
			reset(c)
		}, "", "reset"},
		{"cut short", func(_, _ int, c net.Conn) {
			write(c, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok")
			_ = c.Close()
		}, "", "unexpected EOF"},
		{"chunks without their end", func(_, _ int, c net.Conn) {
			write(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n")
			_ = c.Close()
		}, "", "unexpected EOF"},
		{"with bytes behind it", func(_, _ int, c net.Conn) { write(c, whole+"HTTP/1.1 200 OK\r\n") }, "ok", ErrStray.Error()},
		{"no HTTP", func(_, _ int, c net.Conn) { write(c, "\x00\x01\x02\r\n\r\n") }, "", "malformed"},
		{"none", func(_, _ int, c net.Conn) { _ = c.Close() }, "", "EOF"},
	} {
		Convey("An answer "+c.name, t, func() {
			s := newRawServer(t, c.answer)
			defer s.listener.Close()
			p := New(testOptions)
			defer p.Close()
			got, err := fetch(p, s.listener.Addr().String(), nil)
			So(got, ShouldEqual, c.want)
			if c.err == "" {
				So(err, ShouldBeNil)
			} else {
				So(err, ShouldNotBeNil)
				So(err.Error(), ShouldContainSubstring, c.err)
				So(Sent(err), ShouldBeTrue)
			}
			So(s.seen(), ShouldResemble, []string{"GET /a%2Fb?c=d "})
		})
	}
}

func TestReadAll(t *testing.T) {
	Convey("An answer of more bytes than permitted is an error, one of as many is not", t, func() {
		s := newRawServer(t, func(_, _ int, c net.Conn) { write(c, whole) })
		defer s.listener.Close()
		p := New(testOptions)
		defer p.Close()
		read := func(most int64) (string, error) {
			x, err := p.Do(context.Background(), &Request{Address: s.listener.Addr().String(), Method: "GET", URI: "/", Host: "h.example", Header: http.Header{}})
			So(err, ShouldBeNil)
			defer x.Close()
			data, err := x.ReadAll(most)
			return string(data), err
		}
		got, err := read(2)
		So(err, ShouldBeNil)
		So(got, ShouldEqual, "ok")
		_, err = read(1)
		So(err, ShouldNotBeNil)
	})
}

func TestKeptConnections(t *testing.T) {
	for _, c := range []struct {
		name   string
		answer func(conn, n int, c net.Conn)
		body   []byte
		times  int
		pause  time.Duration
		dials  int64
	}{
		{"A connection is used again after a whole answer", func(_, _ int, c net.Conn) { write(c, whole) }, []byte("body"), 3, 0, 1},
		{"One that the server closed meanwhile is not", func(_, _ int, c net.Conn) { write(c, whole); _ = c.Close() }, nil, 3, 20 * time.Millisecond, 3},
		{"One on which a second answer came is not", func(_, _ int, c net.Conn) {
			write(c, whole)
			time.AfterFunc(10*time.Millisecond, func() { write(c, whole) })
		}, nil, 2, 50 * time.Millisecond, 2},
	} {
		Convey(c.name, t, func() {
			s := newRawServer(t, c.answer)
			defer s.listener.Close()
			p := New(testOptions)
			defer p.Close()
			for range c.times {
				_, err := fetch(p, s.listener.Addr().String(), c.body)
				So(err, ShouldBeNil)
				time.Sleep(c.pause)
			}
			So(p.Dials(), ShouldEqual, c.dials)
		})
	}
	Convey("An answer to an earlier request can be skipped", t, func() {
		stray := "HTTP/1.1 200 OK\r\nX: stray\r\nContent-Length: 3\r\n\r\nold"
		s := newRawServer(t, func(_, n int, c net.Conn) {
			if n == 1 {
				write(c, stray)
			}
			write(c, whole)
		})
		defer s.listener.Close()
		p := New(testOptions)
		defer p.Close()
		_, err := fetch(p, s.listener.Addr().String(), nil)
		So(err, ShouldBeNil)
		x, err := p.Do(context.Background(), &Request{Address: s.listener.Addr().String(), Method: "GET", URI: "/", Host: "h", Header: http.Header{}, MaxIdle: time.Minute})
		So(err, ShouldBeNil)
		defer x.Close()
		So(x.Reused, ShouldBeTrue)
		So(x.Response.Header.Get("X"), ShouldEqual, "stray")
		So(x.Next("GET"), ShouldBeNil)
		data, err := io.ReadAll(x)
		So(err, ShouldBeNil)
		So(string(data), ShouldEqual, "ok")
	})
	Convey("A request on a kept connection that breaks is not sent again by itself", t, func() {
		s := newRawServer(t, func(_, n int, c net.Conn) {
			if n == 1 {
				reset(c)
				return
			}
			write(c, whole)
		})
		defer s.listener.Close()
		p := New(testOptions)
		defer p.Close()
		_, err := fetch(p, s.listener.Addr().String(), nil)
		So(err, ShouldBeNil)
		_, err = fetch(p, s.listener.Addr().String(), nil)
		So(err, ShouldNotBeNil)
		So(Sent(err), ShouldBeTrue)
		So(s.count(), ShouldEqual, 2)
	})
	Convey("Connections to one server are bounded, and an idle one makes room", t, func() {
		block := make(chan struct{})
		s := newRawServer(t, func(_, _ int, c net.Conn) { <-block; write(c, whole) })
		defer s.listener.Close()
		p := New(testOptions)
		defer p.Close()
		r := &Request{Address: s.listener.Addr().String(), Method: "GET", URI: "/", Host: "h", Header: http.Header{}, MaxConnections: 1}
		done := make(chan error, 1)
		go func() {
			x, err := p.Do(context.Background(), r)
			if err == nil {
				_, err = io.ReadAll(x)
				_ = x.Finish(0)
			}
			done <- err
		}()
		for s.count() == 0 {
			time.Sleep(time.Millisecond)
		}
		_, err := p.Do(context.Background(), r)
		So(errors.Is(err, ErrFull), ShouldBeTrue)
		So(Sent(err), ShouldBeFalse)
		close(block)
		So(<-done, ShouldBeNil)
		x, err := p.Do(context.Background(), r)
		So(err, ShouldBeNil)
		x.Close()
	})
}

func TestNotSent(t *testing.T) {
	Convey("A server that refuses connections got nothing", t, func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		address := l.Addr().String()
		So(l.Close(), ShouldBeNil)
		_, err = fetch(New(testOptions), address, nil)
		So(errors.Is(err, ErrNotSent), ShouldBeTrue)
	})
	Convey("A request whose time is over is not sent", t, func() {
		s := newRawServer(t, func(_, _ int, c net.Conn) { write(c, whole) })
		defer s.listener.Close()
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, err := New(testOptions).Do(ctx, &Request{Address: s.listener.Addr().String(), Method: "GET", URI: "/", Host: "h", Header: http.Header{}})
		So(Sent(err), ShouldBeFalse)
		So(s.count(), ShouldEqual, 0)
	})
}

func TestEarlyAnswer(t *testing.T) {
	Convey("An answer before the body was read counts, and its connection is not used again", t, func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer l.Close()
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go func() {
					br := bufio.NewReader(c)
					if _, err := http.ReadRequest(br); err == nil {
						write(c, strings.Replace(whole, "200 OK", "503 Busy", 1))
						time.Sleep(200 * time.Millisecond)
					}
					_ = c.Close()
				}()
			}
		}()
		p := New(testOptions)
		defer p.Close()
		got, err := fetch(p, l.Addr().String(), make([]byte, 32<<20))
		So(err, ShouldBeNil)
		So(got, ShouldEqual, "ok")
		_, err = fetch(p, l.Addr().String(), []byte("x"))
		So(err, ShouldBeNil)
		So(p.Dials(), ShouldEqual, 2)
	})
}

func TestCancel(t *testing.T) {
	Convey("A caller that leaves ends the connection to the server at once", t, func() {
		ended := make(chan struct{})
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer l.Close()
		go func() {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, c) // ends with the connection
			close(ended)
		}()
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(50*time.Millisecond, cancel)
		_, err = New(testOptions).Do(ctx, &Request{Address: l.Addr().String(), Method: "GET", URI: "/", Host: "h", Header: http.Header{}})
		So(Sent(err), ShouldBeTrue)
		select {
		case <-ended:
		case <-time.After(5 * time.Second):
			t.Fatal("the connection stays open")
		}
	})
}
