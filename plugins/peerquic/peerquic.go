// Package peerquic carries requests between instances over QUIC with mutual
// TLS.
//
// If certificates are configured, both sides verify that the other's certificate
// was issued by a trusted authority. The dialer also verifies that it was issued
// to the intended instance, and the listener takes the caller's ID from it.
// Otherwise each process creates a certificate for itself, and each side proves
// that it knows a shared secret, by an HMAC bound to the TLS session. Without
// certificates and secrets, no requests are carried.
package peerquic

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"

	"github.com/savoryfold/savoryfold/config"
	"github.com/savoryfold/savoryfold/internal/periodic"
	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/peer"
)

const (
	section           = "peer"
	membershipSection = "membership"
)

// Times and sizes that are not configurable.
const (
	keepAlivePeriod       = 5 * time.Second
	connectionIdleTimeout = 15 * time.Second
	linkIdleTimeout       = time.Minute // after the last request
	maintenanceInterval   = time.Second
	helloTimeout          = 2 * time.Second
	maxStreams            = 512
	maxHelloSize          = 256
)

func init() {
	kernel.Register(kernel.ModuleInfo{
		ID:    "peerquic",
		Phase: kernel.PhaseMembership,
		Settings: []config.Key{
			{Section: section, Name: "tls_cert", Doc: "file with this instance's certificate; it is reloaded when it changes"},
			{Section: section, Name: "tls_key", Doc: "file with the certificate's private key"},
			{Section: section, Name: "tls_ca", Doc: "file with the certificates of the trusted certificate authorities"},
			{Section: section, Name: "max_message", Kind: config.Size, Default: "4MiB", Doc: "maximum size of a request or response between instances"},
			{Section: section, Name: "dial_timeout", Kind: config.Duration, Default: "1s", Doc: "timeout for connecting to another instance"},
			{Section: section, Name: "call_timeout", Kind: config.Duration, Default: "5s", Doc: "timeout of a request without a deadline"},
		},
		New: func() kernel.Module {
			return &Peers{handlers: make(map[string]kernel.PeerHandler), links: make(map[string]*link)}
		},
	})
}

// Peers implements kernel.Peers.
type Peers struct {
	host           *kernel.Host
	keyring        *peer.Keyring
	credentials    *peer.Credentials
	maxMessage     int
	dialTimeout    time.Duration
	callTimeout    time.Duration
	socket         *net.UDPConn
	transport      *quic.Transport
	listener       *quic.Listener
	runContext     context.Context
	cancel         context.CancelFunc
	background     sync.WaitGroup // loops, connections and streams
	requests       requestGate
	handlerContext context.Context // canceled when Stop stops waiting for handlers
	cancelHandlers context.CancelFunc

	mu       sync.Mutex
	handlers map[string]kernel.PeerHandler // guarded by mu
	links    map[string]*link              // by member ID; guarded by mu
	address  string                        // guarded by mu
}

// Provision implements kernel.Provisioner.
func (p *Peers) Provision(h *kernel.Host) error {
	p.host = h
	s := h.Settings
	p.maxMessage = int(s.Bytes(section, "max_message"))
	p.dialTimeout = s.Duration(section, "dial_timeout")
	p.callTimeout = s.Duration(section, "call_timeout")
	keyring, err := peer.NewKeyring(s.Words(membershipSection, "secrets"), s.String(membershipSection, "secrets_file"))
	if err != nil {
		return err
	}
	p.keyring = keyring
	files := peer.CredentialFiles{Cert: s.String(section, "tls_cert"), Key: s.String(section, "tls_key"), CA: s.String(section, "tls_ca")}
	p.credentials, err = peer.NewCredentials(h.ID(), files)
	return err
}

// Validate implements kernel.Validator.
func (p *Peers) Validate() error {
	if !p.listens() {
		return nil
	}
	if p.credentials.SelfIssued() && len(p.keyring.Secrets()) == 0 {
		return errors.New("[membership] peer_listen needs certificates in [peer] or secrets in [membership]")
	}
	s := p.host.Settings
	return peer.CheckAdvertised(s.String(membershipSection, "peer_listen"), s.String(membershipSection, "peer_advertise"))
}

