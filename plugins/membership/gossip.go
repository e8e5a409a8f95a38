package membership

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/savoryfold/savoryfold/config"
	"github.com/savoryfold/savoryfold/internal/upstream"
	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/peer"
	"github.com/savoryfold/savoryfold/policy"
)

const section = "membership"

// Times and sizes that are not configurable.
const (
	forgetAfter    = time.Hour
	fanout         = 2
	maxSkew        = 30 * time.Second
	inboxSize      = 1024
	pruneInterval  = 30 * time.Second
	listTimeout    = time.Second
	maxListBytes   = 1 << 20 // of the platform's list of instances
	maxDigestBytes = 900
)

func init() {
	kernel.Register(kernel.ModuleInfo{
		ID:    "membership.gossip",
		Phase: kernel.PhaseMembership,
		Settings: []config.Key{
			{Section: section, Name: "gossip_listen", Kind: config.Address, Doc: "address to listen on for heartbeats (UDP); empty disables gossip, and the view holds only this instance"},
			{Section: section, Name: "gossip_advertise", Kind: config.Address, Doc: "address for heartbeats that is advertised to other instances; empty means the one listened on"},
			{Section: section, Name: "peer_listen", Kind: config.Address, Doc: "address to listen on for requests of other instances (QUIC); empty means none"},
			{Section: section, Name: "peer_advertise", Kind: config.Address, Doc: "address for requests that is advertised to other instances; empty means the one listened on"},
			{Section: section, Name: "seeds", Kind: config.List, Doc: "heartbeat addresses that are probed to discover other instances"},
			{Section: section, Name: "list", Kind: config.Address, Doc: "address of the platform's list of instances, whose entries are used as additional seeds"},
			{Section: section, Name: "list_interval", Kind: config.Duration, Default: "5s", Doc: "time between two reads of the platform's list"},
			{Section: section, Name: "secrets", Kind: config.List, Secret: true, Doc: "secrets shared by all instances; the first signs, all verify"},
			{Section: section, Name: "secrets_file", Doc: "file with the secrets, one per line; it is reloaded when it changes"},
			{Section: section, Name: "interval", Kind: config.Duration, Default: "250ms", Doc: "time between two heartbeat rounds"},
			{Section: section, Name: "suspect_after", Kind: config.Duration, Default: "2s", Doc: "time without a direct or reported heartbeat after which an instance is suspect"},
			{Section: section, Name: "gone_after", Kind: config.Duration, Default: "8s", Doc: "time without a direct or reported heartbeat after which an instance is gone"},
			{Section: section, Name: "zone_delegates", Kind: config.Int, Default: "2", Doc: "number of instances of an availability zone that send heartbeats to each other zone"},
		},
		New: func() kernel.Module { return newGossip() },
	})
}

// Gossip implements kernel.Membership and kernel.Digests with heartbeats over
// UDP. Datagrams are signed with the shared secrets.
type Gossip struct {
	host       *kernel.Host
	keyring    *peer.Keyring
	counters   counters
	seeds      []string
	view       atomic.Pointer[kernel.MemberView]
	socket     *socket
	inbox      chan receivedDatagram
	cancel     context.CancelFunc
	background sync.WaitGroup
	client     *http.Client

	mu          sync.Mutex
	table       *policy.MemberTable        // guarded by mu
	digests     *policy.DigestTable        // guarded by mu
	guard       peer.ReplayGuard           // guarded by mu
	sequence    uint64                     // guarded by mu
	state       policy.MemberStatus        // guarded by mu
	lastPruned  time.Time                  // guarded by mu
	notified    viewVersion                // of the last notification; guarded by mu
	sources     map[string]func() []byte   // by digest kind; guarded by mu
	sinks       map[string][]digestSink    // by digest kind; guarded by mu
	subscribers []func(*kernel.MemberView) // guarded by mu
}

// receivedDatagram is a datagram that was received, verified and decoded.
type receivedDatagram struct {
	datagram   *peer.Datagram
	size       int
	decodeTime time.Duration
}

func newGossip() *Gossip {
	return &Gossip{
		inbox:   make(chan receivedDatagram, inboxSize),
		guard:   peer.ReplayGuard{MaxSkew: maxSkew},
		state:   policy.MemberStarting,
		sources: make(map[string]func() []byte),
		sinks:   make(map[string][]digestSink),
	}
}

// Provision implements kernel.Provisioner.
func (g *Gossip) Provision(h *kernel.Host) error {
	g.host = h
	g.counters.init(h)
	g.seeds = h.Settings.Words(section, "seeds")
	g.client = &http.Client{Timeout: listTimeout, Transport: &http.Transport{MaxResponseHeaderBytes: upstream.MaxHeadBytes}}
	keyring, err := peer.NewKeyring(h.Settings.Words(section, "secrets"), h.Settings.String(section, "secrets_file"))
	if err != nil {
		return err
	}
	g.keyring = keyring
	g.createTables("")
	return nil
}

// Validate implements kernel.Validator.
func (g *Gossip) Validate() error {
	s := g.host.Settings
	if len(g.host.ID()) > peer.MaxNameLength || len(g.host.Zone()) > peer.MaxNameLength {
		return errors.Errorf("[instance] id and zone must have at most %d characters", peer.MaxNameLength)
	}
	if s.Duration(section, "interval") <= 0 {
		return errors.New("[membership] interval must be above 0")
	}
	if g.listens() && len(g.keyring.Secrets()) == 0 {
		return errors.New("[membership] gossip_listen needs secrets or secrets_file")
	}
	for _, seed := range g.seeds {
		if _, err := resolve(seed); err != nil {
			return errors.Wrap(err, "[membership] seeds")
		}
	}
	return peer.CheckAdvertised(s.String(section, "gossip_listen"), s.String(section, "gossip_advertise"))
}

