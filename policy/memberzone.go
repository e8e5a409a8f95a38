package policy

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Units of the ages in a summary.
const (
	ageUnit = 100 * time.Millisecond
	ageMax  = 255
	// summaryRoom is the number of bytes for summaries of other zones in a
	// heartbeat, and summaryBase that of one besides its ages.
	summaryRoom = 160
	summaryBase = 25
)

// nextSummaries returns the own zone's summary and those of other zones: the one
// with the newest news, one drawn for the receiver and the round, and those told
// of the longest ago. The draw keeps a receiver from hearing of the same zones
// in every turn.
func (t *MemberTable) nextSummaries(e *memberEntry, now time.Time) []ZoneSummary {
	out := []ZoneSummary{t.summary(t.self.Zone, now)}
	others := slices.DeleteFunc(t.populatedZones(), func(name string) bool { return name == t.self.Zone })
	room := summaryRoom
	for len(others) > 0 && room > 0 {
		var name string
		switch len(out) {
		case 1:
			name = t.newestZone(others)
		case 2:
			name = others[mixTurn(e.fingerprint, t.round)%uint64(len(others))]
		default:
			name = slices.MinFunc(others, func(a, b string) int { return order(t.zones[a].turn, t.zones[b].turn) })
		}
		s := t.nextSummary(name, now)
		room -= summaryBase + len(s.Ages)
		out = append(out, s)
		others = slices.DeleteFunc(others, func(o string) bool { return o == name })
	}
	return out
}

// mixTurn draws a number for a receiver and a round.
func mixTurn(receiver, round uint64) uint64 {
	var key [16]byte
	binary.LittleEndian.PutUint64(key[:8], receiver)
	binary.LittleEndian.PutUint64(key[8:], round)
	return xxhash.Sum64(key[:])
}

// nextSummary returns the summary of another zone and notes that it goes out.
func (t *MemberTable) nextSummary(name string, now time.Time) ZoneSummary {
	z := t.zones[name]
	z.told = z.lastHeard()
	t.turn++
	z.turn = t.turn
	return t.summary(name, now)
}

// newestZone returns the zone with the most news since it was last told of.
func (t *MemberTable) newestZone(names []string) string {
	return slices.MaxFunc(names, func(a, b string) int {
		return cmp.Compare(t.zones[a].gain(), t.zones[b].gain())
	})
}

func (z *memberZone) gain() time.Duration { return z.lastHeard().Sub(z.told) }

// zoneNames returns the names of all known zones in order.
func (t *MemberTable) zoneNames() []string { return slices.Sorted(maps.Keys(t.zones)) }

// summary describes a zone's records as this instance holds them.
func (t *MemberTable) summary(name string, now time.Time) ZoneSummary {
	s := ZoneSummary{Zone: name, Oldest: ^uint64(0)}
	t.eachInZone(name, func(e *memberEntry) {
		s.Hash += uint32(e.fingerprint)
		s.Ages = append(s.Ages, toAgeUnits(now.Sub(e.heard)))
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

// eachInZone calls f for the members of a zone that are not gone, by ID. In the
// own zone this instance is one of them.
func (t *MemberTable) eachInZone(name string, f func(*memberEntry)) {
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
		if !e.gone() && !e.lapsed {
			f(e)
		}
	}
	if self {
		f(t.selfEntry())
	}
}

// selfEntry shows the instance itself as an entry heard at the last tick.
func (t *MemberTable) selfEntry() *memberEntry {
	return &memberEntry{record: t.self, fingerprint: t.self.fingerprint(), heard: t.last}
}

// compareZone takes a summary in: if the records are the same, it takes over
// the later news of each, and if not, it asks for the records.
func (t *MemberTable) compareZone(out []MemberSend, now time.Time, from *MemberRecord, s *ZoneSummary) []MemberSend {
	z := t.zones[s.Zone]
	if z != nil && t.matches(s) {
		t.takeAges(now, s)
		return out
	}
	if z == nil {
		if len(t.zones) >= maxZones {
			return out
		}
		z = &memberZone{}
		t.zones[s.Zone] = z
	}
	if now.Sub(z.wanted) < wantInterval {
		return out
	}
	z.wanted = now
	m := &MemberMessage{Self: t.self, Wants: []string{s.Zone}}
	return append(out, MemberSend{Kind: SendWant, Address: from.GossipAddress, ID: from.ID, Zone: from.Zone, Message: m})
}

func (t *MemberTable) matches(s *ZoneSummary) bool {
	var hash uint32
	count := 0
	t.eachInZone(s.Zone, func(e *memberEntry) {
		hash += uint32(e.fingerprint)
		count++
	})
	return hash == s.Hash && count == len(s.Ages)
}

// takeAges refreshes the members of a zone.
func (t *MemberTable) takeAges(now time.Time, s *ZoneSummary) {
	i := 0
	t.eachInZone(s.Zone, func(e *memberEntry) {
		if s.Ages[i] < ageMax {
			t.touch(e, now, now.Add(-time.Duration(s.Ages[i])*ageUnit))
		}
		e.record.Revision = max(e.record.Revision, s.Oldest)
		i++
	})
}

// answer returns the records that another instance asked for.
func (t *MemberTable) answer(now time.Time, to *MemberRecord, wants []string) MemberSend {
	m := &MemberMessage{Self: t.self}
	for _, name := range t.zoneNames() {
		if !slices.Contains(wants, "") && !slices.Contains(wants, name) {
			continue
		}
		for _, e := range t.zones[name].members {
			m.Records = append(m.Records, e.relay(now))
		}
	}
	return MemberSend{Kind: SendTable, Address: to.GossipAddress, ID: to.ID, Zone: to.Zone, Message: m}
}
