package policy

import (
	"bytes"
	"time"
)

// Digest is the whole state of one kind at one instance, its origin.
type Digest struct {
	_      struct{} `cbor:",toarray"`
	Origin string
	Kind   string
	// Version grows with every change, also over starts of the origin.
	Version uint64
	// AgeMS is how long ago the origin said it.
	AgeMS uint32
	// Urgent is true if the digest changes seldom.
	Urgent  bool
	Payload []byte
}

// Times of the spread of digests.
const (
	digestCalm          = 5 * time.Second        // between changes of a digest that is urgent
	digestRepeat        = time.Second            // after which a change is sent a second time
	digestCopies        = 2                      // copies of each change to each receiver
	digestRefresh       = 10 * time.Second       // between copies of an unchanged digest, within the zone
	digestRemoteRefresh = 60 * time.Second       // between copies of an unchanged digest, to and from other zones
	digestRemoteGap     = 2 * time.Second        // between changes of one digest, to another zone
	digestRemotePace    = 200 * time.Millisecond // stretches that gap, for each digest known
	digestBackupFactor  = 3                      // stretches it at delegates after the first
	digestOverhead      = 26                     // bytes of a digest besides its texts
	maxDigests          = 16384
	// paceWeight is the weight of the last change in the smoothed time between
	// changes: 1/4.
	paceWeight = 4
)

// DigestTable holds the newest digest of each origin and kind and decides which
// to send to whom. An instance tells its own zone of its own digests; the
// delegates of a zone carry the zone's digests to other zones; the instance
// that gets one from another zone first passes it on within its own. A digest
// that changes seldom is urgent and goes out at once; one that changes all the
// time crosses zones the less often the more digests there are, so that the
// cost to an instance stays flat.
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
	digest Digest
	born   time.Time
	pace   time.Duration // smoothed time between changes, of own digests
	zone   string
	// relay is true for a digest of another zone that came straight from there.
	relay bool
	sent  map[string]digestMark
}

// digestMark says what a receiver was sent last.
type digestMark struct {
	version uint64
	at      time.Time
	copies  int
}

// DigestReceiver is the instance that digests are chosen for.
type DigestReceiver struct {
	ID, Zone string
	// Rank is the sender's rank among the delegates of its zone.
	Rank int
}

// NewDigestTable makes an empty table of an instance.
func NewDigestTable(self, zone string) *DigestTable {
	return &DigestTable{self: self, zone: zone, entries: make(map[digestKey]*digestEntry)}
}

// Publish sets a digest of the instance itself. It reports whether the digest
// is a new and urgent one.
func (t *DigestTable) Publish(now time.Time, kind string, payload []byte) bool {
	key := digestKey{t.self, kind}
	e := t.entries[key]
	if e != nil && bytes.Equal(e.digest.Payload, payload) {
		return false
	}
	if e == nil {
		e = t.add(key, t.zone)
		e.pace = paceWeight * digestCalm
	} else {
		e.pace += (now.Sub(e.born) - e.pace) / paceWeight
	}
	version := max(e.digest.Version+1, uint64(now.UnixMilli()))
	urgent := e.pace >= digestCalm
	e.digest = Digest{Origin: t.self, Kind: kind, Version: version, Urgent: urgent, Payload: bytes.Clone(payload)}
	e.born = now
	return urgent
}

// Receive takes a digest that came from an instance of the zone from; home is
// the zone of its origin. It reports whether it is news. Urgent news that
// crossed zones are to be passed on at once.
func (t *DigestTable) Receive(now time.Time, d Digest, from, home string) (news, urgent bool) {
	key := digestKey{d.Origin, d.Kind}
	e := t.entries[key]
	if d.Origin == t.self || (e != nil && d.Version <= e.digest.Version) {
		return false, false
	}
	if e == nil {
		if len(t.list) >= maxDigests {
			return false, false
		}
		e = t.add(key, home)
	}
	e.digest = d
	e.born = now.Add(-time.Duration(d.AgeMS) * time.Millisecond)
	e.zone = home
	e.relay = home != t.zone && from != t.zone
	return true, e.relay && d.Urgent
}

func (t *DigestTable) add(key digestKey, zone string) *digestEntry {
	e := &digestEntry{zone: zone, sent: make(map[string]digestMark)}
	t.entries[key] = e
	t.list = append(t.list, e)
	return e
}

// Age returns how long ago the origin said the digest that is held.
func (t *DigestTable) Age(now time.Time, origin, kind string) time.Duration {
	if e := t.entries[digestKey{origin, kind}]; e != nil {
		return now.Sub(e.born)
	}
	return 0
}

// Take returns the digests that are due to a receiver, up to a number of bytes,
// urgent ones first.
func (t *DigestTable) Take(now time.Time, to DigestReceiver, limit int) []Digest {
	var out []Digest
	start := t.cursor
	for _, urgent := range []bool{true, false} {
		for i := range t.list {
			e := t.list[(start+i)%len(t.list)]
			if e.digest.Urgent != urgent || !t.concerns(e, to) || !t.due(e, now, to) {
				continue
			}
			size := e.size()
			if size > limit {
				t.cursor = (start + i) % len(t.list)
				return out
			}
			limit -= size
			e.mark(now, to.ID)
			d := e.digest
			d.AgeMS = toAgeMS(now.Sub(e.born))
			out = append(out, d)
		}
	}
	return out
}

// size bounds the encoded size of the digest from above.
func (e *digestEntry) size() int {
	return digestOverhead + len(e.digest.Origin) + len(e.digest.Kind) + len(e.digest.Payload)
}

// concerns reports whether it falls to this instance to send the digest there.
func (t *DigestTable) concerns(e *digestEntry, to DigestReceiver) bool {
	if to.Zone == t.zone {
		return e.digest.Origin == t.self || e.relay
	}
	return e.zone == t.zone
}

// due reports whether the receiver should get the digest now.
func (t *DigestTable) due(e *digestEntry, now time.Time, to DigestReceiver) bool {
	m, sent := e.sent[to.ID]
	since := now.Sub(m.at)
	remote := to.Zone != t.zone
	switch {
	case !sent:
		return true
	case m.version != e.digest.Version:
		return !remote || e.digest.Urgent || since >= t.remoteGap(to.Rank)
	case m.copies < digestCopies:
		return e.digest.Urgent && since >= digestRepeat
	case remote || e.relay:
		return since >= digestRemoteRefresh
	}
	return since >= digestRefresh
}

// remoteGap is the least time between changes of a digest to another zone.
func (t *DigestTable) remoteGap(rank int) time.Duration {
	gap := max(digestRemoteGap, time.Duration(len(t.list))*digestRemotePace)
	if rank > 0 {
		gap *= digestBackupFactor
	}
	return gap
}

func (e *digestEntry) mark(now time.Time, id string) {
	m := e.sent[id]
	if m.version != e.digest.Version {
		m = digestMark{version: e.digest.Version}
	}
	m.copies++
	m.at = now
	e.sent[id] = m
}

// Keep forgets the origins and receivers for which known is false.
func (t *DigestTable) Keep(known func(id string) bool) {
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
