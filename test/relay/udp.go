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
	mu    sync.Mutex
	flows map[string]*net.UDPConn // by sender; guarded by mu
}

// NewUDP starts a link from a free local port to a target.
func NewUDP(target string) (*UDP, error) {
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, errors.Wrap(err, "relay")
	}
	u := &UDP{conn: conn, flows: make(map[string]*net.UDPConn)}
	u.init(target)
	u.wait.Go(u.forward)
	return u, nil
}

// Address returns the address that the link listens on.
func (u *UDP) Address() string { return u.conn.LocalAddr().String() }

// Close ends the link.
func (u *UDP) Close() {
	u.once.Do(func() { close(u.done) })
	_ = u.conn.Close()
	u.mu.Lock()
	for _, f := range u.flows {
		_ = f.Close()
	}
	u.mu.Unlock()
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
		u.pass(append([]byte{}, buf[:n]...), true, func(b []byte) { _, _ = flow.Write(b) })
	}
}

// pass sends a datagram on after the delay, unless it is lost.
func (u *UDP) pass(data []byte, forward bool, send func([]byte)) {
	f := u.get()
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
func (u *UDP) flow(from *net.UDPAddr) *net.UDPConn {
	u.mu.Lock()
	defer u.mu.Unlock()
	if f := u.flows[from.String()]; f != nil {
		return f
	}
	target, err := net.ResolveUDPAddr("udp", *u.target.Load())
	if err != nil {
		return nil
	}
	flow, err := net.DialUDP("udp", nil, target)
	if err != nil {
		return nil
	}
	u.flows[from.String()] = flow
	u.wait.Go(func() { u.back(flow, from) })
	return flow
}

func (u *UDP) back(flow *net.UDPConn, to *net.UDPAddr) {
	defer func() {
		u.mu.Lock()
		delete(u.flows, to.String())
		u.mu.Unlock()
		_ = flow.Close()
	}()
	buf := make([]byte, bufferBytes)
	for {
		_ = flow.SetReadDeadline(time.Now().Add(udpIdle))
		n, err := flow.Read(buf)
		if err != nil {
			return
		}
		u.pass(append([]byte{}, buf[:n]...), false, func(b []byte) { _, _ = u.conn.WriteToUDP(b, to) })
	}
}
