package peer

import "time"

// replayWindow is the number of sequence numbers below the highest within which
// a datagram may arrive late.
const replayWindow = 1024

const wordBits = 64

// ReplayGuard tells new datagrams from replayed ones. Of each sender it keeps
// the newest boot and a window of its sequence numbers: an older boot, a number
// seen before, one below the window, and a datagram made too long ago are
// refused. It is not safe for concurrent use.
type ReplayGuard struct {
	// MaxSkew bounds the difference between the sender's clock and this one.
	MaxSkew time.Duration
	senders map[string]*replaySender
}

type replaySender struct {
	boot    uint64
	highest uint64
	seen    [replayWindow / wordBits]uint64
}

// Accept reports whether the datagram is a new one, and notes it.
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

// advance moves the window up to a higher number.
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

// Forget drops the senders for which known is false. Their datagrams of the
// past are still refused once they are older than MaxSkew.
func (g *ReplayGuard) Forget(known func(id string) bool) {
	for id := range g.senders {
		if !known(id) {
			delete(g.senders, id)
		}
	}
}
