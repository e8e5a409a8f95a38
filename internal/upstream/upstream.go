// Package upstream sends HTTP/1.1 requests to backend servers over connections
// that it keeps. Unlike the client of net/http it never sends a request twice
// on its own, tells whether any byte of a failed request left this process, and
// checks a kept connection for bytes that belong to no request before it is
// used again. Messages are parsed by net/http.
package upstream

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// Errors of exchanges.
var (
	// ErrNotSent: no byte of the request left this process.
	ErrNotSent = errors.New("request was not sent")
	// ErrFull: the connections to the server are used up; nothing was sent.
	ErrFull = errors.New("no connection to the server is free")
	// ErrStray: the server sent bytes that belong to no request.
	ErrStray = errors.New("bytes after a complete answer")
)

// Options bound a pool's connections.
type Options struct {
	// DialTimeout bounds the wait for a connection.
	DialTimeout time.Duration
	// Silence is the time after which a connection whose peer acknowledges
	// nothing is broken.
	Silence time.Duration
	// Idle is how long a connection is kept unless the server says less.
	Idle time.Duration
}

// Bounds of connections between machines within the fleet's availability zones.
const (
	// fleetDial bounds the wait for a connection: round trips take milliseconds.
	fleetDial = 300 * time.Millisecond
	// fleetSilence ends a connection whose peer acknowledges nothing.
	fleetSilence = 1500 * time.Millisecond
	// FleetIdle is how long an unused connection is kept.
	FleetIdle = 10 * time.Second
)

// FleetOptions are the options for connections within the fleet's zones.
func FleetOptions() Options {
	return Options{DialTimeout: fleetDial, Silence: fleetSilence, Idle: FleetIdle}
}

// keepAliveMargin is the part of the time for which a server keeps idle
// connections that this side uses, so that none is used while it is closed.
const keepAliveMargin = 0.6

// inlineBody is the size up to which a body is sent together with its header.
// Larger ones are sent beside the wait for an answer, which may come before the
// server has read them.
const inlineBody = 16 << 10

// answerBuffer is the size of a connection's read buffer in bytes.
const answerBuffer = 4 << 10

// Pool keeps connections by address.
type Pool struct {
	options Options
	dialer  net.Dialer
	mu      sync.Mutex
	hosts   map[string]*host // guarded by mu
	dials   atomic.Int64
}

// host holds the connections to one address.
type host struct {
	mu   sync.Mutex
	idle []*conn // the one used last is the last; guarded by mu
	open int     // connections in use and idle; guarded by mu
}

// New returns a pool without connections.
func New(o Options) *Pool {
	p := &Pool{options: o, hosts: make(map[string]*host)}
	probe := o.Silence / 3
	p.dialer = net.Dialer{
		Timeout:         o.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probe, Interval: probe, Count: 2},
		Control:         UserTimeout(o.Silence),
	}
	return p
}

// UserTimeout returns a dialer's control function that bounds the time for
// which sent bytes may stay unacknowledged.
func UserTimeout(d time.Duration) func(string, string, syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var err error
		if ctl := c.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
		}); ctl != nil {
			return ctl
		}
		return err
	}
}

// Dials counts the connections that were opened.
func (p *Pool) Dials() int64 { return p.dials.Load() }

func (p *Pool) host(address string) *host {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[address]
	if h == nil {
		h = &host{}
		p.hosts[address] = h
	}
	return h
}

// Forget closes the idle connections to an address.
func (p *Pool) Forget(address string) {
	h := p.host(address)
	h.mu.Lock()
	idle := h.idle
	h.idle = nil
	h.open -= len(idle)
	h.mu.Unlock()
	for _, c := range idle {
		_ = c.Close()
	}
}

// Trim closes connections that were idle for too long, and forgets addresses
// without connections.
func (p *Pool) Trim(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, h := range p.hosts {
		h.mu.Lock()
		kept := h.idle[:0]
		for _, c := range h.idle {
			if now.After(c.expires) {
				_ = c.Close()
				h.open--
				continue
			}
			kept = append(kept, c)
		}
		h.idle = kept
		if h.open <= 0 {
			delete(p.hosts, address)
		}
		h.mu.Unlock()
	}
}

// Close closes all idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	addresses := make([]string, 0, len(p.hosts))
	for a := range p.hosts {
		addresses = append(addresses, a)
	}
	p.mu.Unlock()
	for _, a := range addresses {
		p.Forget(a)
	}
}

