package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// limitedServer simulates one server that states a rate limit to many instances, whose
// requests exceed it. The instances are ranked by their index. Messages take time,
// views of the members lag, and instances fail.
type limitedServer struct {
	*simulation
	rate      float64
	instances []*limitedInstance
	arrivals  []time.Time // of requests at the server
	asks      int         // that reached a grantor
	served    [4]int      // requests by priority
}

type limitedInstance struct {
	index    int
	down     bool
	stalled  time.Time // until when the process is frozen
	side     int       // of a network partition; instances on other sides are out of reach
	noStore  bool      // cut off from the store, so that the others do not know it
	views    []memberSetView
	division RateDivision
	wait     TurnWait
	avoided  map[int]time.Time
}

// memberSetView is a list of members as an instance sees it from a time on.
type memberSetView struct {
	from    time.Time
	members []int
}

const (
	simMessageTime  = 2 * time.Millisecond
	simAskTimeout   = 200 * time.Millisecond
	simAvoidTime    = time.Second
	simViewLag      = 2 * time.Second // longest time until a change of the members is known
	simSettleTime   = 3 * time.Second // time after which an instance regards its rank as known
	simExpiryTime   = 3 * time.Second // time after which a silent member is dropped
	simLimitedTime  = 30 * time.Second
	simMeasuredFrom = 5 * time.Second
	simFaultAt      = 12 * time.Second
	simRecoveredAt  = simFaultAt + 8*time.Second // the end of every fault, and simSettleTime
	simWindow       = 4 * time.Second
)

func newLimitedServer(seed uint64, instances int, rate float64) *limitedServer {
	s := &limitedServer{simulation: &simulation{random: rand.New(rand.NewPCG(seed, 11))}, rate: rate}
	for i := range instances {
		s.instances = append(s.instances, &limitedInstance{index: i, avoided: make(map[int]time.Time)})
	}
	s.publishMembers(epoch.Add(-time.Minute), 0)
	return s
}

// publishMembers lets all instances that reach the store learn the present members.
func (s *limitedServer) publishMembers(now time.Time, lag time.Duration) {
	var members []int
	for _, in := range s.instances {
		if !in.down && !in.noStore {
			members = append(members, in.index)
		}
	}
	for _, in := range s.instances {
		if in.noStore {
			continue
		}
		from := now
		if lag > 0 {
			from = now.Add(time.Duration(s.random.Int64N(int64(lag))))
		}
		in.views = append(in.views, memberSetView{from, members})
	}
}

func (in *limitedInstance) members(now time.Time) []int {
	var members []int
	for _, v := range in.views {
		if !now.Before(v.from) {
			members = v.members
		}
	}
	return members
}

// role returns the role of an instance in its own view.
func (in *limitedInstance) role(now time.Time) GrantorRole {
	members := in.members(now)
	role := GrantorRole{Rank: slices.Index(members, in.index), Settled: !in.noStore}
	if role.Rank < 0 {
		role.Rank = len(members)
	}
	for i, v := range in.views {
		replaced := i+1 < len(in.views) && !now.Add(-simSettleTime).Before(in.views[i+1].from)
		if !replaced && !now.Before(v.from) && slices.Index(v.members, in.index) != role.Rank {
			role.Settled = false
		}
	}
	if now.Sub(in.views[0].from) < simSettleTime {
		role.Settled = false
	}
	return role
}

func (s *limitedServer) reaches(now time.Time, from, to *limitedInstance) bool {
	return !to.down && !now.Before(to.stalled) && from.side == to.side
}

// request simulates a request that arrives at an instance.
func (s *limitedServer) request(now time.Time, in *limitedInstance, priority int) {
	if in.down || now.Before(in.stalled) || in.wait.Remaining(now, priority) > 0 {
		return
	}
	s.ask(now, in, priority, in.members(now), 0)
}

