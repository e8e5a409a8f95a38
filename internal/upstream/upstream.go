// Package upstream is an HTTP/1.1 client for backend servers with a connection
// pool. Unlike the client of net/http it never retries a request on its own,
// reports whether any byte of a failed request left this process, and checks an
// idle connection for unsolicited bytes before it is reused. Messages are parsed
// by net/http.
package upstream

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/savoryfold/savoryfold/internal/membudget"
	"github.com/savoryfold/savoryfold/internal/sockets"
)

// Errors of requests.
var (
	// ErrNotSent means that no byte of the request left this process.
	ErrNotSent = errors.New("request was not sent")
	// ErrConnectionLimit means that all permitted connections to the server are in
	// use. Nothing was sent.
	ErrConnectionLimit = errors.New("connection limit of the server reached")
	// ErrBusy means that this process noticed too late whether the server accepts a connection,
	// since its processor was busy. It comes with ErrNotSent.
	ErrBusy = errors.New("the processor is busy")
	// ErrUnsolicited means that the server sent bytes that belong to no request.
	ErrUnsolicited = errors.New("unsolicited bytes after a complete response")
	// ErrHeadTooLarge means that what the server sent is no head of a response within
	// MaxHeadBytes and maxHeadLines.
	ErrHeadTooLarge = errors.New("the head of the response is too large")
	// ErrMalformedHead means that what the server sent is no head of a response in HTTP/1.
	ErrMalformedHead = errors.New("malformed head of a response")
)

// Limits of what a server may send.
const (
	// MaxHeadBytes bounds the head of a response, with the interim responses before
	// it.
	MaxHeadBytes = 64 << 10
	// maxHeadLines bounds the lines of the same. A parsed line takes many times the memory
	// of a short one.
	maxHeadLines = 512
	// maxSkippedBytes bounds the body of a response to an earlier request.
	maxSkippedBytes = 1 << 20
)

// Options are the timeouts and the limit of a pool's connections.
type Options struct {
	// DialTimeout bounds connection establishment.
	DialTimeout time.Duration
	// UserTimeout is the time after which a connection whose peer acknowledges
	// nothing is closed (TCP_USER_TIMEOUT). A third of it is the interval of the
	// keep-alive probes.
	UserTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept, unless the server announces
	// a shorter time.
	IdleTimeout time.Duration
	// Buffer is the size in bytes of the operating system's buffers of a connection for what is
	// received and sent, without what the system adds. 0 means that it decides.
	Buffer int
	// MaxOpen is the number of connections from which an idle one is closed for each that is
	// opened. 0 means no limit.
	MaxOpen int
}

// Timeouts of connections between machines in the fleet's availability zones.
const (
	// fleetDialTimeout bounds connection establishment. Round trips take
	// milliseconds.
	fleetDialTimeout = 300 * time.Millisecond
	// fleetUserTimeout closes a connection whose peer acknowledges nothing.
	fleetUserTimeout = 1500 * time.Millisecond
	// FleetIdleTimeout is how long an idle connection is kept.
	FleetIdleTimeout = 10 * time.Second
)

// FleetOptions returns the options for connections within the fleet's zones.
func FleetOptions() Options {
	return Options{DialTimeout: fleetDialTimeout, UserTimeout: fleetUserTimeout, IdleTimeout: FleetIdleTimeout}
}

// keepAliveFactor is the fraction of a server's keep-alive timeout for which this
// side reuses an idle connection. The margin avoids a request on a connection
// that the server is closing.
const keepAliveFactor = 0.6

// maxInlineBodyBytes is the size up to which a body is written together with the
// header. A larger body is written concurrently with the wait for the response,
// which a server may send before it has read the body.
const maxInlineBodyBytes = 16 << 10

const readBufferBytes = 4 << 10

// Pool is a connection pool, keyed by server address. It is safe for concurrent
// use.
type Pool struct {
	options Options
	dial    func(ctx context.Context, network, address string) (net.Conn, error)
	mu      sync.Mutex
	hosts   map[string]*host // guarded by mu
	dials   atomic.Int64
	// receiveBuffer is what was measured of the first connection, 0 before.
	receiveBuffer atomic.Int64
	// open counts the connections in use, idle or being opened.
	open atomic.Int64
}

