package claim

import (
	"maps"
	"math"
	"slices"
	"strings"
	"time"
)

// Record is one record of a shard's stream.
type Record struct {
	Offset uint64
	Time   time.Time
	Data   []byte
}

// sweepsPerSpan is the number of sweeps within Rules.Span.
const sweepsPerSpan = 8

// Shard is the state of the keys of one log stream. It is not safe for
// concurrent use.
type Shard struct {
	rules Rules
	slots map[ID]*Slot
	next  uint64
	// complete is true if the first record of the stream was applied.
	complete bool
	// firstTime and lastTime are the times of the first and the newest record applied.
	firstTime, lastTime time.Time
	// lastIncompatible is the time of the newest record of another version or
	// written under other rules.
	lastIncompatible time.Time
	// era is that of the log, or 0 if it states none; batchEra is the latest one of a
	// batch applied.
	era, batchEra uint64
	// lossEnd is the offset of the first record after a loss that was noticed without an
	// era, until that record is applied.
	lossEnd uint64
	// lostUntil is the time of the first record after the last loss.
	lostUntil time.Time
	lastSweep time.Time
	answers   answerCache
}

// NewShard returns an empty state. The next record to apply is the one at offset
// first, which is 1 unless the log has dropped older records. era is the era of the log: 1
// more than the number of times it was restored from an older copy, or 0 if it states none.
func NewShard(rules Rules, first, era uint64) *Shard {
	return &Shard{rules: rules, slots: make(map[ID]*Slot), next: max(1, first), complete: first <= 1, era: era, answers: answerCache{limit: math.MaxInt}}
}

// Era returns the era of the log for which the state was built.
func (s *Shard) Era() uint64 { return s.era }

// Next returns the offset of the next record to apply.
func (s *Shard) Next() uint64 { return s.next }

// LastTime returns the time of the newest record applied, or the zero time if
// there is none.
func (s *Shard) LastTime() time.Time { return s.lastTime }

// Len returns the number of keys in the state.
func (s *Shard) Len() int { return len(s.slots) }

// MarkLost records that the log has lost records, and that the next one it gets has the
// offset next. A loss that shows by a later era need not be marked.
func (s *Shard) MarkLost(next uint64) { s.lossEnd = next }

// Apply applies the next record and returns its batch. It ignores a record that
// is not the next one. A record that cannot be decoded, or was written under
// other rules, is skipped with an error; Next advances past it.
func (s *Shard) Apply(r Record) (Batch, error) {
	if r.Offset != s.next {
		return Batch{}, nil
	}
	s.next++
	if s.firstTime.IsZero() {
		s.firstTime = r.Time
	}
	if s.lossEnd > 0 && r.Offset >= s.lossEnd {
		s.lostUntil, s.lossEnd = r.Time, 0
	}
	if r.Time.After(s.lastTime) {
		s.lastTime = r.Time
	}
	b, err := Decode(r.Data)
	if err == ErrVersion || (err == nil && b.Rules != s.rules.Fingerprint()) {
		s.lastIncompatible = s.lastTime
		return Batch{}, ErrVersion
	}
	if err != nil {
		return Batch{}, err
	}
	if b.Era > max(s.batchEra, firstEra) {
		s.lostUntil = r.Time
	}
	s.batchEra = max(s.batchEra, b.Era)
	for _, e := range b.Entries {
		s.apply(e)
	}
	s.sweep()
	return b, nil
}

func (s *Shard) apply(e Entry) {
	_, keyTime, err := ParseKey(e.ID.Key)
	if err != nil {
		return
	}
	slot := s.slots[e.ID]
	if slot == nil {
		slot = &Slot{ID: e.ID, keyTime: keyTime}
		if s.keyAhead(slot) {
			return
		}
		if s.keyExpired(slot) && (e.Kind == KindClaim || e.Kind == KindDoubt) {
			return
		}
		s.slots[e.ID] = slot
	}
	switch e.Kind {
	case KindClaim:
		s.claim(slot, e)
	case KindRelease:
		slot.release(e.Attempt, s.lastTime)
	case KindOutcome:
		if slot.finish(e, s.lastTime, s.next-1) {
			s.answers.add(slot)
		}
	case KindDoubt:
		slot.markInDoubt(e)
	case KindSettle:
		slot.settle(e, s.lastTime)
	case KindRestate:
		if s.restatementApplies(e) {
			slot.restate(e, s.lastTime)
		}
	}
}

