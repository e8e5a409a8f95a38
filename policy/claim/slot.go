package claim

import (
	"slices"
	"time"
)

// State is the state of a key.
type State uint8

// The states of a key.
const (
	// Free: no attempt holds the key.
	Free State = iota
	// Held: an attempt won the key and its end is not on the log.
	Held
	// Done: the outcome is on the log.
	Done
	// InDoubt: the holder said that the request may have run.
	InDoubt
	// Settled: an operator gave a verdict.
	Settled
)

// Slot is the state of one key.
type Slot struct {
	ID      ID      `cbor:"1,keyasint"`
	State   State   `cbor:"2,keyasint"`
	Attempt Attempt `cbor:"3,keyasint"`
	Origin  Origin  `cbor:"4,keyasint"`
	// Claimed is the log's time of the claim that won.
	Claimed time.Time  `cbor:"5,keyasint"`
	Answer  Answer     `cbor:"6,keyasint"`
	Why     string     `cbor:"7,keyasint"`
	Verdict Settlement `cbor:"8,keyasint"`
	// Stored is the offset of the record that holds the answer, and Evicted is
	// true if the body is only there.
	Stored  uint64 `cbor:"9,keyasint"`
	Evicted bool   `cbor:"10,keyasint"`

	keyTime time.Time
	// stated is the log's time of the newest record that holds the claim whole.
	stated time.Time
	// seen are the attempts that can never win from now on.
	seen []Attempt
	// ended is the log's time of the claim's end.
	ended time.Time
	// firm is true unless older records, not folded here, could have ended the
	// claim before.
	firm bool
	// hashed is true once a claim has bound the key to a body.
	hashed bool
}

// unfinished reports whether somebody may still have to end the claim.
func (s *Slot) unfinished() bool { return s.State == Held || s.State == InDoubt }

func (s *Slot) see(a Attempt) bool {
	if slices.Contains(s.seen, a) {
		return false
	}
	s.seen = append(s.seen, a)
	return true
}

// claim lets an attempt hold the key if it is free.
func (s *Slot) claim(e Entry, at time.Time) {
	if !s.see(e.Attempt) || s.State != Free {
		return
	}
	if s.hashed && s.Origin.BodyHash != e.Origin.BodyHash {
		return
	}
	s.hold(e, at, at)
}

func (s *Slot) hold(e Entry, claimed, stated time.Time) {
	s.State = Held
	s.Attempt = e.Attempt
	s.Origin = *e.Origin
	s.Answer, s.Why, s.Verdict = Answer{}, "", Settlement{}
	s.Claimed = claimed
	s.stated = stated
	s.hashed = true
	s.firm = false
}

// over bars an attempt whose end is on the log. The claim itself may stand in
// records that are not folded here.
func (s *Slot) over(a Attempt, at time.Time) {
	s.see(a)
	s.ended = at
}

// release frees the key if the attempt holds it.
func (s *Slot) release(a Attempt, at time.Time) {
	s.over(a, at)
	if s.State == Held && s.Attempt == a {
		s.State = Free
	}
}

// finish keeps the outcome and reports whether it is a new one. It counts after
// a settlement too, since the holder's own word is better than an operator's
// finding.
func (s *Slot) finish(e Entry, at time.Time, offset uint64) bool {
	s.over(e.Attempt, at)
	if s.Attempt != e.Attempt || s.State == Free || s.State == Done {
		return false
	}
	s.State = Done
	s.Answer = *e.Answer
	s.Stored = offset
	return true
}

func (s *Slot) doubt(e Entry) {
	if s.State == Held && s.Attempt == e.Attempt {
		s.State = InDoubt
		s.Why = e.Why
	}
}

func (s *Slot) settle(e Entry, at time.Time) {
	s.over(e.Attempt, at)
	if s.unfinished() && s.Attempt == e.Attempt {
		s.State = Settled
		s.Verdict = *e.Settlement
	}
}

// carry takes over a claim whose own record may be gone.
func (s *Slot) carry(e Entry, at time.Time) {
	if s.unfinished() && s.Attempt == e.Attempt {
		s.stated, s.firm = at, true
		return
	}
	if s.State != Free || !s.see(e.Attempt) {
		return
	}
	s.hold(e, time.UnixMilli(e.Origin.ClaimedMS), at)
	s.firm = true
	if e.Why != "" {
		s.State = InDoubt
		s.Why = e.Why
	}
}

// restated returns the entry that carries the claim forward.
func (s *Slot) restated(asOf time.Time) Entry {
	origin := s.Origin
	origin.ClaimedMS = s.Claimed.UnixMilli()
	origin.AsOfMS = asOf.UnixMilli()
	return Entry{Kind: KindCarry, ID: s.ID, Attempt: s.Attempt, Origin: &origin, Why: s.Why}
}
