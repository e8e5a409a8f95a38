package policy

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// MemberConfig configures a MemberTable.
type MemberConfig struct {
	// Interval is the time between two calls of Tick.
	Interval time.Duration
	// SuspectAfter and GoneAfter are the times without an update after which a
	// member of the local zone is suspect and gone, respectively. In large zones
	// both grow with the time that gossip needs to reach every member.
	SuspectAfter time.Duration
	GoneAfter    time.Duration
	// ForgetAfter is how long the record of a gone member is kept.
	ForgetAfter time.Duration
	// Fanout is the number of members of the local zone that get a heartbeat in
	// each round.
	Fanout int
	// Delegates is the number of members of a zone that send its gossip to each
	// other zone.
	Delegates int
}

// Message size limits and gossip timing. Rounds are calls of Tick.
const (
	recordsPerMessage     = 6
	bridgeRounds          = 4 // rounds between two messages to another zone
	probeRounds           = 4 // rounds between two probes
	gossipCopies          = 2 // transmissions of an update, plus the binary logarithm of the zone's size
	missedCycles          = 3 // heartbeat cycles without an update after which a member is suspect
	missedPropagations    = 2 // propagation times without an update, likewise; the shorter time applies
	propagationRounds     = 3 // rounds until an update reaches the zone, plus the binary logarithm of its size
	remoteFactor          = 2 // multiplies the time-outs of members of other zones
	maxMembers            = 4096
	maxZones              = 256
	requestInterval       = time.Second
	notifyInterval        = 500 * time.Millisecond
	pauseRounds           = 4  // a longer gap between ticks means that the process was paused
	unreachableZoneRounds = 16 // rounds after which the next members of an unreachable zone are tried
	maxRecordAgeMS        = 1e9
)

// MemberTable is the gossip membership state machine of one instance. Its inputs
// are messages, ticks and the instance's own state; its outputs are messages
// and the list of members. It holds these invariants:
//
//   - The instance is never suspect or gone in its own table: it refutes such a
//     report with a higher incarnation.
//   - A record never replaces one with a higher boot, or with the same boot and a
//     higher incarnation.
//   - Only members of the same availability zone mark a member as suspect or
//     gone. Members of other zones only time out locally, and are restored by
//     the first zone summary that matches.
//   - A member that is known to have been alive within SuspectAfter is not marked
//     on a second-hand report. It is notified of the report instead and refutes it.
//
// It is not safe for concurrent use.
type MemberTable struct {
	config         MemberConfig
	self           MemberRecord
	entries        map[string]*memberEntry
	zones          map[string]*memberZone
	heartbeatOrder []*memberEntry // members of the local zone in the order of heartbeats
	heartbeatIndex int            // index in heartbeatOrder of the last receiver
	round          uint64
	urgent         bool // self changed: send it to the whole zone in the next round
	lastTick       time.Time
	seeds          []string
	probeOffset    int
	summariesSent  uint64 // number of summaries of other zones sent
	pendingUpdates []*memberEntry
	version        uint64
	// Conflicts counts records with this instance's ID and a newer boot.
	Conflicts uint64
	// Stale counts received records that were older than the known one.
	Stale uint64
}

type memberEntry struct {
	record      MemberRecord
	fingerprint uint64
	observed    MemberStatus
	// expired marks a member of another zone that timed out while other members
	// of its zone were known to be alive.
	expired    bool
	lastHeard  time.Time
	observedAt time.Time // time of the last new record or observed status
	notifiedAt time.Time
	lastStatus MemberStatus // status at the last sweep
	copiesLeft int          // transmissions left, 0 if not in pendingUpdates
}

type memberZone struct {
	members       []*memberEntry // sorted by ID
	requestedAt   time.Time
	sentLastHeard time.Time // lastHeard at the time of the last summary sent
	sentNumber    uint64    // value of summariesSent at the last summary sent
	bridgeIndex   int
}

// MarkUrgent makes the next round send heartbeats to the whole zone and, if this
// instance is a delegate, messages to other zones.
func (t *MemberTable) MarkUrgent() { t.urgent = true }

// NewMemberTable returns a table that holds only the instance itself.
func NewMemberTable(self MemberRecord, c MemberConfig, now time.Time) *MemberTable {
	self.Incarnation = max(self.Incarnation, 1)
	c.Fanout = max(c.Fanout, 1)
	c.Delegates = max(c.Delegates, 1)
	return &MemberTable{
		config: c, self: self, lastTick: now,
		entries: make(map[string]*memberEntry),
		zones:   map[string]*memberZone{self.Zone: {}},
	}
}

