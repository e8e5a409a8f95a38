package policy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// leaseModel runs instances with leases against a store and a platform, without a network. Its
// faults are the ones under which two holders could act at once: lost, late and refused calls
// to the store, restores of it, kills, and freezes between any two steps.
type leaseModel struct {
	random *rand.Rand
	times  LeaseTimes
	thaw   time.Duration
	now    time.Duration
	events []leaseEvent
	nodes  []*leaseNode

	era  uint64
	log  []LeaseRecord
	copy []LeaseRecord // from which the store is restored
	// away is until when the store refuses calls, calm from when on there are no faults.
	away, calm time.Duration

	calls []leaseCall
}

type leaseEvent struct {
	at   time.Duration
	node *leaseNode // nil for events that no freeze of an instance delays
	life int
	run  func()
}

type leaseCall struct {
	node    int
	token   uint64
	at      time.Duration
	excused bool
}

type leaseNode struct {
	model *leaseModel
	index int
	life  int
	lease *Lease
	busy  bool
	// stopping is true while the instance is to release the lease and to start again, calling
	// while it makes a call.
	stopping, calling bool
	// countsFreeze is true if the clocks of the machine go on while it is frozen. lag is how far
	// they are behind.
	countsFreeze  bool
	lag, thawTime time.Duration
}

func (n *leaseNode) clock() time.Time { return time.Unix(1000, 0).Add(n.model.now - n.lag) }

func (m *leaseModel) between(low, high time.Duration) time.Duration {
	return low + time.Duration(m.random.Int64N(int64(high-low)+1))
}

func (m *leaseModel) chance(p float64) bool { return m.now < m.calm && m.random.Float64() < p }

// after runs f after d, later if the instance is frozen, and never if it was killed.
func (m *leaseModel) after(d time.Duration, n *leaseNode, f func()) {
	e := leaseEvent{at: m.now + d, node: n, run: f}
	if n != nil {
		e.life = n.life
	}
	m.events = append(m.events, e)
}

func (m *leaseModel) run(until time.Duration) {
	for len(m.events) > 0 {
		next := 0
		for i, e := range m.events {
			if e.at < m.events[next].at {
				next = i
			}
		}
		e := m.events[next]
		if e.at > until {
			return
		}
		m.events = slices.Delete(m.events, next, next+1)
		m.now = max(m.now, e.at)
		switch {
		case e.node != nil && e.life != e.node.life:
		case e.node != nil && m.now < e.node.thawTime:
			// What was due while the machine was frozen happens shortly after, in any order.
			e.at = e.node.thawTime + m.between(0, m.thaw/20)
			m.events = append(m.events, e)
		default:
			e.run()
		}
	}
}

func (m *leaseModel) start(n *leaseNode) {
	n.life++
	n.busy, n.stopping, n.calling = false, false, false
	n.lease = NewLease(LeaseRecord{Instance: "twin", Incarnation: fmt.Sprintf("%d.%d", n.index, n.life)}, m.times)
	m.after(m.between(0, time.Second), n, n.step)
}

func (n *leaseNode) freeze(d time.Duration) {
	m := n.model
	if m.now < n.thawTime {
		return
	}
	n.thawTime = m.now + d
	if !n.countsFreeze {
		n.lag += d
	}
}

// step makes the next step of the lease, or a call.
func (n *leaseNode) step() {
	m := n.model
	m.after(m.between(20*time.Millisecond, 120*time.Millisecond), n, n.step)
	if n.busy {
		return
	}
	now := n.clock()
	if n.stopping && !n.calling {
		if n.lease.Mine() && n.lease.known {
			n.append(true, func() { m.start(n) })
			return
		}
		m.start(n)
		return
	}
	if n.lease.Holds(now) && m.random.IntN(4) == 0 {
		if n.lease.MayCall(now) {
			n.call()
			return
		}
		n.append(false, n.call)
		return
	}
	switch n.lease.Next(now, n.index) {
	case LeaseList:
		n.request(func() func(ok bool) {
			era, end := m.era, uint64(len(m.log))
			var newest *LeaseRecord
			if end > 0 {
				newest = &m.log[end-1]
			}
			return func(ok bool) {
				if ok {
					n.lease.Listed(n.clock(), era, end, newest)
				}
			}
		})
	case LeaseFollow:
		_, at := n.lease.Record()
		n.request(func() func(ok bool) {
			era, trimmed := m.era, at > uint64(len(m.log)) || m.chance(0.02)
			var records []LeaseRecord
			if !trimmed {
				records = slices.Clone(m.log[at:])
			}
			return func(ok bool) {
				if !ok || trimmed || era != n.lease.era {
					n.lease.Forget()
					return
				}
				for _, r := range records {
					n.lease.Followed(n.clock(), r)
				}
			}
		})
	case LeaseAppend:
		n.append(false, nil)
	}
}

