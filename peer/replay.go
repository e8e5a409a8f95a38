package peer

import "time"

// replayWindow is the size of the window of sequence numbers, up to and including
// the highest, in which a datagram may arrive out of order.
const replayWindow = 1024

const wordBits = 64

// ReplayGuard rejects replayed datagrams. For each sender it keeps the newest boot
// number, policy.MemberRecord.Boot, and a sliding window of the sequence numbers that
// it has seen. It rejects a datagram if its boot number is lower, if its sequence
// number was seen before or is below the window, or if its timestamp differs from the
// local clock by more than MaxSkew. It is not safe for concurrent use.
type ReplayGuard struct {
	// MaxSkew is the largest accepted difference between the sender's timestamp
	// and the local clock.
	MaxSkew time.Duration
	senders map[string]*replaySender
}

type replaySender struct {
	boot    uint64
	highest uint64
	seen    [replayWindow / wordBits]uint64
}

// Accept reports whether the datagram is new, and records its sequence number.
func (g *ReplayGuard) Accept(now time.Time, d *Datagram) bool {
	sender, boot := d.Message.Self.ID, d.Message.Self.Boot
	skew := now.Sub(time.Unix(d.Header.SentAt, 0))
	if skew > g.MaxSkew || skew < -g.MaxSkew {
		return false
	}
	if g.senders == nil {
		g.senders = make(map[string]*replaySender)
	}
	s := g.senders[sender]
	if s == nil || boot > s.boot {
		s = &replaySender{boot: boot}
		g.senders[sender] = s
	}
	return boot == s.boot && s.accept(d.Header.Sequence)
}

func (s *replaySender) accept(n uint64) bool {
	if n > s.highest {
		s.advance(n)
	}
	if s.highest-n >= replayWindow {
		return false
	}
	word, bit := &s.seen[n%replayWindow/wordBits], uint64(1)<<(n%wordBits)
	if *word&bit != 0 {
		return false
	}
	*word |= bit
	return true
}

// advance moves the window up to a higher sequence number and clears the bits of
// the numbers that it passes.
func (s *replaySender) advance(n uint64) {
	if n-s.highest >= replayWindow {
		clear(s.seen[:])
		s.highest = n
		return
	}
	for s.highest < n {
		s.highest++
		s.seen[s.highest%replayWindow/wordBits] &^= 1 << (s.highest % wordBits)
	}
}

// Prune drops the state of the senders for which known returns false. Replayed
// datagrams of such a sender are still rejected once they are older than MaxSkew.
func (g *ReplayGuard) Prune(known func(id string) bool) {
	for id := range g.senders {
		if !known(id) {
			delete(g.senders, id)
		}
	}
}
