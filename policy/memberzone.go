package policy

import (
	"maps"
	"slices"
	"time"
)

// nextSummary returns the summary of the zone whose turn it is with a member.
func (t *MemberTable) nextSummary(e *memberEntry, now time.Time) []ZoneSummary {
	names := t.zoneNames()
	e.turn++
	name := names[e.turn%len(names)]
	if name != t.self.Zone && t.zones[name].vouched.IsZero() {
		return nil
	}
	return []ZoneSummary{t.summary(name, now)}
}

// zoneNames returns the names of all known zones in order.
func (t *MemberTable) zoneNames() []string { return slices.Sorted(maps.Keys(t.zones)) }

// summary describes a zone's records as this instance holds them.
func (t *MemberTable) summary(name string, now time.Time) ZoneSummary {
	z := t.zones[name]
	s := ZoneSummary{Zone: name, Hash: t.zoneHash(name)}
	s.Oldest = ^uint64(0)
	if name == t.self.Zone {
		s.Oldest, s.Newest = t.self.Revision, t.self.Revision
	} else {
		s.AgeMS = toAgeMS(now.Sub(z.vouched))
	}
	for _, e := range z.members {
		if !e.vouchable() {
			continue
		}
		s.Oldest = min(s.Oldest, e.record.Revision)
		s.Newest = max(s.Newest, e.record.Revision)
	}
	if s.Oldest > s.Newest {
		s.Oldest = 0
	}
	return s
}

// vouchable reports whether the entry counts in its zone's summary: nobody
// holds it for suspect or gone.
func (e *memberEntry) vouchable() bool { return e.verdict == 0 && !e.gone() && !e.lapsed }

// zoneHash covers the members of a zone that nobody suspects, in any order.
func (t *MemberTable) zoneHash(name string) uint64 {
	var sum uint64
	if name == t.self.Zone {
		sum = t.self.fingerprint()
	}
	z := t.zones[name]
	if z == nil {
		return sum
	}
	for _, e := range z.members {
		if e.vouchable() {
			sum += e.fingerprint
		}
	}
	return sum
}

// compareZone takes a summary in: if the records are the same, it refreshes
// them, and if not, it asks for them.
func (t *MemberTable) compareZone(out []MemberSend, now time.Time, from *MemberRecord, s *ZoneSummary) []MemberSend {
	z := t.zones[s.Zone]
	if z != nil && s.Hash == t.zoneHash(s.Zone) {
		if s.Zone != t.self.Zone {
			t.vouch(z, now.Add(-time.Duration(s.AgeMS)*time.Millisecond), s.Oldest)
		}
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

// vouch refreshes all members of another zone.
func (t *MemberTable) vouch(z *memberZone, at time.Time, oldest uint64) {
	if !at.After(z.vouched) {
		return
	}
	z.vouched = at
	for _, e := range z.members {
		if !e.vouchable() {
			continue
		}
		t.touch(e, at)
		e.record.Revision = max(e.record.Revision, oldest)
	}
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