// append appends the next record and calls then if it succeeds.
func (n *leaseNode) append(release bool, then func()) {
	m := n.model
	r, at := n.lease.Record()
	r.Released = release
	sent := n.clock()
	n.request(func() func(ok bool) {
		era, conflict := m.era, at != uint64(len(m.log))
		if !conflict {
			m.log = append(m.log, r)
		}
		return func(ok bool) {
			if !ok || conflict {
				n.lease.Forget()
				return
			}
			n.lease.Appended(sent, n.clock(), era, r)
			if then != nil {
				then()
			}
		}
	})
}

// request makes a call to the store. effect runs there; what it returns runs when the response
// arrives, or with false if none does in time.
func (n *leaseNode) request(effect func() func(ok bool)) {
	m := n.model
	n.busy = true
	answered := false
	finish := func(f func(bool), ok bool) func() {
		return func() {
			if !answered {
				answered, n.busy = true, false
				f(ok)
			}
		}
	}
	delay := m.between(time.Millisecond, 5*time.Millisecond)
	if m.chance(0.1) {
		delay = m.between(0, 5*time.Second)
	}
	// A process that was killed may have its call executed nevertheless.
	m.after(delay, nil, func() {
		if m.now < m.away {
			return
		}
		done := effect()
		if !m.chance(0.1) {
			back := m.between(time.Millisecond, 5*time.Millisecond)
			if m.chance(0.1) {
				back = m.between(0, 1500*time.Millisecond)
			}
			m.after(back, n, finish(done, true))
		}
	})
	lost := func(ok bool) { n.lease.Forget() }
	m.after(1500*time.Millisecond, n, finish(lost, false))
}

// call makes a call to the platform if the lease permits it.
func (n *leaseNode) call() {
	m := n.model
	// Until it is sent, a connection is opened.
	pause := m.between(0, m.times.Confirmed)
	if m.chance(0.1) {
		pause = m.between(0, 10*time.Second) // the process gets no processor time
	}
	n.calling = true
	m.after(pause, n, func() {
		if !n.lease.MayCall(n.clock()) {
			n.calling = false
			return
		}
		token := n.lease.Latest().Token
		m.after(m.between(0, m.times.Undelivered), n, func() {
			n.calling = false
			m.calls = append(m.calls, leaseCall{n.index, token, m.now, n.thawTime > 0 && m.now-n.thawTime <= m.thaw})
		})
	})
}

// faults plans faults until the calm begins.
func (m *leaseModel) faults() {
	gap := m.between(100*time.Millisecond, 12*time.Second)
	if m.random.IntN(3) == 0 {
		gap = m.between(0, 1500*time.Millisecond)
	}
	m.after(gap, nil, func() {
		if m.now >= m.calm {
			return
		}
		n := m.nodes[m.random.IntN(len(m.nodes))]
		if i := slices.IndexFunc(m.nodes, func(n *leaseNode) bool { return n.lease.Mine() }); i >= 0 && m.random.IntN(2) == 0 {
			n = m.nodes[i]
		}
		switch m.random.IntN(6) {
		case 0, 1:
			n.freeze(m.between(time.Millisecond, 10*time.Second))
		case 2:
			if m.random.IntN(2) == 0 {
				m.start(n)
				break
			}
			n.stopping = true
		case 3:
			m.away = m.now + m.between(0, 8*time.Second)
		case 4:
			m.copy = slices.Clone(m.log)
		case 5:
			if m.random.IntN(2) == 0 {
				m.copy = slices.Clone(m.log) // offsets come again
			}
			if m.random.IntN(2) == 0 {
				m.log, m.era = slices.Clone(m.copy), m.era+1
			}
		}
		m.faults()
	})
}

// check returns what is wrong with the calls as the platform has received them.
func (m *leaseModel) check() (problems []string) {
	owner := make(map[uint64]int)
	highest := uint64(0)
	var runs []leaseCall // the last call of each run of calls of one instance
	for _, c := range m.calls {
		if by, ok := owner[c.token]; ok && by != c.node {
			problems = append(problems, fmt.Sprintf("token %d of instances %d and %d", c.token, by, c.node))
		}
		owner[c.token] = c.node
		if c.excused {
			continue
		}
		if c.token < highest {
			problems = append(problems, fmt.Sprintf("at %v token %d of instance %d after %d", c.at, c.token, c.node, highest))
		}
		highest = max(highest, c.token)
		if n := len(runs); n > 0 && runs[n-1].node == c.node {
			runs[n-1] = c
			continue
		}
		if n := len(runs); n > 1 && runs[n-2].node == c.node && c.at-runs[n-2].at < m.times.Term {
			problems = append(problems, fmt.Sprintf("instances %d, %d, %d within %v", c.node, runs[n-1].node, c.node, c.at-runs[n-2].at))
		}
		runs = append(runs, c)
	}
	return problems
}

