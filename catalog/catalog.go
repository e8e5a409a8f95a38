package catalog

import (
	"slices"
	"strings"
	"time"
)

// Catalog is an immutable snapshot of the routes, services, client accounts and
// backend servers that an instance knows.
type Catalog struct {
	Config *Config
	// Epoch numbers the catalogs that this process has built.
	Epoch uint64
	// ExcludedZones holds the availability zones whose servers must not get
	// requests.
	ExcludedZones map[string]bool
	// Moves holds the operator commands that move a service's traffic to another
	// version, Statuses their recorded states. Both are keyed by service name.
	Moves    map[string]*Move
	Statuses map[string]MoveStatus

	routes  map[string][]*Route
	servers map[string][]*Server
	byID    map[string]*Server
	// byAddress holds the most recently started of the servers that share an
	// address.
	byAddress map[string]*Server
}

// New builds a catalog from a configuration and a list of servers.
func New(c *Config, servers []*Server) *Catalog {
	cat := &Catalog{Config: c, routes: make(map[string][]*Route), servers: make(map[string][]*Server), byID: make(map[string]*Server), byAddress: make(map[string]*Server)}
	for _, r := range c.Routes {
		cat.routes[r.Host] = append(cat.routes[r.Host], r)
	}
	for _, routes := range cat.routes {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for _, s := range servers {
		cat.servers[s.Service] = append(cat.servers[s.Service], s)
		cat.byID[s.ID] = s
		if other := cat.byAddress[s.Address]; other == nil || other.StartUnixMilli < s.StartUnixMilli {
			cat.byAddress[s.Address] = s
		}
	}
	for _, list := range cat.servers {
		slices.SortFunc(list, func(a, b *Server) int { return strings.Compare(a.ID, b.ID) })
	}
	return cat
}

// Route returns the host's route with the longest prefix that matches the path,
// or nil.
func (c *Catalog) Route(host, path string) *Route {
	for _, r := range c.routes[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// RouteSendsTo reports whether the route with the name may send requests to a service.
func (c *Catalog) RouteSendsTo(route, service string) bool {
	return slices.ContainsFunc(c.Config.Routes, func(r *Route) bool {
		return r.Name == route && slices.ContainsFunc(r.Targets, func(t Target) bool { return t.Service == service && t.Weight > 0 })
	})
}

// Account returns the account that holds the API key, or nil.
func (c *Catalog) Account(key string) *Account { return c.Config.Accounts[key] }

// Service returns the service with the name, or nil.
func (c *Catalog) Service(name string) *Service { return c.Config.Services[name] }

// Servers returns all known servers of a service, sorted by ID.
func (c *Catalog) Servers(service string) []*Server { return c.servers[service] }

// Server returns the server with the ID, or nil.
func (c *Catalog) Server(id string) *Server { return c.byID[id] }

// ServerAt returns the most recently started server with the address, or nil.
func (c *Catalog) ServerAt(address string) *Server { return c.byAddress[address] }

// Usable reports whether a server may get new requests: it is not draining and
// its availability zone is not excluded.
func (c *Catalog) Usable(s *Server) bool { return !s.Draining && !c.ExcludedZones[s.Zone] }

// Age returns the time since this instance received the move command.
func (m *Move) Age(now time.Time) time.Duration { return now.Sub(m.ReceivedAt) }

// FinalStages returns the indices of the stages that no other stage depends on.
// Their results are the inputs of the request itself.
func (r *Route) FinalStages() []int {
	followed := make([]bool, len(r.Stages))
	for _, s := range r.Stages {
		for _, i := range s.After {
			followed[i] = true
		}
	}
	var final []int
	for i := range r.Stages {
		if !followed[i] {
			final = append(final, i)
		}
	}
	return final
}
