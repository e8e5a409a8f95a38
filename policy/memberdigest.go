package policy

import (
	"bytes"
	"time"
)

// Digest is a full snapshot of one kind of state at one instance, its origin.
type Digest struct {
	_      struct{} `cbor:",toarray"`
	Origin string
	Kind   string
	// Version grows with every change, also across restarts of the origin.
	Version uint64
	// AgeMS is the time in milliseconds since the origin published the digest.
	AgeMS uint32
	// Urgent is true if the digest changes rarely, so that each change is sent
	// at once.
	Urgent  bool
	Payload []byte
}

// Timing and limits of digest gossip.
const (
	digestUrgentInterval     = 5 * time.Second        // minimum smoothed time between changes of an urgent digest
	digestResendDelay        = time.Second            // until a change of an urgent digest is sent again
	digestCopies             = 2                      // transmissions of each urgent change to each receiver
	digestRefresh            = 10 * time.Second       // between transmissions of an unchanged urgent digest, within the zone
	digestRemoteRefresh      = 60 * time.Second       // between transmissions of an unchanged urgent digest, to and from other zones
	digestRemoteGap          = 2 * time.Second        // minimum time between changes of one digest, to another zone
	digestRemoteGapPerDigest = 200 * time.Millisecond // the same minimum per known digest; the longer time applies
	digestBackupFactor       = 3                      // multiplies the minimum at delegates other than the first
	digestOverheadBytes      = 26                     // encoded size without origin, kind and payload
	maxDigests               = 16384
	// changeIntervalDivisor sets the weight of the last interval in the smoothed
	// time between changes: 1/4.
	changeIntervalDivisor = 4
)

// DigestTable holds the newest digest of each origin and kind and decides which
// to send to whom. An instance sends its own digests within the local zone; the
// delegates of a zone send the zone's digests to other zones; the instance that
// receives a digest from another zone forwards it within the local zone. A digest
// that changes rarely is urgent and is sent at once. One that changes continuously
// is sent to other zones less often the more digests there are, so that the cost
// to an instance stays constant.
//
// It is not safe for concurrent use.
type DigestTable struct {
	self, zone string
	entries    map[digestKey]*digestEntry
	list       []*digestEntry
	cursor     int
}

type digestKey struct{ origin, kind string }

type digestEntry struct {
	digest         Digest
	publishedAt    time.Time
	changeInterval time.Duration // smoothed time between changes, of own digests
	zone           string
	// bridged is true if the digest's origin and the instance that sent it here are
	// both in other zones. This instance then forwards it within the local zone.
	bridged bool
	sent    map[string]digestSendState
}

// digestSendState is the version that was last sent to a receiver, with the time
// and the number of its transmissions.
type digestSendState struct {
	version uint64
	at      time.Time
	copies  int
}

// DigestReceiver identifies the instance that digests are sent to.
type DigestReceiver struct {
	ID, Zone string
	// Rank is the sender's index among the delegates of its zone for the
	// receiver's zone.
	Rank int
}

// NewDigestTable returns an empty table for the instance self.
func NewDigestTable(self, zone string) *DigestTable {
	return &DigestTable{self: self, zone: zone, entries: make(map[digestKey]*digestEntry)}
}

// Publish sets a digest of the instance itself. It reports whether the payload
// changed and the digest is urgent.
func (t *DigestTable) Publish(now time.Time, kind string, payload []byte) bool {
	key := digestKey{t.self, kind}
	e := t.entries[key]
	if e != nil && bytes.Equal(e.digest.Payload, payload) {
		return false
	}
	if e == nil {
		e = t.add(key, t.zone)
		e.changeInterval = changeIntervalDivisor * digestUrgentInterval
	} else {
		e.changeInterval += (now.Sub(e.publishedAt) - e.changeInterval) / changeIntervalDivisor
	}
	version := max(e.digest.Version+1, uint64(now.UnixMilli()))
	urgent := e.changeInterval >= digestUrgentInterval
	e.digest = Digest{Origin: t.self, Kind: kind, Version: version, Urgent: urgent, Payload: bytes.Clone(payload)}
	e.publishedAt = now
	return urgent
}