// Self returns the instance's own record.
func (t *MemberTable) Self() MemberRecord { return t.self }

// Version changes whenever the status or the announced state of a member does.
func (t *MemberTable) Version() uint64 { return t.version }

// Announce sets the instance's own status and peer address, and gossips them in
// the next round if they changed.
func (t *MemberTable) Announce(s MemberStatus, peerAddress string) {
	if t.self.Status == s && t.self.PeerAddress == peerAddress {
		return
	}
	t.self.Status = s
	t.self.PeerAddress = peerAddress
	t.raiseIncarnation()
}

// SetRevision sets the active revision of the configuration tables.
func (t *MemberTable) SetRevision(revision uint64) { t.self.Revision = revision }

// SetSeeds sets the gossip addresses that are probed to discover members.
func (t *MemberTable) SetSeeds(addresses []string) { t.seeds = addresses }

// raiseIncarnation raises the instance's own incarnation and gossips it to the
// whole zone in the next round.
func (t *MemberTable) raiseIncarnation() {
	t.self.Incarnation++
	t.urgent = true
	t.version++
}

// Receive merges a message into the table and returns the responses to send.
func (t *MemberTable) Receive(now time.Time, m *MemberMessage) []MemberSend {
	var out []MemberSend
	out = t.merge(out, now, &m.Self, true)
	pending := len(t.pendingUpdates)
	for i := range m.Records {
		out = t.merge(out, now, &m.Records[i], false)
	}
	if len(m.Records) > recordsPerMessage {
		// Only a full table in response to a request is this long; its records
		// need no further gossip.
		t.dequeueUpdates(pending)
	}
	for i := range m.Zones {
		out = t.mergeSummary(out, now, &m.Self, &m.Zones[i])
	}
	if len(m.Wants) > 0 {
		out = append(out, t.requestedRecords(now, &m.Self, m.Wants))
	}
	return out
}

// merge merges one record into the table. direct is true if the instance that
// the record describes sent it.
func (t *MemberTable) merge(out []MemberSend, now time.Time, r *MemberRecord, direct bool) []MemberSend {
	if r.ID == t.self.ID {
		t.refute(r)
		return out
	}
	e := t.entries[r.ID]
	if e == nil {
		t.addMember(now, r, direct)
		return out
	}
	switch c := r.compare(&e.record); {
	case c < 0:
		t.Stale++
	case c > 0:
		t.replaceRecord(e, now, r)
	default:
		return t.mergeCurrent(out, e, now, r, direct)
	}
	return out
}

// refute handles a received record with the instance's own ID. If the record has a
// higher boot, or the same boot and a higher incarnation, or reports the current
// incarnation as suspect or gone, the instance announces a boot or incarnation
// above the record's.
func (t *MemberTable) refute(r *MemberRecord) {
	switch {
	case r.Boot > t.self.Boot:
		// Another process with this ID started later, or this host's clock went
		// back between two starts. This process is alive, so its boot must be
		// the higher one.
		t.Conflicts++
		t.self.Boot = r.Boot + 1
		t.raiseIncarnation()
	case r.Boot < t.self.Boot:
		t.Stale++
	case r.Incarnation > t.self.Incarnation || (r.ObservedStatus != 0 && r.Incarnation == t.self.Incarnation):
		t.self.Incarnation = r.Incarnation
		t.raiseIncarnation()
	}
}

// addMember adds an unknown member, unless the record says that it is gone, is
// second-hand and older than GoneAfter, or the table is full.
func (t *MemberTable) addMember(now time.Time, r *MemberRecord, direct bool) {
	tooOld := !direct && r.age() > t.config.GoneAfter
	if r.ObservedStatus == MemberGone || r.Status == MemberGone || tooOld || len(t.entries) >= maxMembers {
		return
	}
	e := &memberEntry{}
	t.entries[r.ID] = e
	t.replaceRecord(e, now, r)
	t.addToZone(e)
}

// replaceRecord sets an entry to a newer record and queues it for gossip.
func (t *MemberTable) replaceRecord(e *memberEntry, now time.Time, r *MemberRecord) {
	moved := e.record.ID != "" && e.record.Zone != r.Zone
	if moved {
		t.removeFromZone(e)
	}
	e.record = *r
	e.record.ObservedStatus, e.record.AgeMS = 0, 0
	e.fingerprint = r.fingerprint()
	e.observed = r.ObservedStatus
	e.expired = false
	e.observedAt = now
	e.lastHeard = now.Add(-min(r.age(), maxRecordAgeMS*time.Millisecond))
	t.queueUpdate(e)
	t.version++
	if moved {
		t.addToZone(e)
	}
}

