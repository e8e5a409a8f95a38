package policy

import (
	"math/bits"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Tick runs one round and returns the messages to send.
func (t *MemberTable) Tick(now time.Time) []MemberSend {
	t.round++
	t.sweep(now)
	out := t.heartbeats(nil, now)
	if t.round%bridgeRounds == 0 {
		out = t.bridges(out, now)
	}
	if t.round%probeRounds == 0 {
		out = t.probes(out, now)
	}
	return out
}

// Farewell returns the last messages of an instance that stops: it is gone.
func (t *MemberTable) Farewell(now time.Time) []MemberSend {
	t.Announce(MemberGone, "")
	return t.bridges(t.heartbeats(nil, now), now)
}

// heartbeats writes to the next members of the own zone, or to all of them if
// the own record is new.
func (t *MemberTable) heartbeats(out []MemberSend, now time.Time) []MemberSend {
	count := min(t.config.Fanout, len(t.order))
	if t.urgent {
		count = len(t.order)
		t.urgent = false
	}
	for range count {
		t.next = (t.next + 1) % len(t.order)
		e := t.order[t.next]
		if e.gone() {
			continue
		}
		m := &MemberMessage{Self: t.self, Records: t.hotRecords(now), Zones: t.nextSummary(e, now)}
		out = append(out, e.send(SendHeartbeat, m))
	}
	return out
}

// bridges writes to the delegates of every other zone for which the instance
// is a delegate of its own.
func (t *MemberTable) bridges(out []MemberSend, now time.Time) []MemberSend {
	for _, zone := range t.zoneNames() {
		if zone == t.self.Zone {
			continue
		}
		rank := t.ownRank(zone, now)
		if rank >= t.config.Delegates {
			continue
		}
		for _, e := range t.delegates(zone, now) {
			m := &MemberMessage{Self: t.self, Records: t.bridgeRecords(now), Zones: []ZoneSummary{t.summary(t.self.Zone, now)}}
			s := e.send(SendBridge, m)
			s.Rank = rank
			out = append(out, s)
		}
	}
	return out
}

// ownRank is the instance's place among the delegates of its own zone towards
// another, from 0.
func (t *MemberTable) ownRank(zone string, now time.Time) int {
	key := pairKey(t.self.Zone, zone)
	own := delegateWeight(t.self.ID, key)
	rank := 0
	for _, e := range t.zones[t.self.Zone].members {
		if t.reachable(e, now) && delegateWeight(e.record.ID, key) > own {
			rank++
		}
	}
	return rank
}

// delegates returns the members that speak for another zone to the own one. Of
// a zone out of touch it tries all members in turn.
func (t *MemberTable) delegates(zone string, now time.Time) []*memberEntry {
	key := pairKey(t.self.Zone, zone)
	members := t.zones[zone].members
	var usable []*memberEntry
	for _, e := range members {
		if t.reachable(e, now) {
			usable = append(usable, e)
		}
	}
	if len(usable) == 0 {
		usable = slices.Clone(members)
		key += string(rune('a' + t.round/lostZoneEpochRounds%26))
	}
	weight := func(e *memberEntry) uint64 { return delegateWeight(e.record.ID, key) }
	slices.SortFunc(usable, func(a, b *memberEntry) int { return order(weight(b), weight(a)) })
	return usable[:min(len(usable), t.config.Delegates)]
}

func (t *MemberTable) reachable(e *memberEntry, now time.Time) bool {
	s := t.status(e, now)
	return s != MemberGone && s != MemberSuspect
}

// pairKey names a pair of zones, whichever comes first.
func pairKey(a, b string) string {
	if strings.Compare(a, b) > 0 {
		a, b = b, a
	}
	return a + "\x00" + b
}

func delegateWeight(id, key string) uint64 { return xxhash.Sum64String(id + "\x00" + key) }

// probes looks for members that the table does not know or holds for gone.
func (t *MemberTable) probes(out []MemberSend, now time.Time) []MemberSend {
	lost, alone := t.lost(now)
	if len(lost) == 0 {
		return out
	}
	m := &MemberMessage{Self: t.self, Zones: []ZoneSummary{t.summary(t.self.Zone, now)}}
	if alone {
		m.Wants = []string{""}
	}
	t.probe++
	for i := range min(len(lost), t.probeCount(alone)) {
		address := lost[(t.probe+i)%len(lost)]
		out = append(out, MemberSend{Kind: SendProbe, Address: address, Message: m})
	}
	return out
}

// probeCount is the number of probes in a round of probes.
func (t *MemberTable) probeCount(alone bool) int {
	if alone {
		return t.config.Fanout
	}
	return 1
}

// lost returns the addresses of members that are gone and of seeds that are
// not known, and whether no other member is known.
func (t *MemberTable) lost(now time.Time) (addresses []string, alone bool) {
	known := map[string]bool{t.self.GossipAddress: true}
	var candidates []string
	alone = true
	for _, e := range t.entries {
		if t.status(e, now) == MemberGone {
			candidates = append(candidates, e.record.GossipAddress)
			continue
		}
		alone = false
		known[e.record.GossipAddress] = true
	}
	for _, address := range append(candidates, t.seeds...) {
		if !known[address] {
			known[address] = true
			addresses = append(addresses, address)
		}
	}
	slices.Sort(addresses)
	return addresses, alone
}

// heat marks a record as news to be passed on.
func (t *MemberTable) heat(e *memberEntry) {
	if e.hot == 0 {
		t.hot = append(t.hot, e)
	}
	e.hot = hotCopies * (1 + bits.Len(uint(len(t.order))))
}

// hotRecords returns the next news and cools them.
func (t *MemberTable) hotRecords(now time.Time) []MemberRecord {
	n := min(len(t.hot), recordsPerMessage)
	if n == 0 {
		return nil
	}
	out := make([]MemberRecord, 0, n)
	batch := t.hot[:n]
	t.hot = slices.Clone(t.hot[n:])
	for _, e := range batch {
		out = append(out, e.relay(now))
		if e.hot--; e.hot > 0 {
			t.hot = append(t.hot, e)
		}
	}
	return out
}

// bridgeRecords returns news of the own zone without cooling them, and one
// record in turn.
func (t *MemberTable) bridgeRecords(now time.Time) []MemberRecord {
	var out []MemberRecord
	for _, e := range t.hot {
		if e.record.Zone == t.self.Zone && len(out) < recordsPerMessage {
			out = append(out, e.relay(now))
		}
	}
	z := t.zones[t.self.Zone]
	if len(z.members) > 0 {
		z.rotate = (z.rotate + 1) % len(z.members)
		out = append(out, z.members[z.rotate].relay(now))
	}
	return out
}

// relay returns the record as passed on to others.
func (e *memberEntry) relay(now time.Time) MemberRecord {
	r := e.record
	r.Verdict = e.verdict
	r.AgeMS = toAgeMS(now.Sub(e.heard))
	return r
}
