package relay

import (
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// UDP is a link for UDP datagrams. Responses go back to the sender.
type UDP struct {
	link
	conn    *net.UDPConn
	flowsMu sync.Mutex
	flows   map[string]*flow // by source address; guarded by flowsMu
}

// flow is the connection to the target for the datagrams of one source address.
type flow struct {
	*net.UDPConn
	sender *sender
}

// NewUDP starts a link from a free local port to a target. A nil identify means
// that senders are not distinguished; SetFor needs it.
func NewUDP(target string, identify Identify) (*UDP, error) {
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, errors.Wrap(err, "relay")
	}
	u := &UDP{conn: conn, flows: make(map[string]*flow)}
	u.init(target, identify)
	u.wait.Go(u.relayRequests)
	return u, nil
}

// Address returns the address that the link listens on.
func (u *UDP) Address() string { return u.conn.LocalAddr().String() }

// Close closes the link and waits for its goroutines.
func (u *UDP) Close() {
	u.once.Do(func() { close(u.done) })
	_ = u.conn.Close()
	u.flowsMu.Lock()
	for _, f := range u.flows {
		_ = f.Close()
	}
	u.flowsMu.Unlock()
	u.wait.Wait()
}

func (u *UDP) relayRequests() {
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
		u.relayDatagram(append([]byte{}, buf[:n]...), flow.sender, true, func(b []byte) { _, _ = flow.Write(b) })
	}
}

// relayDatagram forwards a datagram after the delay, unless a fault drops it.
func (u *UDP) relayDatagram(data []byte, from *sender, toTarget bool, send func([]byte)) {
	f := u.faultFor(from)
	if f.Cut || f.drops(toTarget) {
		u.lost.Add(1)
		return
	}
	if f.Delay == 0 {
		send(data)
		return
	}
	u.wait.Go(func() {
		if u.sleep(f.Delay) {
			send(data)
		}
	})
}

// flow returns the flow of a source address and creates it on the first
// datagram. It returns nil if the link is closed, or if its target's address
// cannot be resolved or dialed.
func (u *UDP) flow(from *net.UDPAddr) *flow {
	u.flowsMu.Lock()
	defer u.flowsMu.Unlock()
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
	u.wait.Go(func() { u.relayResponses(f, from) })
	return f
}

func (u *UDP) relayResponses(flow *flow, to *net.UDPAddr) {
	defer func() {
		u.flowsMu.Lock()
		delete(u.flows, to.String())
		u.flowsMu.Unlock()
		_ = flow.Close()
	}()
	buf := make([]byte, bufferBytes)
	for {
		_ = flow.SetReadDeadline(time.Now().Add(udpIdleTimeout))
		n, err := flow.Read(buf)
		if err != nil {
			return
		}
		u.relayDatagram(append([]byte{}, buf[:n]...), flow.sender, false, func(b []byte) { _, _ = u.conn.WriteToUDP(b, to) })
	}
}
