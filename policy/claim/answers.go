package claim

import "slices"

// answerCache limits the memory used by the bodies of answers. It evicts the
// oldest bodies first; they can be read again from the log.
type answerCache struct {
	limit       int     // bytes of bodies
	used        int     // bytes of bodies
	oldestFirst []*Slot // slots with a body
}

// add caches the answer of a slot and evicts the oldest ones beyond the limit.
func (a *answerCache) add(s *Slot) {
	s.Evicted = false
	a.oldestFirst = append(a.oldestFirst, s)
	a.used += len(s.Answer.Body)
	for a.used > a.limit && len(a.oldestFirst) > 0 {
		oldest := a.oldestFirst[0]
		a.oldestFirst = a.oldestFirst[1:]
		a.used -= len(oldest.Answer.Body)
		oldest.Evicted = len(oldest.Answer.Body) > 0
		oldest.Answer.Body = nil
	}
}

// removeIf removes the slots for which removable returns true.
func (a *answerCache) removeIf(removable func(*Slot) bool) {
	a.oldestFirst = slices.DeleteFunc(a.oldestFirst, func(s *Slot) bool {
		if !removable(s) {
			return false
		}
		a.used -= len(s.Answer.Body)
		return true
	})
}

// LimitAnswerBytes sets the maximum size of the answer bodies held in memory, in
// bytes. The default is no limit.
func (s *Shard) LimitAnswerBytes(bytes int) { s.answers.limit = bytes }

// RestoreAnswer puts an evicted answer back into its slot, from the record that
// holds it. It returns false if the slot has no evicted answer or the record
// does not hold it.
func (s *Shard) RestoreAnswer(id ID, r Record) bool {
	slot := s.slots[id]
	if slot == nil || !slot.Evicted || slot.AnswerOffset != r.Offset {
		return false
	}
	b, err := Decode(r.Data)
	if err != nil {
		return false
	}
	for _, e := range b.Entries {
		if e.Kind == KindOutcome && e.ID == id && e.Attempt == slot.Attempt {
			slot.Answer = *e.Answer
			s.answers.add(slot)
			return true
		}
	}
	return false
}
