package membership

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/savoryfold/savoryfold/config"
	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/peer"
	"github.com/savoryfold/savoryfold/policy"
)

const section = "membership"

// The times and sizes that no setting changes.
const (
	forgetAfter    = time.Hour
	fanout         = 2
	maxSkew        = 30 * time.Second
	inboxSize      = 1024
	keepInterval   = 30 * time.Second
	listTimeout    = time.Second
	maxListBytes   = 1 << 20
	maxDigestBytes = 900
)

func init() {
	kernel.Register(kernel.ModuleInfo{
		ID:    "membership.gossip",
		Phase: kernel.PhaseMembership,
		Settings: []config.Key{
			{Section: section, Name: "gossip_listen", Kind: config.Address, Doc: "address of heartbeats (UDP); empty means that the instance is alone"},
			{Section: section, Name: "gossip_advertise", Kind: config.Address, Doc: "address of heartbeats that others are told; empty means the one listened on"},
			{Section: section, Name: "peer_listen", Kind: config.Address, Doc: "address of requests between instances (QUIC); empty means none"},
			{Section: section, Name: "peer_advertise", Kind: config.Address, Doc: "address of requests that others are told; empty means the one listened on"},
			{Section: section, Name: "seeds", Kind: config.List, Doc: "addresses of heartbeats that are tried to find the others"},
			{Section: section, Name: "list", Kind: config.Address, Doc: "address of the platform's list of instances, whose entries are tried like seeds"},
			{Section: section, Name: "list_interval", Kind: config.Duration, Default: "5s", Doc: "time between two reads of the list"},
			{Section: section, Name: "secrets", Kind: config.List, Secret: true, Doc: "secrets that all instances share; the first signs, all verify"},
			{Section: section, Name: "secrets_file", Doc: "file with the secrets, one a line, that is read again when it changes"},
			{Section: section, Name: "interval", Kind: config.Duration, Default: "250ms", Doc: "time between two rounds of heartbeats"},
			{Section: section, Name: "suspect_after", Kind: config.Duration, Default: "2s", Doc: "silence after which an instance is suspect"},
			{Section: section, Name: "gone_after", Kind: config.Duration, Default: "8s", Doc: "silence after which an instance is gone"},
			{Section: section, Name: "zone_delegates", Kind: config.Int, Default: "2", Doc: "instances that speak for their availability zone to each other zone"},
		},
		New: func() kernel.Module { return newGossip() },
	})
}

// Gossip implements kernel.Membership and kernel.Digests with heartbeats over
// UDP.
type Gossip struct {
	host    *kernel.Host
	keyring *peer.Keyring
	count   counters
	seeds   []string
	view    atomic.Pointer[kernel.MemberView]
	socket  *socket
	inbox   chan arrival
	cancel  context.CancelFunc
	running sync.WaitGroup
	client  *http.Client

	mu       sync.Mutex
	table    *policy.MemberTable // guarded by mu
	digests  *policy.DigestTable // guarded by mu
	guard    peer.ReplayGuard    // guarded by mu
	sequence uint64              // guarded by mu
	state    policy.MemberStatus // guarded by mu
	kept     time.Time           // guarded by mu
	notified viewMark            // guarded by mu
	sources  map[string]func() []byte
	sinks    map[string][]digestSink
	watchers []func(*kernel.MemberView)
}

// arrival is one datagram that was received and verified.
type arrival struct {
	datagram *peer.Datagram
	size     int
	spent    time.Duration
}

func newGossip() *Gossip {
	return &Gossip{
		inbox:   make(chan arrival, inboxSize),
		guard:   peer.ReplayGuard{MaxSkew: maxSkew},
		state:   policy.MemberStarting,
		sources: make(map[string]func() []byte),
		sinks:   make(map[string][]digestSink),
	}
}