// host holds the connections to one address.
type host struct {
	pool *Pool
	mu   sync.Mutex
	idle []*conn // least recently used first; guarded by mu
	open int     // connections in use, idle or being opened; guarded by mu
}

// New returns a pool without connections.
func New(o Options) *Pool {
	p := &Pool{options: o, hosts: make(map[string]*host)}
	probe := o.UserTimeout / 3
	p.dial = DialContext(&net.Dialer{
		Timeout:         o.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probe, Interval: probe, Count: 2},
		Control:         control(o),
	})
	return p
}

// control returns a net.Dialer Control function for options.
func control(o Options) func(string, string, syscall.RawConn) error {
	userTimeout := UserTimeout(o.UserTimeout)
	return func(network, address string, c syscall.RawConn) error {
		if err := userTimeout(network, address, c); err != nil || o.Buffer == 0 {
			return err
		}
		return sockets.SetBuffers(c, o.Buffer, o.Buffer)
	}
}

// UserTimeout returns a net.Dialer Control function that sets TCP_USER_TIMEOUT:
// the time for which sent bytes may stay unacknowledged.
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

// ReceiveBuffer returns the size of the operating system's buffer of what a connection receives, as
// far as it is known: not every system takes the size that is set.
func (p *Pool) ReceiveBuffer() int64 {
	return cmp.Or(p.receiveBuffer.Load(), sockets.SystemFactor*int64(p.options.Buffer))
}

// Dials returns the number of attempts to open a connection.
func (p *Pool) Dials() int64 { return p.dials.Load() }

func (p *Pool) host(address string) *host {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[address]
	if h == nil {
		h = &host{pool: p}
		p.hosts[address] = h
	}
	return h
}

// count adds to the number of open connections. The caller holds mu.
func (h *host) count(n int) {
	h.open += n
	h.pool.open.Add(int64(n))
}

// closeOldest closes the connection that has been idle for longest, if any is idle.
func (p *Pool) closeOldest() {
	p.mu.Lock()
	defer p.mu.Unlock()
	var from *host
	var since time.Time
	for _, h := range p.hosts {
		h.mu.Lock()
		if len(h.idle) > 0 && (from == nil || h.idle[0].used.Before(since)) {
			from, since = h, h.idle[0].used
		}
		h.mu.Unlock()
	}
	if from == nil {
		return
	}
	from.mu.Lock()
	defer from.mu.Unlock()
	if len(from.idle) > 0 {
		_ = from.idle[0].Close()
		from.idle = from.idle[1:]
		from.count(-1)
	}
}

// CloseIdle closes the idle connections to an address.
func (p *Pool) CloseIdle(address string) {
	h := p.host(address)
	h.mu.Lock()
	idle := h.idle
	h.idle = nil
	h.count(-len(idle))
	h.mu.Unlock()
	for _, c := range idle {
		_ = c.Close()
	}
}