// conn is one connection.
type conn struct {
	net.Conn
	host    *host
	br      *bufio.Reader
	used    time.Time
	expires time.Time
	reused  bool
}

// Request is one request to a server.
type Request struct {
	Address string
	// Method, URI and Host stand in the request as they are.
	Method, URI, Host string
	Header            http.Header
	// Body is nil for a request without a body.
	Body []byte
	// MaxIdle bounds how long the connection may have been idle. A server may
	// close an idle connection at the moment at which it is used; 0 asks for a
	// new connection.
	MaxIdle time.Duration
	// MaxConnections bounds the connections to the address; 0 means no bound.
	MaxConnections int
}

// get returns a kept connection or opens one.
func (p *Pool) get(ctx context.Context, r *Request) (*conn, error) {
	h := p.host(r.Address)
	now := time.Now()
	for {
		c := h.take(now, r.MaxIdle)
		if c == nil {
			break
		}
		if c.quiet() {
			c.reused = true
			return c, nil
		}
		c.discard()
	}
	if !h.reserve(r.MaxConnections) {
		return nil, errors.Wrap(ErrFull, r.Address)
	}
	p.dials.Add(1)
	raw, err := p.dialer.DialContext(ctx, "tcp", r.Address)
	if err != nil {
		h.mu.Lock()
		h.open--
		h.mu.Unlock()
		return nil, errors.Wrap(ErrNotSent, err.Error())
	}
	return &conn{Conn: raw, host: h, br: bufio.NewReaderSize(raw, answerBuffer)}, nil
}

// take returns the connection that was used last, if it was used within
// maxIdle. All others were idle for longer.
func (h *host) take(now time.Time, maxIdle time.Duration) *conn {
	h.mu.Lock()
	defer h.mu.Unlock()
	for n := len(h.idle); n > 0; n = len(h.idle) {
		c := h.idle[n-1]
		if now.Sub(c.used) > maxIdle {
			return nil
		}
		h.idle = h.idle[:n-1]
		if now.Before(c.expires) {
			return c
		}
		h.open--
		_ = c.Close()
	}
	return nil
}

// reserve counts a connection that is about to be opened. If all are taken, an
// idle one makes room.
func (h *host) reserve(most int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if most > 0 && h.open >= most {
		if len(h.idle) == 0 {
			return false
		}
		oldest := h.idle[0]
		h.idle = h.idle[1:]
		h.open--
		_ = oldest.Close()
	}
	h.open++
	return true
}

// quiet reports whether the connection is open and nothing waits to be read.
func (c *conn) quiet() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var one [1]byte
	err = raw.Read(func(fd uintptr) bool {
		n, err := syscall.Read(int(fd), one[:])
		quiet = n < 0 && (err == syscall.EAGAIN || err == syscall.EWOULDBLOCK)
		return true
	})
	return err == nil && quiet
}

// discard closes the connection for good.
func (c *conn) discard() {
	c.host.mu.Lock()
	c.host.open--
	c.host.mu.Unlock()
	_ = c.Close()
}

// keep gives the connection back for further requests.
func (c *conn) keep(now time.Time, life time.Duration) {
	c.used, c.expires = now, now.Add(life)
	c.host.mu.Lock()
	c.host.idle = append(c.host.idle, c)
	c.host.mu.Unlock()
}

// Exchange is a request whose answer has begun.
type Exchange struct {
	Response *http.Response
	// Unframed is true if the answer ends with its connection.
	Unframed bool
	// Reused is true if the request went over a kept connection.
	Reused bool

	pool  *Pool
	conn  *conn
	stop  func() bool
	body  *watchedBody
	wrote chan error
	once  sync.Once
}

// watchedBody notes the end of a body.
type watchedBody struct {
	io.Reader
	ended bool
}

// Read implements io.Reader.
func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err == io.EOF {
		b.ended = true
	}
	return n, err
}

// Do sends a request and reads the head of its answer. The context ends the
// whole exchange, the body included. An error wraps ErrNotSent or ErrFull if no
// byte of the request left this process; after any other the server may have
// taken the request.
func (p *Pool) Do(ctx context.Context, r *Request) (*Exchange, error) {
	c, err := p.get(ctx, r)
	if err != nil {
		return nil, err
	}
	// A process that was paused past the deadline must send nothing when it
	// goes on.
	if err := ctx.Err(); err != nil {
		c.discard()
		return nil, errors.Wrap(ErrNotSent, err.Error())
	}
	x := &Exchange{pool: p, conn: c, Reused: c.reused}
	x.stop = context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	if err := x.send(r); err != nil {
		x.Close()
		return nil, err
	}
	if err := x.readHead(r.Method); err != nil {
		x.Close()
		return nil, err
	}
	return x, nil
}

