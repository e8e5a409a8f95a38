// Package orders makes engines load the version that the tables specify.
//
// The table of pools specifies the desired version of each server of a versioned
// pool. One live instance of each availability zone compares it with the version
// that each engine of the zone reports, and orders engines that differ to load
// the desired one. The fencing token of an order is the offset of its record on
// the stream "orders", so that tokens only grow. An order holds the complete
// desired state. The next comparison therefore detects and corrects the effect of
// an order that arrives late.
package orders

import (
	"context"
	"log/slog"
	"math"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/savoryfold/savoryfold/config"
	"github.com/savoryfold/savoryfold/internal/periodic"
	"github.com/savoryfold/savoryfold/internal/upstream"
	"github.com/savoryfold/savoryfold/kernel"
)

const section = "orders"

// maxOrderBackoff bounds the backoff between orders to an engine that does not
// carry them out.
const maxOrderBackoff = time.Minute

// callTimeout bounds one call of an engine, maxParallelCalls the number of
// calls in flight.
const (
	callTimeout      = 2 * time.Second
	maxParallelCalls = 8
)

func init() {
	kernel.Register(kernel.ModuleInfo{
		ID:    "orders",
		Phase: kernel.PhaseRequest,
		Settings: []config.Key{
			{Section: section, Name: "poll", Kind: config.Duration, Default: "5s", Doc: "interval at which the versions of the zone's engines are checked; 0s disables orders"},
			{Section: section, Name: "parallel_loads", Kind: config.Int, Default: "2", Doc: "number of engines of one availability zone that may load a version concurrently, to stay within the rate limit of the weight store"},
		},
		New: func() kernel.Module { return &Orders{} },
	})
}

// Orders is the module that sends load orders to engines.
type Orders struct {
	host     *kernel.Host
	logger   *slog.Logger
	engine   engineClient
	ledger   ledger
	stop     context.CancelFunc
	done     sync.WaitGroup
	backoffs map[string]orderBackoff // by server; used by run only

	mu    sync.Mutex
	state orderDump // guarded by mu
}

// orderBackoff spaces out orders to an engine that does not carry them out.
type orderBackoff struct {
	until time.Time
	delay time.Duration
}

// orderDump is the dumped state of the module.
type orderDump struct {
	Issuer  bool              `json:"issuer"`
	Loading []string          `json:"loading"`
	Differ  map[string]string `json:"differ"` // reported version of servers that run another than the desired one
	Sent    int               `json:"sent"`
}

// Provision implements kernel.Provisioner.
func (o *Orders) Provision(h *kernel.Host) error {
	o.host = h
	o.logger = h.Logger.With("module", "orders")
	o.engine.client = &http.Client{Timeout: callTimeout, Transport: &http.Transport{IdleConnTimeout: time.Minute, MaxResponseHeaderBytes: upstream.MaxHeadBytes}}
	o.ledger.log = h.Log
	o.backoffs = make(map[string]orderBackoff)
	return nil
}

// Validate implements kernel.Validator.
func (o *Orders) Validate() error {
	if o.host.Settings.Int(section, "parallel_loads") < 1 {
		return errors.New("[orders] parallel_loads: want at least 1")
	}
	return nil
}

// Start implements kernel.Starter.
func (o *Orders) Start(ctx context.Context) error {
	ctx, o.stop = context.WithCancel(ctx)
	poll := o.host.Settings.Duration(section, "poll")
	if poll <= 0 || o.host.Log == nil {
		return nil
	}
	o.done.Go(func() { o.run(ctx, poll) })
	return nil
}

// Stop implements kernel.Stopper.
func (o *Orders) Stop(context.Context) error {
	o.stop()
	o.done.Wait()
	o.engine.client.CloseIdleConnections()
	return nil
}

// Dump implements kernel.Dumper.
func (o *Orders) Dump() any {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.state
}

func (o *Orders) run(ctx context.Context, poll time.Duration) {
	periodic.Run(ctx, poll, func(_ time.Time) { o.reconcile(ctx) })
}

// reconcile compares the zone's engines with the tables and orders those that
// differ to load the desired version. Only the first-ranked instance of the zone
// does so.
func (o *Orders) reconcile(ctx context.Context) {
	snap := o.host.Snapshot()
	issuer := snap != nil && o.host.ZoneRank("orders") == 0
	if !issuer {
		o.setDump(orderDump{})
		return
	}
	var own []config.Server
	for _, p := range snap.Tables.Pools {
		for _, s := range versioned(p) {
			if s.Zone == o.host.Zone() {
				own = append(own, s)
			}
		}
	}
	states := o.fetchStates(ctx, own)
	dump := orderDump{Issuer: true, Differ: make(map[string]string)}
	var differ []config.Server
	for _, s := range own {
		state, ok := states[s.ID()]
		switch {
		case !ok:
		case state.Loading:
			dump.Loading = append(dump.Loading, s.ID())
		case state.Version != s.Version:
			dump.Differ[s.ID()] = state.Version
			differ = append(differ, s)
		default:
			delete(o.backoffs, s.ID())
		}
	}
	o.setDump(dump)
	room := o.host.Settings.Int(section, "parallel_loads") - len(dump.Loading)
	for _, s := range differ {
		if room <= 0 {
			return
		}
		if time.Now().Before(o.backoffs[s.ID()].until) {
			continue
		}
		if o.placeOrder(ctx, snap.Tables, s) {
			room--
			o.backOff(s.ID())
		}
	}
}

