package discovery

import (
	"maps"
	"slices"
	"time"

	"github.com/savoryfold/savoryfold/catalog"
	"github.com/savoryfold/savoryfold/platform"
)

// lapseGrace is how long a server whose entry is missing after the store's
// return is still used: the platform lists living servers again within two
// seconds.
const lapseGrace = 2 * time.Second

// state is what was read from the store. It is a plain value without clock or
// I/O.
type state struct {
	config   *catalog.Config
	zonesOut map[string]bool
	moves    map[string]*catalog.Move
	statuses map[string]catalog.MoveStatus
	servers  map[string]*catalog.Server
	// lapsed holds, by server, the time until which a server without an entry
	// is still used.
	lapsed map[string]time.Time
	// regained is when the store was last reached again after it was away.
	regained time.Time
}

func newState() state {
	return state{
		zonesOut: make(map[string]bool),
		moves:    make(map[string]*catalog.Move),
		statuses: make(map[string]catalog.MoveStatus),
		servers:  make(map[string]*catalog.Server),
		lapsed:   make(map[string]time.Time),
	}
}

// put takes a server's entry and reports whether it tells anything new. What a
// former life of the server said, or what it said before, is ignored.
func (s *state) put(server *catalog.Server) bool {
	old := s.servers[server.ID]
	delete(s.lapsed, server.ID)
	if old != nil {
		if server.Born < old.Born || server.Born == old.Born && server.Sequence < old.Sequence {
			return false
		}
		if server.Born == old.Born {
			server.Seen = old.Seen
		}
	}
	s.servers[server.ID] = server
	return true
}

// remove takes a server out, and reports whether the view changed. Shortly
// after the store's return a missing entry does not tell that the server is
// gone.
func (s *state) remove(now time.Time, id string) bool {
	server := s.servers[id]
	if server == nil {
		return false
	}
	if until := s.regained.Add(lapseGrace); now.Before(until) && !server.Draining {
		s.lapsed[id] = until
		return false
	}
	delete(s.servers, id)
	delete(s.lapsed, id)
	return true
}

// expire removes the servers whose time without an entry is over.
func (s *state) expire(now time.Time) bool {
	changed := false
	for id, until := range s.lapsed {
		if !now.Before(until) {
			delete(s.lapsed, id)
			delete(s.servers, id)
			changed = true
		}
	}
	return changed
}

func (s *state) setZone(zone string, out bool) {
	if out {
		s.zonesOut[zone] = true
		return
	}
	delete(s.zonesOut, zone)
}

// forgetOrders drops the orders that a whole listing lacks.
func (s *state) forgetOrders(listed []platform.StoreRecord) {
	keys := make(map[string]bool, len(listed))
	for _, r := range listed {
		keys[r.Key] = r.Value != nil
	}
	for _, zone := range slices.Collect(maps.Keys(s.zonesOut)) {
		if !keys[platform.ZoneOutKeyOf(zone)] {
			delete(s.zonesOut, zone)
		}
	}
	for _, service := range slices.Collect(maps.Keys(s.moves)) {
		if !keys[platform.MoveKeyOf(service)] {
			delete(s.moves, service)
		}
	}
}

// view makes an immutable view of the state.
func (s *state) view() *catalog.Catalog {
	c := catalog.New(s.config, slices.Collect(maps.Values(s.servers)))
	c.ZonesOut = maps.Clone(s.zonesOut)
	c.Moves = maps.Clone(s.moves)
	c.Statuses = maps.Clone(s.statuses)
	return c
}
