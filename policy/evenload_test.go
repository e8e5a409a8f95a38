package policy

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// evenCase is a load on a service whose instances know old figures. Servers run a number of
// requests at once and queue the others.
type evenCase struct {
	name               string
	instances, servers int
	// perSecond is the mean number of requests per second at each server. Instances choose
	// at the same moments, every evenTick.
	perSecond float64
	// delay is the mean age of figures.
	delay time.Duration
	// speed returns how long work takes at a server at a time; nil means 1.
	speed func(server int, at time.Duration) float64
	// hot is the part of requests that have the same prompt; the others have one of
	// evenPrompts.
	hot float64
	// burst makes requests half more often and twice as large in the second second.
	burst bool
	// present reports whether a server is there; nil means always.
	present func(server int, at time.Duration) bool
	// The highest ratios of the figures of ChooseEven to those of ChooseEngine.
	spread, idle, p99, reread float64
}

const (
	evenTick     = 20 * time.Millisecond
	evenDuration = 4 * time.Second
	evenSlots    = 8
	evenWork     = 100 * time.Millisecond
	evenPrompts  = 800
	// evenReread is the additional work of a request at a server that has not read its
	// prompt yet.
	evenReread = 1.5
)

// evenRun is one sent request.
type evenRun struct {
	instance   int
	begin, end time.Duration
}

// evenFigures are what a decision achieved: the work that the busiest server got within a
// second over the mean, the part of the time in which some server queued while another had a
// free place, the time to the result, and the part of requests that read the prompt again.
type evenFigures struct {
	spread, idle float64
	p50, p99     time.Duration
	reread       float64
}

type evenChooser func(q EvenRequest, servers []EvenServer) int

// play plays a case with a decision.
func (c evenCase) play(choose evenChooser) evenFigures {
	rng := rand.New(rand.NewPCG(1, 2))
	runs := make([][]evenRun, c.servers)
	free := make([][evenSlots]time.Duration, c.servers)
	kept := make([]map[uint64]bool, c.servers)
	counts := make([]PartCounts, c.instances)
	got := make([]float64, c.servers)
	var f evenFigures
	var times []time.Duration
	var rereads, spreads, idle int
	for at := time.Duration(0); at < evenDuration; at += evenTick {
		rate, work := c.perSecond*float64(c.servers)/float64(c.instances)*evenTick.Seconds(), 1.0
		if c.burst && at >= time.Second && at < 2*time.Second {
			rate, work = 1.5*rate, 2
		}
		for i := range c.instances {
			for n := rate; n > 0 && rng.Float64() < n; n-- {
				prompt := mix(uint64(rng.IntN(evenPrompts)) + 2)
				if rng.Float64() < c.hot {
					prompt = 1
				}
				counts[i].Count(time.Unix(0, int64(at)), prompt)
				view, index := c.view(rng, runs, at, i)
				q := EvenRequest{Prompt: prompt, Holders: counts[i].Holders(prompt, len(view)), Work: work, Reread: evenReread, Random: rng.Uint64(), Instances: c.instances}
				s := index[choose(q, view)]
				if kept[s] == nil {
					kept[s] = make(map[uint64]bool)
				}
				takes := work
				if !kept[s][prompt] {
					takes += evenReread
					rereads++
				}
				kept[s][prompt] = true
				slot := 0
				for k := range free[s] {
					if free[s][k] < free[s][slot] {
						slot = k
					}
				}
				takes *= c.slowness(s, at)
				end := max(at, free[s][slot]) + time.Duration(takes*float64(evenWork))
				free[s][slot] = end
				runs[s] = append(runs[s], evenRun{i, at, end})
				got[s] += takes
				times = append(times, end-at)
			}
		}
		queues, places := false, false
		for s := range runs {
			runs[s] = slices.DeleteFunc(runs[s], func(r evenRun) bool { return r.end < at-5*c.delay })
			n := onServer(runs[s], at, nil)
			queues = queues || n > evenSlots
			places = places || n < evenSlots && (c.present == nil || c.present(s, at))
		}
		if queues && places {
			idle++
		}
		if (at+evenTick)%time.Second == 0 {
			sum, busiest := 0.0, 0.0
			for s := range got {
				sum += got[s]
				busiest = max(busiest, got[s])
				got[s] = 0
			}
			f.spread += busiest / (sum / float64(c.servers))
			spreads++
		}
	}
	slices.Sort(times)
	f.spread /= float64(spreads)
	f.idle = float64(idle) / float64(evenDuration/evenTick)
	f.p50, f.p99 = times[len(times)/2], times[len(times)*99/100]
	f.reread = float64(rereads) / float64(len(times))
	return f
}

