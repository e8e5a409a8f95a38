// Package membudget bounds the memory of messages whose senders may send without end. If a
// message does not fit, the largest one that may be ended in the same scope gives way, so
// that those without end do before others.
package membudget

import (
	"runtime/debug"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/savoryfold/savoryfold/policy"
)

// ErrNoMemory means that a message has to end, since it, or all messages, hold too much.
var ErrNoMemory = errors.New("no memory for the message")

// limitFraction is the fraction of the process's memory that is the soft limit of the garbage
// collector.
const limitFraction = 0.6

// LimitProcess sets the soft limit of the garbage collector for a process with a number of
// bytes of memory.
func LimitProcess(bytes int64) { debug.SetMemoryLimit(int64(limitFraction * float64(bytes))) }

// Budget is the memory for messages of one kind. It is safe for concurrent use.
type Budget struct {
	shares policy.MemoryShares
	// onRefuse is called with the scope in which the memory was used up. It must not call
	// the budget.
	onRefuse func(policy.MemoryScope)
	now      func() time.Time

	mu     sync.Mutex
	all    use               // guarded by mu
	groups map[string]*group // guarded by mu
	// queue holds those that wait for memory that is freed, in the order in which they get it.
	// Without an order, messages that grow without waiting would take it first; guarded by mu.
	queue []*waiter
	// lanes has the groups of those in queue; guarded by mu.
	lanes map[string]*lane
	// round is the number of searches for those to wake; guarded by mu.
	round uint64
}

// waiter is a message that waits. It comes before later ones of its group, and before all others
// if it waits for the memory of all. wake receives a value when it may be able to grow, or has to
// end.
type waiter struct {
	group string
	lane  *lane
	scope policy.MemoryScope
	wake  chan struct{}
}

// lane counts the messages of a group that wait. seen is the last round that found one of them.
type lane struct {
	waiting int
	seen    uint64
}

// use is the memory that messages hold. Of it, ending is that of messages that had to end and
// have not freed it yet.
type use struct{ bytes, ending int64 }

type group struct {
	use
	members map[string]*member
}

type member struct {
	use
	holds map[*Hold]bool
}

// endTime bounds the wait for the memory of messages that had to end. Their readers end at once,
// unless the process has no processor time.
const endTime = time.Second

// New returns a budget. onRefuse may be nil.
func New(shares policy.MemoryShares, onRefuse func(policy.MemoryScope)) *Budget {
	return &Budget{shares: shares, onRefuse: onRefuse, now: time.Now, groups: make(map[string]*group), lanes: make(map[string]*lane)}
}

// Bytes returns the memory of all messages.
func (b *Budget) Bytes() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.all.bytes
}

// Hold is the memory of one message. Its methods do nothing on nil.
type Hold struct {
	budget       *Budget
	group, label string

	// The following are guarded by budget.mu.
	bytes   int64
	ended   bool
	abandon func()
	// stalledOnly is true if the message may be abandoned only once it has stalled.
	stalledOnly bool
	// progress is when the message last grew or Progress was called.
	progress time.Time
	// waiting is not nil while Grow waits.
	waiting *waiter
}

// Open returns an empty hold for a message of a member of a group. Close must be called.
func (b *Budget) Open(groupName, memberName string) *Hold {
	return &Hold{budget: b, group: groupName, label: memberName}
}

// MayAbandon sets a function that ends the reading of the message at once, or nil while it
// must not end. It must not call the budget.
func (h *Hold) MayAbandon(abandon func()) {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.abandon, h.stalledOnly = abandon, false
}

// MayAbandonStalled sets a function as MayAbandon does, which is called only if the message
// makes no progress from now on.
func (h *Hold) MayAbandonStalled(abandon func()) {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.abandon, h.stalledOnly, h.progress = abandon, true, h.budget.now()
}

// Grow adds n bytes to the memory of the message. The error is ErrNoMemory if they do not
// fit; the message must end then. If other messages have to end for it, Grow waits until these
// have freed their memory, for endTime at most.
func (h *Hold) Grow(n int64) error {
	if h == nil || n <= 0 {
		return nil
	}
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	var expired <-chan time.Time
	late := false // it has waited for endTime, and waits no longer
	defer b.leave(h)
	for !h.ended {
		all, inGroup, inMember := b.uses(h)
		scope := b.shares.Check(all.bytes, inGroup.bytes, inMember.bytes, h.bytes, n)
		if late || b.isNext(h) {
			// The scope once the messages that had to end have freed their memory.
			later := b.shares.Check(all.live(), inGroup.live(), inMember.live(), h.bytes, n)
			if scope == policy.MemoryFits || late && later == policy.MemoryFits {
				b.add(h, n)
				return nil
			}
			if later != policy.MemoryFits {
				b.end(b.victim(later, h, h.bytes+n), later)
				continue
			}
		}
		if expired == nil {
			expired = time.After(endTime)
		}
		late = !b.await(h, scope, expired)
	}
	return ErrNoMemory
}

// live returns the memory without that of messages that had to end.
func (u use) live() int64 { return u.bytes - u.ending }

// uses returns the memory of all messages, and of those of the group and the member of a hold.
// The caller holds mu.
func (b *Budget) uses(h *Hold) (all, inGroup, inMember use) {
	if g := b.groups[h.group]; g != nil {
		inGroup = g.use
		if m := g.members[h.label]; m != nil {
			inMember = m.use
		}
	}
	return b.all, inGroup, inMember
}

// end makes a message end. The caller holds mu.
func (b *Budget) end(h *Hold, scope policy.MemoryScope) {
	if b.onRefuse != nil {
		b.onRefuse(scope)
	}
	h.ended = true
	b.addEnding(h, h.bytes)
	h.waiting.signal()
	if h.abandon != nil {
		h.abandon()
	}
}

