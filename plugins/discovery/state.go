package discovery

import (
	"maps"
	"slices"
	"time"

	"github.com/savoryfold/savoryfold/catalog"
	"github.com/savoryfold/savoryfold/platform"
)

// missingEntryGrace is how long a server without an entry is still used after the
// store has recovered: the platform lists live servers again within two seconds.
const missingEntryGrace = 2 * time.Second

// state holds what was read from the store. It uses no clock and does no I/O.
type state struct {
	config        *catalog.Config
	excludedZones map[string]bool
	moves         map[string]*catalog.Move
	statuses      map[string]catalog.MoveStatus
	servers       map[string]*catalog.Server
	// serversListed is true once the servers were listed.
	serversListed bool
	// keepUntil maps the ID of a server without an entry to the end of its grace
	// period.
	keepUntil map[string]time.Time
	// departed holds the servers that were removed, so that an entry that a restored store
	// has of one does not bring it back.
	departed map[string]departure
	// leaving maps the ID of a server that has stated that it leaves to its start.
	leaving map[string]int64
	// restores counts the restores of the store after which the servers were listed,
	// moveRestores those after which the commands were. restoredAt is the time of the last
	// of the latter.
	restores, moveRestores int
	restoredAt             time.Time
	// moveRestore holds the number of restores before the last record of a rollout command.
	moveRestore map[string]int
	// storeAvailableAt is when the store last became available again after an
	// outage.
	storeAvailableAt time.Time
}

// departure is the last entry of a server that was removed.
type departure struct {
	start, sequence int64
	restores        int
}

// maxDeparted bounds the number of servers whose departure is kept.
const maxDeparted = 4096

// commandRewriteTime is the time after a restore of the store within which a rollout command
// that repeats an earlier one is taken for the same, which the operator has written again.
const commandRewriteTime = 30 * time.Second

func newState() state {
	return state{
		excludedZones: make(map[string]bool),
		moves:         make(map[string]*catalog.Move),
		statuses:      make(map[string]catalog.MoveStatus),
		servers:       make(map[string]*catalog.Server),
		keepUntil:     make(map[string]time.Time),
		departed:      make(map[string]departure),
		leaving:       make(map[string]int64),
		moveRestore:   make(map[string]int),
	}
}

// put stores a server's entry. It ignores an entry of an earlier start of the
// server, or with a lower sequence number of the same start, and reports whether
// it stored the entry.
func (s *state) put(server *catalog.Server) bool {
	old := s.servers[server.ID]
	if gone, ok := s.departed[server.ID]; ok && gone.restores < s.restores && !gone.before(server) {
		return false
	}
	delete(s.keepUntil, server.ID)
	delete(s.departed, server.ID)
	if old != nil {
		if server.StartUnixMilli < old.StartUnixMilli || server.StartUnixMilli == old.StartUnixMilli && server.Sequence < old.Sequence {
			return false
		}
		if server.StartUnixMilli == old.StartUnixMilli {
			server.FirstSeen = old.FirstSeen
		}
	}
	s.servers[server.ID] = server
	return true
}

// remove removes a server and reports whether it did. Within missingEntryGrace
// after the store has recovered, a missing entry does not mean that the server is
// gone. The server is then kept until the grace period ends, unless it is
// draining.
func (s *state) remove(now time.Time, id string) bool {
	server := s.servers[id]
	if server == nil {
		return false
	}
	if until := s.storeAvailableAt.Add(missingEntryGrace); now.Before(until) && !server.Draining {
		s.keepUntil[id] = until
		return false
	}
	s.depart(server)
	return true
}

// depart removes a server and keeps its departure.
func (s *state) depart(server *catalog.Server) {
	delete(s.servers, server.ID)
	delete(s.keepUntil, server.ID)
	for id := range s.departed {
		if len(s.departed) < maxDeparted {
			break
		}
		delete(s.departed, id)
	}
	s.departed[server.ID] = departure{server.StartUnixMilli, server.Sequence, s.restores}
}

// before reports whether an entry is later than the last one of the server that departed.
func (d departure) before(server *catalog.Server) bool {
	return server.StartUnixMilli > d.start || server.StartUnixMilli == d.start && server.Sequence > d.sequence
}

// putMove stores a rollout command and reports whether it did. In a restored store the
// command has another offset, but is the same one, with what is known of it.
func (s *state) putMove(now time.Time, service string, m *catalog.Move) bool {
	m.Service, m.ReceivedAt = service, now
	old := s.moves[service]
	restored := s.moveRestore[service] < s.moveRestores
	s.moveRestore[service] = s.moveRestores
	if old == nil {
		s.moves[service] = m
		return true
	}
	if !restored && old.Order >= m.Order {
		return false
	}
	rewritten := s.moveRestores > 0 && now.Sub(s.restoredAt) < commandRewriteTime && old.ReceivedAt.Before(s.restoredAt)
	if rewritten && old.TargetVersion == m.TargetVersion && old.Duration == m.Duration {
		m.ReceivedAt = old.ReceivedAt
	}
	s.moves[service] = m
	return true
}

// expire removes the servers whose grace period without an entry has ended, and
// reports whether there were any.
func (s *state) expire(now time.Time) bool {
	changed := false
	for id, until := range s.keepUntil {
		if !now.Before(until) {
			if server := s.servers[id]; server != nil {
				s.depart(server)
			}
			delete(s.keepUntil, id)
			changed = true
		}
	}
	return changed
}

func (s *state) setZone(zone string, out bool) {
	if out {
		s.excludedZones[zone] = true
		return
	}
	delete(s.excludedZones, zone)
}

// dropUnlistedCommands drops the operator commands that a full listing lacks.
func (s *state) dropUnlistedCommands(listed []platform.StoreRecord) {
	keys := make(map[string]bool, len(listed))
	for _, r := range listed {
		keys[r.Key] = r.Value != nil
	}
	for _, zone := range slices.Collect(maps.Keys(s.excludedZones)) {
		if !keys[platform.EvacuateKey(zone)] {
			delete(s.excludedZones, zone)
		}
	}
	for _, service := range slices.Collect(maps.Keys(s.moves)) {
		if !keys[platform.RolloutKey(service)] {
			delete(s.moves, service)
		}
	}
}

// snapshot returns an immutable catalog snapshot of the state.
func (s *state) snapshot() *catalog.Catalog {
	c := catalog.New(s.config, slices.Collect(maps.Values(s.servers)))
	c.ExcludedZones = maps.Clone(s.excludedZones)
	c.Moves = maps.Clone(s.moves)
	c.Statuses = maps.Clone(s.statuses)
	return c
}
