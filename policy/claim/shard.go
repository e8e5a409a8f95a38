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

// sweepParts is the number of sweeps within the time that a key is remembered.
const sweepParts = 8

// Shard folds the records of one stream. It is not safe for concurrent use.
type Shard struct {
	rules Rules
	slots map[ID]*Slot
	next  uint64
	// whole is true if the fold began with the stream's first record.
	whole bool
	// start and last are the times of the first and the newest record folded.
	start, last time.Time
	// foreign is the time of the newest record of other rules.
	foreign time.Time
	swept   time.Time
	answers answers
}

// NewShard makes a fold that expects the stream's record at the offset first,
// which is 1 unless older records are gone.
func NewShard(rules Rules, first uint64) *Shard {
	return &Shard{rules: rules, slots: make(map[ID]*Slot), next: max(1, first), whole: first <= 1, answers: answers{limit: math.MaxInt}}
}

// Next returns the offset of the record that the fold expects.
func (s *Shard) Next() uint64 { return s.next }

// Last returns the time of the newest record folded, zero if there is none.
func (s *Shard) Last() time.Time { return s.last }

// Len returns the number of keys remembered.
func (s *Shard) Len() int { return len(s.slots) }

// MarkIncomplete forgets that the fold began with the stream's first record, after
// the log has lost records that it had.
func (s *Shard) MarkIncomplete() { s.whole = false }

// Apply folds the next record. Records other than the next one are ignored.
// The error says that the record holds no entries for this fold; the fold
// goes on behind it.
func (s *Shard) Apply(r Record) (Batch, error) {
	if r.Offset != s.next {
		return Batch{}, nil
	}
	s.next++
	if s.start.IsZero() {
		s.start = r.Time
	}
	if r.Time.After(s.last) {
		s.last = r.Time
	}
	b, err := Decode(r.Data)
	if err == ErrVersion || (err == nil && b.Rules != s.rules.Fingerprint()) {
		s.foreign = s.last
		return Batch{}, ErrVersion
	}
	if err != nil {
		return Batch{}, err
	}
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
		if s.early(slot) {
			return
		}
		if s.old(slot) && (e.Kind == KindClaim || e.Kind == KindDoubt) {
			return
		}
		s.slots[e.ID] = slot
	}
	switch e.Kind {
	case KindClaim:
		s.claim(slot, e)
	case KindRelease:
		slot.release(e.Attempt, s.last)
	case KindOutcome:
		if slot.finish(e, s.last, s.next-1) {
			s.answers.keep(slot)
		}
	case KindDoubt:
		slot.doubt(e)
	case KindSettle:
		slot.settle(e, s.last)
	case KindCarry:
		if s.fresh(e) {
			slot.carry(e, s.last)
		}
	}
}

// fresh reports whether the fold remembers every end of the carried claim that
// its writer could not know of.
func (s *Shard) fresh(e Entry) bool {
	asOf := time.UnixMilli(e.Origin.AsOfMS)
	return s.last.Sub(asOf) <= s.rules.Span() && (s.whole || s.start.Before(asOf))
}

// claim applies the window by the log's time, so that no clock of an instance
// counts.
func (s *Shard) claim(slot *Slot, e Entry) {
	if s.old(slot) {
		return
	}
	slot.claim(e, s.last)
	if slot.Attempt == e.Attempt && slot.State == Held {
		slot.firm = slot.firm || s.covers(slot.Claimed)
	}
}

// early reports whether a key's time is too far ahead of the log's. Entries of
// such a key count for nothing, so that all that counts lies within the span.
func (s *Shard) early(slot *Slot) bool { return slot.keyTime.Sub(s.last) > s.rules.Skew }

// old reports whether a key can no longer be claimed, by the log's time.
func (s *Shard) old(slot *Slot) bool { return s.last.Sub(slot.keyTime) > s.rules.Window }

// gone reports whether a slot need not be remembered: its key can no longer be
// claimed, nobody has to end it, and no carried entry from before its end counts.
func (s *Shard) gone(slot *Slot) bool {
	return !slot.unfinished() && s.last.Sub(slot.keyTime) > s.rules.Span() && s.last.Sub(slot.ended) > s.rules.Span()
}

// sweep forgets what is gone, from time to time.
func (s *Shard) sweep() {
	if s.last.Sub(s.swept) < s.rules.Span()/sweepParts {
		return
	}
	s.swept = s.last
	s.answers.drop(s.gone)
	maps.DeleteFunc(s.slots, func(_ ID, slot *Slot) bool { return s.gone(slot) })
}

// covers reports whether the fold has seen every record that could hold
// another accepted claim of a key claimed at the time, all by its own rules.
func (s *Shard) covers(claimed time.Time) bool {
	from := claimed.Add(-s.rules.Span())
	if !s.foreign.IsZero() && !s.foreign.Before(from) {
		return false
	}
	return s.whole || (!s.start.IsZero() && s.start.Before(from))
}

// Unfinished returns the claims without an end, sorted by key.
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

// Carry returns the entries that restate the unfinished claims which were not
// stated within the interval before the newest record.
func (s *Shard) Carry(interval time.Duration) []Entry {
	var out []Entry
	for _, slot := range s.Unfinished() {
		if slot.firm && s.last.Sub(slot.stated) >= interval {
			out = append(out, slot.restated(s.last))
		}
	}
	return out
}
