// Package serverrates divides the request rates that backend servers accept from all
// instances together: the limits that servers state in their responses, and the rates
// of cold servers.
//
// For each server one instance, its grantor, grants the turns to send. The others ask
// it for a turn before each request. The grantor is chosen by rendezvous hashing, among
// the instances in the server's availability zone if there are any, so that a zone that
// is cut off keeps the grantors of its servers. The next instance in that order takes
// its place at a reduced rate while it cannot be reached. Instances learn of a limit
// from responses, from the grantor's answers, and from the states that grantors share.
package serverrates

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/savoryfold/savoryfold/catalog"
	"github.com/savoryfold/savoryfold/internal/backoff"
	"github.com/savoryfold/savoryfold/internal/periodic"
	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/policy"
)

const (
	// updateInterval is the time between two checks for limits that have expired or
	// are to be published.
	updateInterval = time.Second
	// limitTTL is the time without a statement after which a limit ends, and the time
	// for which the state of a server without a limit is kept after its last use.
	limitTTL = time.Minute
)

func init() {
	kernel.Register(kernel.ModuleInfo{
		ID:    "serverrates",
		Phase: kernel.PhaseRequest,
		New:   func() kernel.Module { return &Rates{} },
	})
}

// Rates implements kernel.ServerRates. It is safe for concurrent use.
type Rates struct {
	host    *kernel.Host
	cancel  context.CancelFunc
	running sync.WaitGroup

	// servers holds the servers whose rate is or was limited, by ID. The map is
	// replaced as a whole, so that requests to other servers take no lock.
	servers atomic.Pointer[map[string]*serverRate]
	mu      sync.Mutex // serializes replacements of servers

	roster  roster
	avoided backoff.CoolDowns // grantors that failed a call recently
	// reports holds servers whose limit has changed, for their grantors.
	reports   chan *serverRate
	published publishedLimits
	hints     hints
}

// serverRate is the state of one start of a server.
type serverRate struct {
	server *catalog.Server

	mu    sync.Mutex
	limit policy.RateLimit // guarded by mu
	// hint is the limit that grantors have published, 0 if none has. It applies
	// until a statement is known; guarded by mu.
	hint     float64
	wait     policy.TurnWait     // guarded by mu
	division policy.RateDivision // used while this instance is a grantor; guarded by mu
	usedAt   time.Time           // when a turn was last asked for; guarded by mu
	pause    policy.ServerPause  // guarded by mu
	pausing  bool                // the end of the pause was not logged yet; guarded by mu
	// grantorDiffers is true if the grantor has answered with another limit. The
	// next response is then reported to it; guarded by mu.
	grantorDiffers bool
}

// rate returns the limit in requests per second, 0 if there is none. The caller holds
// mu.
func (r *serverRate) rate() float64 {
	if r.limit.Known() {
		return r.limit.Rate()
	}
	return r.hint
}

// Provision implements kernel.Provisioner.
func (m *Rates) Provision(h *kernel.Host) error {
	m.host = h
	m.servers.Store(&map[string]*serverRate{})
	m.reports = make(chan *serverRate, maxPendingReports)
	if h.PeerCalls != nil {
		h.PeerCalls.HandlePeer(turnsPath, m.serveTurns)
	}
	if h.SharedState != nil {
		h.SharedState.OnState(stateKind, m.mergeHints)
	}
	return nil
}

// Start implements kernel.Starter.
func (m *Rates) Start(ctx context.Context) error {
	ctx, m.cancel = context.WithCancel(ctx)
	m.running.Go(func() { periodic.Run(ctx, updateInterval, m.update) })
	m.running.Go(func() { m.sendReports(ctx) })
	return nil
}

// Stop implements kernel.Stopper.
func (m *Rates) Stop(context.Context) error {
	m.cancel()
	m.running.Wait()
	return nil
}

// ObserveRate implements kernel.ServerRates.
func (m *Rates) ObserveRate(server *catalog.Server, o policy.RateObservation) {
	if o.Err != nil {
		m.host.Counter(`server_rate_limits_invalid{service="` + server.Service + `"}`).Inc(1)
		m.host.Logger.Warn("server states an invalid rate limit", "server", server.ID, "service", server.Service, "error", o.Err)
	}
	if s, ok := o.Statement(); ok {
		if r := m.observe(time.Now(), server, s, "response"); r != nil {
			m.report(r)
		}
	}
}

// observe applies a statement of a server. It returns the server's state if the
// statement is news for the grantor.
func (m *Rates) observe(now time.Time, server *catalog.Server, s policy.RateStatement, source string) *serverRate {
	r := m.lookup(server)
	if r == nil {
		if s.Rate == 0 {
			return nil
		}
		r = m.add(server)
	}
	r.mu.Lock()
	before := r.rate()
	r.limit.Observe(s)
	changed, report := r.rate() != before, r.grantorDiffers
	r.grantorDiffers = false
	if changed {
		r.wait = policy.TurnWait{}
		m.logChange(r, before, now.Sub(s.Received), source)
	}
	r.mu.Unlock()
	if changed && before == 0 {
		m.publish(now)
	}
	if changed || report {
		return r
	}
	return nil
}