// ask asks the grantors in turn.
func (s *limitedServer) ask(now time.Time, in *limitedInstance, priority int, members []int, rank int) {
	if rank >= min(2, len(members)) {
		in.wait.Denied(now, ms(300), priority)
		return
	}
	to := s.instances[members[rank]]
	if now.Before(in.avoided[to.index]) {
		s.ask(now, in, priority, members, rank+1)
		return
	}
	if !s.reaches(now, in, to) {
		s.at(now.Add(simAskTimeout), func(now time.Time) {
			in.avoided[to.index] = now.Add(simAvoidTime)
			s.ask(now, in, priority, members, rank+1)
		})
		return
	}
	s.at(now.Add(simMessageTime), func(now time.Time) {
		s.asks++
		turn := to.division.Take(now, GrantableRate(s.rate, to.role(now)), fmt.Sprint(in.index), priority)
		s.at(now.Add(simMessageTime), func(now time.Time) {
			if !turn.Granted {
				in.wait.Denied(now, turn.RetryIn, priority)
				return
			}
			s.at(now.Add(simMessageTime), func(now time.Time) {
				s.arrivals = append(s.arrivals, now)
				s.served[priority]++
			})
		})
	})
}

// load adds requests at a rate per second. weight gives each instance's part of them.
func (s *limitedServer) load(rate float64, weight func(instance int) float64) {
	var sum float64
	for i := range s.instances {
		sum += weight(i)
	}
	for i, in := range s.instances {
		mean := sum / (weight(i) * rate)
		if math.IsInf(mean, 0) {
			continue
		}
		var arrive func(now time.Time)
		arrive = func(now time.Time) {
			s.request(now, in, s.random.IntN(4))
			if next := now.Add(time.Duration(s.random.ExpFloat64() * mean * 1e9)); next.Before(epoch.Add(simLimitedTime)) {
				s.at(next, arrive)
			}
		}
		s.at(epoch.Add(time.Duration(s.random.ExpFloat64()*mean*1e9)), arrive)
	}
}

// mostInWindow returns the largest number of arrivals in any simWindow.
func (s *limitedServer) mostInWindow() int {
	slices.SortFunc(s.arrivals, time.Time.Compare)
	most := 0
	for i, first := range s.arrivals {
		n, _ := slices.BinarySearchFunc(s.arrivals, first.Add(simWindow), time.Time.Compare)
		most = max(most, n-i)
	}
	return most
}

// unused reports whether the server got less than 0.7 of its rate in a span of the
// simulation, by more than one request.
func (s *limitedServer) unused(from, to time.Duration) bool {
	n := 0
	for _, at := range s.arrivals {
		if d := at.Sub(epoch); d >= from && d < to {
			n++
		}
	}
	return float64(n+1) < 0.7*s.rate*(to-from).Seconds()
}

// Patterns of load, as the weight of each instance.
var limitedServerLoads = map[string]func(int) float64{
	"even":   func(int) float64 { return 1 },
	"skewed": func(i int) float64 { return 1 / float64(1+(i*7)%31) },
	"single": func(i int) float64 {
		if i == 5 {
			return 1
		}
		return 0
	},
}