// CloseExpired closes idle connections that have expired, and removes addresses
// without connections. It must be called periodically.
func (p *Pool) CloseExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, h := range p.hosts {
		h.mu.Lock()
		kept := h.idle[:0]
		for _, c := range h.idle {
			if now.After(c.expires) {
				_ = c.Close()
				h.count(-1)
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
		p.CloseIdle(a)
	}
}

// conn is a connection of a pool. used is the end of its last request. expires is
// the time from which it must not be reused.
type conn struct {
	net.Conn
	host *host
	// source is what br reads from.
	source  *headSource
	br      *bufio.Reader
	used    time.Time
	expires time.Time
	reused  bool
}

// Request is a request to a server.
type Request struct {
	Address string
	// Method, URI and Host are written unchanged.
	Method, URI, Host string
	Header            http.Header
	// Body is nil for a request without a body.
	Body Body
	// MaxIdleTime bounds how long a reused connection may have been idle, since the
	// server may close it while the request is sent. 0 requires a new connection.
	MaxIdleTime time.Duration
	// MaxConnections limits the connections to the address; 0 means no limit.
	MaxConnections int
	// Memory counts a head of the response that exceeds the connection's read buffer. It may
	// be nil.
	Memory *membudget.Hold
}

// Body is the body of a request.
type Body interface {
	io.WriterTo
	// Size returns the number of bytes.
	Size() int
	// Keep keeps the memory of the body until release is called.
	Keep() (release func())
}

// Bytes is a body in one piece.
type Bytes []byte

// WriteTo implements Body.
func (b Bytes) WriteTo(w io.Writer) (int64, error) {
	n, err := w.Write(b)
	return int64(n), err
}

// Size implements Body.
func (b Bytes) Size() int { return len(b) }

// Keep implements Body.
func (b Bytes) Keep() (release func()) { return func() {} }

// get returns an idle connection or opens a new one.
func (p *Pool) get(ctx context.Context, r *Request) (*conn, error) {
	h := p.host(r.Address)
	now := time.Now()
	for {
		c := h.takeIdle(now, r.MaxIdleTime)
		if c == nil {
			break
		}
		if c.reusable() {
			c.reused = true
			return c, nil
		}
		c.discard()
	}
	if !h.reserve(r.MaxConnections) {
		return nil, errors.Wrap(ErrConnectionLimit, r.Address)
	}
	if p.options.MaxOpen > 0 && p.open.Load() > int64(p.options.MaxOpen) {
		p.closeOldest()
	}
	raw, err := p.connect(ctx, r.Address)
	if err != nil {
		h.mu.Lock()
		h.count(-1)
		h.mu.Unlock()
		return nil, err
	}
	if p.receiveBuffer.Load() == 0 {
		if tcp, ok := raw.(syscall.Conn); ok {
			if size, err := sockets.ReceiveBuffer(tcp); err == nil {
				p.receiveBuffer.Store(int64(size))
			}
		}
	}
	source := &headSource{conn: raw, limit: unlimited}
	return &conn{Conn: raw, host: h, source: source, br: bufio.NewReaderSize(source, readBufferBytes)}, nil
}

// connect opens a connection. If the process notices a timeout late, its processor was busy, and the
// timeout says nothing about the server: the attempt is repeated, and the error of the last one is
// ErrBusy. All errors are ErrNotSent.
func (p *Pool) connect(ctx context.Context, address string) (net.Conn, error) {
	for attempt := 1; ; attempt++ {
		p.dials.Add(1)
		began := time.Now()
		c, err := p.dial(ctx, "tcp", address)
		var timeout net.Error
		late := time.Since(began) > p.options.DialTimeout+p.options.DialTimeout/lateDivisor
		switch {
		case err == nil:
			return c, nil
		case !late || !errors.As(err, &timeout) || !timeout.Timeout() || ctx.Err() != nil:
			return nil, errors.Wrap(ErrNotSent, err.Error())
		case attempt == maxConnects:
			return nil, fmt.Errorf("%w, %w: %v", ErrNotSent, ErrBusy, err)
		}
	}
}

const (
	// maxConnects is the number of attempts to open a connection while the processor is busy.
	maxConnects = 3
	// lateDivisor is the part of a timeout by which it is noticed late only then.
	lateDivisor = 10
)

// takeIdle removes and returns the most recently used idle connection, or nil if
// that one was idle for longer than maxIdle. All others were idle for longer.
func (h *host) takeIdle(now time.Time, maxIdle time.Duration) *conn {
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
		h.count(-1)
		_ = c.Close()
	}
	return nil
}

// reserve counts a connection that is about to be opened, and reports whether the
// limit permits it. At the limit it closes the least recently used idle connection
// to make room. 0 means no limit.
func (h *host) reserve(limit int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if limit > 0 && h.open >= limit {
		if len(h.idle) == 0 {
			return false
		}
		oldest := h.idle[0]
		h.idle = h.idle[1:]
		h.count(-1)
		_ = oldest.Close()
	}
	h.count(1)
	return true
}

