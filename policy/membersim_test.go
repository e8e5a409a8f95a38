package policy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// simStart is the time at which simulations begin.
var simStart = time.Date(2026, 1, 5, 6, 0, 0, 0, time.UTC)

// memberSim simulates the tables of many instances over a network with packet
// loss, delays and partitions.
type memberSim struct {
	now    time.Time
	random *rand.Rand
	nodes  []*simNode
	queue  []simPacket
	// loss is the fraction of messages that are lost. partitioned reports whether
	// a partition blocks messages between two instances; nil means that there is
	// none.
	loss        float64
	partitioned func(from, to *simNode) bool
	// equalDelays gives every message the same delay, 1 ms.
	equalDelays bool
	// onSend is called with every message that is sent.
	onSend func(from *simNode, s MemberSend)
}

type simNode struct {
	id, zone, address string
	table             *MemberTable
	down              bool
}

type simPacket struct {
	at       time.Time
	from, to *simNode
	message  *MemberMessage
}

const simInterval = 250 * time.Millisecond

func simConfig() MemberConfig {
	return MemberConfig{
		Interval: simInterval, SuspectAfter: 2 * time.Second, GoneAfter: 8 * time.Second,
		ForgetAfter: time.Hour, Fanout: 2, Delegates: 2,
	}
}

func newMemberSim(seed uint64, zones, perZone int) *memberSim {
	s := &memberSim{now: simStart, random: rand.New(rand.NewPCG(seed, 1))}
	for z := range zones {
		for i := range perZone {
			n := &simNode{id: fmt.Sprintf("zone%02d-%02d", z, i), zone: fmt.Sprintf("zone%02d", z)}
			n.address = n.id + ":7946"
			s.nodes = append(s.nodes, n)
		}
	}
	for _, n := range s.nodes {
		s.start(n)
	}
	return s
}

// start starts or restarts an instance, with all instances as seeds.
func (s *memberSim) start(n *simNode) {
	self := MemberRecord{ID: n.id, Zone: n.zone, Boot: uint64(s.now.UnixNano()), Status: MemberReady, GossipAddress: n.address}
	n.table = NewMemberTable(self, simConfig(), s.now)
	var seeds []string
	for _, o := range s.nodes {
		seeds = append(seeds, o.address)
	}
	n.table.SetSeeds(seeds)
	n.down = false
}

func (s *memberSim) find(address string) *simNode {
	i := slices.IndexFunc(s.nodes, func(n *simNode) bool { return n.address == address })
	if i < 0 {
		return nil
	}
	return s.nodes[i]
}

func (s *memberSim) send(from *simNode, sends []MemberSend) {
	for _, m := range sends {
		if s.onSend != nil {
			s.onSend(from, m)
		}
		to := s.find(m.Address)
		if to == nil || s.random.Float64() < s.loss || (s.partitioned != nil && s.partitioned(from, to)) {
			continue
		}
		delay := time.Duration(s.random.IntN(40)) * time.Millisecond
		if s.equalDelays {
			delay = time.Millisecond
		}
		s.queue = append(s.queue, simPacket{s.now.Add(delay), from, to, m.Message})
	}
}

// round runs one interval: each instance ticks, then all due messages arrive in
// the order of their arrival times.
func (s *memberSim) round() {
	for _, n := range s.nodes {
		if !n.down {
			s.send(n, n.table.Tick(s.now))
		}
	}
	end := s.now.Add(simInterval)
	for {
		i := s.earliest(end)
		if i < 0 {
			break
		}
		p := s.queue[i]
		s.queue = slices.Delete(s.queue, i, i+1)
		s.now = p.at
		if !p.to.down {
			s.send(p.to, p.to.table.Receive(s.now, p.message))
		}
	}
	s.now = end
}

func (s *memberSim) earliest(end time.Time) int {
	best := -1
	for i, p := range s.queue {
		if p.at.Before(end) && (best < 0 || p.at.Before(s.queue[best].at)) {
			best = i
		}
	}
	return best
}

func (s *memberSim) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.round()
	}
}

// disagreement describes the first wrong entry in any table. It is empty if every
// running instance sees exactly the running ones as ready.
func (s *memberSim) disagreement() string {
	for _, n := range s.nodes {
		if n.down {
			continue
		}
		seen := make(map[string]MemberStatus)
		for _, info := range n.table.View(s.now) {
			seen[info.Record.ID] = info.Status
		}
		for _, o := range s.nodes {
			status := seen[o.id]
			switch {
			case o == n:
			case o.down && status != 0 && status != MemberGone:
				return fmt.Sprintf("%s sees the stopped %s as %s", n.id, o.id, status)
			case !o.down && status != MemberReady:
				return fmt.Sprintf("%s sees %s as %s", n.id, o.id, status)
			}
		}
	}
	return ""
}