// limitedServerFaults are changes of the members while the server is limited.
var limitedServerFaults = map[string]func(s *limitedServer, now time.Time){
	"none": func(*limitedServer, time.Time) {},
	"grantor killed and restarted": func(s *limitedServer, now time.Time) {
		first := s.instances[0]
		first.down = true
		s.at(now.Add(2*time.Second), func(now time.Time) {
			first.down, first.division, first.wait = false, RateDivision{}, TurnWait{}
			first.views = []memberSetView{{now, first.views[0].members}}
		})
	},
	"grantor killed for good": func(s *limitedServer, now time.Time) {
		s.instances[0].down = true
		s.at(now.Add(simExpiryTime), func(now time.Time) { s.publishMembers(now, simViewLag) })
	},
	"grantor frozen": func(s *limitedServer, now time.Time) { s.instances[0].stalled = now.Add(5 * time.Second) },
	"grantor cut off from the store": func(s *limitedServer, now time.Time) {
		s.instances[0].noStore = true
		s.at(now.Add(simExpiryTime), func(now time.Time) { s.publishMembers(now, simViewLag) })
	},
	"zone with the grantor cut off": func(s *limitedServer, now time.Time) {
		for i := range len(s.instances) / 3 {
			s.instances[i].side = 1
		}
		s.at(now.Add(8*time.Second), func(time.Time) {
			for _, in := range s.instances {
				in.side = 0
			}
		})
	},
	"instances added, one of them the grantor": func(s *limitedServer, now time.Time) {
		s.instances[0].down = false
		s.publishMembers(now, simViewLag)
		first := s.instances[0]
		first.views = first.views[len(first.views)-1:]
		first.views[0].from = now
	},
	"all instances restarted": func(s *limitedServer, now time.Time) {
		for _, in := range s.instances {
			in.down = true
		}
		s.at(now.Add(time.Second), func(now time.Time) {
			for _, in := range s.instances {
				in.down, in.division, in.wait = false, RateDivision{}, TurnWait{}
				in.views = nil
			}
			s.publishMembers(now, simViewLag)
		})
	},
}

// TestUnevenLoadOnLimitedServer guards against instances that together send a server
// more than the rate that it states, or leave the rate unused, whatever the load of
// each and whichever of them fail.
func TestUnevenLoadOnLimitedServer(t *testing.T) {
	asks := make(map[int]float64)
	for _, instances := range []int{9, 31, 90, 300} {
		for _, rate := range []float64{0.3, 1, 8, 30} {
			for loadName, weight := range limitedServerLoads {
				for faultName, fault := range limitedServerFaults {
					s := newLimitedServer(uint64(instances), instances, rate)
					if faultName == "instances added, one of them the grantor" {
						s.instances[0].down = true
						s.instances[0].views = nil
						s.publishMembers(epoch.Add(-30*time.Second), 0)
					}
					s.load(max(20, 3*rate), weight)
					s.at(epoch.Add(simFaultAt), func(now time.Time) { fault(s, now) })
					s.run(nil, simLimitedTime)
					name := fmt.Sprintf("%d instances, %v a second, %s load, fault: %s", instances, rate, loadName, faultName)
					if most, allowed := s.mostInWindow(), int(1.5*rate*simWindow.Seconds())+5; most > allowed {
						t.Errorf("%s: %d requests in %v, allowed %d", name, most, simWindow, allowed)
					}
					if s.unused(simMeasuredFrom, simFaultAt) || s.unused(simRecoveredAt, simLimitedTime) {
						t.Errorf("%s: the rate is not used", name)
					}
					asks[instances] = max(asks[instances], float64(s.asks)/simLimitedTime.Seconds()-3*rate)
				}
			}
		}
	}
	t.Logf("most asks a second beyond three for each turn, by instances: %v", asks)
}

// TestUrgentRequestsOnLimitedServer guards against urgent requests that go after others
// when a server's rate does not suffice for all.
func TestUrgentRequestsOnLimitedServer(t *testing.T) {
	for _, instances := range []int{9, 90} {
		s := newLimitedServer(1, instances, 8)
		s.load(60, limitedServerLoads["even"])
		s.run(nil, simLimitedTime)
		t.Logf("%d instances, served by priority: %v", instances, s.served)
		for urgent := range len(s.served) - 1 {
			if s.served[urgent] < s.served[urgent+1] {
				t.Errorf("%d instances: served %v by priority, from the most urgent on", instances, s.served)
			}
		}
		if total := len(s.arrivals); s.served[0] < total/2 {
			t.Errorf("%d instances: %d of %d served requests were the most urgent ones, which alone exceed the rate", instances, s.served[0], total)
		}
	}
}
