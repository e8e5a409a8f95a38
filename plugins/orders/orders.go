// Package orders tells engines which version to load.
//
// The table of pools says the version that each server of a versioned pool
// should have. One live instance of each availability zone compares that with
// what the zone's engines say, and orders those that differ to load it. The
// fencing number of an order is the offset of its record on the stream
// "orders", so that it only grows. An order says the desired state: one that
// arrives late is seen and overridden.
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
	"github.com/savoryfold/savoryfold/kernel"
)

const section = "orders"

// maxPause is the longest time between two orders to an engine that does not
// do what it is told.
const maxPause = time.Minute

// callTimeout bounds one call of an engine, parallelCalls how many run at once.
const (
	callTimeout   = 2 * time.Second
	parallelCalls = 8
)

func init() {
	kernel.Register(kernel.ModuleInfo{
		ID:    "orders",
		Phase: kernel.PhaseRequest,
		Settings: []config.Key{
			{Section: section, Name: "poll", Kind: config.Duration, Default: "5s", Doc: "time between two looks at the versions that the zone's engines run; 0s sends no orders"},
			{Section: section, Name: "parallel_loads", Kind: config.Int, Default: "2", Doc: "number of engines of one availability zone that load a version at once, for the rate limit of the weight store"},
		},
		New: func() kernel.Module { return &Orders{} },
	})
}

// Orders sends orders to engines.
type Orders struct {
	host   *kernel.Host
	logger *slog.Logger
	engine engineClient
	ledger ledger
	stop   context.CancelFunc
	done   sync.WaitGroup
	pauses map[string]pause // by server; used by run only

	mu    sync.Mutex
	state orderDump // guarded by mu
}

// pause keeps an engine that does not follow from being told all the time.
type pause struct {
	until  time.Time
	length time.Duration
}

// orderDump is the module's state as dumped.
type orderDump struct {
	Issuer  bool              `json:"issuer"`
	Loading []string          `json:"loading"`
	Differ  map[string]string `json:"differ"` // version by server
	Sent    int               `json:"sent"`
}

// Provision implements kernel.Provisioner.
func (o *Orders) Provision(h *kernel.Host) error {
	o.host = h
	o.logger = h.Logger.With("module", "orders")
	o.engine.client = &http.Client{Timeout: callTimeout, Transport: &http.Transport{IdleConnTimeout: time.Minute}}
	o.ledger.log = h.Log
	o.pauses = make(map[string]pause)
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
	periodic.Run(ctx, poll, func(_ time.Time) { o.round(ctx) })
}

// round compares the zone's engines with the tables and orders what differs.
func (o *Orders) round(ctx context.Context) {
	snap := o.host.Snapshot()
	issuer := snap != nil && o.host.ZoneRank("orders") == 0
	if !issuer {
		o.note(orderDump{})
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
	states := o.ask(ctx, own)
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
			delete(o.pauses, s.ID())
		}
	}
	o.note(dump)
	room := o.host.Settings.Int(section, "parallel_loads") - len(dump.Loading)
	for _, s := range differ {
		if room <= 0 {
			return
		}
		if time.Now().Before(o.pauses[s.ID()].until) {
			continue
		}
		if o.order(ctx, snap.Tables, s) {
			room--
			o.pause(s.ID())
		}
	}
}

// pause doubles the time until the next order to a server.
func (o *Orders) pause(server string) {
	length := min(maxPause, 2*o.pauses[server].length)
	if length == 0 {
		length = o.host.Settings.Duration(section, "poll")
	}
	o.pauses[server] = pause{until: time.Now().Add(length), length: length}
}

// versioned returns a pool's servers whose version the table states.
func versioned(p *config.Pool) []config.Server {
	var out []config.Server
	for _, s := range p.Servers {
		if p.Versioned && s.Version != "" {
			out = append(out, s)
		}
	}
	return out
}

func (o *Orders) note(d orderDump) {
	o.mu.Lock()
	defer o.mu.Unlock()
	d.Sent = o.state.Sent
	o.state = d
	o.host.Gauge("orders_loading").Update(int64(len(d.Loading)))
}

// ask asks engines for the orders that they follow. Those that do not answer
// are left out.
func (o *Orders) ask(ctx context.Context, servers []config.Server) map[string]engineState {
	var mu sync.Mutex
	states := make(map[string]engineState, len(servers))
	var g errgroup.Group
	g.SetLimit(parallelCalls)
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

// order records an order, reads it back, and sends it if it still holds. It
// reports whether the engine was told.
func (o *Orders) order(ctx context.Context, t *config.Tables, s config.Server) bool {
	pool := t.Pools[s.Pool]
	states := o.ask(ctx, versioned(pool))
	if err := o.ledger.read(ctx, 0); err != nil {
		o.count("unrecorded")
		return false
	}
	if o.ledger.newest[s.ID()] > t.Revision || !mayLoad(pool, s, states, o.ledger.underWay(math.MaxUint64, states)) {
		return false
	}
	fence, err := o.ledger.issue(ctx, orderRecord{Server: s.ID(), Version: s.Version, Revision: t.Revision, Instance: o.host.ID()})
	if err != nil {
		o.count("unrecorded")
		return false
	}
	switch {
	case o.ledger.newest[s.ID()] > t.Revision:
		o.count("outdated")
	case !mayLoad(pool, s, states, o.ledger.underWay(fence, states)):
		o.count("deferred")
	default:
		return o.send(ctx, s, fence)
	}
	o.ledger.drop(fence)
	return false
}

// send gives an engine its order.
func (o *Orders) send(ctx context.Context, s config.Server, fence uint64) bool {
	err := o.engine.send(ctx, s.Address, engineState{Fence: fence, Version: s.Version, Role: roleBoth})
	if err != nil {
		o.count("failed")
		o.logger.Warn("order failed", "server", s.ID(), "version", s.Version, "error", err)
		return false
	}
	o.count("sent")
	o.logger.Info("order sent", "server", s.ID(), "version", s.Version, "fence", fence)
	o.mu.Lock()
	o.state.Sent++
	o.mu.Unlock()
	return true
}

func (o *Orders) count(result string) {
	o.host.Counter(`orders{result="` + result + `"}`).Inc(1)
}

// mayLoad reports whether a server may load a version now: half of the pool's
// servers go on serving. Those that load, are about to, or do not answer do not
// serve.
func mayLoad(p *config.Pool, s config.Server, states map[string]engineState, underWay map[string]bool) bool {
	away := 1
	for _, other := range versioned(p) {
		id := other.ID()
		state, answers := states[id]
		if other.Name != s.Name && (!answers || state.Loading || underWay[id]) {
			away++
		}
	}
	return away <= max(1, len(versioned(p))/2)
}
