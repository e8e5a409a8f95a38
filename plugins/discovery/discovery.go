// Package discovery learns routes, services and backend servers from the
// platform's metadata store and puts each new view of them in force.
package discovery

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/savoryfold/savoryfold/catalog"
	"github.com/savoryfold/savoryfold/config"
	"github.com/savoryfold/savoryfold/internal/backoff"
	"github.com/savoryfold/savoryfold/internal/periodic"
	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/platform"
)

const section = "store"

// serverPace is the least time between two reads of the servers' entries: a
// tenth of the shortest bound on a leaving server.
const serverPace = 200 * time.Millisecond

// configPace is the least time between two reads of what operators write.
const configPace = 50 * time.Millisecond

func init() {
	kernel.Register(kernel.ModuleInfo{
		ID:    "discovery",
		Phase: kernel.PhaseConfig,
		Settings: []config.Key{
			{Section: section, Name: "address", Kind: config.Address, Doc: "address of the platform's metadata store; empty means none"},
			{Section: section, Name: "timeout", Kind: config.Duration, Default: "1500ms", Doc: "longest call of the store, without the wait of a read"},
			{Section: section, Name: "member_ttl", Kind: config.Duration, Default: "3s", Doc: "time after which an instance that is not heard counts as gone"},
			{Section: section, Name: "member_topics", Kind: config.Int, Default: "16", Doc: "topics over which the instances spread; each instance holds a partition of one, so that their partitions bound the instances that are known"},
			{Section: section, Name: "capacity", Kind: config.Float, Default: "1", Doc: "capacity of this instance relative to others, such as its link in Mbit/s; it gets that part of what one instance does for all"},
			{Section: section, Name: "peer_address", Kind: config.Address, Doc: "address at which this instance takes calls of others; empty means none"},
		},
		New: func() kernel.Module { return &Discovery{} },
	})
}

// Discovery implements kernel.Catalogs and kernel.Fleet.
type Discovery struct {
	host    *kernel.Host
	client  *platform.StoreClient
	current atomic.Pointer[catalog.Catalog]
	members atomic.Pointer[[]kernel.FleetMember]
	changed []func(*catalog.Catalog)
	renew   renewals
	// operators and servers follow what these write.
	operators, servers *watch
	catchingUp         atomic.Bool
	away               atomic.Bool     // the store does not answer the heartbeat
	avoided            backoff.Avoided // readers that did not answer
	cancel             context.CancelFunc
	running            sync.WaitGroup
	// leaving is closed when this instance is to leave the fleet.
	leaving    chan struct{}
	life       context.Context // ends with the module
	statusOnce sync.Once
	leaveOnce  sync.Once

	mu    sync.Mutex
	state state // guarded by mu
	epoch uint64
}

// Provision implements kernel.Provisioner.
func (d *Discovery) Provision(h *kernel.Host) error {
	d.host = h
	d.state = newState()
	d.leaving = make(chan struct{})
	if address := h.Settings.String(section, "address"); address != "" {
		d.client = platform.NewStoreClient(address, h.Settings.Duration(section, "timeout"))
	}
	if h.PeerCalls != nil {
		h.PeerCalls.HandlePeer(recordsPath, d.serveRecords)
		h.PeerCalls.HandlePeer(membersPath, d.serveMembers)
	}
	return nil
}

// Validate implements kernel.Validator.
func (d *Discovery) Validate() error {
	if d.client != nil && d.host.Settings.Duration(section, "member_ttl") < time.Second {
		return errors.New("[store] member_ttl: want 1s or more")
	}
	return nil
}

// Start implements kernel.Starter. It does not wait for the store: an instance
// that starts while the store is away refuses requests until it has a view.
func (d *Discovery) Start(ctx context.Context) error {
	if d.client == nil {
		return nil
	}
	ctx, d.cancel = context.WithCancel(ctx)
	d.life = ctx
	d.operators = d.newWatch(platform.OperatorTopic, configPace, d.applyOperator)
	d.servers = d.newWatch(platform.ServersTopic, serverPace, d.applyServers)
	d.operators.peer, d.servers.peer = d.readPeer, d.readPeer
	d.operators.standsIn, d.servers.standsIn = d.standsIn, d.standsIn
	d.running.Go(func() { d.operators.run(ctx) })
	d.running.Go(func() { d.servers.run(ctx) })
	d.running.Go(func() { d.joinFleet(ctx) })
	d.running.Go(func() { d.expire(ctx) })
	return nil
}

