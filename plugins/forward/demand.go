package forward

import (
	"sync"
	"time"

	"github.com/savoryfold/savoryfold/catalog"
	"github.com/savoryfold/savoryfold/kernel"
)

// demandTotals counts the requests to services whose number of servers this system orders.
// It is safe for concurrent use.
type demandTotals struct {
	mu        sync.Mutex
	byService map[string]kernel.ServiceDemand // without Running; guarded by mu
}

// add changes the totals of a service.
func (t *demandTotals) add(service *catalog.Service, change func(*kernel.ServiceDemand)) {
	if service.Scaling == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byService == nil {
		t.byService = make(map[string]kernel.ServiceDemand)
	}
	total := t.byService[service.Name]
	change(&total)
	t.byService[service.Name] = total
}

// served counts a request that a server has served in a time.
func (t *demandTotals) served(service *catalog.Service, took time.Duration) {
	t.add(service, func(d *kernel.ServiceDemand) {
		d.Served++
		d.Busy += took
	})
}

// refused counts the outcome of a request if no server could take the request.
func (t *demandTotals) refused(service *catalog.Service, out kernel.Outcome) {
	if out.Kind != kernel.NotRun {
		return
	}
	switch out.Reason {
	case kernel.ReasonOverload, kernel.ReasonNoServer, kernel.ReasonRateLimit, kernel.ReasonServerPause:
		t.add(service, func(d *kernel.ServiceDemand) { d.Refused++ })
	}
}

// Demand implements kernel.DemandSource. It knows the requests that are forwarded, not the
// calls of stages.
func (f *Forward) Demand() (map[string]kernel.ServiceDemand, bool) {
	if f.host.Catalogs == nil {
		return nil, false
	}
	view := f.host.Catalogs.Catalog()
	if view == nil {
		return nil, false
	}
	demand := make(map[string]kernel.ServiceDemand)
	for name, service := range view.Config.Services {
		if service.Scaling == nil || service.Batch != nil {
			continue
		}
		f.demand.mu.Lock()
		d := f.demand.byService[name]
		f.demand.mu.Unlock()
		d.Running = make(map[string]int)
		for _, server := range view.Servers(name) {
			if n := f.servers.inFlight(server); n > 0 {
				d.Running[server.Zone] += n
			}
		}
		demand[name] = d
	}
	return demand, true
}

// inFlight returns the number of this instance's requests on a server since its latest
// start.
func (s *serverStates) inFlight(server *catalog.Server) int {
	s.mu.RLock()
	state := s.byID[server.ID]
	s.mu.RUnlock()
	if state == nil || state.startMS != server.StartUnixMilli {
		return 0
	}
	state.mu.Lock()
	defer state.mu.Unlock()
	return state.inFlight
}
