// Package stages runs the stages of requests on stage servers.
//
// A stage server runs few calls at a time, and each call has a high fixed cost.
// The pieces of many requests, from all instances, are therefore batched into
// one call. For each group of stage servers, one instance, the group's
// dispatcher, holds the queue and makes the calls. The dispatcher is chosen by
// rendezvous hashing over the known instances and keeps no durable state. While
// no dispatcher can be reached, an instance makes its own calls.
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

// tickInterval is the time between checks for overdue calls and for results to
// release.
const tickInterval = 25 * time.Millisecond

func init() {
	kernel.Register(kernel.ModuleInfo{
		ID:    "stages",
		Phase: kernel.PhaseRequest,
		Settings: []config.Key{
			{Section: section, Name: "shared", Kind: config.Bool, Default: "true", Doc: "let one instance per group of stage servers make the calls for all instances"},
		},
		New: func() kernel.Module { return &Stages{} },
	})
}

// Stages implements kernel.StageRunner.
type Stages struct {
	host            *kernel.Host
	pool            *upstream.Pool
	shared          bool
	peers           peers
	pendingReleases releaseQueue

	mu     sync.Mutex
	groups map[groupKey]*group // guarded by mu

	groupTable atomic.Pointer[groupTable]
	forecasts  sync.Map // groupKey -> *forecast, the latest from each dispatcher
	nextID     atomic.Uint64
	cancel     context.CancelFunc
	done       sync.WaitGroup
	// callsCtx ends when the module stops, once nobody waits for the calls any more.
	callsCtx    context.Context
	cancelCalls context.CancelFunc
}

// Provision implements kernel.Provisioner.
func (s *Stages) Provision(h *kernel.Host) error {
	s.host = h
	s.shared = h.Settings.Bool(section, "shared") && h.PeerCalls != nil
	s.groups = make(map[groupKey]*group)
	s.pool = upstream.New(upstream.FleetOptions())
	s.callsCtx, s.cancelCalls = context.WithCancel(context.Background())
	s.pendingReleases.handles = make(map[string][]string)
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
	s.cancelCalls()
	s.done.Wait()
	s.pool.Close()
	return nil
}

// callsContext returns the context of calls to stage servers.
func (s *Stages) callsContext() context.Context {
	if s.callsCtx == nil {
		return context.Background() // groups are also used without the module
	}
	return s.callsCtx
}

// maintain handles overdue calls, sends releases and probes dispatchers until
// the context ends.
func (s *Stages) maintain(ctx context.Context) {
	periodic.Run(ctx, tickInterval, func(now time.Time) {
		for _, g := range s.allGroups() {
			g.tick(now)
		}
		s.sendReleases(ctx, now)
		s.probeDispatchers(ctx, now)
		s.pool.CloseExpired(now)
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

// refresh passes a new catalog snapshot to the groups.
func (s *Stages) refresh(view *catalog.Catalog) {
	for _, g := range s.allGroups() {
		g.refresh(view)
	}
}

// group returns the group with the key and creates it if there is none.
func (s *Stages) group(key groupKey) *group {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.groups[key]
	if g == nil {
		g = newGroup(s, key)
		// Register the group before it reads the catalog, so that it does not
		// miss a change made in between.
		s.groups[key] = g
		g.refresh(s.host.Catalogs.Catalog())
	}
	return g
}

// Run implements kernel.StageRunner.
func (s *Stages) Run(ctx context.Context, r kernel.StageRequest) (kernel.StageResult, error) {
	key, owner := s.dispatcher(time.Now(), r.Service, r.Zone)
	for range maxDispatchAttempts {
		if owner.ID == "" || owner.ID == s.host.ID() {
			break
		}
		result, err := s.runRemote(ctx, key, owner, r)
		var unreachable *peerError
		if !errors.As(err, &unreachable) {
			return result, err
		}
		// All instances that cannot reach a dispatcher turn to the same next
		// one. If each made its own calls, together they would fill the
		// servers' queues.
		s.host.Counter(`stage_dispatch{by="next"}`).Inc(1)
		s.host.Logger.Warn("dispatcher does not respond, trying the next one", "request", r.Request, "service", r.Service, "dispatcher", owner.ID, "error", err)
		key, owner = s.dispatcher(time.Now(), r.Service, r.Zone)
	}
	return s.group(key).run(ctx, r)
}

// maxDispatchAttempts bounds the dispatchers that are tried before this
// instance makes the calls itself.
const maxDispatchAttempts = 3

// forecast is the last queue wait reported by the dispatcher of a group.
type forecast struct {
	waits kernel.StageForecast
	at    time.Time
}

// maxForecastAge is the age from which on a forecast is ignored: the time of a
// few calls.
const maxForecastAge = 1500 * time.Millisecond

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
		waits = s.reportedForecast(now, key)
	}
	call := c.Batch.CallTime + time.Duration(c.Batch.MaxPieces/2)*c.Batch.PieceTime
	return kernel.StageForecast{InTime: waits.InTime + call, Late: waits.Late + call}
}

// reportedForecast returns the last forecast of a group's dispatcher. It
// decreases linearly with age and is zero from maxForecastAge on.
func (s *Stages) reportedForecast(now time.Time, key groupKey) kernel.StageForecast {
	value, ok := s.forecasts.Load(key)
	if !ok {
		return kernel.StageForecast{}
	}
	f := value.(*forecast)
	weight := max(0, 1-float64(now.Sub(f.at))/float64(maxForecastAge))
	return kernel.StageForecast{
		InTime: time.Duration(weight * float64(f.waits.InTime)),
		Late:   time.Duration(weight * float64(f.waits.Late)),
	}
}