func (c evenCase) slowness(server int, at time.Duration) float64 {
	if c.speed == nil {
		return 1
	}
	return c.speed(server, at)
}

// onServer returns the number of requests on a server at a time, of those that match.
func onServer(runs []evenRun, at time.Duration, match func(evenRun) bool) int {
	n := 0
	for _, r := range runs {
		if r.begin <= at && at < r.end && (match == nil || match(r)) {
			n++
		}
	}
	return n
}

// view returns what an instance knows: figures of an age from half to three halves of the
// delay, and its own requests.
func (c evenCase) view(rng *rand.Rand, runs [][]evenRun, at time.Duration, instance int) ([]EvenServer, []int) {
	view := make([]EvenServer, 0, c.servers)
	index := make([]int, 0, c.servers)
	own := func(r evenRun) bool { return r.instance == instance }
	for s := range runs {
		if c.present != nil && !c.present(s, at) {
			continue
		}
		age := time.Duration((0.5 + rng.Float64()) * float64(c.delay))
		mine := onServer(runs[s], at, own)
		reported := onServer(runs[s], at-age, nil) + mine - onServer(runs[s], at-age, own)
		if at < age || c.present != nil && !c.present(s, at-age) {
			reported = -1
		}
		slow := c.slowness(s, at-age)
		rest := min(slow, c.slowness(s, at-age-restPaceWindow/2))
		view = append(view, EvenServer{
			ID: mix(uint64(s) + 1000), Near: true, InFlight: float64(mine), Reported: float64(reported), Age: age, Pace: slow, RestPace: rest, Slowness: 1, Slots: evenSlots,
		})
		index = append(index, s)
	}
	return view, index
}

// chooseByCount is the decision by counts, on the same figures.
func chooseByCount(q EvenRequest, servers []EvenServer) int {
	engines := make([]Engine, len(servers))
	for i, s := range servers {
		engines[i] = Engine{ID: s.ID, Near: s.Near, InFlight: int(s.InFlight), Reported: int(s.Reported), Slowness: s.RestPace}
		if s.Age >= 2*time.Second {
			engines[i].Reported = -1
		}
	}
	i, _ := ChooseEngine(q.Prompt, q.Random, q.Instances, engines)
	return i
}

func chooseEven(q EvenRequest, servers []EvenServer) int {
	i, _ := ChooseEven(q, servers)
	return i
}

