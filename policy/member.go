package policy

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// MemberConfig sets up a MemberTable.
type MemberConfig struct {
	// Interval is the time between two calls of Tick.
	Interval time.Duration
	// SuspectAfter and GoneAfter are the silences after which a member of the
	// own zone is suspect and gone. In large zones both are stretched to the
	// time that news take to spread.
	SuspectAfter time.Duration
	GoneAfter    time.Duration
	// ForgetAfter is how long a member that is gone is remembered.
	ForgetAfter time.Duration
	// Fanout is the number of members of the own zone that hear each round.
	Fanout int
	// Delegates is the number of members that speak for a zone to each other
	// zone.
	Delegates int
}

// Bounds of one message and of how often things are said.
const (
	recordsPerMessage = 6
	bridgeRounds      = 4 // rounds between two messages to another zone
	probeRounds       = 4 // rounds between two probes
	hotCopies         = 2 // of each news, and more with the logarithm of the zone's size
	missedCycles      = 3 // cycles of heartbeats without news that make a suspect
	missedSpreads     = 2 // times in which news spread, likewise, in large zones
	spreadRounds      = 3 // rounds in which news spread, and more with the logarithm of the zone's size
	remoteSlack       = 2 // stretches the silences of other zones' members
	maxMembers        = 4096
	maxZones          = 256
	wantInterval      = time.Second
	tellInterval      = 500 * time.Millisecond
	pauseRounds       = 4   // a longer gap between ticks is a pause of the process
	lostZoneRounds    = 16  // rounds after which other members of a lost zone are tried
	maxRecordAge      = 1e9 // milliseconds
)

// MemberTable is the state machine of membership at one instance. Its inputs
// are messages, ticks and the instance's own state; its outputs are messages
// and the view. It holds these invariants:
//
//   - The instance is never suspect or gone in its own table: a verdict on it
//     is refuted with a higher incarnation.
//   - A record with a lower boot or incarnation never replaces a higher one.
//   - A verdict is passed only by members of the same availability zone; members
//     of other zones merely lose touch with the zone, and find it again with the
//     first summary that matches.
//   - A member of which there was news within SuspectAfter is not judged by
//     hearsay; it is told of the verdict instead, and refutes it.
//
// It is not safe for concurrent use.
type MemberTable struct {
	config  MemberConfig
	self    MemberRecord
	entries map[string]*memberEntry
	zones   map[string]*memberZone
	order   []*memberEntry // own zone's members in the order of heartbeats
	next    int            // index in order
	round   uint64
	urgent  bool // own record is new: tell the whole zone in the next round
	last    time.Time
	seeds   []string
	probe   int
	turn    uint64 // counts summaries of other zones
	hot     []*memberEntry
	version uint64
	// Conflicts counts records of a newer boot with this instance's ID.
	Conflicts uint64
	// Stale counts records that were older than the known one.
	Stale uint64
}

type memberEntry struct {
	record      MemberRecord
	fingerprint uint64
	verdict     MemberStatus
	// lapsed entries of other zones were silent although their zone was heard.
	lapsed bool
	heard  time.Time
	since  time.Time // of the verdict
	told   time.Time
	shown  MemberStatus // status at the last sweep
	hot    int          // copies still to send
}

type memberZone struct {
	members []*memberEntry // sorted by ID
	wanted  time.Time
	told    time.Time // when the newest news was heard that was passed on
	turn    uint64    // when the zone was last told of, in summaries
	rotate  int
}

// Hurry has the next round tell the whole zone.
func (t *MemberTable) Hurry() { t.urgent = true }

// NewMemberTable makes a table that knows the instance only.
func NewMemberTable(self MemberRecord, c MemberConfig, now time.Time) *MemberTable {
	self.Incarnation = max(self.Incarnation, 1)
	c.Fanout = max(c.Fanout, 1)
	c.Delegates = max(c.Delegates, 1)
	return &MemberTable{
		config: c, self: self, last: now,
		entries: make(map[string]*memberEntry),
		zones:   map[string]*memberZone{self.Zone: {}},
	}
}

// Self returns the instance's own record.
func (t *MemberTable) Self() MemberRecord { return t.self }

// Version changes whenever the view does.
func (t *MemberTable) Version() uint64 { return t.version }

// Announce sets the instance's own state and peer address.
func (t *MemberTable) Announce(s MemberStatus, peerAddress string) {
	if t.self.Status == s && t.self.PeerAddress == peerAddress {
		return
	}
	t.self.Status = s
	t.self.PeerAddress = peerAddress
	t.renew()
}

// SetRevision sets the revision of the tables in force.
func (t *MemberTable) SetRevision(revision uint64) { t.self.Revision = revision }

// SetSeeds sets the gossip addresses that are probed for unknown members.
func (t *MemberTable) SetSeeds(addresses []string) { t.seeds = addresses }

// renew raises the own incarnation and has the zone told at once.
func (t *MemberTable) renew() {
	t.self.Incarnation++
	t.urgent = true
	t.version++
}

// Receive takes a message in and returns the answers to it.
func (t *MemberTable) Receive(now time.Time, m *MemberMessage) []MemberSend {
	var out []MemberSend
	out = t.merge(out, now, &m.Self, true)
	hot := len(t.hot)
	for i := range m.Records {
		out = t.merge(out, now, &m.Records[i], false)
	}
	if len(m.Records) > recordsPerMessage {
		// A table answers a want; its records are no news to others.
		t.dequeueUpdates(hot)
	}
	for i := range m.Zones {
		out = t.compareZone(out, now, &m.Self, &m.Zones[i])
	}
	if len(m.Wants) > 0 {
		out = append(out, t.answer(now, &m.Self, m.Wants))
	}
	return out
}