// backOff doubles the wait before the next order to a server, up to
// maxOrderBackoff.
func (o *Orders) backOff(server string) {
	length := min(maxOrderBackoff, 2*o.backoffs[server].delay)
	if length == 0 {
		length = o.host.Settings.Duration(section, "poll")
	}
	o.backoffs[server] = orderBackoff{until: time.Now().Add(length), delay: length}
}

// versioned returns the servers of a versioned pool for which the table specifies
// a version.
func versioned(p *config.Pool) []config.Server {
	var out []config.Server
	for _, s := range p.Servers {
		if p.Versioned && s.Version != "" {
			out = append(out, s)
		}
	}
	return out
}

func (o *Orders) setDump(d orderDump) {
	o.mu.Lock()
	defer o.mu.Unlock()
	d.Sent = o.state.Sent
	o.state = d
	o.host.Gauge("orders_loading").Update(int64(len(d.Loading)))
}

// fetchStates asks engines for their states. The result lacks engines that do not
// respond.
func (o *Orders) fetchStates(ctx context.Context, servers []config.Server) map[string]engineState {
	var mu sync.Mutex
	states := make(map[string]engineState, len(servers))
	var g errgroup.Group
	g.SetLimit(maxParallelCalls)
	for _, s := range servers {
		g.Go(func() error {
			state, err := o.engine.state(ctx, s.Address)
			if err != nil {
				o.host.Counter("orders_engines_silent").Inc(1)
				return nil
			}
			mu.Lock()
			defer mu.Unlock()
			states[s.ID()] = state
			return nil
		})
	}
	_ = g.Wait()
	return states
}

// placeOrder records an order, reads it back, and sends it unless newer tables or
// earlier pending orders forbid it. It reports whether the engine accepted it.
func (o *Orders) placeOrder(ctx context.Context, t *config.Tables, s config.Server) bool {
	pool := t.Pools[s.Pool]
	states := o.fetchStates(ctx, versioned(pool))
	if err := o.ledger.read(ctx, 0); err != nil {
		o.count("unrecorded")
		return false
	}
	if o.ledger.newestRevision[s.ID()] > t.Revision || !mayLoad(pool, s, states, o.ledger.pending(math.MaxUint64, states)) {
		return false
	}
	fence, err := o.ledger.issue(ctx, orderRecord{Server: s.ID(), Version: s.Version, Revision: t.Revision, Instance: o.host.ID()})
	if err != nil {
		o.count("unrecorded")
		return false
	}
	switch {
	case o.ledger.newestRevision[s.ID()] > t.Revision:
		o.count("outdated")
	case !mayLoad(pool, s, states, o.ledger.pending(fence, states)):
		o.count("deferred")
	default:
		return o.send(ctx, s, fence)
	}
	o.ledger.drop(fence)
	return false
}

// send sends an engine its order and reports whether the engine accepted it.
func (o *Orders) send(ctx context.Context, s config.Server, fence uint64) bool {
	err := o.engine.send(ctx, s.Address, engineState{Fence: fence, Version: s.Version, Role: roleBoth})
	if err != nil {
		o.count("failed")
		o.logger.Warn("sending order to engine failed", "server", s.ID(), "version", s.Version, "error", err)
		return false
	}
	o.count("sent")
	o.logger.Info("order sent to engine", "server", s.ID(), "version", s.Version, "fence", fence)
	o.mu.Lock()
	o.state.Sent++
	o.mu.Unlock()
	return true
}

func (o *Orders) count(result string) {
	o.host.Counter(`orders{result="` + result + `"}`).Inc(1)
}

// mayLoad reports whether a server may load a version now. At least half of the
// pool's versioned servers must keep serving, except in a pool of one. Servers
// that load, have a pending order or do not respond count as unavailable.
func mayLoad(p *config.Pool, s config.Server, states map[string]engineState, pending map[string]bool) bool {
	unavailable := 1
	for _, other := range versioned(p) {
		id := other.ID()
		state, responds := states[id]
		if other.Name != s.Name && (!responds || state.Loading || pending[id]) {
			unavailable++
		}
	}
	return unavailable <= max(1, len(versioned(p))/2)
}
