package claim

import "slices"

// answers keeps the bodies of answers within a bound. Beyond it the oldest
// bodies are evicted; they stay on the log.
type answers struct {
	limit int // bytes
	bytes int
	order []*Slot // with a body, oldest first
}

// keep notes the answer of a slot, and evicts older ones as needed.
func (a *answers) keep(s *Slot) {
	s.Evicted = false
	a.order = append(a.order, s)
	a.bytes += len(s.Answer.Body)
	for a.bytes > a.limit && len(a.order) > 0 {
		oldest := a.order[0]
		a.order = a.order[1:]
		a.bytes -= len(oldest.Answer.Body)
		oldest.Evicted = len(oldest.Answer.Body) > 0
		oldest.Answer.Body = nil
	}
}

// drop forgets the slots that are gone.
func (a *answers) drop(gone func(*Slot) bool) {
	a.order = slices.DeleteFunc(a.order, func(s *Slot) bool {
		if !gone(s) {
			return false
		}
		a.bytes -= len(s.Answer.Body)
		return true
	})
}

// LimitAnswers bounds the bytes of the answers that the fold keeps. Without a
// limit it keeps all.
func (s *Shard) LimitAnswers(bytes int) { s.answers.limit = bytes }

// Restore gives an evicted answer back to its slot, from the record that holds
// it. It reports whether the record does.
func (s *Shard) Restore(id ID, r Record) bool {
	slot := s.slots[id]
	if slot == nil || !slot.Evicted || slot.Stored != r.Offset {
		return false
	}
	b, err := Decode(r.Data)
	if err != nil {
		return false
	}
	for _, e := range b.Entries {
		if e.Kind == KindOutcome && e.ID == id && e.Attempt == slot.Attempt {
			slot.Answer = *e.Answer
			s.answers.keep(slot)
			return true
		}
	}
	return false
}