// reusable reports whether the connection is open and has no unread bytes.
func (c *conn) reusable() bool {
	if c.buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	clean := false
	var one [1]byte
	err = raw.Read(func(fd uintptr) bool {
		n, err := syscall.Read(int(fd), one[:])
		clean = n < 0 && (err == syscall.EAGAIN || err == syscall.EWOULDBLOCK)
		return true
	})
	return err == nil && clean
}

// buffered returns the number of bytes that were read from the connection and not used.
func (c *conn) buffered() int { return c.br.Buffered() + len(c.source.pending) }

// discard closes the connection and no longer counts it.
func (c *conn) discard() {
	c.host.mu.Lock()
	c.host.count(-1)
	c.host.mu.Unlock()
	_ = c.Close()
}

// putIdle returns the connection to the pool, where it may be reused for the
// duration life.
func (c *conn) putIdle(now time.Time, life time.Duration) {
	c.used, c.expires = now, now.Add(life)
	c.host.mu.Lock()
	c.host.idle = append(c.host.idle, c)
	c.host.mu.Unlock()
}

// Exchange is a sent request and its response, of which the head has been read.
// It must be ended with Finish or Close.
type Exchange struct {
	Response *http.Response
	// CloseDelimited is true if the end of the connection marks the end of the
	// response's body.
	CloseDelimited bool
	// Reused is true if the request was sent on a connection of an earlier one.
	Reused bool

	pool        *Pool
	conn        *conn
	memory      *membudget.Hold
	stop        func() bool
	body        *bodyTracker
	bodyWritten chan error
	once        sync.Once
}

// bodyTracker records how much of a body was read, and whether to its end.
type bodyTracker struct {
	io.Reader
	bytes int64
	ended bool
}

// Read implements io.Reader.
func (b *bodyTracker) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	b.bytes += int64(n)
	if err == io.EOF {
		b.ended = true
	}
	return n, err
}

// Do sends a request and reads the head of its response. The context bounds the
// exchange up to the end of the response's body. An error wraps ErrNotSent or
// ErrConnectionLimit if no byte of the request left this process. After any other
// error the server may have received the request. Of an httptrace.ClientTrace in
// the context only GotFirstResponseByte is called.
func (p *Pool) Do(ctx context.Context, r *Request) (*Exchange, error) {
	c, err := p.get(ctx, r)
	if err != nil {
		return nil, err
	}
	// A process that was paused past the deadline must send nothing when it
	// resumes.
	if err := ctx.Err(); err != nil {
		c.discard()
		return nil, errors.Wrap(ErrNotSent, err.Error())
	}
	x := &Exchange{pool: p, conn: c, memory: r.Memory, Reused: c.reused}
	x.stop = context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	if err := x.send(r); err != nil {
		x.Close()
		return nil, err
	}
	if trace := httptrace.ContextClientTrace(ctx); trace != nil && trace.GotFirstResponseByte != nil {
		if _, err := c.br.Peek(1); err == nil {
			trace.GotFirstResponseByte()
		}
	}
	if err := x.readHead(r.Method); err != nil {
		x.Close()
		return nil, err
	}
	return x, nil
}

// send writes the request. A body of more than maxInlineBodyBytes is written by
// another goroutine, concurrently with the wait for the response.
func (x *Exchange) send(r *Request) error {
	buf := buffers.Get().(*bytes.Buffer)
	buf.Reset()
	writeHead(buf, r)
	inline := r.Body == nil || r.Body.Size() <= maxInlineBodyBytes
	if inline && r.Body != nil {
		_, _ = r.Body.WriteTo(buf) // a bytes.Buffer never fails
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
		x.bodyWritten = make(chan error, 1)
		// The caller may free the body before the write has ended.
		release := r.Body.Keep()
		go func() {
			defer release()
			_, err := r.Body.WriteTo(x.conn)
			x.bodyWritten <- err
		}()
	}
	return nil
}

var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// writeHead writes the request line and the headers.
func writeHead(buf *bytes.Buffer, r *Request) {
	buf.WriteString(r.Method)
	buf.WriteByte(' ')
	buf.WriteString(r.URI)
	buf.WriteString(" HTTP/1.1\r\nHost: ")
	buf.WriteString(r.Host)
	buf.WriteString("\r\n")
	_ = r.Header.Write(buf) // a bytes.Buffer never fails
	if r.Body != nil {
		buf.WriteString("Content-Length: ")
		buf.WriteString(strconv.Itoa(r.Body.Size()))
		buf.WriteString("\r\n")
	}
	buf.WriteString("\r\n")
}