// send writes the request. A large body is written beside the wait for an
// answer.
func (x *Exchange) send(r *Request) error {
	buf := buffers.Get().(*bytes.Buffer)
	buf.Reset()
	writeHead(buf, r)
	inline := len(r.Body) <= inlineBody
	if inline {
		buf.Write(r.Body)
	}
	n, err := x.conn.Write(buf.Bytes())
	buffers.Put(buf)
	if err != nil {
		if n == 0 {
			return errors.Wrap(ErrNotSent, err.Error())
		}
		return errors.Wrap(err, "send")
	}
	if !inline {
		x.wrote = make(chan error, 1)
		go func() {
			_, err := x.conn.Write(r.Body)
			x.wrote <- err
		}()
	}
	return nil
}

var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// writeHead writes the request line and the header.
func writeHead(buf *bytes.Buffer, r *Request) {
	buf.WriteString(r.Method)
	buf.WriteByte(' ')
	buf.WriteString(r.URI)
	buf.WriteString(" HTTP/1.1\r\nHost: ")
	buf.WriteString(r.Host)
	buf.WriteString("\r\n")
	_ = r.Header.Write(buf) // a buffer takes every write
	if r.Body != nil {
		buf.WriteString("Content-Length: ")
		buf.WriteString(strconv.Itoa(len(r.Body)))
		buf.WriteString("\r\n")
	}
	buf.WriteString("\r\n")
}

// readHead reads the head of the answer, behind any informational ones.
func (x *Exchange) readHead(method string) error {
	for {
		resp, err := http.ReadResponse(x.conn.br, &http.Request{Method: method})
		if err != nil {
			return errors.Wrap(err, "answer")
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 {
			continue
		}
		x.Response = resp
		break
	}
	resp := x.Response
	x.body = &watchedBody{Reader: resp.Body}
	x.Unframed = resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
	if resp.ContentLength == 0 {
		x.body.ended = true
	}
	return nil
}

// Next drops an answer that belongs to an earlier request, and reads the one
// behind it.
func (x *Exchange) Next(method string) error {
	if x.Unframed || x.Response.Close {
		return errors.Wrap(io.ErrUnexpectedEOF, "answer")
	}
	if _, err := io.Copy(io.Discard, x.body); err != nil {
		return errors.Wrap(err, "stray answer")
	}
	return x.readHead(method)
}

// Read reads the answer's body.
func (x *Exchange) Read(p []byte) (int, error) { return x.body.Read(p) }

// ReadAll reads the answer's body to its end. A body of more bytes than the most
// is an error.
func (x *Exchange) ReadAll(most int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(x, most+1))
	if err != nil {
		return nil, errors.Wrap(err, "answer")
	}
	if int64(len(data)) > most {
		return nil, errors.Errorf("answer of more than %d bytes", most)
	}
	return data, nil
}

// Finish ends an exchange whose body was read to its end, and keeps the
// connection if it can be used again. The life is how long the server keeps it,
// 0 if unsaid. An error wraps ErrStray if more bytes follow than the answer has.
func (x *Exchange) Finish(life time.Duration) error {
	if x.conn.br.Buffered() > 0 {
		x.Close()
		return ErrStray
	}
	if !x.body.ended || x.Response.Close || x.Unframed || !x.bodySent() {
		x.Close()
		return nil
	}
	x.once.Do(func() {
		if !x.stop() {
			x.conn.discard() // the context has ended the connection
			return
		}
		idle := x.pool.options.Idle
		if life > 0 {
			idle = min(idle, time.Duration(keepAliveMargin*float64(life)))
		}
		x.conn.keep(time.Now(), idle)
	})
	return nil
}

// bodySent reports whether the whole request was written.
func (x *Exchange) bodySent() bool {
	if x.wrote == nil {
		return true
	}
	select {
	case err := <-x.wrote:
		return err == nil
	default:
		return false
	}
}

// Close breaks the exchange off. It does nothing after Finish.
func (x *Exchange) Close() {
	x.once.Do(func() {
		x.stop()
		x.conn.discard()
	})
}

// Sent reports whether the server may have taken the request that failed.
func Sent(err error) bool { return !errors.Is(err, ErrNotSent) && !errors.Is(err, ErrFull) }

// Silent reports whether the peer stopped answering, in contrast to a
// connection that it closed or refused.
func Silent(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, syscall.ETIMEDOUT)
}