// TestEvenLoad plays loads on the old and the new decision.
func TestEvenLoad(t *testing.T) {
	unequal := func(server int, at time.Duration) float64 {
		speed := []float64{0.7, 0.7, 1.7}[server%3]
		if mix(uint64(server)<<32^uint64(at/(100*time.Millisecond)))%100 < 15 {
			speed *= 2.5
		}
		return speed
	}
	slowed := func(server int, at time.Duration) float64 {
		if server == 3 && at >= time.Second && at < 2500*time.Millisecond {
			return 5
		}
		return 1
	}
	// One server in ten joins, cold for a second, and one in ten leaves.
	joining := func(server int, at time.Duration) bool {
		return server%10 > 1 || server%10 == 0 && at >= 1500*time.Millisecond || server%10 == 1 && at < 2500*time.Millisecond
	}
	cold := func(server int, at time.Duration) float64 {
		if server%10 == 0 && at < 2500*time.Millisecond {
			return 2
		}
		return 1
	}
	for _, c := range []evenCase{
		{name: "9 instances", instances: 9, servers: 12, perSecond: 30, delay: 100 * time.Millisecond, spread: 1.1, idle: 1.3, p99: 1.1, reread: 1.2},
		{name: "65 instances", instances: 65, servers: 47, perSecond: 30, delay: 500 * time.Millisecond, spread: 1.1, idle: 1, p99: 1.05, reread: 1},
		{name: "195 instances", instances: 195, servers: 60, perSecond: 30, delay: time.Second, spread: 1.1, idle: 1, p99: 1.05, reread: 1},
		{name: "340 instances", instances: 340, servers: 60, perSecond: 30, delay: 2 * time.Second, spread: 1.1, idle: 1, p99: 1.05, reread: 1},
		{name: "unequal and disturbed machines", instances: 65, servers: 48, perSecond: 30, delay: 500 * time.Millisecond, speed: unequal, spread: 1, idle: 1.05, p99: 0.75, reread: 1.1},
		{name: "one five times slower and back", instances: 65, servers: 48, perSecond: 30, delay: 500 * time.Millisecond, speed: slowed, spread: 1.1, idle: 1, p99: 1.1, reread: 1},
		{name: "burst of large requests", instances: 65, servers: 48, perSecond: 25, delay: 500 * time.Millisecond, burst: true, spread: 1.1, idle: 1.05, p99: 1.05, reread: 1},
		{name: "one hot prompt", instances: 65, servers: 48, perSecond: 30, delay: 500 * time.Millisecond, hot: 0.3, spread: 0.7, idle: 1, p99: 0.9, reread: 1.1},
		{name: "servers join cold and leave", instances: 65, servers: 50, perSecond: 30, delay: 500 * time.Millisecond, present: joining, speed: cold, spread: 1.1, idle: 1, p99: 1.05, reread: 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			old, even := c.play(chooseByCount), c.play(chooseEven)
			for name, f := range map[string]evenFigures{"by count": old, "evenly": even} {
				t.Logf("%-8s busiest/mean %.2f, idle while others queue %.2f, p50 %d ms, p99 %d ms, reread %.3f", name, f.spread, f.idle, f.p50.Milliseconds(), f.p99.Milliseconds(), f.reread)
			}
			for _, r := range []struct {
				name           string
				old, even, max float64
			}{
				{"busiest/mean", old.spread, even.spread, c.spread},
				{"idle while others queue", old.idle, even.idle, c.idle},
				{"p50", float64(old.p50), float64(even.p50), 1},
				{"p99", float64(old.p99), float64(even.p99), c.p99},
				{"reread", old.reread, even.reread, c.reread},
			} {
				if r.even > r.old*r.max {
					t.Errorf("%s: %.3g, want at most %.3g times %.3g", r.name, r.even, r.max, r.old)
				}
			}
		})
	}
}

// TestNoHerd guards against instances that all choose the server that their equally old
// figures show idle.
func TestNoHerd(t *testing.T) {
	for _, instances := range []int{9, 65, 195, 340} {
		const n, rounds = 20, 50
		servers, plain := make([]EvenServer, n), make([]PlainServer, n)
		for i := range servers {
			servers[i] = EvenServer{ID: mix(uint64(i) + 1), Near: true, Reported: 12, Age: time.Second, Slowness: 1, Slots: 8}
			plain[i] = PlainServer{Near: true, Reported: 12, Slots: 8}
		}
		servers[0].Reported, plain[0].Reported = 0, 0
		picked := map[string]int{}
		rng := rand.New(rand.NewPCG(3, 4))
		for range rounds * instances {
			q := EvenRequest{Random: rng.Uint64(), Instances: instances, Work: 1, Holders: 1, Reread: 0.5}
			if ChooseEvenPlain(q, servers) == 0 {
				picked["plain evenly"]++
			}
			if ChoosePlain(q.Random, instances, plain) == 0 {
				picked["plain by count"]++
			}
			if chooseEven(q, servers) == 0 {
				picked["without prompt"]++
			}
			q.Prompt = rng.Uint64()
			if chooseEven(q, servers) == 0 {
				picked["with prompt"]++
			}
		}
		t.Logf("%d instances, %d servers: %v in %d rounds", instances, n, picked, rounds)
		for name, count := range picked {
			share := float64(count) / float64(rounds*instances) * n
			if herds := share > 2.3; herds != (name == "plain by count") {
				t.Errorf("%d instances, %s: the server gets %.1f times its share", instances, name, share)
			}
		}
	}
}