func (p *Peers) listens() bool {
	return p.host.Settings.String(membershipSection, "peer_listen") != ""
}

// Start implements kernel.Starter.
func (p *Peers) Start(context.Context) error {
	if !p.listens() {
		return nil
	}
	address, err := net.ResolveUDPAddr("udp", p.host.Settings.String(membershipSection, "peer_listen"))
	if err != nil {
		return errors.Wrap(err, "peer address")
	}
	if p.socket, err = net.ListenUDP("udp", address); err != nil {
		return errors.Wrap(err, "peer socket")
	}
	p.transport = &quic.Transport{Conn: p.socket}
	if p.listener, err = p.transport.Listen(p.credentials.ServerConfig(), quicConfig()); err != nil {
		_ = p.socket.Close()
		return errors.Wrap(err, "peer listener")
	}
	p.runContext, p.cancel = context.WithCancel(context.Background())
	p.handlerContext, p.cancelHandlers = context.WithCancel(context.Background())
	p.advertise(p.socket.LocalAddr().String())
	p.background.Go(p.accept)
	p.background.Go(p.maintain)
	return nil
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout: helloTimeout, MaxIdleTimeout: connectionIdleTimeout, KeepAlivePeriod: keepAlivePeriod,
		MaxIncomingStreams: maxStreams, MaxIncomingUniStreams: -1,
	}
}

func (p *Peers) advertise(actual string) {
	address := p.host.Settings.String(membershipSection, "peer_advertise")
	if address == "" {
		address = actual
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.address = address
}

// PeerAddress returns the address that is advertised to other instances. It is
// empty unless the module is started and listens.
func (p *Peers) PeerAddress() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.address
}

// Stop implements kernel.Stopper. It waits for running handlers until the context
// ends, and then cancels their contexts. New requests get the response
// peer.ResponseNotRun.
func (p *Peers) Stop(ctx context.Context) error {
	if p.listener == nil {
		return nil
	}
	err := p.requests.drain(ctx)
	p.cancelHandlers()
	p.cancel()
	p.mu.Lock()
	links := p.links
	p.links = make(map[string]*link)
	p.mu.Unlock()
	for _, l := range links {
		l.close("instance stops")
	}
	// The connections are closed before the socket, so that the other sides are
	// notified.
	p.awaitBackground(ctx)
	_ = p.listener.Close()
	_ = p.transport.Close()
	_ = p.socket.Close()
	return err
}

// awaitBackground waits for the background goroutines until the context ends, so
// that a handler that ignores its own context does not block Stop.
func (p *Peers) awaitBackground(ctx context.Context) {
	ended := make(chan struct{})
	go func() {
		p.background.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-ctx.Done():
	}
}

// Handle implements kernel.Peers.
func (p *Peers) Handle(method string, h kernel.PeerHandler) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.handlers[method] = h
}

func (p *Peers) handler(method string) kernel.PeerHandler {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.handlers[method]
}

// maintain reloads credentials and closes removable links periodically.
func (p *Peers) maintain() {
	periodic.Run(p.runContext, maintenanceInterval, func(now time.Time) {
		p.reload(now)
		p.closeRemovable(now)
	})
}

func (p *Peers) reload(now time.Time) {
	for _, reload := range []func(time.Time) (bool, error){p.credentials.Reload, p.keyring.Reload} {
		changed, err := reload(now)
		switch {
		case err != nil:
			p.host.Counter("peer_credentials_failed").Inc(1)
		case changed:
			p.host.Logger.Info("peer credentials changed")
		}
	}
}

// closeRemovable closes links that are idle, whose member is gone, or whose
// connection was opened before the credentials were last reloaded.
func (p *Peers) closeRemovable(now time.Time) {
	gone := make(map[string]bool)
	if p.host.Membership != nil {
		for _, m := range p.host.Membership.View().Members {
			gone[m.ID] = m.State == kernel.MemberGone
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, l := range p.links {
		if l.removable(now, gone[id], p.credentialReloads()) {
			delete(p.links, id)
			l.close("not wanted")
		}
	}
}

// credentialReloads increases with every reload of the certificates or secrets.
func (p *Peers) credentialReloads() uint64 { return p.credentials.Reloads() + p.keyring.Reloads() }