// Provision implements kernel.Provisioner.
func (g *Gossip) Provision(h *kernel.Host) error {
	g.host = h
	g.count.init(h)
	g.seeds = h.Settings.Words(section, "seeds")
	g.client = &http.Client{Timeout: listTimeout, Transport: &http.Transport{}}
	keyring, err := peer.NewKeyring(h.Settings.Words(section, "secrets"), h.Settings.String(section, "secrets_file"))
	if err != nil {
		return err
	}
	g.keyring = keyring
	g.makeTable("")
	return nil
}

// Validate implements kernel.Validator.
func (g *Gossip) Validate() error {
	s := g.host.Settings
	if len(g.host.ID()) > peer.MaxName || len(g.host.Zone()) > peer.MaxName {
		return errors.Errorf("[instance] id and zone have at most %d characters", peer.MaxName)
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

// makeTable makes the state machines for the address that is advertised.
func (g *Gossip) makeTable(address string) {
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
	g.showView(now)
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
	g.makeTable(address)
	g.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	g.cancel = cancel
	g.running.Go(func() { g.run(ctx) })
	if g.host.Settings.String(section, "list") != "" {
		g.running.Go(func() { g.readList(ctx) })
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
	g.running.Wait()
	g.client.CloseIdleConnections()
	g.mu.Lock()
	now := time.Now()
	sends := g.table.Farewell(now)
	packets := g.pack(now, sends)
	g.mu.Unlock()
	g.transmit(packets)
	return g.socket.close()
}

// GossipAddress returns the address that heartbeats are received on.
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
	g.showView(time.Now())
}

// announce brings the own record up to date. The caller holds mu.
func (g *Gossip) announce() {
	g.table.Announce(g.state, g.peerAddress())
	if snap := g.host.Snapshot(); snap != nil {
		g.table.SetRevision(snap.Tables.Revision)
	}
}

// peerAddress is where requests of other instances are taken.
func (g *Gossip) peerAddress() string {
	p, ok := g.host.Peers.(interface{ PeerAddress() string })
	if !ok {
		return ""
	}
	return p.PeerAddress()
}

// run drives the state machines until the context ends.
func (g *Gossip) run(ctx context.Context) {
	ticker := time.NewTicker(g.host.Settings.Duration(section, "interval"))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case a := <-g.inbox:
			g.take(a)
		case now := <-ticker.C:
			g.tick(now)
		}
	}
}

func (g *Gossip) tick(now time.Time) {
	if changed, err := g.keyring.Reload(now); err != nil {
		g.count.secretsFailed.Inc(1)
	} else if changed {
		g.host.Logger.Info("membership secrets changed", "secrets", len(g.keyring.Secrets()))
	}
	said := g.ask()
	g.mu.Lock()
	for kind, payload := range said {
		if g.digests.Publish(now, kind, payload) {
			g.table.Hurry()
		}
	}
	g.announce()
	start := time.Now()
	packets := g.pack(now, g.table.Tick(now))
	g.count.tickNanos.Inc(int64(time.Since(start)))
	if now.Sub(g.kept) > keepInterval {
		g.keep(now)
	}
	g.mu.Unlock()
	g.transmit(packets)
	g.publish(now)
}

// keep drops what is held of instances that are forgotten. The caller holds mu.
func (g *Gossip) keep(now time.Time) {
	g.kept = now
	known := func(id string) bool { return g.table.ZoneOf(id) != "" }
	g.digests.Keep(known)
	g.guard.Forget(known)
}

// take puts a received datagram into the state machines.
func (g *Gossip) take(a arrival) {
	now := time.Now()
	d := a.datagram
	g.mu.Lock()
	if !g.guard.Accept(now, d) {
		g.mu.Unlock()
		g.count.refused("replayed")
		return
	}
	replies := g.table.Receive(now, &d.Message)
	news := g.takeDigests(now, d)
	packets := g.pack(now, replies)
	g.mu.Unlock()
	g.transmit(packets)
	g.publish(now)
	g.count.received(d.Header.Kind, a.size, a.spent+time.Since(now))
	for _, n := range news {
		n.deliver()
	}
}
