package catalog

import (
	"slices"
	"strings"
	"time"
)

// Catalog is one view of everything that requests are served by.
type Catalog struct {
	Config *Config
	// Epoch counts the views of this process.
	Epoch uint64
	// ZonesOut holds the availability zones whose servers must get nothing.
	ZonesOut map[string]bool
	// Moves holds the orders to move a service's traffic, Statuses what is
	// recorded of them, both by service.
	Moves    map[string]*Move
	Statuses map[string]MoveStatus

	routes  map[string][]*Route
	servers map[string][]*Server
	byID    map[string]*Server
	// byAddress holds the server that was born last of those that share an
	// address.
	byAddress map[string]*Server
}

// New makes a view of a configuration and servers.
func New(c *Config, servers []*Server) *Catalog {
	v := &Catalog{Config: c, routes: make(map[string][]*Route), servers: make(map[string][]*Server), byID: make(map[string]*Server), byAddress: make(map[string]*Server)}
	for _, r := range c.Routes {
		v.routes[r.Host] = append(v.routes[r.Host], r)
	}
	for _, routes := range v.routes {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for _, s := range servers {
		v.servers[s.Service] = append(v.servers[s.Service], s)
		v.byID[s.ID] = s
		if other := v.byAddress[s.Address]; other == nil || other.Born < s.Born {
			v.byAddress[s.Address] = s
		}
	}
	for _, list := range v.servers {
		slices.SortFunc(list, func(a, b *Server) int { return strings.Compare(a.ID, b.ID) })
	}
	return v
}

// Route returns the route of the host with the longest prefix of the path, or
// nil.
func (c *Catalog) Route(host, path string) *Route {
	for _, r := range c.routes[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Account returns the account that holds the API key, or nil.
func (c *Catalog) Account(key string) *Account { return c.Config.Accounts[key] }

// Service returns the service with the name, or nil.
func (c *Catalog) Service(name string) *Service { return c.Config.Services[name] }

// Servers returns all known servers of a service, in order of ID.
func (c *Catalog) Servers(service string) []*Server { return c.servers[service] }

// Server returns the server with the ID, or nil.
func (c *Catalog) Server(id string) *Server { return c.byID[id] }

// ServerAt returns a server with the address, or nil.
func (c *Catalog) ServerAt(address string) *Server { return c.byAddress[address] }

// Usable reports whether a server may get new work as far as operators and the
// server itself say.
func (c *Catalog) Usable(s *Server) bool { return !s.Draining && !c.ZonesOut[s.Zone] }

// Age is the time since the instance learned of a move.
func (m *Move) Age(now time.Time) time.Duration { return now.Sub(m.Seen) }

// FinalStages returns the indices of stages that no other stage follows, whose
// results the request itself needs.
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
