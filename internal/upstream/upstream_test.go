package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"
)

var testOptions = Options{DialTimeout: time.Second, UserTimeout: 2 * time.Second, IdleTimeout: 10 * time.Second}

// rawServer responds to each request by calling respond with the number of the
// connection and the number of the request on it.
type rawServer struct {
	listener net.Listener
	respond  func(conn, n int, c net.Conn)
	mu       sync.Mutex
	requests []string // guarded by mu
}

func newRawServer(t *testing.T, respond func(conn, n int, c net.Conn)) *rawServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &rawServer{listener: l, respond: respond}
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
		s.respond(conn, n, c)
	}
}

// seen returns the received requests.
func (s *rawServer) seen() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.requests...)
}

func (s *rawServer) count() int { return len(s.seen()) }

const completeResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func write(c net.Conn, text string) { _, _ = io.WriteString(c, text) }

func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// fetch makes one request and reads its response.
func fetch(p *Pool, address string, body []byte) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	var content Body
	if body != nil {
		content = Bytes(body)
	}
	x, err := p.Do(ctx, &Request{Address: address, Method: "GET", URI: "/a%2Fb?c=d", Host: "h.example", Header: http.Header{}, Body: content, MaxIdleTime: time.Minute})
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

func TestResponses(t *testing.T) {
	for _, c := range []struct {
		name    string
		respond func(conn, n int, c net.Conn)
		want    string
		err     string
	}{
		{"complete", func(_, _ int, c net.Conn) { write(c, completeResponse) }, "ok", ""},
		{"after an informational one", func(_, _ int, c net.Conn) { write(c, "HTTP/1.1 103 Early Hints\r\n\r\n"+completeResponse) }, "ok", ""},
		{"in chunks", func(_, _ int, c net.Conn) {
			write(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n")
		}, "ok", ""},
		{"without a length, ended by closing the connection", func(_, _ int, c net.Conn) {
			write(c, "HTTP/1.1 200 OK\r\n\r\nok")
			_ = c.Close()
		}, "ok", ""},
		{"without a length, ended by a reset", func(_, _ int, c net.Conn) {
			write(c, "HTTP/1.1 200 OK\r\n\r\nok")
			time.Sleep(50 * time.Millisecond)
			reset(c)
		}, "", "reset"},
		{"truncated", func(_, _ int, c net.Conn) {
			write(c, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok")
			_ = c.Close()
		}, "", "unexpected EOF"},
		{"in chunks without the last one", func(_, _ int, c net.Conn) {
			write(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n")
			_ = c.Close()
		}, "", "unexpected EOF"},
		{"followed by more bytes", func(_, _ int, c net.Conn) { write(c, completeResponse+"HTTP/1.1 200 OK\r\n") }, "ok", ErrUnsolicited.Error()},
		{"that is not HTTP", func(_, _ int, c net.Conn) { write(c, "\x00\x01\x02\r\n\r\n") }, "", "malformed"},
		{"that never comes", func(_, _ int, c net.Conn) { _ = c.Close() }, "", "EOF"},
	} {
		Convey("A response "+c.name, t, func() {
			s := newRawServer(t, c.respond)
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
				So(MaybeSent(err), ShouldBeTrue)
			}
			So(s.seen(), ShouldResemble, []string{"GET /a%2Fb?c=d "})
		})
	}
}

func TestReadAll(t *testing.T) {
	Convey("A response that exceeds the limit is an error, one that reaches it is not", t, func() {
		s := newRawServer(t, func(_, _ int, c net.Conn) { write(c, completeResponse) })
		defer s.listener.Close()
		p := New(testOptions)
		defer p.Close()
		read := func(limit int64) (string, error) {
			x, err := p.Do(context.Background(), &Request{Address: s.listener.Addr().String(), Method: "GET", URI: "/", Host: "h.example", Header: http.Header{}})
			So(err, ShouldBeNil)
			defer x.Close()
			data, err := x.ReadAll(limit)
			return string(data), err
		}
		got, err := read(2)
		So(err, ShouldBeNil)
		So(got, ShouldEqual, "ok")
		_, err = read(1)
		So(err, ShouldNotBeNil)
	})
}

func TestConnectionReuse(t *testing.T) {
	for _, c := range []struct {
		name    string
		respond func(conn, n int, c net.Conn)
		body    []byte
		times   int
		pause   time.Duration
		dials   int64
	}{
		{"A connection is reused after a complete response", func(_, _ int, c net.Conn) { write(c, completeResponse) }, []byte("body"), 3, 0, 1},
		{"A connection that the server closed is not reused", func(_, _ int, c net.Conn) { write(c, completeResponse); _ = c.Close() }, nil, 3, 20 * time.Millisecond, 3},
		{"A connection with an unsolicited response is not reused", func(_, _ int, c net.Conn) {
			write(c, completeResponse)
			time.AfterFunc(10*time.Millisecond, func() { write(c, completeResponse) })
		}, nil, 2, 50 * time.Millisecond, 2},
	} {
		Convey(c.name, t, func() {
			s := newRawServer(t, c.respond)
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
	Convey("A response to an earlier request can be skipped", t, func() {
		earlier := "HTTP/1.1 200 OK\r\nX: stray\r\nContent-Length: 3\r\n\r\nold"
		s := newRawServer(t, func(_, n int, c net.Conn) {
			if n == 1 {
				write(c, earlier)
			}
			write(c, completeResponse)
		})
		defer s.listener.Close()
		p := New(testOptions)
		defer p.Close()
		_, err := fetch(p, s.listener.Addr().String(), nil)
		So(err, ShouldBeNil)
		x, err := p.Do(context.Background(), &Request{Address: s.listener.Addr().String(), Method: "GET", URI: "/", Host: "h", Header: http.Header{}, MaxIdleTime: time.Minute})
		So(err, ShouldBeNil)
		defer x.Close()
		So(x.Reused, ShouldBeTrue)
		So(x.Response.Header.Get("X"), ShouldEqual, "stray")
		So(x.Next("GET"), ShouldBeNil)
		data, err := io.ReadAll(x)
		So(err, ShouldBeNil)
		So(string(data), ShouldEqual, "ok")
	})
	Convey("A request on a reused connection that breaks is not retried", t, func() {
		s := newRawServer(t, func(_, n int, c net.Conn) {
			if n == 1 {
				reset(c)
				return
			}
			write(c, completeResponse)
		})
		defer s.listener.Close()
		p := New(testOptions)
		defer p.Close()
		_, err := fetch(p, s.listener.Addr().String(), nil)
		So(err, ShouldBeNil)
		_, err = fetch(p, s.listener.Addr().String(), nil)
		So(err, ShouldNotBeNil)
		So(MaybeSent(err), ShouldBeTrue)
		So(s.count(), ShouldEqual, 2)
	})
	Convey("Connections to a server are limited, and an idle one is replaced at the limit", t, func() {
		block := make(chan struct{})
		s := newRawServer(t, func(_, _ int, c net.Conn) { <-block; write(c, completeResponse) })
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
		So(errors.Is(err, ErrConnectionLimit), ShouldBeTrue)
		So(MaybeSent(err), ShouldBeFalse)
		close(block)
		So(<-done, ShouldBeNil)
		x, err := p.Do(context.Background(), r)
		So(err, ShouldBeNil)
		x.Close()
	})
}

// TestMaxOpen guards against idle connections to many servers that take all descriptors.
func TestMaxOpen(t *testing.T) {
	Convey("The connection that is idle for longest gives way to a new one", t, func() {
		o := testOptions
		o.MaxOpen = 2
		p := New(o)
		defer p.Close()
		var servers []string
		for range 3 {
			s := newRawServer(t, func(_, _ int, c net.Conn) { write(c, completeResponse) })
			defer s.listener.Close()
			servers = append(servers, s.listener.Addr().String())
		}
		for _, k := range []struct {
			server      int
			dials, open int64
		}{{0, 1, 1}, {1, 2, 2}, {0, 2, 2}, {2, 3, 2}, {0, 3, 2}, {1, 4, 2}, {2, 5, 2}} {
			_, err := fetch(p, servers[k.server], nil)
			So(err, ShouldBeNil)
			So(p.Dials(), ShouldEqual, k.dials)
			So(p.open.Load(), ShouldEqual, k.open)
		}
	})
}

func TestNotSent(t *testing.T) {
	Convey("A request to a server that refuses connections was not sent", t, func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		address := l.Addr().String()
		So(l.Close(), ShouldBeNil)
		_, err = fetch(New(testOptions), address, nil)
		So(errors.Is(err, ErrNotSent), ShouldBeTrue)
	})
	Convey("A request with a cancelled context is not sent", t, func() {
		s := newRawServer(t, func(_, _ int, c net.Conn) { write(c, completeResponse) })
		defer s.listener.Close()
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, err := New(testOptions).Do(ctx, &Request{Address: s.listener.Addr().String(), Method: "GET", URI: "/", Host: "h", Header: http.Header{}})
		So(MaybeSent(err), ShouldBeFalse)
		So(s.count(), ShouldEqual, 0)
	})
}

func TestEarlyResponse(t *testing.T) {
	Convey("A response before the body was read is accepted, and its connection is not reused", t, func() {
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
						write(c, strings.Replace(completeResponse, "200 OK", "503 Busy", 1))
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
	Convey("Cancelling the context closes the connection to the server immediately", t, func() {
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
		So(MaybeSent(err), ShouldBeTrue)
		select {
		case <-ended:
		case <-time.After(5 * time.Second):
			t.Fatal("the connection was not closed within 5 s")
		}
	})
}

// TestManyHeaders guards against a head that takes far more memory once it is parsed than it
// has bytes.
func TestManyHeaders(t *testing.T) {
	for _, c := range []struct {
		name, head string
		ok         bool
	}{
		{"as many as servers send", strings.Repeat("X-Header: value\r\n", 100), true},
		{"large ones", strings.Repeat("X-Header: "+strings.Repeat("x", 10<<10)+"\r\n", 5), true},
		{"too large ones", strings.Repeat("X-Header: "+strings.Repeat("x", 10<<10)+"\r\n", 7), false},
		{"thousands of short ones", strings.Repeat("a:\r\n", 10_000), false},
		{"one that is no header", "X-Header: value\r\nno header\r\n", false},
	} {
		Convey("The headers of a response: "+c.name, t, func() {
			s := newRawServer(t, func(_, _ int, conn net.Conn) {
				_, _ = io.WriteString(conn, "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 6000\r\n"+c.head+"\r\n"+strings.Repeat("body", 1500))
			})
			defer s.listener.Close()
			pool := New(testOptions)
			defer pool.Close()
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			for range 2 {
				x, err := pool.Do(ctx, &Request{Address: s.listener.Addr().String(), Method: http.MethodGet, URI: "/", Host: "h", MaxIdleTime: time.Second})
				So(err == nil, ShouldEqual, c.ok)
				if err != nil {
					continue
				}
				body, err := x.ReadAll(1 << 20)
				So(err, ShouldBeNil)
				So(string(body), ShouldEqual, strings.Repeat("body", 1500))
				So(x.Finish(time.Minute), ShouldBeNil)
			}
		})
	}
}

// TestEndlessResponse guards against a server that sends bytes without end, which
// must neither fill the memory nor hold the request until its deadline.
func TestEndlessResponse(t *testing.T) {
	// endless writes data again and again until the connection is closed, and counts
	// the bytes.
	endless := func(c net.Conn, sent *atomic.Int64, data string) {
		block := []byte(strings.Repeat(data, 1+(32<<10)/len(data)))
		for {
			n, err := c.Write(block)
			sent.Add(int64(n))
			if err != nil {
				return
			}
		}
	}
	for name, response := range map[string]struct{ begin, endless string }{
		"that are no response":                    {"", "garbage "},
		"in a line without end":                   {"HTTP/1.1 200 OK\r\nX: ", "x"},
		"in headers without end":                  {"HTTP/1.1 200 OK\r\n", "X-Header: value\r\n"},
		"in interim responses":                    {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"in the body of an earlier response":      {"HTTP/1.1 200 OK\r\nId: other\r\n\r\n", "x"},
		"in a chunk size":                         {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
		"in the chunks of an earlier response":    {"HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n", "5\r\nabcde\r\n"},
		"in the trailers of a response in chunks": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-Trailer: value\r\n"},
	} {
		Convey("Bytes without end "+name+" end the request early", t, func() {
			var sent atomic.Int64
			s := newRawServer(t, func(_, _ int, c net.Conn) {
				if _, err := io.WriteString(c, response.begin); err == nil {
					endless(c, &sent, response.endless)
				}
			})
			defer s.listener.Close()
			pool := New(testOptions)
			defer pool.Close()
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			began := time.Now()
			x, err := pool.Do(ctx, &Request{Address: s.listener.Addr().String(), Method: http.MethodGet, URI: "/", Host: "h"})
			if err == nil {
				if x.Response.Header.Get("Id") == "other" {
					err = x.Next(http.MethodGet)
				} else {
					_, err = x.ReadAll(1 << 20)
				}
				x.Close()
			}
			So(err, ShouldNotBeNil)
			So(time.Since(began), ShouldBeLessThan, 3*time.Second)
			So(sent.Load(), ShouldBeLessThan, 24<<20) // the buffers of the connection included
		})
	}
}

// TestLateTimeouts guards against servers that count as unreachable since the processor was busy
// while a connection was being opened.
func TestLateTimeouts(t *testing.T) {
	const timeout = 20 * time.Millisecond
	for _, k := range []struct {
		name     string
		late     time.Duration
		failures int
		want     int64
		opened   bool
		busy     bool
	}{
		{"a timeout in time is final", 0, 1, 1, false, false},
		{"a timeout that was noticed late is not", timeout, 2, 3, true, false},
		{"the number of attempts is bounded", timeout, 10, 3, false, true},
	} {
		Convey("Connections: "+k.name, t, func() {
			p := New(Options{DialTimeout: timeout})
			p.dial = func(context.Context, string, string) (net.Conn, error) {
				if p.Dials() > int64(k.failures) {
					client, _ := net.Pipe()
					return client, nil
				}
				time.Sleep(k.late + k.late/2)
				return nil, os.ErrDeadlineExceeded
			}
			_, err := p.connect(context.Background(), "a:1")
			So(err == nil, ShouldEqual, k.opened)
			So(errors.Is(err, ErrBusy), ShouldEqual, k.busy)
			So(MaybeSent(err), ShouldEqual, k.opened)
			So(p.Dials(), ShouldEqual, k.want)
		})
	}
}
