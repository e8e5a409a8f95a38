package policy

import "strconv"

// EventSequence follows the IDs of the events of a stream that the caller has, and decides
// whether another server's answer continues the stream right after the last of them.
//
// IDs increase. Where they are integers with a constant difference, as far as it is known, a
// missing event shows. The zero value is a stream of which the caller has nothing.
type EventSequence struct {
	last   string
	number int64
	// step is the difference between consecutive IDs; 0 if it is unknown or varies.
	step int64
	// steps is the number of differences seen.
	steps int
	kind  sequenceKind
}

// sequenceKind tells what is known of the last ID.
type sequenceKind int

const (
	sequenceEmpty sequenceKind = iota
	sequenceNumbered
	// sequenceNamed: the ID is no integer.
	sequenceNamed
	// sequenceLost: the last event has no ID, so that nothing can continue the stream.
	sequenceLost
)

// Resume starts the sequence after the last event that the caller has of a stream that
// it received earlier.
func (s *EventSequence) Resume(id string) {
	*s = EventSequence{last: id, kind: sequenceNamed}
	if n, err := strconv.ParseInt(id, 10, 64); err == nil {
		s.number, s.kind = n, sequenceNumbered
	}
}

// Add adds an event that is sent to the caller. hasID is false if it has no ID.
func (s *EventSequence) Add(id string, hasID bool) {
	before := *s
	if !hasID {
		s.kind = sequenceLost
		return
	}
	s.Resume(id)
	if s.kind != sequenceNumbered {
		return
	}
	switch {
	case before.kind == sequenceEmpty && (s.number == 0 || s.number == 1):
		s.step = 1
	case before.kind == sequenceNumbered:
		s.step, s.steps = s.number-before.number, before.steps+1
		if before.steps > 0 && before.step != s.step {
			s.step = 0
		}
	}
}

// LastID returns the ID of the last event, after which a server may continue the stream. It
// is empty if the caller has nothing or the last event has no ID.
func (s *EventSequence) LastID() string {
	if s.kind == sequenceEmpty || s.kind == sequenceLost {
		return ""
	}
	return s.last
}

// Continues reports whether an event directly follows the last one, as far as their IDs
// tell. Any event may be the first.
func (s *EventSequence) Continues(id string, hasID bool) bool {
	n, err := strconv.ParseInt(id, 10, 64)
	switch s.kind {
	case sequenceEmpty:
		return true
	case sequenceNumbered:
		return hasID && err == nil && n > s.number && (s.step <= 0 || n-s.number == s.step)
	case sequenceNamed:
		return hasID && id != s.last
	}
	return false
}