// merge takes one record in.
func (t *MemberTable) merge(out []MemberSend, now time.Time, r *MemberRecord, direct bool) []MemberSend {
	if r.ID == t.self.ID {
		t.refute(r)
		return out
	}
	e := t.entries[r.ID]
	if e == nil {
		t.adopt(now, r, direct)
		return out
	}
	switch c := r.compare(&e.record); {
	case c < 0:
		t.Stale++
	case c > 0:
		t.replace(e, now, r)
	default:
		return t.confirm(out, e, now, r, direct)
	}
	return out
}

// refute answers a record of the instance itself that it did not announce.
func (t *MemberTable) refute(r *MemberRecord) {
	switch {
	case r.Boot > t.self.Boot:
		// Another process with this ID started later, or this host's clock went
		// back between two starts. This one is alive, so it goes ahead of it.
		t.Conflicts++
		t.self.Boot = r.Boot + 1
		t.renew()
	case r.Boot < t.self.Boot:
		t.Stale++
	case r.Incarnation > t.self.Incarnation || (r.Verdict != 0 && r.Incarnation == t.self.Incarnation):
		t.self.Incarnation = r.Incarnation
		t.renew()
	}
}

// adopt adds a member that was not known, unless the record is old news.
func (t *MemberTable) adopt(now time.Time, r *MemberRecord, direct bool) {
	tooOld := !direct && r.age() > t.config.GoneAfter
	if r.Verdict == MemberGone || r.Status == MemberGone || tooOld || len(t.entries) >= maxMembers {
		return
	}
	e := &memberEntry{}
	t.entries[r.ID] = e
	t.replace(e, now, r)
	t.place(e)
}

// replace puts a newer record into an entry.
func (t *MemberTable) replace(e *memberEntry, now time.Time, r *MemberRecord) {
	moved := e.record.ID != "" && e.record.Zone != r.Zone
	if moved {
		t.displace(e)
	}
	e.record = *r
	e.record.Verdict, e.record.AgeMS = 0, 0
	e.fingerprint = r.fingerprint()
	e.verdict = r.Verdict
	e.lapsed = false
	e.since = now
	e.heard = now.Add(-min(r.age(), maxRecordAge*time.Millisecond))
	t.queueUpdate(e)
	t.version++
	if moved {
		t.place(e)
	}
}

// confirm takes in a record of the known boot and incarnation.
func (t *MemberTable) confirm(out []MemberSend, e *memberEntry, now time.Time, r *MemberRecord, direct bool) []MemberSend {
	e.record.Revision = max(e.record.Revision, r.Revision)
	fresh := now.Sub(e.heard) <= t.suspectAfter()
	if r.Verdict > e.verdict {
		if fresh {
			return t.tell(out, e, now, r.Verdict)
		}
		t.judge(e, now, r.Verdict)
		return out
	}
	if r.Verdict != 0 {
		return out
	}
	t.touch(e, now, now.Add(-r.age()))
	if e.verdict == MemberGone && (direct || now.Sub(e.heard) <= t.suspectAfter()) {
		return t.tell(out, e, now, MemberGone)
	}
	return out
}

// touch notes that a member was alive at a time. Fresh news end a suspicion.
func (t *MemberTable) touch(e *memberEntry, now, at time.Time) {
	if !at.After(e.heard) {
		return
	}
	e.heard = at
	if now.Sub(at) > t.suspectAfter()/2 {
		return
	}
	e.lapsed = false
	if e.verdict == MemberSuspect {
		e.verdict = 0
		t.version++
	}
}

// judge passes or takes over a verdict and spreads it.
func (t *MemberTable) judge(e *memberEntry, now time.Time, verdict MemberStatus) {
	e.verdict = verdict
	e.since = now
	t.queueUpdate(e)
	t.version++
}

// tell lets a member know of a verdict on it, so that it can refute it.
func (t *MemberTable) tell(out []MemberSend, e *memberEntry, now time.Time, verdict MemberStatus) []MemberSend {
	if now.Sub(e.told) < tellInterval {
		return out
	}
	e.told = now
	r := e.record
	r.Verdict = verdict
	m := &MemberMessage{Self: t.self, Records: []MemberRecord{r}}
	return append(out, e.send(SendTell, m))
}

// place adds an entry to its zone.
func (t *MemberTable) place(e *memberEntry) {
	z := t.zones[e.record.Zone]
	if z == nil {
		z = &memberZone{}
		t.zones[e.record.Zone] = z
	}
	i, _ := slices.BinarySearchFunc(z.members, e.record.ID, func(m *memberEntry, id string) int {
		return strings.Compare(m.record.ID, id)
	})
	z.members = slices.Insert(z.members, i, e)
	t.reorder()
}

// displace takes an entry out of its zone.
func (t *MemberTable) displace(e *memberEntry) {
	z := t.zones[e.record.Zone]
	z.members = slices.DeleteFunc(z.members, func(m *memberEntry) bool { return m == e })
	if len(z.members) == 0 && e.record.Zone != t.self.Zone {
		delete(t.zones, e.record.Zone)
	}
	t.reorder()
}

// reorder works out the order of heartbeats. It differs between instances, so
// that a round's heartbeats reach different members.
func (t *MemberTable) reorder() {
	t.order = slices.Clone(t.zones[t.self.Zone].members)
	weight := func(e *memberEntry) uint64 { return xxhash.Sum64String(t.self.ID + "\x00" + e.record.ID) }
	slices.SortFunc(t.order, func(a, b *memberEntry) int { return order(weight(a), weight(b)) })
}

// send addresses a message to the entry's member.
func (e *memberEntry) send(kind MemberSendKind, m *MemberMessage) MemberSend {
	return MemberSend{Kind: kind, Address: e.record.GossipAddress, ID: e.record.ID, Zone: e.record.Zone, Message: m}
}