// PrepareStop implements kernel.StopPreparer: others are told at once that this
// instance takes no work of theirs, while its own requests finish.
func (d *Discovery) PrepareStop() { d.leaveOnce.Do(func() { close(d.leaving) }) }

// Stop implements kernel.Stopper.
func (d *Discovery) Stop(context.Context) error {
	if d.cancel != nil {
		d.cancel()
		d.running.Wait()
		d.client.Close()
	}
	return nil
}

func (d *Discovery) newWatch(topic string, pace time.Duration, apply func(time.Time, []platform.StoreRecord, bool)) *watch {
	w := &watch{client: d.client, logger: d.host.Logger, topic: topic, pace: pace, apply: apply, renewals: &d.renew, away: d.away.Load}
	w.lost = func(now time.Time, err error) {
		d.host.Logger.Warn("metadata store lost", "topic", topic, "error", err)
		d.host.Counter("store_lost").Inc(1)
	}
	w.regained = func(now time.Time, _ error) {
		d.host.Logger.Info("metadata store regained", "topic", topic)
		d.noteRegained(now)
	}
	return w
}

// catchUp is how long an instance that is behind another has to read on by
// itself: some reads of the store.
const catchUp = 150 * time.Millisecond

// Position implements kernel.Catalogs.
func (d *Discovery) Position() kernel.CatalogPosition {
	if d.operators == nil {
		return kernel.CatalogPosition{}
	}
	return kernel.CatalogPosition{Operators: d.operators.position.Load(), Servers: d.servers.position.Load()}
}

// HearPosition implements kernel.Catalogs. The store does not wake every read
// that waits; other instances tell of the records that one was not told of.
func (d *Discovery) HearPosition(p kernel.CatalogPosition) {
	if !d.Position().Behind(p) || !d.catchingUp.CompareAndSwap(false, true) {
		return
	}
	time.AfterFunc(catchUp, func() {
		d.catchingUp.Store(false)
		if own := d.Position(); own.Behind(p) {
			d.host.Counter("store_reads_renewed").Inc(1)
			d.host.Logger.Warn("behind another instance, reading anew", "operators", own.Operators, "servers", own.Servers,
				"other_operators", p.Operators, "other_servers", p.Servers)
			d.renew.renew()
		}
	})
}

// RecordMove implements kernel.Catalogs.
func (d *Discovery) RecordMove(ctx context.Context, service string, s catalog.MoveStatus) error {
	value, err := platform.EncodeStatus(s)
	if err != nil {
		return errors.Wrap(err, "state of a move")
	}
	return d.client.Put(ctx, platform.StatusTopic, platform.StatusKey(service), value)
}

// followStatus follows the states of moves from the first order on: without
// orders there is nothing to read.
func (d *Discovery) followStatus() {
	d.statusOnce.Do(func() {
		w := d.newWatch(platform.StatusTopic, serverPace, d.applyStatus)
		d.running.Go(func() { w.run(d.life) })
	})
}

// noteRegained notes that the store answers again after it was away.
func (d *Discovery) noteRegained(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.state.regained = now
}

// Catalog implements kernel.Catalogs.
func (d *Discovery) Catalog() *catalog.Catalog { return d.current.Load() }

// OnCatalog implements kernel.Catalogs.
func (d *Discovery) OnCatalog(f func(*catalog.Catalog)) { d.changed = append(d.changed, f) }

// update changes the state under the lock and puts the new view in force if
// the change asks for one.
func (d *Discovery) update(change func(s *state) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !change(&d.state) || d.state.config == nil {
		return
	}
	d.epoch++
	view := d.state.view()
	view.Epoch = d.epoch
	d.current.Store(view)
	for _, f := range d.changed {
		f(view)
	}
}

// applyOperator takes what operators wrote.
func (d *Discovery) applyOperator(now time.Time, records []platform.StoreRecord, whole bool) {
	d.update(func(s *state) bool {
		if whole {
			s.forgetOrders(records)
		}
		for _, r := range records {
			d.applyOrder(s, now, r)
		}
		return true
	})
}

