package policy

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// bridges appends messages to the delegates of every other zone for which this
// instance is a delegate of the local zone.
func (t *MemberTable) bridges(out []MemberSend, now time.Time) []MemberSend {
	own := t.delegates(t.self.Zone, now)
	for _, zone := range t.populatedZones() {
		rank := slices.Index(own[zone], t.self.ID)
		if zone == t.self.Zone || rank < 0 {
			continue
		}
		for _, e := range t.bridgeTargets(zone, now) {
			m := &MemberMessage{Self: t.self, Records: t.bridgeRecords(now), Zones: []ZoneSummary{t.summary(t.self.Zone, now)}}
			s := e.send(SendBridge, m)
			s.Rank = rank
			out = append(out, s)
		}
	}
	return out
}

// bridgeTargets returns the delegates of another zone for the local zone. If the
// zone has none, because none of its members is reachable, it returns some of the
// zone's members in turn.
func (t *MemberTable) bridgeTargets(zone string, now time.Time) []*memberEntry {
	var out []*memberEntry
	for _, id := range t.delegates(zone, now)[t.self.Zone] {
		out = append(out, t.entries[id])
	}
	if len(out) > 0 {
		return out
	}
	members := t.zones[zone].members
	first := int(t.round/unreachableZoneRounds) % len(members)
	for i := range min(len(members), t.config.Delegates) {
		out = append(out, members[(first+i)%len(members)])
	}
	return out
}

// populatedZones returns the names of the local zone and of the other zones that
// have members, sorted.
func (t *MemberTable) populatedZones() []string {
	return slices.DeleteFunc(t.zoneNames(), func(name string) bool {
		return name != t.self.Zone && len(t.zones[name].members) == 0
	})
}

// delegates assigns members of a zone as delegates for every other zone by
// rendezvous hashing. It caps the assignments of each member, so that the load
// is even. Two instances with the same members compute the same delegates.
func (t *MemberTable) delegates(zone string, now time.Time) map[string][]string {
	ids := t.reachableIDs(zone, now)
	if len(ids) == 0 {
		return nil
	}
	others := t.populatedZones()
	maxRoles := (t.config.Delegates*(len(others)-1) + len(ids) - 1) / len(ids)
	roles := make(map[string]int, len(ids))
	out := make(map[string][]string, len(others))
	for _, other := range others {
		if other == zone {
			continue
		}
		out[other] = t.assignDelegates(ids, zone, other, roles, maxRoles)
	}
	return out
}

// assignDelegates chooses the delegates of one zone for another among the
// members that have fewer than maxRoles delegate roles, and counts the new roles.
func (t *MemberTable) assignDelegates(ids []string, zone, other string, roles map[string]int, maxRoles int) []string {
	weights := make(map[string]uint64, len(ids))
	var free []string
	for _, id := range ids {
		if roles[id] < maxRoles {
			free = append(free, id)
			weights[id] = xxhash.Sum64String(id + "\x00" + zone + "\x00" + other)
		}
	}
	slices.SortFunc(free, func(a, b string) int { return compareUint64(weights[b], weights[a]) })
	free = free[:min(len(free), t.config.Delegates)]
	for _, id := range free {
		roles[id]++
	}
	return free
}

// reachableIDs returns the IDs of a zone's members that are neither suspect nor
// gone, sorted. In the local zone it includes this instance.
func (t *MemberTable) reachableIDs(zone string, now time.Time) []string {
	var ids []string
	if zone == t.self.Zone {
		ids = append(ids, t.self.ID)
	}
	for _, e := range t.zones[zone].members {
		if s := t.status(e, now); s != MemberGone && s != MemberSuspect {
			ids = append(ids, e.record.ID)
		}
	}
	slices.Sort(ids)
	return ids
}