// lookup returns the state of a server's latest start, or nil.
func (m *Rates) lookup(server *catalog.Server) *serverRate {
	if r := (*m.servers.Load())[server.ID]; r != nil && r.server.StartUnixMilli == server.StartUnixMilli {
		return r
	}
	return nil
}

// add returns the state of a server's latest start, and creates it if there is none.
func (m *Rates) add(server *catalog.Server) *serverRate {
	m.mu.Lock()
	defer m.mu.Unlock()
	if r := m.lookup(server); r != nil {
		return r
	}
	servers := maps.Clone(*m.servers.Load())
	r := &serverRate{server: server, usedAt: time.Now()}
	servers[server.ID] = r
	m.servers.Store(&servers)
	return r
}

// logChange logs a change of a server's limit. age is that of the statement. The caller
// holds the server's mu.
func (m *Rates) logChange(r *serverRate, before float64, age time.Duration, source string) {
	change, rate := "changed", r.rate()
	switch {
	case before == 0:
		change = "begins"
	case rate == 0:
		change = "ends"
	}
	m.host.Counter(`server_rate_limit_changes{service="` + r.server.Service + `",change="` + change + `"}`).Inc(1)
	m.host.Logger.Info("rate limit of a server "+change, "server", r.server.ID, "service", r.server.Service, "rate", rate, "before", before, "limit_age", age, "source", source)
}

// update applies hints of new servers, removes servers that have left or have started
// again, ends limits that were last stated limitTTL ago, and publishes the limits of this
// instance's servers.
func (m *Rates) update(now time.Time) {
	m.roster.update(now, m.host)
	m.dropHints(now)
	m.applyHints()
	m.removeOld(now)
	m.publish(now)
}

func (m *Rates) removeOld(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	view := m.host.Catalogs.Catalog()
	kept := make(map[string]*serverRate)
	limits, pauses := 0, 0
	for id, r := range *m.servers.Load() {
		r.mu.Lock()
		m.expire(now, view, r)
		limited := r.rate() > 0
		if limited {
			limits++
		}
		pausing := m.endPause(now, r)
		if pausing {
			pauses++
		}
		if limited || pausing || now.Sub(r.usedAt) < limitTTL && isCurrent(view, r) {
			kept[id] = r
		}
		r.mu.Unlock()
	}
	m.servers.Store(&kept)
	m.host.Gauge("server_rate_limits").Update(int64(limits))
	m.host.Gauge("server_pauses_now").Update(int64(pauses))
}

// expire ends the limit of a server that is gone or has not stated it for limitTTL. The
// caller holds the server's mu.
func (m *Rates) expire(now time.Time, view *catalog.Catalog, r *serverRate) {
	before, last := r.rate(), r.limit.InForce().Received
	source := ""
	switch {
	case !isCurrent(view, r):
		source = "another start"
		r.hint = 0
	case r.limit.Known() && now.Sub(last) >= limitTTL:
		source = "no statement"
	default:
		return
	}
	r.limit = policy.RateLimit{}
	if r.rate() != before {
		m.logChange(r, before, now.Sub(last), source)
	}
}

// isCurrent reports whether the state of a server is that of its latest start. A server
// that is missing from the catalog may come back with the same start: its entry may have
// lapsed.
func isCurrent(view *catalog.Catalog, r *serverRate) bool {
	if view == nil {
		return true
	}
	server := view.Server(r.server.ID)
	return server == nil || server.StartUnixMilli == r.server.StartUnixMilli
}

// serverDump is the state of a server in a dump.
type serverDump struct {
	Server  string  `json:"server"`
	Service string  `json:"service"`
	Rate    float64 `json:"rate"`
	// Age is the time since the last statement; empty if there is none.
	Age     string  `json:"age,omitempty"`
	Hint    float64 `json:"hint,omitempty"`
	Grantor string  `json:"grantor"`
	// RetryIn is the time for which this instance asks for no turn.
	RetryIn string `json:"retry_in,omitempty"`
	// Pause is the rest of the pause that the server has asked for.
	Pause string `json:"pause,omitempty"`
}

// Dump implements kernel.Dumper.
func (m *Rates) Dump() any {
	now := time.Now()
	dumps := []serverDump{}
	for _, r := range *m.servers.Load() {
		d := serverDump{Server: r.server.ID, Service: r.server.Service}
		if ranking := kernel.FleetRanking(r.server.ID, r.server.Zone, m.roster.members(m.host)); len(ranking) > 0 {
			d.Grantor = ranking[0].ID
		}
		r.mu.Lock()
		d.Rate, d.Hint = r.rate(), r.hint
		if r.limit.Known() {
			d.Age = now.Sub(r.limit.InForce().Received).String()
		}
		if wait := r.wait.Remaining(now, lowestPriority); wait > 0 {
			d.RetryIn = wait.String()
		}
		if r.pause.Active(now) {
			d.Pause = r.pause.Until().Sub(now).String()
		}
		r.mu.Unlock()
		dumps = append(dumps, d)
	}
	return dumps
}
