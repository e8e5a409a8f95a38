package policy

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// MemberStatus is the state of an instance as announced or as judged.
type MemberStatus uint8

// The states of a member. An instance announces starting, ready, leaving and,
// as its last word, gone. Others judge it suspect or gone.
const (
	MemberStarting MemberStatus = iota + 1
	MemberReady
	MemberLeaving
	MemberSuspect
	MemberGone
)

var memberStatusNames = [...]string{"", "starting", "ready", "leaving", "suspect", "gone"}

// String returns the state's name.
func (s MemberStatus) String() string {
	if int(s) >= len(memberStatusNames) {
		return "invalid"
	}
	return memberStatusNames[s]
}

// MemberRecord is what instances tell each other of one instance. The pair of
// Boot and Incarnation orders the records of an instance; only the instance
// itself raises either, so a record with a higher pair always wins.
type MemberRecord struct {
	_    struct{} `cbor:",toarray"`
	ID   string
	Zone string
	// Boot is the start time of the process in Unix nanoseconds.
	Boot uint64
	// Incarnation grows whenever the instance changes what it announces or
	// refutes a verdict.
	Incarnation uint64
	// Status is what the instance announced.
	Status MemberStatus
	// Verdict is MemberSuspect or MemberGone if others of the instance's zone
	// judged this incarnation so, or 0.
	Verdict MemberStatus
	// GossipAddress and PeerAddress are host:port.
	GossipAddress string
	PeerAddress   string
	// Revision is the revision of the tables in force at the instance.
	Revision uint64
	// AgeMS is how long ago the sender last had news of the instance.
	AgeMS uint32
}

// compare orders two records of one instance by boot and incarnation.
func (r *MemberRecord) compare(o *MemberRecord) int {
	switch {
	case r.Boot != o.Boot:
		return order(r.Boot, o.Boot)
	default:
		return order(r.Incarnation, o.Incarnation)
	}
}

func order(a, b uint64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// fingerprint covers the fields that an incarnation fixes.
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

// age returns AgeMS as a duration.
func (r *MemberRecord) age() time.Duration { return time.Duration(r.AgeMS) * time.Millisecond }

// toAgeMS turns a duration into milliseconds, within the bounds of the field.
func toAgeMS(d time.Duration) uint32 {
	ms := d.Milliseconds()
	return uint32(min(max(ms, 0), int64(^uint32(0))))
}

// ZoneSummary stands for all records of an availability zone. Two instances
// whose hashes are equal hold the same records in the same order, so that one
// byte tells how lately each member was heard.
type ZoneSummary struct {
	_    struct{} `cbor:",toarray"`
	Zone string
	// Hash covers the boots and incarnations of the members that are not gone.
	Hash uint32
	// Ages holds, for each of these members by ID, how long ago there was news
	// of it, in units of 100 ms; 255 stands for longer.
	Ages []byte
	// Oldest and Newest bound the revisions of the tables in force in the zone.
	Oldest uint64
	Newest uint64
}

// MemberMessage is what one instance sends to another.
type MemberMessage struct {
	_       struct{} `cbor:",toarray"`
	Self    MemberRecord
	Records []MemberRecord
	Zones   []ZoneSummary
	// Wants names availability zones whose records the sender asks for; the
	// empty name asks for all.
	Wants []string
}

// MemberSendKind says why a message is sent, for counters.
type MemberSendKind uint8

// The kinds of messages.
const (
	SendHeartbeat MemberSendKind = iota // to a member of the own zone
	SendBridge                          // to a delegate of another zone
	SendProbe                           // to a seed or a member that is gone
	SendTable                           // answer to a want
	SendWant                            // asks for records
	SendTell                            // tells a member of a verdict on it
	// SendKinds is the number of kinds.
	SendKinds
)

var memberSendNames = [...]string{"heartbeat", "bridge", "probe", "table", "want", "tell"}

// String returns the kind's name.
func (k MemberSendKind) String() string { return memberSendNames[k] }

// MemberSend is a message to send.
type MemberSend struct {
	Kind    MemberSendKind
	Address string
	// ID and Zone name the receiver if it is known.
	ID   string
	Zone string
	// Rank is the sender's rank among the delegates of its zone, for bridges.
	Rank    int
	Message *MemberMessage
}
