package policy

import (
	"math/bits"
	"slices"
	"time"
)

// Tick runs one gossip round and returns the messages to send.
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

// AnnounceGone announces that the instance is gone and returns the messages to
// send before it stops.
func (t *MemberTable) AnnounceGone(now time.Time) []MemberSend {
	t.Announce(MemberGone, "")
	return t.bridges(t.heartbeats(nil, now), now)
}

// heartbeats appends messages to the next members of the local zone, or to all of
// them if an urgent update is pending.
func (t *MemberTable) heartbeats(out []MemberSend, now time.Time) []MemberSend {
	count := min(t.config.Fanout, len(t.heartbeatOrder))
	if t.urgent {
		count = len(t.heartbeatOrder)
		t.urgent = false
	}
	for range count {
		t.heartbeatIndex = (t.heartbeatIndex + 1) % len(t.heartbeatOrder)
		e := t.heartbeatOrder[t.heartbeatIndex]
		if e.gone() {
			continue
		}
		m := &MemberMessage{Self: t.self, Records: t.takeUpdates(now), Zones: t.nextSummaries(e, now)}
		out = append(out, e.send(SendHeartbeat, m))
	}
	return out
}

// probes appends messages to unknown seeds and to gone members, in turn.
func (t *MemberTable) probes(out []MemberSend, now time.Time) []MemberSend {
	addresses, isolated := t.probeAddresses(now)
	if len(addresses) == 0 {
		return out
	}
	m := &MemberMessage{Self: t.self, Zones: []ZoneSummary{t.summary(t.self.Zone, now)}}
	if isolated {
		m.Wants = []string{""}
	}
	t.probeOffset++
	for i := range min(len(addresses), t.probeCount(isolated)) {
		address := addresses[(t.probeOffset+i)%len(addresses)]
		out = append(out, MemberSend{Kind: SendProbe, Address: address, Message: m})
	}
	return out
}

// probeCount returns the number of probes to send at once.
func (t *MemberTable) probeCount(isolated bool) int {
	if isolated {
		return t.config.Fanout
	}
	return 1
}

// probeAddresses returns the addresses of gone members and of unknown seeds, and
// whether no other member is known to be alive.
func (t *MemberTable) probeAddresses(now time.Time) (addresses []string, isolated bool) {
	known := map[string]bool{t.self.GossipAddress: true}
	var candidates []string
	isolated = true
	for _, e := range t.entries {
		if t.status(e, now) == MemberGone {
			candidates = append(candidates, e.record.GossipAddress)
			continue
		}
		isolated = false
		known[e.record.GossipAddress] = true
	}
	for _, address := range append(candidates, t.seeds...) {
		if !known[address] {
			known[address] = true
			addresses = append(addresses, address)
		}
	}
	slices.Sort(addresses)
	return addresses, isolated
}

// queueUpdate queues an entry's record for gossip.
func (t *MemberTable) queueUpdate(e *memberEntry) {
	if e.copiesLeft == 0 {
		t.pendingUpdates = append(t.pendingUpdates, e)
	}
	e.copiesLeft = gossipCopies + bits.Len(uint(len(t.heartbeatOrder)))
}

// dequeueUpdates removes all but the first n updates from the queue.
func (t *MemberTable) dequeueUpdates(n int) {
	for _, e := range t.pendingUpdates[n:] {
		e.copiesLeft = 0
	}
	t.pendingUpdates = t.pendingUpdates[:n]
}

// takeUpdates returns the next updates for a message and counts them as sent
// once.
func (t *MemberTable) takeUpdates(now time.Time) []MemberRecord {
	n := min(len(t.pendingUpdates), recordsPerMessage)
	if n == 0 {
		return nil
	}
	out := make([]MemberRecord, 0, n)
	batch := t.pendingUpdates[:n]
	t.pendingUpdates = slices.Clone(t.pendingUpdates[n:])
	for _, e := range batch {
		out = append(out, e.gossipRecord(now))
		if e.copiesLeft--; e.copiesLeft > 0 {
			t.pendingUpdates = append(t.pendingUpdates, e)
		}
	}
	return out
}

// bridgeRecords returns pending updates of the local zone without counting them as
// sent, and one further record of the zone in turn.
func (t *MemberTable) bridgeRecords(now time.Time) []MemberRecord {
	var out []MemberRecord
	for _, e := range t.pendingUpdates {
		if e.record.Zone == t.self.Zone && len(out) < recordsPerMessage {
			out = append(out, e.gossipRecord(now))
		}
	}
	z := t.zones[t.self.Zone]
	if len(z.members) > 0 {
		z.bridgeIndex = (z.bridgeIndex + 1) % len(z.members)
		out = append(out, z.members[z.bridgeIndex].gossipRecord(now))
	}
	return out
}

// gossipRecord returns the entry's record as sent to other instances.
func (e *memberEntry) gossipRecord(now time.Time) MemberRecord {
	r := e.record
	r.ObservedStatus = e.observed
	r.AgeMS = toAgeMS(now.Sub(e.lastHeard))
	return r
}
