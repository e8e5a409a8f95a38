package policy

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Encoding and size of zone summaries.
const (
	ageUnit = 100 * time.Millisecond
	ageMax  = 255
	// summaryBudgetBytes is the size up to which a heartbeat gets further
	// summaries of other zones. summaryOverheadBytes is the size of a summary
	// without its ages.
	summaryBudgetBytes   = 160
	summaryOverheadBytes = 25
)

// nextSummaries returns the summaries for a heartbeat to e: that of the local zone
// and, up to summaryBudgetBytes, those of other zones. The first of these is of the
// zone whose lastHeard has advanced most since its last summary was sent. The second
// is chosen by a hash of receiver and round. The others are those sent the longest
// ago. Without the hash, a receiver could get the same zones in every
// heartbeat cycle.
func (t *MemberTable) nextSummaries(e *memberEntry, now time.Time) []ZoneSummary {
	out := []ZoneSummary{t.summary(t.self.Zone, now)}
	others := slices.DeleteFunc(t.populatedZones(), func(name string) bool { return name == t.self.Zone })
	budget := summaryBudgetBytes
	for len(others) > 0 && budget > 0 {
		var name string
		switch len(out) {
		case 1:
			name = t.newestZone(others)
		case 2:
			name = others[hashRound(e.fingerprint, t.round)%uint64(len(others))]
		default:
			name = slices.MinFunc(others, func(a, b string) int { return compareUint64(t.zones[a].sentNumber, t.zones[b].sentNumber) })
		}
		s := t.nextSummary(name, now)
		budget -= summaryOverheadBytes + len(s.Ages)
		out = append(out, s)
		others = slices.DeleteFunc(others, func(o string) bool { return o == name })
	}
	return out
}

// hashRound returns a pseudo-random number for a receiver and a round.
func hashRound(receiver, round uint64) uint64 {
	var key [16]byte
	binary.LittleEndian.PutUint64(key[:8], receiver)
	binary.LittleEndian.PutUint64(key[8:], round)
	return xxhash.Sum64(key[:])
}

// nextSummary returns the summary of another zone and records it as sent.
func (t *MemberTable) nextSummary(name string, now time.Time) ZoneSummary {
	z := t.zones[name]
	z.sentLastHeard = z.lastHeard()
	t.summariesSent++
	z.sentNumber = t.summariesSent
	return t.summary(name, now)
}

// newestZone returns the zone whose lastHeard has advanced most since its last
// summary was sent.
func (t *MemberTable) newestZone(names []string) string {
	return slices.MaxFunc(names, func(a, b string) int {
		return cmp.Compare(t.zones[a].heardSinceSent(), t.zones[b].heardSinceSent())
	})
}

func (z *memberZone) heardSinceSent() time.Duration { return z.lastHeard().Sub(z.sentLastHeard) }

// zoneNames returns the names of all known zones, sorted.
func (t *MemberTable) zoneNames() []string { return slices.Sorted(maps.Keys(t.zones)) }

// summary returns the summary of a zone's records as this instance holds them.
func (t *MemberTable) summary(name string, now time.Time) ZoneSummary {
	s := ZoneSummary{Zone: name, Oldest: ^uint64(0)}
	t.forEachMember(name, func(e *memberEntry) {
		s.Hash += uint32(e.fingerprint)
		s.Ages = append(s.Ages, toAgeUnits(now.Sub(e.lastHeard)))
		s.Oldest = min(s.Oldest, e.record.Revision)
		s.Newest = max(s.Newest, e.record.Revision)
	})
	if len(s.Ages) == 0 {
		s.Oldest = 0
	}
	return s
}

func toAgeUnits(d time.Duration) byte {
	return byte(min(max((d+ageUnit-1)/ageUnit, 0), ageMax))
}

// forEachMember calls f for the members of a zone that are neither gone nor
// expired, in the order of IDs. In the local zone it includes this instance.
func (t *MemberTable) forEachMember(name string, f func(*memberEntry)) {
	z := t.zones[name]
	if z == nil {
		return
	}
	self := name == t.self.Zone
	for _, e := range z.members {
		if self && e.record.ID > t.self.ID {
			f(t.selfEntry())
			self = false
		}
		if !e.gone() && !e.expired {
			f(e)
		}
	}
	if self {
		f(t.selfEntry())
	}
}

// selfEntry returns an entry for the instance itself, last heard at the last
// tick.
func (t *MemberTable) selfEntry() *memberEntry {
	return &memberEntry{record: t.self, fingerprint: t.self.fingerprint(), lastHeard: t.lastTick}
}

// mergeSummary merges a zone summary. If the summary matches the records of this
// instance, it refreshes the members from the summary's ages. Otherwise it requests
// the records from the sender, at most once per requestInterval and zone.
func (t *MemberTable) mergeSummary(out []MemberSend, now time.Time, from *MemberRecord, s *ZoneSummary) []MemberSend {
	z := t.zones[s.Zone]
	if z != nil && t.matchesSummary(s) {
		t.mergeAges(now, s)
		return out
	}
	if z == nil {
		if len(t.zones) >= maxZones {
			return out
		}
		z = &memberZone{}
		t.zones[s.Zone] = z
	}
	if now.Sub(z.requestedAt) < requestInterval {
		return out
	}
	z.requestedAt = now
	m := &MemberMessage{Self: t.self, Wants: []string{s.Zone}}
	return append(out, MemberSend{Kind: SendWant, Address: from.GossipAddress, ID: from.ID, Zone: from.Zone, Message: m})
}

func (t *MemberTable) matchesSummary(s *ZoneSummary) bool {
	var hash uint32
	count := 0
	t.forEachMember(s.Zone, func(e *memberEntry) {
		hash += uint32(e.fingerprint)
		count++
	})
	return hash == s.Hash && count == len(s.Ages)
}

// mergeAges refreshes the members of a zone from the ages in a matching summary.
func (t *MemberTable) mergeAges(now time.Time, s *ZoneSummary) {
	i := 0
	t.forEachMember(s.Zone, func(e *memberEntry) {
		if s.Ages[i] < ageMax {
			t.refresh(e, now, now.Add(-time.Duration(s.Ages[i])*ageUnit))
		}
		e.record.Revision = max(e.record.Revision, s.Oldest)
		i++
	})
}

// requestedRecords returns a message with the records that another instance
// requested.
func (t *MemberTable) requestedRecords(now time.Time, to *MemberRecord, wants []string) MemberSend {
	m := &MemberMessage{Self: t.self}
	for _, name := range t.zoneNames() {
		if !slices.Contains(wants, "") && !slices.Contains(wants, name) {
			continue
		}
		for _, e := range t.zones[name].members {
			m.Records = append(m.Records, e.gossipRecord(now))
		}
	}
	return MemberSend{Kind: SendTable, Address: to.GossipAddress, ID: to.ID, Zone: to.Zone, Message: m}
}