func (g *Gossip) listens() bool { return g.host.Settings.String(section, "gossip_listen") != "" }

// createTables creates the member and digest tables of an instance that
// advertises the address. The tables start empty.
func (g *Gossip) createTables(address string) {
	s := g.host.Settings
	now := time.Now()
	self := policy.MemberRecord{
		ID: g.host.ID(), Zone: g.host.Zone(), Boot: uint64(now.UnixNano()), Status: g.state, GossipAddress: address,
	}
	g.table = policy.NewMemberTable(self, policy.MemberConfig{
		Interval:     s.Duration(section, "interval"),
		SuspectAfter: s.Duration(section, "suspect_after"),
		GoneAfter:    s.Duration(section, "gone_after"),
		ForgetAfter:  forgetAfter,
		Fanout:       fanout,
		Delegates:    s.Int(section, "zone_delegates"),
	}, now)
	g.table.SetSeeds(g.seeds)
	g.digests = policy.NewDigestTable(self.ID, self.Zone)
	g.storeView(now)
}

// Start implements kernel.Starter.
func (g *Gossip) Start(context.Context) error {
	if !g.listens() {
		return nil
	}
	s, err := openSocket(g.host.Settings.String(section, "gossip_listen"), g.receive)
	if err != nil {
		return err
	}
	g.socket = s
	address := g.host.Settings.String(section, "gossip_advertise")
	if address == "" {
		address = s.address()
	}
	g.mu.Lock()
	g.createTables(address)
	g.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	g.cancel = cancel
	g.background.Go(func() { g.run(ctx) })
	if g.host.Settings.String(section, "list") != "" {
		g.background.Go(func() { g.pollList(ctx) })
	}
	g.host.Logger.Info("membership started", "gossip_address", address)
	return nil
}

// Stop implements kernel.Stopper.
func (g *Gossip) Stop(context.Context) error {
	if g.socket == nil {
		return nil
	}
	g.cancel()
	g.background.Wait()
	g.client.CloseIdleConnections()
	g.mu.Lock()
	now := time.Now()
	sends := g.table.AnnounceGone(now)
	packets := g.pack(now, sends)
	g.mu.Unlock()
	g.transmit(packets)
	return g.socket.close()
}

// GossipAddress returns the address for heartbeats that is advertised to other
// instances. It is empty unless the module is started and listens.
func (g *Gossip) GossipAddress() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Self().GossipAddress
}

// SetState implements kernel.Membership.
func (g *Gossip) SetState(s kernel.MemberState) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch s {
	case kernel.MemberReady:
		g.state = policy.MemberReady
	case kernel.MemberLeaving:
		g.state = policy.MemberLeaving
	default:
		return
	}
	g.announce()
	g.storeView(time.Now())
}

// announce updates the instance's own record with its state, peer address and
// configuration revision. The caller holds mu.
func (g *Gossip) announce() {
	g.table.Announce(g.state, g.peerAddress())
	if snap := g.host.Snapshot(); snap != nil {
		g.table.SetRevision(snap.Tables.Revision)
	}
}

// peerAddress returns the advertised address for requests of other instances, or
// an empty string if there is none.
func (g *Gossip) peerAddress() string {
	p, ok := g.host.Peers.(interface{ PeerAddress() string })
	if !ok {
		return ""
	}
	return p.PeerAddress()
}

// run processes received datagrams and heartbeat rounds until the context ends.
func (g *Gossip) run(ctx context.Context) {
	ticker := time.NewTicker(g.host.Settings.Duration(section, "interval"))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-g.inbox:
			g.handleDatagram(r)
		case now := <-ticker.C:
			g.tick(now)
		}
	}
}

// tick runs one heartbeat round: it reloads the secrets, publishes the digests of
// the sources and sends the messages that are due.
func (g *Gossip) tick(now time.Time) {
	if changed, err := g.keyring.Reload(now); err != nil {
		g.counters.secretsFailed.Inc(1)
	} else if changed {
		g.host.Logger.Info("membership secrets changed", "secrets", len(g.keyring.Secrets()))
	}
	payloads := g.collectDigests()
	g.mu.Lock()
	for kind, payload := range payloads {
		if g.digests.Publish(now, kind, payload) {
			g.table.MarkUrgent()
		}
	}
	g.announce()
	start := time.Now()
	packets := g.pack(now, g.table.Tick(now))
	g.counters.tickNanos.Inc(int64(time.Since(start)))
	if now.Sub(g.lastPruned) > pruneInterval {
		g.pruneForgotten(now)
	}
	g.mu.Unlock()
	g.transmit(packets)
	g.publish(now)
}

// pruneForgotten drops the digests and replay state of instances that the member
// table no longer holds. The caller holds mu.
func (g *Gossip) pruneForgotten(now time.Time) {
	g.lastPruned = now
	known := func(id string) bool { return g.table.ZoneOf(id) != "" }
	g.digests.Prune(known)
	g.guard.Prune(known)
}

// handleDatagram applies a received datagram to the tables, sends the replies,
// and delivers new digests to their sinks after it releases mu.
func (g *Gossip) handleDatagram(r receivedDatagram) {
	now := time.Now()
	d := r.datagram
	g.mu.Lock()
	if !g.guard.Accept(now, d) {
		g.mu.Unlock()
		g.counters.dropped("replayed")
		return
	}
	replies := g.table.Receive(now, &d.Message)
	deliveries := g.receiveDigests(now, d)
	packets := g.pack(now, replies)
	g.mu.Unlock()
	g.transmit(packets)
	g.publish(now)
	g.counters.received(d.Header.Kind, r.size, r.decodeTime+time.Since(now))
	for _, del := range deliveries {
		del.deliver()
	}
}
