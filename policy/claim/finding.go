package claim

import "slices"

// Verdict is the result of an attempt to claim a key.
type Verdict uint8

// The verdicts.
const (
	// Available: the key is free and the attempt is not on the log.
	Available Verdict = iota
	// Won: the attempt holds the key and may run.
	Won
	// Uncovered: the shard has not read the older records that could change the
	// verdict.
	Uncovered
	// AttemptUsed: the attempt can never win, but the key is free for a new one.
	AttemptUsed
	// KeyTime: the key has no valid time, or is older than the window by the log
	// time.
	KeyTime
	// KeyReused: the key was claimed with another body.
	KeyReused
	// Taken: the key is not free and the attempt does not hold it; Slot.State is its
	// state.
	Taken
)

// Finding is the result of a lookup in the shard state.
type Finding struct {
	Verdict Verdict `cbor:"1,keyasint"`
	Slot    Slot    `cbor:"2,keyasint"`
	// KeyAhead is true if the key's time is too far ahead of the newest record's.
	// Entries of the key up to that record were ignored.
	KeyAhead bool `cbor:"3,keyasint"`
}

// Find looks up an attempt to claim a key for a request body. With the zero
// attempt it looks up only the state of the key.
func (s *Shard) Find(id ID, a Attempt, body Hash) Finding {
	_, keyTime, err := ParseKey(id.Key)
	if err != nil {
		return Finding{Verdict: KeyTime}
	}
	slot := s.slots[id]
	if slot == nil {
		slot = &Slot{ID: id, keyTime: keyTime}
	}
	f := Finding{Verdict: s.verdict(slot, a, body), Slot: *slot, KeyAhead: s.keyAhead(slot)}
	f.Slot.seen = nil
	if a != (Attempt{}) && !s.conclusive(slot, f.Verdict) {
		f.Verdict = Uncovered
	}
	return f
}

// conclusive reports whether the verdict on an attempt holds regardless of older
// records that the shard has not read.
func (s *Shard) conclusive(slot *Slot, v Verdict) bool {
	switch {
	case v == Available || slot.State == Done:
		return true
	case slot.bodyBound:
		return slot.covered
	case v == KeyTime:
		// No claim of the key is accepted before its time less Skew or after its
		// time plus Window. The shard has to cover that whole span.
		return s.covers(slot, slot.keyTime.Add(s.rules.Window))
	}
	return true
}

func (s *Shard) verdict(slot *Slot, a Attempt, body Hash) Verdict {
	switch {
	case slot.bodyBound && slot.Origin.BodyHash != body:
		return KeyReused
	case slot.State == Held && slot.Attempt == a:
		return Won
	case slot.State != Free:
		return Taken
	case s.keyExpired(slot):
		return KeyTime
	case !slices.Contains(slot.seen, a):
		return Available
	}
	return AttemptUsed
}
