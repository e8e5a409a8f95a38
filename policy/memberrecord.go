package policy

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// MemberStatus is the state of an instance, announced by itself or observed by
// others.
type MemberStatus uint8

// The states of a member. An instance announces starting, ready, leaving and, in
// its last messages, gone. Others observe it as suspect or gone.
const (
	MemberStarting MemberStatus = iota + 1
	MemberReady
	MemberLeaving
	MemberSuspect
	MemberGone
)

var memberStatusNames = [...]string{"", "starting", "ready", "leaving", "suspect", "gone"}

// String returns the state's name, or "invalid".
func (s MemberStatus) String() string {
	if int(s) >= len(memberStatusNames) {
		return "invalid"
	}
	return memberStatusNames[s]
}

// MemberRecord is the gossip record of one instance. The pair of Boot and
// Incarnation orders the records of an instance; only the instance itself raises
// either, so a record with a higher pair always wins.
type MemberRecord struct {
	_    struct{} `cbor:",toarray"`
	ID   string
	Zone string
	// Boot is the start time of the process in Unix nanoseconds.
	Boot uint64
	// Incarnation grows whenever the instance changes what it announces or
	// refutes an observed status.
	Incarnation uint64
	// Status is the status that the instance announced.
	Status MemberStatus
	// ObservedStatus is MemberSuspect or MemberGone if members of the instance's
	// zone observed this incarnation as such, otherwise 0.
	ObservedStatus MemberStatus
	// GossipAddress and PeerAddress are host:port.
	GossipAddress string
	PeerAddress   string
	// Revision is the instance's active revision of the configuration tables.
	Revision uint64
	// AgeMS is the time, in milliseconds, since the sender last knew the instance
	// to be alive.
	AgeMS uint32
}

// compare orders two records of one instance by boot and incarnation.
func (r *MemberRecord) compare(o *MemberRecord) int {
	switch {
	case r.Boot != o.Boot:
		return compareUint64(r.Boot, o.Boot)
	default:
		return compareUint64(r.Incarnation, o.Incarnation)
	}
}

func compareUint64(a, b uint64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// fingerprint is a hash of ID, boot and incarnation, which determine the
// announced fields other than Revision.
func (r *MemberRecord) fingerprint() uint64 {
	var h xxhash.Digest
	h.Reset()
	_, _ = h.WriteString(r.ID)
	var number [16]byte
	binary.LittleEndian.PutUint64(number[:8], r.Boot)
	binary.LittleEndian.PutUint64(number[8:], r.Incarnation)
	_, _ = h.Write(number[:])
	return h.Sum64()
}

func (r *MemberRecord) age() time.Duration { return time.Duration(r.AgeMS) * time.Millisecond }

// toAgeMS converts a duration to milliseconds, clamped to the field's range.
func toAgeMS(d time.Duration) uint32 {
	ms := d.Milliseconds()
	return uint32(min(max(ms, 0), int64(^uint32(0))))
}

// ZoneSummary summarizes all records of an availability zone. Two instances whose
// hashes are equal hold the same records in the same order, so one byte for each
// member is enough to exchange its age.
type ZoneSummary struct {
	_    struct{} `cbor:",toarray"`
	Zone string
	// Hash covers the boots and incarnations of the members that are not gone.
	Hash uint32
	// Ages holds, for each of these members in the order of IDs, the time since
	// it was last known to be alive, in units of 100 ms; 255 stands for longer.
	Ages []byte
	// Oldest and Newest are the lowest and highest active revisions of the
	// configuration tables in the zone.
	Oldest uint64
	Newest uint64
}

// MemberMessage is a gossip message from one instance to another.
type MemberMessage struct {
	_       struct{} `cbor:",toarray"`
	Self    MemberRecord
	Records []MemberRecord
	Zones   []ZoneSummary
	// Wants names the availability zones whose records the sender requests; the
	// empty name requests all.
	Wants []string
}

// MemberSendKind is the reason why a message is sent, for counters.
type MemberSendKind uint8

// The kinds of messages.
const (
	SendHeartbeat MemberSendKind = iota // to a member of the local zone
	SendBridge                          // to a delegate of another zone
	SendProbe                           // to an unknown seed or a gone member
	SendTable                           // records that the receiver requested
	SendWant                            // requests records
	SendNotify                          // notifies a member of its reported status
	// SendKinds is the number of kinds.
	SendKinds
)

var memberSendNames = [...]string{"heartbeat", "bridge", "probe", "table", "want", "tell"}

// String returns the kind's name as in metrics.
func (k MemberSendKind) String() string { return memberSendNames[k] }

// MemberSend is a message with its receiver.
type MemberSend struct {
	Kind    MemberSendKind
	Address string
	// ID and Zone identify the receiver. They are empty for probes.
	ID   string
	Zone string
	// Rank is the sender's index among the delegates of its zone for the
	// receiver's zone, if Kind is SendBridge.
	Rank    int
	Message *MemberMessage
}
