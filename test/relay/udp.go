package relay

import (
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// UDP is a link for UDP datagrams. Answers go back to the sender.
type UDP struct {
	link
	conn  *net.UDPConn
	open  sync.Mutex
	flows map[string]*flow // by source address; guarded by open
}

// flow is what one source address sends.
type flow struct {
	*net.UDPConn
	from *sender
}

// NewUDP starts a link from a free local port to a target. A nil owner means
// that senders are not told apart.
func NewUDP(target string, owner Owner) (*UDP, error) {
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, errors.Wrap(err, "relay")
	}
	u := &UDP{conn: conn, flows: make(map[string]*flow)}
	u.init(target, owner)
	u.wait.Go(u.forward)
	return u, nil
}

// Address returns the address that the link listens on.
func (u *UDP) Address() string { return u.conn.LocalAddr().String() }

// Close ends the link.
func (u *UDP) Close() {
	u.once.Do(func() { close(u.done) })
	_ = u.conn.Close()
	u.open.Lock()
	for _, f := range u.flows {
		_ = f.Close()
	}
	u.open.Unlock()
	u.wait.Wait()
}

func (u *UDP) forward() {
	buf := make([]byte, bufferBytes)
	for {
		n, from, err := u.conn.ReadFromUDP(buf)
		if err != nil {
			return
		}
		flow := u.flow(from)
		if flow == nil {
			continue
		}
		u.pass(append([]byte{}, buf[:n]...), flow.from, true, func(b []byte) { _, _ = flow.Write(b) })
	}
}

// pass sends a datagram on after the delay, unless it is lost.
func (u *UDP) pass(data []byte, from *sender, forward bool, send func([]byte)) {
	f := u.get(from)
	if f.Cut || f.swallows(forward) {
		u.lost.Add(1)
		return
	}
	if f.Delay == 0 {
		send(data)
		return
	}
	u.wait.Go(func() {
		if u.pause(f.Delay) {
			send(data)
		}
	})
}

// flow returns the connection to the target for a sender, made if it is new.
func (u *UDP) flow(from *net.UDPAddr) *flow {
	u.open.Lock()
	defer u.open.Unlock()
	if f := u.flows[from.String()]; f != nil {
		return f
	}
	select {
	case <-u.done:
		return nil
	default:
	}
	target, err := net.ResolveUDPAddr("udp", *u.target.Load())
	if err != nil {
		return nil
	}
	conn, err := net.DialUDP("udp", nil, target)
	if err != nil {
		return nil
	}
	f := &flow{conn, &sender{source: from}}
	u.flows[from.String()] = f
	u.wait.Go(func() { u.back(f, from) })
	return f
}

func (u *UDP) back(flow *flow, to *net.UDPAddr) {
	defer func() {
		u.open.Lock()
		delete(u.flows, to.String())
		u.open.Unlock()
		_ = flow.Close()
	}()
	buf := make([]byte, bufferBytes)
	for {
		_ = flow.SetReadDeadline(time.Now().Add(udpIdle))
		n, err := flow.Read(buf)
		if err != nil {
			return
		}
		u.pass(append([]byte{}, buf[:n]...), flow.from, false, func(b []byte) { _, _ = u.conn.WriteToUDP(b, to) })
	}
}
