package claim

import "slices"

// Verdict says how a request stands to its key.
type Verdict uint8

// The verdicts.
const (
	// Open: the key is free and the attempt is not on the log.
	Open Verdict = iota
	// Won: the attempt holds the key and may run.
	Won
	// Uncovered: the fold lacks older records that could say otherwise.
	Uncovered
	// Spent: the attempt can never win, and the key is free for another one.
	Spent
	// KeyTime: the key is too old by the log's time.
	KeyTime
	// KeyReused: the key was claimed with another body.
	KeyReused
	// Taken: another attempt has the key; the slot's state says how it stands.
	Taken
)

// Finding is what a fold says about a request.
type Finding struct {
	Verdict Verdict `cbor:"1,keyasint"`
	Slot    Slot    `cbor:"2,keyasint"`
	// Early is true if the key's time is too far ahead of the newest record's,
	// so that entries up to that record did not count.
	Early bool `cbor:"3,keyasint"`
}

// Find returns how an attempt with a body stands to a key. The zero attempt
// asks for the key's state only.
func (s *Shard) Find(id ID, a Attempt, body Hash) Finding {
	_, keyTime, err := ParseKey(id.Key)
	if err != nil {
		return Finding{Verdict: KeyTime}
	}
	slot := s.slots[id]
	if slot == nil {
		slot = &Slot{ID: id, keyTime: keyTime}
	}
	f := Finding{Verdict: s.verdict(slot, a, body), Slot: *slot, Early: s.early(slot)}
	f.Slot.seen = nil
	if a != (Attempt{}) && !s.certain(slot, f.Verdict) {
		f.Verdict = Uncovered
	}
	return f
}

// certain reports whether older records, not folded here, cannot change a
// verdict on an attempt.
func (s *Shard) certain(slot *Slot, v Verdict) bool {
	switch {
	case v == Open || slot.State == Done:
		return true
	case slot.hashed:
		return slot.firm
	case v == KeyTime:
		return s.covers(slot.keyTime.Add(s.rules.Window))
	}
	return true
}

func (s *Shard) verdict(slot *Slot, a Attempt, body Hash) Verdict {
	switch {
	case slot.hashed && slot.Origin.BodyHash != body:
		return KeyReused
	case slot.State == Held && slot.Attempt == a:
		return Won
	case slot.State != Free:
		return Taken
	case s.old(slot):
		return KeyTime
	case !slices.Contains(slot.seen, a):
		return Open
	}
	return Spent
}
