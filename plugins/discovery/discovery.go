// Package discovery watches the platform's metadata store for routes, services
// and backend servers, and publishes each change as a new catalog snapshot.
package discovery

import (
	"context"
	"maps"
	"slices"
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

// serverReadInterval is the minimum time between two reads of the server
// entries: a tenth of the shortest time limit for a server that is leaving.
const serverReadInterval = 200 * time.Millisecond

// configReadInterval is the minimum time between two reads of the operator topic.
const configReadInterval = 50 * time.Millisecond

func init() {
	kernel.Register(kernel.ModuleInfo{
		ID:    "discovery",
		Phase: kernel.PhaseConfig,
		Settings: []config.Key{
			{Section: section, Name: "address", Kind: config.Address, Doc: "address of the platform's metadata store; empty means none"},
			{Section: section, Name: "timeout", Kind: config.Duration, Default: "1500ms", Doc: "timeout of a call to the store, excluding the time that a read waits for records"},
			{Section: section, Name: "member_ttl", Kind: config.Duration, Default: "3s", Doc: "time without a heartbeat after which an instance is removed from the fleet"},
			{Section: section, Name: "member_topics", Kind: config.Int, Default: "16", Doc: "number of topics over which the instances spread; each instance must hold a partition of one topic to be known. Instances that get none use more topics, after some seconds"},
			{Section: section, Name: "capacity", Kind: config.Float, Default: "1", Doc: "capacity of this instance relative to others, such as its link in Mbit/s; it gets a proportional share of the tasks that one instance does for all"},
			{Section: section, Name: "peer_address", Kind: config.Address, Doc: "address at which this instance accepts calls from other instances; empty means none"},
		},
		New: func() kernel.Module { return &Discovery{} },
	})
}

// Discovery implements kernel.Catalogs, kernel.Fleet and kernel.SharedState on the
// platform's metadata store.
type Discovery struct {
	host        *kernel.Host
	client      *platform.StoreClient
	current     atomic.Pointer[catalog.Catalog]
	members     atomic.Pointer[[]kernel.FleetMember]
	subscribers []func(*catalog.Catalog) // called with every new snapshot
	// operators, servers and sharedState follow the topics of operators, servers and
	// shared states. status follows the status topic once there is a rollout.
	operators, servers *watch
	status             atomic.Pointer[watch]
	sharedState        *watch
	states             *sharedStates
	catchingUp         atomic.Bool
	storeUnresponsive  atomic.Bool       // the last heartbeat to the store failed
	avoidedReaders     backoff.CoolDowns // zone readers that failed a call recently
	// takenOverUntil is until when this instance reads the store for others, in Unix
	// nanoseconds. cutOffSince is since when the candidates for the zone's reader have
	// responded without reaching the store, nil if they do not.
	takenOverUntil atomic.Int64
	cutOffSince    atomic.Pointer[time.Time]
	cancel         context.CancelFunc
	running        sync.WaitGroup
	// loaded is closed when the configuration, the servers, the fleet and the shared states
	// were read for the first time, loadFailed at the first failed call before that.
	loaded, loadFailed         chan struct{}
	loadedOnce, loadFailedOnce sync.Once
	// leaving is closed when this instance has to leave the fleet.
	leaving    chan struct{}
	moduleCtx  context.Context // canceled when the module stops
	statusOnce sync.Once
	leaveOnce  sync.Once

	// stated maps the servers in state.leaving to their starts, for ServerLeaves.
	stated sync.Map
	// toldEra is the latest era of the store that another instance has stated.
	toldEra atomic.Uint64
	// restoredAt is when this instance learned last that the store was restored from an
	// older copy; nil if it never was.
	restoredAt atomic.Pointer[time.Time]
	// configRecord is the record of the active configuration, for other instances.
	configRecord atomic.Pointer[configRecord]

	mu    sync.Mutex
	state state  // guarded by mu
	epoch uint64 // number of the last snapshot; guarded by mu
}

// Provision implements kernel.Provisioner.
func (d *Discovery) Provision(h *kernel.Host) error {
	d.host = h
	d.state = newState()
	d.states = newSharedStates(h)
	d.leaving = make(chan struct{})
	d.loaded, d.loadFailed = make(chan struct{}), make(chan struct{})
	if address := h.Settings.String(section, "address"); address != "" {
		d.client = platform.NewStoreClient(address, h.Settings.Duration(section, "timeout"))
		d.client.OnRestored(d.storeRestored)
		d.client.OnCall(func(call string) { h.Counter(`store_calls{call="` + call + `"}`).Inc(1) })
	}
	if h.PeerCalls != nil {
		h.PeerCalls.HandlePeer(recordsPath, d.serveRecords)
		h.PeerCalls.HandlePeer(membersPath, d.serveMembers)
		h.PeerCalls.HandlePeer(configPath, d.serveConfig)
	}
	return nil
}

// Validate implements kernel.Validator.
func (d *Discovery) Validate() error {
	if d.client != nil && d.host.Settings.Duration(section, "member_ttl") < time.Second {
		return errors.New("[store] member_ttl: want 1s or more")
	}
	if c := d.host.Settings.Float(section, "capacity"); d.client != nil && !validCapacity(c) {
		return errors.Errorf("[store] capacity: %g, want a number from 0 to %g", c, maxCapacity)
	}
	return nil
}

// Start implements kernel.Starter. It does not wait for the store: an instance
// that starts while the store is unavailable refuses requests until it has a
// catalog snapshot.
func (d *Discovery) Start(ctx context.Context) error {
	if d.client == nil {
		return nil
	}
	ctx, d.cancel = context.WithCancel(ctx)
	d.moduleCtx = ctx
	d.operators = d.newWatch(platform.OperatorTopic, configReadInterval, d.applyOperatorRecords)
	d.servers = d.newWatch(platform.ServersTopic, serverReadInterval, d.applyServers)
	d.sharedState = d.newWatch(platform.SharedStateTopic, serverReadInterval, d.applySharedStates)
	d.sharedState.wait = stateReadWait
	for _, w := range []*watch{d.operators, d.servers, d.sharedState} {
		w.readPeer, w.readerIsRemote, w.mayReadStore = d.readPeer, d.readerIsRemote, d.mayReadStore
		d.running.Go(func() { w.run(ctx) })
	}
	d.running.Go(func() { d.states.write(ctx, d.client) })
	d.running.Go(func() { d.deleteAbandoned(ctx) })
	d.running.Go(func() { d.joinFleet(ctx) })
	d.running.Go(func() { d.expire(ctx) })
	return nil
}

// PrepareStop implements kernel.StopPreparer. It makes this instance leave the
// fleet at once, so that others send it no more work while its own requests
// finish.
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

func (d *Discovery) newWatch(topic string, minInterval time.Duration, apply func(time.Time, []platform.StoreRecord, recordsKind)) *watch {
	w := &watch{client: d.client, logger: d.host.Logger, topic: topic, minInterval: minInterval, wait: readWait, storeUnresponsive: d.storeUnresponsive.Load}
	w.apply = func(now time.Time, records []platform.StoreRecord, kind recordsKind) {
		for _, r := range records {
			if r.Key == "" {
				d.host.Counter(`store_records_skipped{topic="` + topic + `"}`).Inc(1)
				d.host.Logger.Warn("record without a key that can be read, skipped", "topic", topic, "offset", r.Offset)
			}
		}
		apply(now, records, kind)
	}
	w.onUnavailable = func(now time.Time, err error) {
		d.host.Logger.Warn("metadata store unavailable", "topic", topic, "error", err)
		d.host.Counter("store_lost").Inc(1)
		d.noteLoadFailed()
	}
	w.onAvailable = func(now time.Time, _ error) {
		d.host.Logger.Info("metadata store available again", "topic", topic)
		d.noteStoreAvailable(now)
	}
	return w
}

// catchUpDelay is how long an instance that is behind another may take to catch
// up through its pending reads before it restarts them. It covers several reads
// of the store.
const catchUpDelay = 150 * time.Millisecond

// Position implements kernel.Catalogs.
func (d *Discovery) Position() kernel.CatalogPosition {
	if d.operators == nil {
		return kernel.CatalogPosition{}
	}
	return kernel.CatalogPosition{Operators: d.operators.position.Load(), Servers: d.servers.position.Load(), Era: d.client.Era()}
}

// ObservePosition implements kernel.Catalogs. The store does not wake every
// pending read when a record arrives. The positions of other instances reveal
// records that this one has missed.
func (d *Discovery) ObservePosition(p kernel.CatalogPosition) {
	if d.client != nil && p.Era > d.client.Era() {
		d.checkEra(p.Era)
		return
	}
	if !d.Position().Behind(p) || !d.catchingUp.CompareAndSwap(false, true) {
		return
	}
	time.AfterFunc(catchUpDelay, func() {
		d.catchingUp.Store(false)
		own := d.Position()
		var behind []*watch
		if own.Era != p.Era {
			return // everything is read again
		}
		if own.Operators < p.Operators {
			behind = append(behind, d.operators)
		}
		if own.Servers < p.Servers {
			behind = append(behind, d.servers)
		}
		if !interruptReads(behind) {
			return
		}
		d.host.Counter("store_reads_renewed").Inc(1)
		d.host.Logger.Warn("behind another instance, restarting store reads", "operators", own.Operators, "servers", own.Servers,
			"other_operators", p.Operators, "other_servers", p.Servers)
	})
}

// interruptReads interrupts the reads of watches and reports whether it ended any.
func interruptReads(watches []*watch) bool {
	ended := false
	for _, w := range watches {
		ended = w.pending.interrupt() || ended
	}
	return ended
}

// storeRestored is called when the store was restored from an older copy. Positions of
// before have no meaning any more, and reads that wait may wait for nothing.
func (d *Discovery) storeRestored(before, era uint64) {
	now := time.Now()
	d.restoredAt.Store(&now)
	d.host.Counter("store_restores").Inc(1)
	d.host.Gauge("store_era").Update(int64(era - 1))
	d.host.Logger.Warn("metadata store was restored from an older copy, reading everything again", "era", era-1, "era_before", before-1)
	d.noteStoreAvailable(now)
	interruptReads(d.watches())
}

// checkEra starts the reads over once if another instance knows a later era of the store,
// so that the store itself states its era.
func (d *Discovery) checkEra(era uint64) {
	for known := d.toldEra.Load(); era > max(known, d.client.Era()); known = d.toldEra.Load() {
		if d.toldEra.CompareAndSwap(known, era) {
			d.host.Logger.Info("another instance knows a later era of the metadata store, restarting store reads", "era", era-1)
			interruptReads(d.watches())
			return
		}
	}
}

// restoredWithin reports whether the store was restored within a time before now.
func (d *Discovery) restoredWithin(now time.Time, span time.Duration) bool {
	at := d.restoredAt.Load()
	return at != nil && now.Sub(*at) < span
}

// watches returns the watches that were started.
func (d *Discovery) watches() []*watch {
	var all []*watch
	for _, w := range []*watch{d.operators, d.servers, d.sharedState} {
		if w != nil {
			all = append(all, w)
		}
	}
	if status := d.status.Load(); status != nil {
		all = append(all, status)
	}
	return all
}

// RecordMove implements kernel.Catalogs.
func (d *Discovery) RecordMove(ctx context.Context, service string, s catalog.MoveStatus) error {
	value, err := platform.EncodeStatus(s)
	if err != nil {
		return errors.Wrap(err, "encode rollout state")
	}
	return d.client.Put(ctx, platform.StatusTopic, platform.StatusKey(service), value)
}

// followStatus starts the watch of the status topic when the first rollout is
// requested. Without rollouts there is no status to read.
func (d *Discovery) followStatus() {
	d.statusOnce.Do(func() {
		w := d.newWatch(platform.StatusTopic, serverReadInterval, d.applyStatus)
		d.status.Store(w)
		d.running.Go(func() { w.run(d.moduleCtx) })
	})
}

// noteStoreAvailable records when the store became available again.
func (d *Discovery) noteStoreAvailable(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.state.storeAvailableAt = now
}

// Catalog implements kernel.Catalogs.
func (d *Discovery) Catalog() *catalog.Catalog { return d.current.Load() }

// AwaitCatalog implements kernel.Catalogs.
func (d *Discovery) AwaitCatalog(ctx context.Context) *catalog.Catalog {
	select {
	case <-d.loaded:
		return d.Catalog()
	default:
	}
	if d.client != nil {
		select {
		case <-d.loaded:
		case <-d.loadFailed:
		case <-ctx.Done():
		}
	}
	return d.Catalog()
}

// noteLoaded ends the waits of AwaitCatalog if everything was read for the first time. The
// caller holds mu.
func (d *Discovery) noteLoaded() {
	if d.state.config != nil && d.state.serversListed && d.members.Load() != nil && d.states.isListed() {
		d.loadedOnce.Do(func() { close(d.loaded) })
	}
}

// applySharedStates applies records of the shared state topic.
func (d *Discovery) applySharedStates(now time.Time, records []platform.StoreRecord, kind recordsKind) {
	d.states.apply(now, records, kind)
	if kind != newRecords {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.noteLoaded()
	}
}

// noteLoadFailed ends the waits of AwaitCatalog after a failed call to the store.
func (d *Discovery) noteLoadFailed() { d.loadFailedOnce.Do(func() { close(d.loadFailed) }) }

// OnCatalog implements kernel.Catalogs.
func (d *Discovery) OnCatalog(f func(*catalog.Catalog)) { d.subscribers = append(d.subscribers, f) }

// update applies a change to the state under the lock. If the change reports
// true and a configuration is known, update publishes a new catalog snapshot.
func (d *Discovery) update(change func(s *state) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !change(&d.state) || d.state.config == nil {
		return
	}
	d.epoch++
	snapshot := d.state.snapshot()
	snapshot.Epoch = d.epoch
	d.current.Store(snapshot)
	for _, f := range d.subscribers {
		f(snapshot)
	}
	d.noteLoaded()
}

// applyOperatorRecords applies records of the operator topic.
func (d *Discovery) applyOperatorRecords(now time.Time, records []platform.StoreRecord, kind recordsKind) {
	if kind != newRecords {
		records = append(records, d.newerConfigs(now, records, kind)...)
	}
	d.update(func(s *state) bool {
		switch kind {
		case fullListing:
			s.dropUnlistedCommands(records)
		case restoredListing:
			s.moveRestores, s.restoredAt = s.moveRestores+1, now
		}
		for _, r := range records {
			d.applyOperatorRecord(s, now, r)
		}
		return true
	})
}

// applyOperatorRecord applies one record of the operator topic: the
// configuration, the state of an availability zone or a rollout command.
func (d *Discovery) applyOperatorRecord(s *state, now time.Time, r platform.StoreRecord) {
	logger := d.host.Logger
	switch {
	case platform.IsConfigKey(r.Key):
		c, err := platform.DecodeConfig(r.Value)
		if err != nil {
			logger.Error("cannot decode configuration, keeping the active one", "offset", r.Offset, "error", err)
			return
		}
		if s.config != nil && c.Version <= s.config.Version {
			return
		}
		s.config = c
		d.configRecord.Store(&configRecord{Version: c.Version, Value: r.Value})
		d.host.Gauge("config_version").Update(c.Version)
		logger.Info("configuration active", "version", c.Version, "routes", len(c.Routes), "services", len(c.Services), "offset", r.Offset)
	default:
		if zone, ok := platform.ParseEvacuateKey(r.Key); ok {
			s.setZone(zone, r.Value != nil)
			logger.Info("availability zone state", "zone", zone, "out", r.Value != nil, "offset", r.Offset)
		}
		if service, ok := platform.ParseRolloutKey(r.Key); ok {
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
		d.host.Logger.Error("cannot decode rollout command", "key", r.Key, "offset", r.Offset, "error", err)
		return
	}
	if !s.putMove(now, service, m) {
		return
	}
	d.followStatus()
	d.host.Logger.Info("rollout requested", "service", service, "target", m.TargetVersion, "within", m.Duration, "order", m.Order)
}

// applyStatus applies recorded states of rollouts. What a restored store has forgotten is
// recorded again by those who know it.
func (d *Discovery) applyStatus(_ time.Time, records []platform.StoreRecord, kind recordsKind) {
	d.update(func(s *state) bool {
		if kind == restoredListing {
			clear(s.statuses)
		}
		for _, r := range records {
			service, ok := platform.ParseStatusKey(r.Key)
			if !ok || r.Value == nil {
				continue
			}
			status, err := platform.DecodeStatus(r.Value)
			if err != nil {
				d.host.Logger.Error("cannot decode rollout status", "key", r.Key, "offset", r.Offset, "error", err)
				continue
			}
			s.statuses[service] = status
			d.host.Logger.Info("rollout status", "service", service, "target", status.TargetVersion, "state", status.State.String(), "order", status.Order)
		}
		return true
	})
}

// applyServers applies entries of backend servers. Servers that a listing lacks are
// removed.
func (d *Discovery) applyServers(now time.Time, records []platform.StoreRecord, kind recordsKind) {
	d.update(func(s *state) bool {
		changed := false
		if kind == restoredListing {
			s.restores, s.storeAvailableAt = s.restores+1, now
		}
		if kind != newRecords {
			s.serversListed = true
			listed := make(map[string]bool, len(records))
			for _, r := range records {
				listed[r.Key] = true
			}
			for id := range s.servers {
				if !listed[id] && s.remove(now, id) {
					changed = true
					d.host.Logger.Info("server missing from full listing, removed", "server", id)
				}
			}
		}
		for _, r := range records {
			changed = d.applyServer(s, now, r) || changed
		}
		return changed || kind != newRecords
	})
}

// applyServer applies one server entry and reports whether the state changed.
func (d *Discovery) applyServer(s *state, now time.Time, r platform.StoreRecord) bool {
	if r.Value == nil {
		known := s.servers[r.Key]
		if !s.remove(now, r.Key) {
			return false
		}
		d.host.Logger.Info("server entry removed", "server", r.Key, "service", known.Service, "kept_until", s.keepUntil[r.Key])
		return true
	}
	server, err := platform.DecodeServer(r.Key, r.Value, now)
	if err != nil {
		d.host.Logger.Warn("invalid server entry, treated as removed", "server", r.Key, "offset", r.Offset, "error", err)
		return s.remove(now, r.Key)
	}
	old := s.servers[r.Key]
	started := s.applyLeaving(server)
	if !s.put(server) {
		return false
	}
	if started {
		d.noteLeaving(s)
		d.host.Logger.Info("server that left has started again", "server", server.ID, "service", server.Service, "born", server.StartUnixMilli)
	}
	if old == nil || old.StartUnixMilli != server.StartUnixMilli || old.Draining != server.Draining || old.Address != server.Address {
		d.host.Logger.Info("server entry", "server", server.ID, "service", server.Service, "zone", server.Zone, "address", server.Address,
			"version", server.Version, "born", server.StartUnixMilli, "draining", server.Draining, "cold_for", max(0, server.WarmAt.Sub(now)))
	}
	return true
}

// expire removes servers whose entries have been missing for longer than the
// grace period.
func (d *Discovery) expire(ctx context.Context) {
	periodic.Run(ctx, serverReadInterval, func(now time.Time) { d.update(func(s *state) bool { return s.expire(now) }) })
}

// Dump implements kernel.Dumper.
func (d *Discovery) Dump() any {
	type topicDump struct {
		// Era is that of the last listing, Next the offset of the next record.
		Era  uint64 `json:"era"`
		Next uint64 `json:"next"`
	}
	type dump struct {
		// Era is one more than the store states, 0 if it has stated none.
		Era        uint64               `json:"store_era"`
		RestoredAt *time.Time           `json:"store_restored_at,omitempty"`
		Topics     map[string]topicDump `json:"topics"`
		// Leaving lists the servers that have stated that they leave.
		Leaving []string `json:"leaving,omitempty"`
	}
	out := dump{RestoredAt: d.restoredAt.Load(), Topics: make(map[string]topicDump)}
	d.mu.Lock()
	out.Leaving = slices.Sorted(maps.Keys(d.state.leaving))
	d.mu.Unlock()
	if d.client == nil {
		return out
	}
	out.Era = d.client.Era()
	for _, w := range d.watches() {
		out.Topics[w.topic] = topicDump{w.era.Load(), w.position.Load()}
	}
	return out
}