// mergeCurrent merges a record with the known boot and incarnation. A report of
// suspect or gone is ignored if the member is known to have been alive within
// SuspectAfter; the member is notified instead. A member that is marked as gone
// but alive is notified too, since only a higher incarnation ends that status.
func (t *MemberTable) mergeCurrent(out []MemberSend, e *memberEntry, now time.Time, r *MemberRecord, direct bool) []MemberSend {
	e.record.Revision = max(e.record.Revision, r.Revision)
	recent := now.Sub(e.lastHeard) <= t.suspectAfter()
	if r.ObservedStatus > e.observed {
		if recent {
			return t.notifyMember(out, e, now, r.ObservedStatus)
		}
		t.setObserved(e, now, r.ObservedStatus)
		return out
	}
	if r.ObservedStatus != 0 {
		return out
	}
	t.refresh(e, now, now.Add(-r.age()))
	if e.observed == MemberGone && (direct || now.Sub(e.lastHeard) <= t.suspectAfter()) {
		return t.notifyMember(out, e, now, MemberGone)
	}
	return out
}

// refresh records that a member was alive at a time. A recent time ends a
// suspicion.
func (t *MemberTable) refresh(e *memberEntry, now, at time.Time) {
	if !at.After(e.lastHeard) {
		return
	}
	e.lastHeard = at
	if now.Sub(at) > t.suspectAfter()/2 {
		return
	}
	e.expired = false
	if e.observed == MemberSuspect {
		e.observed = 0
		t.version++
	}
}

// setObserved sets the observed status of a member and queues it for gossip.
func (t *MemberTable) setObserved(e *memberEntry, now time.Time, status MemberStatus) {
	e.observed = status
	e.observedAt = now
	t.queueUpdate(e)
	t.version++
}

// notifyMember sends a member the status that others report for it, so that the
// member can refute it. It does so at most once per notifyInterval.
func (t *MemberTable) notifyMember(out []MemberSend, e *memberEntry, now time.Time, status MemberStatus) []MemberSend {
	if now.Sub(e.notifiedAt) < notifyInterval {
		return out
	}
	e.notifiedAt = now
	r := e.record
	r.ObservedStatus = status
	m := &MemberMessage{Self: t.self, Records: []MemberRecord{r}}
	return append(out, e.send(SendNotify, m))
}

// addToZone inserts an entry into its zone's members.
func (t *MemberTable) addToZone(e *memberEntry) {
	z := t.zones[e.record.Zone]
	if z == nil {
		z = &memberZone{}
		t.zones[e.record.Zone] = z
	}
	i, _ := slices.BinarySearchFunc(z.members, e.record.ID, func(m *memberEntry, id string) int {
		return strings.Compare(m.record.ID, id)
	})
	z.members = slices.Insert(z.members, i, e)
	t.updateHeartbeatOrder()
}

// removeFromZone removes an entry from its zone's members.
func (t *MemberTable) removeFromZone(e *memberEntry) {
	z := t.zones[e.record.Zone]
	z.members = slices.DeleteFunc(z.members, func(m *memberEntry) bool { return m == e })
	if len(z.members) == 0 && e.record.Zone != t.self.Zone {
		delete(t.zones, e.record.Zone)
	}
	t.updateHeartbeatOrder()
}

// updateHeartbeatOrder recomputes the order of heartbeats. It differs between
// instances, so that the heartbeats of one round reach different members.
func (t *MemberTable) updateHeartbeatOrder() {
	t.heartbeatOrder = slices.Clone(t.zones[t.self.Zone].members)
	weight := func(e *memberEntry) uint64 { return xxhash.Sum64String(t.self.ID + "\x00" + e.record.ID) }
	slices.SortFunc(t.heartbeatOrder, func(a, b *memberEntry) int { return compareUint64(weight(a), weight(b)) })
}

// send returns a message addressed to the entry's member.
func (e *memberEntry) send(kind MemberSendKind, m *MemberMessage) MemberSend {
	return MemberSend{Kind: kind, Address: e.record.GossipAddress, ID: e.record.ID, Zone: e.record.Zone, Message: m}
}
