// Package stages does the stages of requests on stage servers.
//
// A stage server does one call at a time, and a call costs much before its
// first piece. So the pieces of many requests, from all instances, go into one
// call: for each group of stage servers one instance, the group's dispatcher,
// holds the queue and makes the calls. The dispatcher is found by rendezvous
// hashing over the known instances and holds nothing that must last. While it
// cannot be reached, every instance makes calls of its own.
package stages

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/savoryfold/savoryfold/catalog"
	"github.com/savoryfold/savoryfold/config"
	"github.com/savoryfold/savoryfold/internal/periodic"
	"github.com/savoryfold/savoryfold/internal/upstream"
	"github.com/savoryfold/savoryfold/kernel"
)

const section = "stages"

// tick is the time between two looks at calls that take too long and at results
// to be released.
const tick = 25 * time.Millisecond

func init() {
	kernel.Register(kernel.ModuleInfo{
		ID:    "stages",
		Phase: kernel.PhaseRequest,
		Settings: []config.Key{
			{Section: section, Name: "shared", Kind: config.Bool, Default: "true", Doc: "let one instance a group of stage servers make the calls of all"},
		},
		New: func() kernel.Module { return &Stages{} },
	})
}

// Stages implements kernel.StageRunner.
type Stages struct {
	host      *kernel.Host
	pool      *upstream.Pool
	shared    bool
	peers     peers
	toRelease releases

	mu     sync.Mutex
	groups map[groupKey]*group // guarded by mu

	table  atomic.Pointer[groupTable]
	waits  sync.Map // groupKey -> *forecast, what dispatchers said last
	nextID atomic.Uint64
	cancel context.CancelFunc
	done   sync.WaitGroup
}

// Provision implements kernel.Provisioner.
func (s *Stages) Provision(h *kernel.Host) error {
	s.host = h
	s.shared = h.Settings.Bool(section, "shared") && h.PeerCalls != nil
	s.groups = make(map[groupKey]*group)
	s.pool = upstream.New(upstream.FleetOptions())
	s.toRelease.handles = make(map[string][]string)
	s.peers.links = make(map[groupKey]*peerLink)
	if h.Catalogs != nil {
		h.Catalogs.OnCatalog(s.refresh)
	}
	if h.PeerCalls != nil {
		h.PeerCalls.HandlePeer(dispatchPath, s.serveDispatch)
	}
	return nil
}

// Start implements kernel.Starter.
func (s *Stages) Start(ctx context.Context) error {
	ctx, s.cancel = context.WithCancel(ctx)
	s.done.Go(func() { s.maintain(ctx) })
	return nil
}

// Stop implements kernel.Stopper.
func (s *Stages) Stop(context.Context) error {
	s.cancel()
	s.done.Wait()
	s.pool.Close()
	return nil
}

// maintain looks after calls and results until the context ends.
func (s *Stages) maintain(ctx context.Context) {
	periodic.Run(ctx, tick, func(now time.Time) {
		for _, g := range s.allGroups() {
			g.tick(now)
		}
		s.sendReleases(ctx, now)
		s.queryPeers(ctx, now)
		s.pool.Trim(now)
	})
}

func (s *Stages) allGroups() []*group {
	s.mu.Lock()
	defer s.mu.Unlock()
	groups := make([]*group, 0, len(s.groups))
	for _, g := range s.groups {
		groups = append(groups, g)
	}
	return groups
}

// refresh tells the groups of a new view.
func (s *Stages) refresh(view *catalog.Catalog) {
	for _, g := range s.allGroups() {
		g.refresh(view)
	}
}

// group returns the group with the key, made anew if there is none.
func (s *Stages) group(key groupKey) *group {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.groups[key]
	if g == nil {
		g = newGroup(s, key)
		// The group is known before it reads the view, so that it misses no
		// change that is put in force meanwhile.
		s.groups[key] = g
		g.refresh(s.host.Catalogs.Catalog())
	}
	return g
}

// Run implements kernel.StageRunner.
func (s *Stages) Run(ctx context.Context, r kernel.StageRequest) (kernel.StageResult, error) {
	key, owner := s.dispatcher(time.Now(), r.Service, r.Zone)
	for range maxDispatchers {
		if owner.ID == "" || owner.ID == s.host.ID() {
			break
		}
		result, err := s.ask(ctx, key, owner, r)
		var unreachable *peerError
		if !errors.As(err, &unreachable) {
			return result, err
		}
		// All who cannot reach a dispatcher turn to the same next one: if each
		// made calls of its own, they would fill the servers' queues.
		s.host.Counter(`stage_dispatch{by="next"}`).Inc(1)
		s.host.Logger.Warn("dispatcher does not answer", "request", r.Request, "service", r.Service, "dispatcher", owner.ID, "error", err)
		key, owner = s.dispatcher(time.Now(), r.Service, r.Zone)
	}
	return s.group(key).run(ctx, r)
}

// maxDispatchers bounds the instances that are asked to do a stage before this
// one does it itself.
const maxDispatchers = 3

// forecast is what the dispatcher of a group last said of the waits for a call.
type forecast struct {
	waits kernel.StageForecast
	at    time.Time
}

// forecastLife is the age at which a forecast counts nothing: some calls long.
const forecastLife = 1500 * time.Millisecond

// Forecast implements kernel.StageRunner.
func (s *Stages) Forecast(now time.Time, service string) kernel.StageForecast {
	view := s.host.Catalogs.Catalog()
	if view == nil {
		return kernel.StageForecast{}
	}
	c := view.Service(service)
	if c == nil || c.Batch == nil {
		return kernel.StageForecast{}
	}
	key, owner := s.dispatcher(now, service, "")
	var waits kernel.StageForecast
	if owner.ID == "" || owner.ID == s.host.ID() {
		waits = s.group(key).forecast(now)
	} else {
		waits = s.told(now, key)
	}
	call := c.Batch.CallTime + time.Duration(c.Batch.MaxPieces/2)*c.Batch.PieceTime
	return kernel.StageForecast{InTime: waits.InTime + call, Late: waits.Late + call}
}

// told is what a dispatcher last said. It fades with its age.
func (s *Stages) told(now time.Time, key groupKey) kernel.StageForecast {
	value, ok := s.waits.Load(key)
	if !ok {
		return kernel.StageForecast{}
	}
	f := value.(*forecast)
	left := max(0, 1-float64(now.Sub(f.at))/float64(forecastLife))
	return kernel.StageForecast{
		InTime: time.Duration(left * float64(f.waits.InTime)),
		Late:   time.Duration(left * float64(f.waits.Late)),
	}
}