// TestLeaseCallsOfOneHolder checks that the platform never sees calls of two holders that
// overlap or alternate, whichever steps a fault falls between.
func TestLeaseCallsOfOneHolder(t *testing.T) {
	const seeds, faulty, calm = 400, 300 * time.Second, 40 * time.Second
	changes, excused := 0, 0
	for seed := range uint64(seeds) {
		m := &leaseModel{random: rand.New(rand.NewPCG(seed, 1)), thaw: 300 * time.Millisecond, era: 1, calm: faulty}
		m.times = NewLeaseTimes(3*time.Second, m.thaw)
		for i := range 2 + m.random.IntN(4) {
			n := &leaseNode{model: m, index: i, countsFreeze: m.random.IntN(2) == 0}
			m.nodes = append(m.nodes, n)
			m.start(n)
		}
		m.faults()
		m.run(faulty + calm)
		for _, problem := range m.check() {
			t.Errorf("seed %d: %s", seed, problem)
		}
		tokens := make(map[uint64]bool)
		last := time.Duration(0)
		for _, c := range m.calls {
			tokens[c.token] = true
			last = max(last, c.at)
			if c.excused {
				excused++
			}
		}
		changes += len(tokens)
		if last < faulty+calm-2*time.Second {
			t.Errorf("seed %d: no instance calls once the faults are over; the last call is at %v", seed, last)
		}
	}
	t.Logf("%d holders in %d runs, %d excused calls", changes, seeds, excused)
	if changes < 4*seeds || excused == 0 {
		t.Errorf("the faults have no effect: %d holders in %d runs, %d excused calls", changes, seeds, excused)
	}
}

// TestLeaseWaits checks when an instance may make its first call, so that holders A, B, A never
// call within the term, however soon they release the lease.
func TestLeaseWaits(t *testing.T) {
	times := NewLeaseTimes(3*time.Second, 300*time.Millisecond)
	record := func(incarnation string, released bool) *LeaseRecord {
		return &LeaseRecord{Incarnation: incarnation, Token: 7, Era: 1, Released: released}
	}
	for _, test := range []struct {
		name string
		// newest is what the instance lists at 0 s; it tries to take the lease at 3 s.
		newest *LeaseRecord
		then   func(l *Lease, at func(seconds float64) time.Time)
		// calls is from when on it may call, in seconds.
		calls float64
		token uint64
	}{
		{"the log is empty", nil, nil, 3, 1<<eraShift + 7},
		{"another process holds the lease", record("other", false), nil, 3, 1<<eraShift + 7},
		{"another process has released it", record("other", true), nil, 3, 1<<eraShift + 7},
		{"another process releases it later", record("other", false), func(l *Lease, at func(float64) time.Time) {
			l.Followed(at(2.5), *record("other", true))
		}, 5.5, 1<<eraShift + 8},
		{"its own record is of an earlier era", &LeaseRecord{Incarnation: "self", Token: 7}, nil, 3, 1<<eraShift + 7},
		{"another instance knows a later token", record("self", false), func(l *Lease, at func(float64) time.Time) {
			l.LearnToken(at(2), 1<<40)
		}, 5, 1<<40 + 1},
		{"another instance states an impossible token", record("self", false), func(l *Lease, at func(float64) time.Time) {
			l.LearnToken(at(2), MaxLeaseToken+1)
		}, 3, 7},
		{"the lease is its own", record("self", false), nil, 3, 7},
	} {
		at := func(seconds float64) time.Time {
			return time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second)))
		}
		l := NewLease(LeaseRecord{Incarnation: "self"}, times)
		l.Listed(at(0), 1, 6, test.newest)
		if test.then != nil {
			test.then(l, at)
		}
		r, _ := l.Record()
		l.Appended(at(3), at(3), 1, r)
		if r.Token != test.token {
			t.Errorf("%s: token %d, want %d", test.name, r.Token, test.token)
		}
		for _, seconds := range []float64{test.calls - 0.01, test.calls} {
			if seconds < 3 {
				continue
			}
			r, _ := l.Record()
			l.Appended(at(seconds), at(seconds), 1, r)
			if want := seconds >= test.calls; l.MayCall(at(seconds)) != want {
				t.Errorf("%s: may call at %v s: %v, want %v", test.name, seconds, !want, want)
			}
		}
		if late := at(test.calls).Add(times.Confirmed + 1); l.MayCall(late) {
			t.Errorf("%s: may call %v after the confirmation", test.name, times.Confirmed)
		}
	}
}
