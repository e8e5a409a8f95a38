package peerquic

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"

	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/peer"
)

// link holds the connection to a member, which is opened by the first request.
type link struct {
	member kernel.Member
	// dialing is a semaphore of capacity 1 that is held while a connection is
	// opened.
	dialing chan struct{}

	mu       sync.Mutex
	conn     *quic.Conn // guarded by mu
	reloads  uint64     // credential reloads when conn was opened; guarded by mu
	calls    int        // guarded by mu
	lastUsed time.Time  // guarded by mu
}

// link returns the link to a member and counts a call on it; the caller has to
// call release. If the member restarted or changed its address, link closes the
// old link and returns a new one.
func (p *Peers) link(m kernel.Member) *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.links[m.ID]
	if l != nil && (l.member.PeerAddress != m.PeerAddress || l.member.Boot != m.Boot) {
		l.close("the instance started anew")
		l = nil
	}
	if l == nil {
		l = &link{member: m, dialing: make(chan struct{}, 1)}
		p.links[m.ID] = l
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
	l.lastUsed = time.Now()
	return l
}

func (l *link) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls--
	l.lastUsed = time.Now()
}

// liveConn returns the connection, or nil if there is none or it is closed.
func (l *link) liveConn() *quic.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil && l.conn.Context().Err() == nil {
		return l.conn
	}
	return nil
}

// connect returns the connection and opens it if necessary. Only one call opens it
// at a time; concurrent calls wait and then use the same connection.
func (l *link) connect(ctx context.Context, p *Peers) (*quic.Conn, error) {
	if conn := l.liveConn(); conn != nil {
		return conn, nil
	}
	select {
	case l.dialing <- struct{}{}:
		defer func() { <-l.dialing }()
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "connect")
	}
	if conn := l.liveConn(); conn != nil {
		return conn, nil
	}
	reloads := p.credentialReloads()
	conn, err := p.dial(ctx, l.member)
	result := "ok"
	if err != nil {
		result = "failed"
	}
	p.host.Counter(`peer_connections{result="` + result + `"}`).Inc(1)
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conn, l.reloads = conn, reloads
	return conn, nil
}

// dial opens a connection. If the certificates do not authenticate the instances,
// both sides then prove that they know the shared secret.
func (p *Peers) dial(ctx context.Context, m kernel.Member) (*quic.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.dialTimeout)
	defer cancel()
	address, err := net.ResolveUDPAddr("udp", m.PeerAddress)
	if err != nil {
		return nil, errors.Wrap(err, "peer address")
	}
	conn, err := p.transport.Dial(ctx, address, p.credentials.ClientConfig(m.ID), quicConfig())
	if err != nil {
		return nil, errors.Wrap(err, "connect")
	}
	if !p.credentials.SelfIssued() {
		return conn, nil
	}
	if err := p.authenticateListener(ctx, conn, m.ID); err != nil {
		_ = conn.CloseWithError(codeForbidden, "not accepted")
		return nil, err
	}
	return conn, nil
}

// authenticateListener proves to the listener that this instance knows the shared
// secret, and verifies the listener's proof and ID.
func (p *Peers) authenticateListener(ctx context.Context, conn *quic.Conn, id string) error {
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return errors.Wrap(err, "connect")
	}
	deadline, _ := ctx.Deadline()
	_ = stream.SetDeadline(deadline)
	if err := p.sendHello(stream, conn, peer.Dialer); err != nil {
		return errors.Wrap(err, "connect")
	}
	hello, err := peer.ReadFrame[peer.Hello](stream, maxHelloSize)
	if err != nil {
		return errors.Wrap(err, "connect")
	}
	if err := hello.Verify(peer.Listener, conn.ConnectionState().TLS, p.keyring.Secrets()); err != nil {
		return err
	}
	if hello.ID != id {
		return errors.Errorf("connected to instance %q, want %q", hello.ID, id)
	}
	return stream.Close()
}

// retire stops using a connection after a call on it failed. If other calls may
// still use it, the connection is closed after connectionIdleTimeout.
func (l *link) retire(conn *quic.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != conn {
		return
	}
	l.conn = nil
	if l.calls <= 1 {
		_ = conn.CloseWithError(codeDone, "retired")
		return
	}
	time.AfterFunc(connectionIdleTimeout, func() { _ = conn.CloseWithError(codeDone, "retired") })
}

// removable reports whether the link may be closed: no call uses it, and the
// member is gone, the credentials were reloaded since the connection was opened,
// or the link is idle for longer than linkIdleTimeout.
func (l *link) removable(now time.Time, gone bool, reloads uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	outdated := l.conn != nil && l.reloads != reloads
	return l.calls == 0 && (gone || outdated || now.Sub(l.lastUsed) > linkIdleTimeout)
}

func (l *link) close(reason string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil {
		_ = l.conn.CloseWithError(codeDone, reason)
		l.conn = nil
	}
}