// Receive merges a digest that was sent by an instance of senderZone. It reports
// whether the digest is newer than the known one, and whether it is urgent and came
// from another zone, so that it should be forwarded at once.
func (t *DigestTable) Receive(now time.Time, d Digest, senderZone, originZone string) (newer, urgent bool) {
	key := digestKey{d.Origin, d.Kind}
	e := t.entries[key]
	if d.Origin == t.self || (e != nil && d.Version <= e.digest.Version) {
		return false, false
	}
	if e == nil {
		if len(t.list) >= maxDigests {
			return false, false
		}
		e = t.add(key, originZone)
	}
	e.digest = d
	e.publishedAt = now.Add(-time.Duration(d.AgeMS) * time.Millisecond)
	e.zone = originZone
	e.bridged = originZone != t.zone && senderZone != t.zone
	return true, e.bridged && d.Urgent
}

func (t *DigestTable) add(key digestKey, zone string) *digestEntry {
	e := &digestEntry{zone: zone, sent: make(map[string]digestSendState)}
	t.entries[key] = e
	t.list = append(t.list, e)
	return e
}

// Age returns the time since the origin published the digest that the table
// holds, or 0 if it holds none.
func (t *DigestTable) Age(now time.Time, origin, kind string) time.Duration {
	if e := t.entries[digestKey{origin, kind}]; e != nil {
		return now.Sub(e.publishedAt)
	}
	return 0
}

// Take returns the digests that are due to a receiver, urgent ones first, and
// records them as sent. limit is the maximum total size in bytes; digests beyond
// it are left for the next call.
func (t *DigestTable) Take(now time.Time, to DigestReceiver, limit int) []Digest {
	var out []Digest
	start := t.cursor
	for _, urgent := range []bool{true, false} {
		for i := range t.list {
			e := t.list[(start+i)%len(t.list)]
			if e.digest.Urgent != urgent || !t.responsibleFor(e, to) || !t.due(e, now, to) {
				continue
			}
			size := e.size()
			if size > limit {
				t.cursor = (start + i) % len(t.list)
				return out
			}
			limit -= size
			e.recordSent(now, to.ID)
			d := e.digest
			d.AgeMS = toAgeMS(now.Sub(e.publishedAt))
			out = append(out, d)
		}
	}
	return out
}

// size returns an upper bound of the digest's encoded size in bytes.
func (e *digestEntry) size() int {
	return digestOverheadBytes + len(e.digest.Origin) + len(e.digest.Kind) + len(e.digest.Payload)
}

// responsibleFor reports whether this instance has to send the digest to the
// receiver.
func (t *DigestTable) responsibleFor(e *digestEntry, to DigestReceiver) bool {
	if to.Zone == t.zone {
		return e.digest.Origin == t.self || e.bridged
	}
	return e.zone == t.zone
}

// due reports whether the receiver should get the digest now.
func (t *DigestTable) due(e *digestEntry, now time.Time, to DigestReceiver) bool {
	last, sent := e.sent[to.ID]
	since := now.Sub(last.at)
	remote := to.Zone != t.zone
	switch {
	case !sent:
		return true
	case last.version != e.digest.Version:
		return !remote || e.digest.Urgent || since >= t.remoteGap(to.Rank)
	case last.copies < digestCopies:
		return e.digest.Urgent && since >= digestResendDelay
	case remote || e.bridged:
		return since >= digestRemoteRefresh
	}
	return since >= digestRefresh
}

// remoteGap returns the minimum time between changes of one digest that are sent
// to another zone.
func (t *DigestTable) remoteGap(rank int) time.Duration {
	gap := max(digestRemoteGap, time.Duration(len(t.list))*digestRemoteGapPerDigest)
	if rank > 0 {
		gap *= digestBackupFactor
	}
	return gap
}

func (e *digestEntry) recordSent(now time.Time, id string) {
	state := e.sent[id]
	if state.version != e.digest.Version {
		state = digestSendState{version: e.digest.Version}
	}
	state.copies++
	state.at = now
	e.sent[id] = state
}

// Prune removes the digests of origins and the send states of receivers for which
// known is false.
func (t *DigestTable) Prune(known func(id string) bool) {
	kept := t.list[:0]
	for _, e := range t.list {
		if e.digest.Origin != t.self && !known(e.digest.Origin) {
			delete(t.entries, digestKey{e.digest.Origin, e.digest.Kind})
			continue
		}
		for id := range e.sent {
			if !known(id) {
				delete(e.sent, id)
			}
		}
		kept = append(kept, e)
	}
	clear(t.list[len(kept):])
	t.list = kept
	t.cursor = 0
}
