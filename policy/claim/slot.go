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
	// InDoubt: the holder reported that the request may have run.
	InDoubt
	// Settled: an operator decided whether the request ran.
	Settled
)

// Slot is the state of one key.
type Slot struct {
	ID      ID      `cbor:"1,keyasint"`
	State   State   `cbor:"2,keyasint"`
	Attempt Attempt `cbor:"3,keyasint"`
	Origin  Origin  `cbor:"4,keyasint"`
	// Claimed is the log time of the claim that won.
	Claimed    time.Time  `cbor:"5,keyasint"`
	Answer     Answer     `cbor:"6,keyasint"`
	Why        string     `cbor:"7,keyasint"`
	Settlement Settlement `cbor:"8,keyasint"`
	// AnswerOffset is the offset of the record that holds the answer. Evicted is
	// true if the body is no longer in memory.
	AnswerOffset uint64 `cbor:"9,keyasint"`
	Evicted      bool   `cbor:"10,keyasint"`

	keyTime time.Time
	// recorded is the log time of the newest record with the claim or a restatement
	// of it.
	recorded time.Time
	// seen are the attempts that can no longer win, because a claim or an end of
	// theirs is on the log.
	seen []Attempt
	// ended is the log time of the claim's end.
	ended time.Time
	// covered is true unless older records that were not read could have ended the
	// claim.
	covered bool
	// bodyBound is true once a claim has bound the key to a body hash.
	bodyBound bool
}

// unfinished reports whether the claim still needs an outcome, a release or a
// settlement.
func (s *Slot) unfinished() bool { return s.State == Held || s.State == InDoubt }

// markSeen records an attempt and reports whether it is new.
func (s *Slot) markSeen(a Attempt) bool {
	if slices.Contains(s.seen, a) {
		return false
	}
	s.seen = append(s.seen, a)
	return true
}

// claim gives the key to the attempt if the key is free.
func (s *Slot) claim(e Entry, at time.Time) {
	if !s.markSeen(e.Attempt) || s.State != Free {
		return
	}
	if s.bodyBound && s.Origin.BodyHash != e.Origin.BodyHash {
		return
	}
	s.hold(e, at, at)
}

// hold makes the attempt of a claim or restatement the holder. claimed is the log
// time of the claim, recorded that of the record with the entry.
func (s *Slot) hold(e Entry, claimed, recorded time.Time) {
	s.State = Held
	s.Attempt = e.Attempt
	s.Origin = *e.Origin
	s.Answer, s.Why, s.Settlement = Answer{}, "", Settlement{}
	s.Claimed = claimed
	s.recorded = recorded
	s.bodyBound = true
	s.covered = false
}

// markEnded prevents an attempt whose end is on the log from winning. The record
// of the claim itself may not have been read.
func (s *Slot) markEnded(a Attempt, at time.Time) {
	s.markSeen(a)
	s.ended = at
}

// release frees the key if the attempt holds it.
func (s *Slot) release(a Attempt, at time.Time) {
	s.markEnded(a, at)
	if s.State == Held && s.Attempt == a {
		s.State = Free
	}
}

// finish stores the outcome and reports whether it is new. An outcome also
// replaces a settlement, since the holder's report is more reliable than an
// operator's decision.
func (s *Slot) finish(e Entry, at time.Time, offset uint64) bool {
	s.markEnded(e.Attempt, at)
	if s.Attempt != e.Attempt || s.State == Free || s.State == Done {
		return false
	}
	s.State = Done
	s.Answer = *e.Answer
	s.AnswerOffset = offset
	return true
}

// markInDoubt records that the request of the attempt may have run.
func (s *Slot) markInDoubt(e Entry) {
	if s.State == Held && s.Attempt == e.Attempt {
		s.State = InDoubt
		s.Why = e.Why
	}
}

// settle ends an unfinished claim with an operator's decision.
func (s *Slot) settle(e Entry, at time.Time) {
	s.markEnded(e.Attempt, at)
	if s.unfinished() && s.Attempt == e.Attempt {
		s.State = Settled
		s.Settlement = *e.Settlement
	}
}

// restate applies a restatement. The record of the claim itself may be gone.
func (s *Slot) restate(e Entry, at time.Time) {
	if s.unfinished() && s.Attempt == e.Attempt {
		s.recorded, s.covered = at, true
		return
	}
	if s.State != Free || !s.markSeen(e.Attempt) {
		return
	}
	s.hold(e, time.UnixMilli(e.Origin.ClaimedMS), at)
	s.covered = true
	if e.Why != "" {
		s.State = InDoubt
		s.Why = e.Why
	}
}

// restatement returns an entry that restates the claim. readUpTo is the log time of
// the newest record read.
func (s *Slot) restatement(readUpTo time.Time) Entry {
	origin := s.Origin
	origin.ClaimedMS = s.Claimed.UnixMilli()
	origin.ReadUpToMS = readUpTo.UnixMilli()
	return Entry{Kind: KindRestate, ID: s.ID, Attempt: s.Attempt, Origin: &origin, Why: s.Why}
}
