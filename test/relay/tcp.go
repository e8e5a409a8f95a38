package relay

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// TCP is a link for TCP connections.
type TCP struct {
	link
	listener net.Listener
	open     sync.Mutex
	pairs    map[*pair]struct{} // guarded by open
}

// NewTCP starts a link from a free local port to a target. A nil owner means
// that senders are not told apart.
func NewTCP(target string, owner Owner) (*TCP, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "relay")
	}
	t := &TCP{listener: l, pairs: make(map[*pair]struct{})}
	t.init(target, owner)
	t.wait.Go(t.accept)
	return t, nil
}

// Address returns the address that the link listens on.
func (t *TCP) Address() string { return t.listener.Addr().String() }

// Set replaces the faults of the link; a cut resets what is open.
func (t *TCP) Set(f Fault) {
	t.link.Set(f)
	if f.Cut {
		t.each((*pair).reset)
	}
}

// SetFor replaces the faults that only one sender meets; a cut resets what it
// has open.
func (t *TCP) SetFor(name string, f Fault) {
	t.link.SetFor(name, f)
	if f.Cut {
		t.each(func(p *pair) {
			if t.nameOf(p.from) == name {
				p.reset()
			}
		})
	}
}

// Silence lets the connections that exist now go silent for good, while new
// ones work.
func (t *TCP) Silence() { t.each(func(p *pair) { p.silent.Store(true) }) }

// Connections counts the open connections.
func (t *TCP) Connections() int {
	n := 0
	t.each(func(*pair) { n++ })
	return n
}

func (t *TCP) each(f func(*pair)) {
	t.open.Lock()
	defer t.open.Unlock()
	for p := range t.pairs {
		f(p)
	}
}

// Close ends the link with all its connections.
func (t *TCP) Close() {
	t.once.Do(func() { close(t.done) })
	_ = t.listener.Close()
	t.each((*pair).reset)
	t.wait.Wait()
}

func (t *TCP) accept() {
	for {
		conn, err := t.listener.Accept()
		if err != nil {
			return
		}
		t.wait.Go(func() { t.join(conn) })
	}
}

// pair is one relayed connection.
type pair struct {
	near, far net.Conn
	from      *sender
	silent    atomic.Bool
}

func (p *pair) reset() {
	reset(p.near)
	reset(p.far)
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (t *TCP) join(near net.Conn) {
	defer near.Close()
	from := &sender{source: near.RemoteAddr()}
	if t.get(from).Cut {
		reset(near)
		return
	}
	far, err := net.DialTimeout("tcp", *t.target.Load(), dialTimeout)
	if err != nil {
		reset(near)
		return
	}
	defer far.Close()
	p := &pair{near: near, far: far, from: from}
	t.open.Lock()
	t.pairs[p] = struct{}{}
	t.open.Unlock()
	select {
	case <-t.done:
		p.reset()
	default:
	}
	var both sync.WaitGroup
	both.Go(func() { t.copy(p, far, near, true) })
	both.Go(func() { t.copy(p, near, far, false) })
	both.Wait()
	t.open.Lock()
	delete(t.pairs, p)
	t.open.Unlock()
}

// chunk is a part of a stream that leaves the relay at a time.
type chunk struct {
	data []byte
	due  time.Time
}

// copy passes one direction on. Reading and writing overlap, so that a delay
// does not limit the rate.
func (t *TCP) copy(p *pair, to, from net.Conn, forward bool) {
	chunks := make(chan chunk, 1024)
	var writer sync.WaitGroup
	writer.Go(func() { t.write(p, to, chunks, forward) })
	for {
		buf := make([]byte, bufferBytes)
		n, err := from.Read(buf)
		if n > 0 {
			chunks <- chunk{buf[:n], time.Now().Add(t.get(p.from).Delay)}
		}
		if err != nil {
			break
		}
	}
	close(chunks)
	writer.Wait()
	if tcp, ok := to.(*net.TCPConn); ok && !p.silent.Load() {
		_ = tcp.CloseWrite()
	}
}

func (t *TCP) write(p *pair, to net.Conn, chunks <-chan chunk, forward bool) {
	broken := false
	for c := range chunks {
		if !t.pause(time.Until(c.due)) || broken || p.silent.Load() || t.get(p.from).swallows(forward) {
			t.lost.Add(1)
			continue
		}
		if _, err := to.Write(c.data); err != nil {
			broken = true
		}
	}
}
