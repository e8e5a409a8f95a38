package policy

import "time"

// MinMemoryHold is the number of bytes up to which one message is not bound by the shares of
// its sender.
const MinMemoryHold = 64 << 10

// MemoryShares divides memory for messages among those who send them. A sender may hold a
// multiple of what is free, so that one that takes all it can leaves a part to others,
// however many they are (dynamic thresholds). Senders are members of groups, such as the
// servers of a service.
type MemoryShares struct {
	// Limit is the memory in bytes.
	Limit int64
	// GroupFactor and MemberFactor are the multiples of the free memory that a group and a
	// member of it may hold.
	GroupFactor, MemberFactor float64
	// StallTime is the time without progress from which a message yields to a larger one. 0
	// means that it does not.
	StallTime time.Duration
}

// MemoryScope says whose messages hold too much.
type MemoryScope int

// The scopes, from none to all messages.
const (
	MemoryFits MemoryScope = iota
	MemoryOfMember
	MemoryOfGroup
	MemoryOfAll
)

var memoryScopeNames = [...]string{"none", "member", "group", "all"}

// String returns the scope's name, for logs.
func (s MemoryScope) String() string { return memoryScopeNames[s] }

// Check returns whose messages hold too much once a message of hold bytes has grown by n.
// total, group and member are the bytes that all messages, and those of its group and of its
// member, hold before.
func (s MemoryShares) Check(total, group, member, hold, n int64) MemoryScope {
	free := s.Limit - total - n
	switch {
	case free < 0:
		return MemoryOfAll
	case hold+n <= MinMemoryHold:
		return MemoryFits
	case float64(member+n) > s.MemberFactor*float64(free):
		return MemoryOfMember
	case float64(group+n) > s.GroupFactor*float64(free):
		return MemoryOfGroup
	}
	return MemoryFits
}

// Yields reports whether a message that holds held bytes and has made no progress for a time
// ends, so that another may hold needed bytes: if it is the larger one or has stalled.
func (s MemoryShares) Yields(held, needed int64, still time.Duration) bool {
	return held > needed || s.StallTime > 0 && still >= s.StallTime
}
