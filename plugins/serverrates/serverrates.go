// Package serverrates tracks the rate limits that backend servers state.
package serverrates

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/savoryfold/savoryfold/catalog"
	"github.com/savoryfold/savoryfold/internal/periodic"
	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/policy"
)

const (
	// updateInterval is the time between two checks for limits that have expired.
	updateInterval = time.Second
	// limitTTL is the time without a statement after which a limit ends.
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

	// servers holds the servers with a known limit, by ID. The map is replaced as a
	// whole, so that requests to other servers take no lock.
	servers atomic.Pointer[map[string]*serverRate]
	mu      sync.Mutex // serializes replacements of servers
}

// serverRate is the state of one start of a server.
type serverRate struct {
	id, service string
	startMS     int64

	mu    sync.Mutex
	limit policy.RateLimit // guarded by mu
}

// Provision implements kernel.Provisioner.
func (m *Rates) Provision(h *kernel.Host) error {
	m.host = h
	m.servers.Store(&map[string]*serverRate{})
	return nil
}

// Start implements kernel.Starter.
func (m *Rates) Start(ctx context.Context) error {
	ctx, m.cancel = context.WithCancel(ctx)
	m.running.Go(func() { periodic.Run(ctx, updateInterval, m.update) })
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
	s, ok := o.Statement()
	r := m.lookup(server)
	if !ok || r == nil && s.Rate == 0 {
		return
	}
	if r == nil {
		r = m.add(server)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.limit.Rate()
	if r.limit.Observe(s) {
		m.logChange(r, before, time.Since(s.Received), "response")
	}
}

// lookup returns the state of a server's latest start, or nil.
func (m *Rates) lookup(server *catalog.Server) *serverRate {
	if r := (*m.servers.Load())[server.ID]; r != nil && sameStart(server, r) {
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
	r := &serverRate{id: server.ID, service: server.Service, startMS: server.StartUnixMilli}
	servers[server.ID] = r
	m.servers.Store(&servers)
	return r
}

// logChange logs a change of a server's limit. The caller holds the server's mu.
func (m *Rates) logChange(r *serverRate, before float64, age time.Duration, source string) {
	change, rate := "changed", r.limit.Rate()
	switch {
	case before == 0:
		change = "begins"
	case rate == 0:
		change = "ends"
	}
	m.host.Counter(`server_rate_limit_changes{service="` + r.service + `",change="` + change + `"}`).Inc(1)
	m.host.Logger.Info("rate limit of a server "+change, "server", r.id, "service", r.service, "rate", rate, "before", before, "limit_age", age, "source", source)
}

// update removes servers that have left or have started again, and limits that were
// last stated limitTTL ago.
func (m *Rates) update(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	view := m.host.Catalogs.Catalog()
	kept := make(map[string]*serverRate)
	limits := 0
	for id, r := range *m.servers.Load() {
		r.mu.Lock()
		rate, source := r.limit.Rate(), ""
		last := r.limit.InForce().Received
		if view != nil && !sameStart(view.Server(id), r) {
			source = "server gone"
		} else if now.Sub(last) >= limitTTL {
			source = "no response"
		}
		switch {
		case source == "":
			kept[id] = r
			if rate > 0 {
				limits++
			}
		case rate > 0:
			r.limit = policy.RateLimit{}
			m.logChange(r, rate, now.Sub(last), source)
		}
		r.mu.Unlock()
	}
	m.servers.Store(&kept)
	m.host.Gauge("server_rate_limits").Update(int64(limits))
}

// sameStart reports whether a server is still the one that the state belongs to.
func sameStart(server *catalog.Server, r *serverRate) bool {
	return server != nil && server.StartUnixMilli == r.startMS
}

// serverDump is the state of a server in a dump.
type serverDump struct {
	Server  string  `json:"server"`
	Service string  `json:"service"`
	Rate    float64 `json:"rate"`
	Age     string  `json:"age"`
}

// Dump implements kernel.Dumper.
func (m *Rates) Dump() any {
	now := time.Now()
	dumps := []serverDump{}
	for _, r := range *m.servers.Load() {
		r.mu.Lock()
		s := r.limit.InForce()
		dumps = append(dumps, serverDump{r.id, r.service, s.Rate, now.Sub(s.Received).String()})
		r.mu.Unlock()
	}
	return dumps
}
