package kernel

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/savoryfold/savoryfold/policy"
)

// sharer is an instance that gets a share of the servers' limits.
type sharer struct {
	id, zone string
	hash     uint64
	seen     time.Time // when the instance was last live
}

// sharers tracks which instances share the servers' limits. A member that left
// still counts for the settle time, since other instances may not have learned
// of its departure yet. An instance that discovers its first other member uses
// no share for the settle time, since the others may not know of it yet.
type sharers struct {
	mu            sync.Mutex
	byID          map[string]sharer // guarded by mu
	list          []sharer          // sorted by ID; replaced, never modified; guarded by mu
	epoch         uint64            // counts changes of list; guarded by mu
	firstPeerSeen time.Time         // guarded by mu
}

// roster is an immutable list of the sharers at one time.
type roster struct {
	list  []sharer
	epoch uint64
	// withheld is true while the instance must not use its share yet.
	withheld bool
}

// update sets the live members and returns the resulting roster.
func (s *sharers) update(now time.Time, live []sharer, settle time.Duration) roster {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byID == nil {
		s.byID = make(map[string]sharer)
	}
	changed := false
	for _, m := range live {
		if old, ok := s.byID[m.id]; !ok || old.zone != m.zone {
			changed = true
		}
		m.seen = now
		s.byID[m.id] = m
	}
	for id, m := range s.byID {
		if m.seen != now && now.Sub(m.seen) >= settle {
			delete(s.byID, id)
			changed = true
		}
	}
	if changed {
		s.rebuild()
	}
	if s.firstPeerSeen.IsZero() && len(s.list) > 1 {
		s.firstPeerSeen = now
	}
	withheld := !s.firstPeerSeen.IsZero() && now.Sub(s.firstPeerSeen) < settle
	return roster{s.list, s.epoch, withheld}
}

// current returns the roster of the last update, without its withheld flag.
func (s *sharers) current() roster {
	s.mu.Lock()
	defer s.mu.Unlock()
	return roster{list: s.list, epoch: s.epoch}
}

func (s *sharers) rebuild() {
	list := make([]sharer, 0, len(s.byID))
	for _, m := range s.byID {
		list = append(list, m)
	}
	slices.SortFunc(list, func(a, b sharer) int { return strings.Compare(a.id, b.id) })
	s.list = list
	s.epoch++
}

// liveSharers returns the instances that take requests now.
func liveSharers(h *Host) []sharer {
	live := []sharer{newSharer(h.ID(), h.Zone())}
	add := func(id, zone string) {
		if id != h.ID() {
			live = append(live, newSharer(id, zone))
		}
	}
	switch {
	case h.Membership != nil:
		for _, m := range h.Membership.View().Live() {
			add(m.ID, m.Zone)
		}
	case h.Fleet != nil:
		for _, m := range h.Fleet.Members() {
			add(m.ID, m.Zone)
		}
	}
	return live
}

// limitSharers returns the instances that use a share of the servers' limits
// now: the live ones, and those that are leaving and finish their requests.
func limitSharers(h *Host) []sharer {
	sharers := liveSharers(h)
	if h.Membership == nil {
		return sharers
	}
	for _, m := range h.Membership.View().Members {
		if m.State == MemberLeaving && m.ID != h.ID() {
			sharers = append(sharers, newSharer(m.ID, m.Zone))
		}
	}
	return sharers
}

func newSharer(id, zone string) sharer {
	return sharer{id: id, zone: zone, hash: xxhash.Sum64String(id)}
}

// home identifies the instances that prefer a server and so send it most calls:
// those in its availability zone, and those in zones without a usable server of
// the pool.
type home struct {
	zone string
	// served holds the zones with usable servers of the pool. If it is nil, only
	// the server's own zone counts.
	served *servedZones
}

// servedZones is the set of zones with usable servers of a pool.
type servedZones map[string]bool

func (h home) has(m sharer) bool {
	return m.zone == h.zone || (h.served != nil && !(*h.served)[m.zone])
}

// countSharers counts the instances that share the limit of a server.
func (r roster) countSharers(h home) policy.Sharers {
	count := policy.Sharers{Members: len(r.list)}
	for _, m := range r.list {
		if h.has(m) {
			count.Home++
		}
	}
	return count
}

// rank returns the position, from 0, of an instance among the sharers of a
// server. Instances at home come first; within each group the order is that of
// rendezvous hashing.
func (r roster) rank(self string, h home, server uint64) int {
	i := slices.IndexFunc(r.list, func(m sharer) bool { return m.id == self })
	if i < 0 {
		return len(r.list)
	}
	rank := 0
	for _, m := range r.list {
		if compareSharers(m, r.list[i], h, server) < 0 {
			rank++
		}
	}
	return rank
}

// compareSharers compares two instances in the rank order of a server's sharers.
func compareSharers(a, b sharer, h home, server uint64) int {
	if h.has(a) != h.has(b) {
		if h.has(a) {
			return -1
		}
		return 1
	}
	if c := cmp.Compare(mix(b.hash^server), mix(a.hash^server)); c != 0 {
		return c
	}
	return strings.Compare(a.id, b.id)
}

// mix is a hash finalizer: each bit of the input affects all bits of the result.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