// isNext reports whether no message that waits comes before h. The caller holds mu.
func (b *Budget) isNext(h *Hold) bool {
	for _, w := range b.queue {
		if w == h.waiting {
			return true
		}
		if w.group == h.group || w.scope == policy.MemoryOfAll {
			return false
		}
	}
	return true
}

// await waits until h may be able to grow or has to end, for want of memory in a scope. It reports
// false if expired comes first. The caller holds mu, which is not held during the wait.
func (b *Budget) await(h *Hold, scope policy.MemoryScope, expired <-chan time.Time) bool {
	if h.waiting == nil {
		h.waiting = &waiter{group: h.group, lane: b.lanes[h.group], wake: make(chan struct{}, 1)}
		if h.waiting.lane == nil {
			h.waiting.lane = &lane{}
			b.lanes[h.group] = h.waiting.lane
		}
		h.waiting.lane.waiting++
		b.queue = append(b.queue, h.waiting)
	}
	h.waiting.scope = scope
	w := h.waiting
	b.mu.Unlock()
	defer b.mu.Lock()
	select {
	case <-w.wake:
		return true
	case <-expired:
		return false
	}
}

// leave ends the wait of a hold. The caller holds mu.
func (b *Budget) leave(h *Hold) {
	if h.waiting != nil {
		i := slices.Index(b.queue, h.waiting)
		b.queue = slices.Delete(b.queue, i, i+1)
		if h.waiting.lane.waiting--; h.waiting.lane.waiting == 0 {
			delete(b.lanes, h.group)
		}
		h.waiting = nil
		b.wakeNext()
	}
}

// wakeNext wakes the messages that no other one comes before. The caller holds mu.
func (b *Budget) wakeNext() {
	b.round++
	found := 0
	for _, w := range b.queue {
		if w.lane.seen != b.round {
			w.lane.seen = b.round
			found++
			w.signal()
		}
		if w.scope == policy.MemoryOfAll || found == len(b.lanes) {
			return
		}
	}
}

// signal wakes a message that waits. It does nothing on nil.
func (w *waiter) signal() {
	if w == nil {
		return
	}
	select {
	case w.wake <- struct{}{}:
	default: // it has not looked since the last signal
	}
}

// victim returns the hold that ends so that h may hold needed bytes, in a scope around h: the
// largest or else the one without progress for longest that may be abandoned and yields, or h
// itself. In all groups it is one of the group with the most bytes. The caller holds mu.
func (b *Budget) victim(scope policy.MemoryScope, h *Hold, needed int64) *Hold {
	from := b.groups[h.group]
	if scope == policy.MemoryOfAll {
		for _, g := range b.groups {
			if from == nil || g.live() > from.live() {
				from = g
			}
		}
	}
	if from == nil {
		return h
	}
	var largest, stillest *Hold
	for name, m := range from.members {
		if scope == policy.MemoryOfMember && name != h.label {
			continue
		}
		for hold := range m.holds {
			if hold == h || hold.abandon == nil || hold.ended {
				continue
			}
			if !hold.stalledOnly && (largest == nil || hold.bytes > largest.bytes) {
				largest = hold
			}
			if stillest == nil || hold.progress.Before(stillest.progress) {
				stillest = hold
			}
		}
	}
	if largest != nil && b.shares.Yields(largest.bytes, needed, 0) {
		return largest
	}
	if stillest != nil && b.shares.Yields(0, needed, b.now().Sub(stillest.progress)) {
		return stillest
	}
	return h
}

// add adds n bytes to a hold. The caller holds mu.
func (b *Budget) add(h *Hold, n int64) {
	g := b.groups[h.group]
	if g == nil {
		g = &group{members: make(map[string]*member)}
		b.groups[h.group] = g
	}
	m := g.members[h.label]
	if m == nil {
		m = &member{holds: make(map[*Hold]bool)}
		g.members[h.label] = m
	}
	if n > 0 {
		h.progress = b.now()
	}
	h.bytes += n
	m.bytes += n
	g.bytes += n
	b.all.bytes += n
	if h.ended && n != 0 {
		b.addEnding(h, n)
	}
	if n < 0 {
		b.wakeNext()
	}
	m.holds[h] = true
	if h.bytes == 0 {
		delete(m.holds, h)
	}
	if len(m.holds) == 0 {
		delete(g.members, h.label)
	}
	if len(g.members) == 0 {
		delete(b.groups, h.group)
	}
}

// addEnding adds n bytes to the memory of messages that had to end. The caller holds mu.
func (b *Budget) addEnding(h *Hold, n int64) {
	b.all.ending += n
	if g := b.groups[h.group]; g != nil {
		g.ending += n
		if m := g.members[h.label]; m != nil {
			m.ending += n
		}
	}
}

// Set makes the message hold n bytes, as Grow does if these are more.
func (h *Hold) Set(n int64) error {
	if h == nil {
		return nil
	}
	h.budget.mu.Lock()
	grow := n - h.bytes
	if grow <= 0 {
		h.budget.add(h, grow)
	}
	h.budget.mu.Unlock()
	if grow <= 0 {
		return nil
	}
	return h.Grow(grow)
}

// Shrink frees n bytes of the memory of the message.
func (h *Hold) Shrink(n int64) {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.budget.add(h, -min(n, h.bytes))
}

// Progress records that the message has made progress without growing.
func (h *Hold) Progress() {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.progress = h.budget.now()
}

// Ended reports whether the message had to end.
func (h *Hold) Ended() bool {
	if h == nil {
		return false
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.ended
}

// Close frees the memory of the message.
func (h *Hold) Close() {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.abandon = nil
	h.budget.add(h, -h.bytes)
	h.ended = true
	h.waiting.signal()
}
