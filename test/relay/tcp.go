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
	pairsMu  sync.Mutex
	pairs    map[*pair]struct{} // guarded by pairsMu
}

// NewTCP starts a link from a free local port to a target. A nil identify means
// that senders are not distinguished; SetFor needs it.
func NewTCP(target string, identify Identify) (*TCP, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "relay")
	}
	t := &TCP{listener: l, pairs: make(map[*pair]struct{})}
	t.init(target, identify)
	t.wait.Go(t.accept)
	return t, nil
}

// Address returns the address that the link listens on.
func (t *TCP) Address() string { return t.listener.Addr().String() }

// Set replaces the faults of the link; Cut resets its open connections.
func (t *TCP) Set(f Fault) {
	t.link.Set(f)
	if f.Cut {
		t.eachPair((*pair).reset)
	}
}

// SetFor replaces the faults of one sender; Cut resets the sender's open
// connections.
func (t *TCP) SetFor(name string, f Fault) {
	t.link.SetFor(name, f)
	if f.Cut {
		t.eachPair(func(p *pair) {
			if t.senderName(p.sender) == name {
				p.reset()
			}
		})
	}
}

// BlackholeOpen drops all further data of the open connections without closing them.
// New connections are not affected.
func (t *TCP) BlackholeOpen() { t.eachPair(func(p *pair) { p.blackholed.Store(true) }) }

// Connections returns the number of open connections.
func (t *TCP) Connections() int {
	n := 0
	t.eachPair(func(*pair) { n++ })
	return n
}

func (t *TCP) eachPair(f func(*pair)) {
	t.pairsMu.Lock()
	defer t.pairsMu.Unlock()
	for p := range t.pairs {
		f(p)
	}
}

// Close closes the link and resets all its connections.
func (t *TCP) Close() {
	t.once.Do(func() { close(t.done) })
	_ = t.listener.Close()
	t.eachPair((*pair).reset)
	t.wait.Wait()
}

func (t *TCP) accept() {
	for {
		conn, err := t.listener.Accept()
		if err != nil {
			return
		}
		t.wait.Go(func() { t.handle(conn) })
	}
}

// pair is one relayed connection.
type pair struct {
	client, server net.Conn
	sender         *sender
	blackholed     atomic.Bool
}

func (p *pair) reset() {
	reset(p.client)
	reset(p.server)
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (t *TCP) handle(client net.Conn) {
	defer client.Close()
	from := &sender{source: client.RemoteAddr()}
	if t.faultFor(from).Cut {
		reset(client)
		return
	}
	server, err := net.DialTimeout("tcp", *t.target.Load(), dialTimeout)
	if err != nil {
		reset(client)
		return
	}
	defer server.Close()
	p := &pair{client: client, server: server, sender: from}
	t.pairsMu.Lock()
	t.pairs[p] = struct{}{}
	t.pairsMu.Unlock()
	select {
	case <-t.done:
		p.reset()
	default:
	}
	var both sync.WaitGroup
	both.Go(func() { t.relayDirection(p, server, client, true) })
	both.Go(func() { t.relayDirection(p, client, server, false) })
	both.Wait()
	t.pairsMu.Lock()
	delete(t.pairs, p)
	t.pairsMu.Unlock()
}

// chunk is a part of a stream and the time at which the relay sends it.
type chunk struct {
	data []byte
	due  time.Time
}

// relayDirection forwards one direction. Reading and writing overlap, so that a
// delay does not limit the throughput.
func (t *TCP) relayDirection(p *pair, to, from net.Conn, toTarget bool) {
	chunks := make(chan chunk, 1024)
	var writer sync.WaitGroup
	writer.Go(func() { t.write(p, to, chunks, toTarget) })
	for {
		buf := make([]byte, bufferBytes)
		n, err := from.Read(buf)
		if n > 0 {
			chunks <- chunk{buf[:n], time.Now().Add(t.faultFor(p.sender).Delay)}
		}
		if err != nil {
			break
		}
	}
	close(chunks)
	writer.Wait()
	if tcp, ok := to.(*net.TCPConn); ok && !p.blackholed.Load() {
		_ = tcp.CloseWrite()
	}
}

func (t *TCP) write(p *pair, to net.Conn, chunks <-chan chunk, toTarget bool) {
	broken := false
	for c := range chunks {
		if !t.sleep(time.Until(c.due)) || broken || p.blackholed.Load() || t.faultFor(p.sender).drops(toTarget) {
			t.lost.Add(1)
			continue
		}
		if _, err := to.Write(c.data); err != nil {
			broken = true
		}
	}
}