// applyOrder takes one record of the operators.
func (d *Discovery) applyOrder(s *state, now time.Time, r platform.StoreRecord) {
	logger := d.host.Logger
	switch {
	case platform.ConfigKey(r.Key):
		c, err := platform.DecodeConfig(r.Value)
		if err != nil {
			logger.Error("configuration cannot be read, the one before stays in force", "offset", r.Offset, "error", err)
			return
		}
		if s.config != nil && c.Version <= s.config.Version {
			return
		}
		s.config = c
		d.host.Gauge("config_version").Update(c.Version)
		logger.Info("configuration in force", "version", c.Version, "routes", len(c.Routes), "services", len(c.Services), "offset", r.Offset)
	default:
		if zone, ok := platform.ZoneOutKey(r.Key); ok {
			s.setZone(zone, r.Value != nil)
			logger.Info("availability zone", "zone", zone, "out", r.Value != nil, "offset", r.Offset)
		}
		if service, ok := platform.MoveKey(r.Key); ok {
			d.applyMove(s, now, service, r)
		}
	}
}

func (d *Discovery) applyMove(s *state, now time.Time, service string, r platform.StoreRecord) {
	if r.Value == nil {
		delete(s.moves, service)
		return
	}
	m, err := platform.DecodeMove(r.Value, r.Offset)
	if err != nil {
		d.host.Logger.Error("order to move a service cannot be read", "key", r.Key, "offset", r.Offset, "error", err)
		return
	}
	if old := s.moves[service]; old != nil && old.Order >= m.Order {
		return
	}
	m.Service, m.Seen = service, now
	s.moves[service] = m
	d.followStatus()
	d.host.Logger.Info("move ordered", "service", service, "target", m.Target, "within", m.Duration, "order", m.Order)
}

// applyStatus takes what is recorded of moves.
func (d *Discovery) applyStatus(_ time.Time, records []platform.StoreRecord, _ bool) {
	d.update(func(s *state) bool {
		for _, r := range records {
			service, ok := platform.StatusOf(r.Key)
			if !ok || r.Value == nil {
				continue
			}
			status, err := platform.DecodeStatus(r.Value)
			if err != nil {
				d.host.Logger.Error("status of a move cannot be read", "key", r.Key, "offset", r.Offset, "error", err)
				continue
			}
			s.statuses[service] = status
			d.host.Logger.Info("status of a move", "service", service, "target", status.Target, "state", status.State.String(), "order", status.Order)
		}
		return true
	})
}

// applyServers takes entries of backend servers.
func (d *Discovery) applyServers(now time.Time, records []platform.StoreRecord, whole bool) {
	d.update(func(s *state) bool {
		changed := false
		if whole {
			listed := make(map[string]bool, len(records))
			for _, r := range records {
				listed[r.Key] = true
			}
			for id := range s.servers {
				if !listed[id] && s.remove(now, id) {
					changed = true
					d.host.Logger.Info("server not listed", "server", id)
				}
			}
		}
		for _, r := range records {
			changed = d.applyServer(s, now, r) || changed
		}
		return changed || whole
	})
}

// applyServer takes one entry and reports whether the view changed.
func (d *Discovery) applyServer(s *state, now time.Time, r platform.StoreRecord) bool {
	if r.Value == nil {
		known := s.servers[r.Key]
		if !s.remove(now, r.Key) {
			return false
		}
		d.host.Logger.Info("server entry removed", "server", r.Key, "service", known.Service, "kept_until", s.lapsed[r.Key])
		return true
	}
	server, err := platform.DecodeServer(r.Key, r.Value, now)
	if err != nil {
		d.host.Logger.Warn("server entry names no usable server", "server", r.Key, "offset", r.Offset, "error", err)
		return s.remove(now, r.Key)
	}
	old := s.servers[r.Key]
	if !s.put(server) {
		return false
	}
	if old == nil || old.Born != server.Born || old.Draining != server.Draining || old.Address != server.Address {
		d.host.Logger.Info("server entry", "server", server.ID, "service", server.Service, "zone", server.Zone, "address", server.Address,
			"version", server.Version, "born", server.Born, "draining", server.Draining, "cold_for", max(0, server.WarmAt.Sub(now)))
	}
	return true
}

// expire drops servers whose entries lapsed and did not come back.
func (d *Discovery) expire(ctx context.Context) {
	periodic.Run(ctx, serverPace, func(now time.Time) { d.update(func(s *state) bool { return s.expire(now) }) })
}
