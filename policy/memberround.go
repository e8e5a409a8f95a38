package policy

import (
	"math/bits"
	"slices"
	"time"
)

// Tick runs one round and returns the messages to send.
func (t *MemberTable) Tick(now time.Time) []MemberSend {
	t.round++
	t.sweep(now)
	urgent := t.urgent
	out := t.heartbeats(nil, now)
	if urgent || t.round%bridgeRounds == 0 {
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
		m := &MemberMessage{Self: t.self, Records: t.hotRecords(now), Zones: t.nextSummaries(e, now)}
		out = append(out, e.send(SendHeartbeat, m))
	}
	return out
}

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

// queueUpdate marks a record as news to be passed on.
func (t *MemberTable) queueUpdate(e *memberEntry) {
	if e.hot == 0 {
		t.hot = append(t.hot, e)
	}
	e.hot = hotCopies + bits.Len(uint(len(t.order)))
}

// dequeueUpdates takes back the marks of all news but the first n.
func (t *MemberTable) dequeueUpdates(n int) {
	for _, e := range t.hot[n:] {
		e.hot = 0
	}
	t.hot = t.hot[:n]
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