// restatementApplies reports whether a restatement may be applied: the state must
// hold every end of the claim that the writer of the entry could not have read.
func (s *Shard) restatementApplies(e Entry) bool {
	readUpTo := time.UnixMilli(e.Origin.ReadUpToMS)
	return s.lastTime.Sub(readUpTo) <= s.rules.Span() && (s.complete || s.firstTime.Before(readUpTo))
}

// claim checks the window against the log time, so that the clocks of instances
// have no influence.
func (s *Shard) claim(slot *Slot, e Entry) {
	if s.keyExpired(slot) {
		return
	}
	slot.claim(e, s.lastTime)
	if slot.Attempt == e.Attempt && slot.State == Held {
		slot.covered = slot.covered || s.covers(slot, slot.Claimed)
	}
}

// keyAhead reports whether a key's time is too far ahead of the log time. Entries
// of such a key are ignored, so that all accepted claims of a key lie within Span.
func (s *Shard) keyAhead(slot *Slot) bool { return slot.keyTime.Sub(s.lastTime) > s.rules.Skew }

// keyExpired reports whether a key is too old to be claimed, by the log time.
func (s *Shard) keyExpired(slot *Slot) bool { return s.lastTime.Sub(slot.keyTime) > s.rules.Window }

// removable reports whether a slot can be removed: its key can no longer be
// claimed, it is not unfinished, and a restatement written before its end would
// no longer be applied.
func (s *Shard) removable(slot *Slot) bool {
	return !slot.unfinished() && s.lastTime.Sub(slot.keyTime) > s.rules.Span() && s.lastTime.Sub(slot.ended) > s.rules.Span()
}

// sweep removes removable slots, at most sweepsPerSpan times per Span.
func (s *Shard) sweep() {
	if s.lastTime.Sub(s.lastSweep) < s.rules.Span()/sweepsPerSpan {
		return
	}
	s.lastSweep = s.lastTime
	s.answers.removeIf(s.removable)
	maps.DeleteFunc(s.slots, func(_ ID, slot *Slot) bool { return s.removable(slot) })
}

// covers reports whether the shard has read every record that could hold another
// accepted claim of a key claimed at the given time, all under its own rules.
func (s *Shard) covers(slot *Slot, claimed time.Time) bool {
	if s.mayBeLost(slot) {
		return false
	}
	from := claimed.Add(-s.rules.Span())
	if !s.lastIncompatible.IsZero() && !s.lastIncompatible.Before(from) {
		return false
	}
	return s.complete || (!s.firstTime.IsZero() && s.firstTime.Before(from))
}

// mayBeLost reports whether the log may have lost a claim of the key. No claim is accepted
// before the key's time less Skew, and a loss precedes the first batch of its era.
func (s *Shard) mayBeLost(slot *Slot) bool {
	if s.lossEnd > 0 || s.era > max(s.batchEra, firstEra) {
		return true
	}
	return !s.lostUntil.IsZero() && !s.lostUntil.Before(slot.keyTime.Add(-s.rules.Skew))
}

// Unfinished returns the claims that are held or in doubt, sorted by key.
func (s *Shard) Unfinished() []Slot {
	var out []Slot
	for _, slot := range s.slots {
		if slot.unfinished() {
			out = append(out, *slot)
		}
	}
	slices.SortFunc(out, func(a, b Slot) int { return strings.Compare(a.ID.Key, b.ID.Key) })
	return out
}

// RestatementsDue returns restatements of the unfinished claims whose newest
// record is at least the interval older than the newest record of the stream.
func (s *Shard) RestatementsDue(interval time.Duration) []Entry {
	var out []Entry
	for _, slot := range s.Unfinished() {
		if slot.covered && s.lastTime.Sub(slot.recorded) >= interval {
			out = append(out, slot.restatement(s.lastTime))
		}
	}
	return out
}