// TestWrongPace guards against a server that gets most prompts by a pace that it reports.
func TestWrongPace(t *testing.T) {
	const n, prompts = 20, 2000
	for _, c := range []struct{ pace, least, most float64 }{{1, 0.8, 1.2}, {2.4, 0.05, 0.3}, {0.000001, 1, 12}, {1e12, 0, 0.2}} {
		servers := make([]EvenServer, n)
		for i := range servers {
			servers[i] = EvenServer{ID: mix(uint64(i) + 1), Near: true, Reported: -1, RestPace: 1, Slowness: 1}
		}
		servers[0].RestPace = c.pace
		picked := 0
		for p := range prompts {
			if chooseEven(EvenRequest{Prompt: mix(uint64(p) + 7), Holders: 1, Work: 1, Reread: 5, Random: uint64(p), Instances: 9}, servers) == 0 {
				picked++
			}
		}
		if share := float64(picked) / prompts * n; share < c.least || share > c.most {
			t.Errorf("pace %v: %.2f times the share of the others, want %v to %v", c.pace, share, c.least, c.most)
		}
	}
}

func TestPartCounts(t *testing.T) {
	var p PartCounts
	now := time.Unix(1000, 0)
	for i := range 900 {
		p.Count(now, 1, uint64(100+i))
		if i < 100 {
			p.Count(now, 2)
		}
		if i < 9 {
			p.Count(now, 3)
		}
	}
	Convey("A part is kept by as many servers as its requests need, a rare one by one", t, func() {
		So(p.Holders(1, 20), ShouldEqual, 12)
		So(p.Holders(2, 20), ShouldEqual, 2)
		So(p.Holders(3, 20), ShouldEqual, 1)
		So(p.Holders(105, 20), ShouldEqual, 1)
		So(p.Holders(7, 0), ShouldEqual, 1)
	})
	Convey("Counts lose their weight, and their number is bounded", t, func() {
		for i := range 2 * maxCountedParts {
			p.Count(now.Add(10*partWindow), uint64(1000+i))
		}
		So(p.Holders(1, 20), ShouldEqual, 1)
		So(len(p.counts), ShouldEqual, maxCountedParts)
	})
}

func TestRestPace(t *testing.T) {
	var p RestPace
	at := time.Unix(1000, 0)
	for i, c := range []struct{ pace, rest float64 }{{1.75, 0}, {0.7, 0.7}, {1.75, 0.7}, {0.7, 0.7}, {3.5, 0.7}, {3.5, 0.7}, {3.5, 3.5}} {
		p.Add(at.Add(time.Duration(i)*restPaceWindow*3/4), c.pace)
		if p.Value() != c.rest {
			t.Errorf("after %d reports: %v, want %v", i+1, p.Value(), c.rest)
		}
	}
	var q RestPace
	q.Adopt(at, 0)
	for _, want := range []float64{0.7, 0.7} { // the second is not taken over
		q.Adopt(at, 0.7)
		if q.Value() != want {
			t.Errorf("taken over: %v, want %v", q.Value(), want)
		}
		q.Adopt(at, 1.7)
	}
}
