package policy

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// listView is a View of a slice of candidates.
type listView struct {
	list   []Candidate
	ids    []uint64
	locals int
}

func newListView(list []Candidate, locals int) *listView {
	v := &listView{list: list, locals: locals}
	for i := range list {
		list[i].ID = mix(uint64(i) + 1)
		list[i].Local = i < locals
		v.ids = append(v.ids, list[i].ID)
	}
	return v
}

func (v *listView) Len() int           { return len(v.list) }
func (v *listView) Locals() int        { return v.locals }
func (v *listView) IDs() []uint64      { return v.ids }
func (v *listView) Free(i int) bool    { return v.list[i].Free() }
func (v *listView) At(i int) Candidate { return v.list[i] }

func servers(n int) []Candidate {
	list := make([]Candidate, n)
	for i := range list {
		list[i] = Candidate{Usable: true, Limit: 8, Total: 32, Expected: 20 * time.Millisecond}
	}
	return list
}

func TestStandardPlacement(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	choose := func(v View, prefix uint64) Choice {
		return StandardPlacement{}.Choose(epoch, Call{Prefix: prefix, Random: random.Uint64()}, v)
	}
	Convey("Given six servers, two of them in the local zone", t, func() {
		list := servers(6)
		v := newListView(list, 2)
		Convey("calls stay in the zone", func() {
			for range 100 {
				So(choose(v, 0).Index, ShouldBeLessThan, 2)
			}
		})
		Convey("calls leave the zone when no local server has a free slot", func() {
			list[0].Usable = false
			list[1].InFlight = 8
			c := choose(v, 0)
			So(c.Index, ShouldBeGreaterThanOrEqualTo, 2)
			So(c.Reason, ShouldEqual, reasonRemoteOnly)
		})
		Convey("calls leave the zone when the local servers are clearly slower", func() {
			list[0].Expected, list[1].Expected = time.Second, time.Second
			So(choose(v, 0).Reason, ShouldEqual, reasonRemote)
		})
		Convey("the less loaded of two servers is chosen, also by their load reports", func() {
			list[0].Reported = 30
			So(choose(v, 0).Index, ShouldEqual, 1)
		})
		Convey("between equally loaded servers the one with the cached prefix is chosen", func() {
			list[1].CacheHint = 1
			So(choose(v, 0).Index, ShouldEqual, 1)
		})
		Convey("a full pool has no server", func() {
			for i := range list {
				list[i].InFlight = 8
			}
			So(choose(v, 7).Index, ShouldEqual, NoServer)
		})
	})
	Convey("Given a prefix", t, func() {
		list := servers(40)
		v := newListView(list, 20)
		preferred := choose(v, 77)
		So(preferred.Reason, ShouldEqual, reasonAffinity)
		Convey("its calls go to one server", func() {
			for range 100 {
				So(choose(v, 77).Index, ShouldEqual, preferred.Index)
			}
		})
		Convey("its calls go to another server while the first is loaded", func() {
			list[preferred.Index].InFlight = 6
			So(choose(v, 77).Index, ShouldNotEqual, preferred.Index)
		})
		Convey("other prefixes keep their server when one becomes unusable", func() {
			before := make(map[uint64]int)
			for p := uint64(1); p <= 200; p++ {
				before[p] = choose(v, p).Index
			}
			list[preferred.Index].Usable = false
			for p, index := range before {
				if index != preferred.Index {
					So(choose(v, p).Index, ShouldEqual, index)
				}
			}
		})
	})
}

// simulate sends calls with Poisson arrivals to servers of unequal speed. It
// returns the 90th percentile of the call times in milliseconds; a call without a
// server counts as 1000 ms.
func simulate(p Placement, seed uint64) float64 {
	const count, calls = 30, 30000
	random := rand.New(rand.NewPCG(seed, 1))
	list := servers(count)
	v := newListView(list, 10)
	speed := make([]float64, count)
	ends := make([][]float64, count) // times at which calls end
	for i := range speed {
		speed[i] = 1
		if i%5 == 0 {
			speed[i] = 3
		}
	}
	var took []float64
	now := 0.0
	for range calls {
		now += random.ExpFloat64() * 0.4
		for i := range ends {
			ends[i] = keepAfter(ends[i], now)
			list[i].InFlight = len(ends[i])
		}
		i := p.Choose(epoch, Call{Random: random.Uint64()}, v).Index
		if i == NoServer {
			took = append(took, 1000)
			continue
		}
		// Concurrent calls on a server slow each other down.
		ms := 20 * speed[i] * (1 + float64(len(ends[i]))/8)
		ends[i] = append(ends[i], now+ms)
		took = append(took, ms)
		list[i].Expected += (time.Duration(ms*1e6) - list[i].Expected) / 8
	}
	return quantileOf(took, 0.9)
}

func keepAfter(ends []float64, now float64) []float64 {
	kept := ends[:0]
	for _, e := range ends {
		if e > now {
			kept = append(kept, e)
		}
	}
	return kept
}

func TestStandardPlacementBeatsBaseline(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		standard, baseline := simulate(StandardPlacement{}, seed), simulate(&RoundRobin{}, seed)
		t.Logf("seed %d: p90 %.1f ms standard, %.1f ms baseline", seed, standard, baseline)
		if standard >= baseline {
			t.Errorf("seed %d: p90 %.1f ms under standard, %.1f ms under baseline", seed, standard, baseline)
		}
	}
}

func benchmarkPlacement(b *testing.B, locals int, prefix uint64, busy int) {
	list := servers(600)
	for i := range list {
		list[i].InFlight = i % 8
		if i < busy {
			list[i].InFlight = 8
		}
	}
	v := newListView(list, locals)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		StandardPlacement{}.Choose(epoch, Call{Prefix: prefix, Random: mix(uint64(i))}, v)
	}
}

func BenchmarkPlacement600(b *testing.B)              { benchmarkPlacement(b, 200, 0, 0) }
func BenchmarkPlacement600Prefix(b *testing.B)        { benchmarkPlacement(b, 200, 99, 0) }
func BenchmarkPlacement600PrefixOneZone(b *testing.B) { benchmarkPlacement(b, 600, 99, 0) }
func BenchmarkPlacement600LocalFull(b *testing.B)     { benchmarkPlacement(b, 200, 0, 200) }
func BenchmarkPlacement600Full(b *testing.B)          { benchmarkPlacement(b, 200, 0, 600) }
func BenchmarkPlacement600BaselineFull(b *testing.B) {
	list := servers(600)
	for i := range list {
		list[i].InFlight = 8
	}
	v := newListView(list, 200)
	p := &RoundRobin{}
	b.ReportAllocs()
	for b.Loop() {
		p.Choose(epoch, Call{}, v)
	}
}