// readHead reads the head of the final response and skips informational (1xx)
// ones.
func (x *Exchange) readHead(method string) error {
	scan := headScan{memory: x.memory}
	defer func() {
		scan.release(x.conn)
		x.conn.source.limit = unlimited
	}()
	for {
		if err := scan.next(x.conn); err != nil {
			return errors.Wrap(err, "answer")
		}
		resp, err := http.ReadResponse(x.conn.br, &http.Request{Method: method})
		x.conn.source.limit = unlimited
		if err != nil {
			return errors.Wrap(err, "answer")
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return errors.Wrap(ErrMalformedHead, "a change of protocol that no request asks for")
		}
		if resp.StatusCode < 200 {
			continue
		}
		x.Response = resp
		break
	}
	resp := x.Response
	x.body = &bodyTracker{Reader: resp.Body}
	x.CloseDelimited = resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
	if resp.ContentLength == 0 {
		x.body.ended = true
	}
	return nil
}

// Next discards the current response, which belongs to an earlier request, and
// reads the head of the following one.
func (x *Exchange) Next(method string) error {
	if x.CloseDelimited || x.Response.Close {
		return errors.Wrap(io.ErrUnexpectedEOF, "answer")
	}
	switch _, err := io.CopyN(io.Discard, x.body, maxSkippedBytes); err {
	case io.EOF:
		return x.readHead(method)
	case nil:
		return errors.Errorf("response to an earlier request exceeds %d bytes", maxSkippedBytes)
	default:
		return errors.Wrap(err, "discard response to an earlier request")
	}
}

// Read reads the response's body.
func (x *Exchange) Read(p []byte) (int, error) { return x.body.Read(p) }

// ReadAll reads the response's body as ReadBody does.
func (x *Exchange) ReadAll(limit int64) ([]byte, error) { return ReadBody(x.Response, x, limit) }

// Finish ends an exchange whose body was read to its end. It returns the connection
// to the pool if it can be reused, and closes it otherwise. keepAlive is how long
// the server keeps an idle connection open, or 0 if it announces no time. The error
// is ErrUnsolicited if bytes follow the response.
func (x *Exchange) Finish(keepAlive time.Duration) error {
	if x.conn.buffered() > 0 {
		x.Close()
		return ErrUnsolicited
	}
	if !x.body.ended || x.Response.Close || x.CloseDelimited || !x.bodySent() {
		x.Close()
		return nil
	}
	x.once.Do(func() {
		if !x.stop() {
			x.conn.discard() // the context has ended and set a past deadline
			return
		}
		idle := x.pool.options.IdleTimeout
		if keepAlive > 0 {
			idle = min(idle, time.Duration(keepAliveFactor*float64(keepAlive)))
		}
		x.conn.putIdle(time.Now(), idle)
	})
	return nil
}

// bodySent reports whether the request's body has been written completely.
func (x *Exchange) bodySent() bool {
	if x.bodyWritten == nil {
		return true
	}
	select {
	case err := <-x.bodyWritten:
		return err == nil
	default:
		return false
	}
}

// Close aborts the exchange and closes its connection. It does nothing after
// Finish.
func (x *Exchange) Close() {
	x.once.Do(func() {
		x.stop()
		x.conn.discard()
	})
}

// Abandon ends the reading of the response at once, with an error. Close must still be called.
func (x *Exchange) Abandon() { _ = x.conn.SetDeadline(time.Unix(1, 0)) }

// MaybeSent reports whether the server may have received a request that failed
// with err.
func MaybeSent(err error) bool {
	return !errors.Is(err, ErrNotSent) && !errors.Is(err, ErrConnectionLimit)
}

// TimedOut reports whether a request failed because the peer stopped responding,
// rather than because it closed or refused the connection.
func TimedOut(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, syscall.ETIMEDOUT)
}
