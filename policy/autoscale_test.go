package policy

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// scaleLoad is a load on a service in one availability zone, for which servers are ordered.
type scaleLoad struct {
	name string
	// demand is the number of requests at the servers at a time, in seconds.
	demand func(s float64) float64
	// view changes what is known at a time, and the number of servers that run.
	view func(s float64, v *ScaleView, servers *int)
	// unknownAt is the time of the order whose result is unknown; 0 if there is none.
	unknownAt float64
	start     int
	// The expected number of orders up, down and repeated, the number at the end, and the
	// time by which enough servers have to be there for the demand, in seconds after it
	// needs them; 0 if they have to be there all the time.
	up, down, same, end int
	late                float64
}

var (
	scaleTestLimits = ScaleLimits{Min: 4, Max: 40, Boot: 8 * time.Second, Target: 0.4, Window: 15 * time.Second}
	scaleTestSlots  = 10
)

const scaleTestTime = 240 // seconds

func constantLoad(d float64) func(float64) float64 { return func(float64) float64 { return d } }

func between(s, from, to float64) bool { return s >= from && s < to }

// jump returns a load that has another value from a time to another.
func jump(d, other, from, to float64) func(float64) float64 {
	return func(s float64) float64 {
		if between(s, from, to) {
			return other
		}
		return d
	}
}

func wave(mean, swing, period float64) func(float64) float64 {
	return func(s float64) float64 { return mean * (1 + swing*math.Sin(2*math.Pi*s/period)) }
}

var scaleLoads = []scaleLoad{
	{name: "a load that the servers fit", demand: constantLoad(40), start: 11, end: 11},
	{name: "no load", demand: constantLoad(0), start: 11, down: 6, end: 4},
	{name: "a wave with a period below the window", demand: wave(60, 0.27, 11), start: 22, end: 22},
	{name: "a wave with noise", demand: func(s float64) float64 {
		return wave(60, 0.27, 11)(s) * (0.95 + 0.1*rand.New(rand.NewPCG(1, uint64(10*s))).Float64())
	}, start: 22, end: 22},
	{name: "a wave with a period of several windows", demand: wave(60, 0.5, 80), start: 26, up: 13, down: 9, end: 17},
	{name: "a burst of one class within the reserve", demand: func(s float64) float64 { return 30 + jump(0, 6, 50, 54)(s) }, start: 9, end: 9},
	{name: "a burst of one class beyond the reserve", demand: func(s float64) float64 { return 30 + jump(0, 50, 50, 56)(s) }, start: 9, up: 1, down: 4, end: 9, late: 9},
	{name: "a jump", demand: jump(30, 100, 50, 1000), start: 9, up: 1, end: 25, late: 9},
	{name: "a jump beyond the limit", demand: jump(30, 1000, 50, 1000), start: 9, up: 1, end: 40, late: 1000},
	{name: "a slow decline", demand: func(s float64) float64 { return 100 - 70*min(1, s/200) }, start: 30, down: 14, end: 9},
	{name: "fewer servers than the minimum", demand: constantLoad(1), start: 2, up: 1, end: 4},
	{
		name: "refusals in place of running requests", demand: constantLoad(40), start: 10, up: 1, end: 20, late: 1000,
		view: func(s float64, v *ScaleView, _ *int) {
			if s >= 50 {
				v.Refused, v.ServerTime = 80, 500*time.Millisecond
			}
		},
	},
	{
		name: "servers that crash and come back", demand: constantLoad(36), start: 10, end: 10, late: 10,
		view: func(s float64, v *ScaleView, _ *int) {
			if between(s, 50, 56) {
				v.Present -= 4
			}
		},
	},
	{
		name: "servers that come back cold", demand: jump(60, 10, 50, 1000), start: 16, down: 6, end: 6,
		view: func(s float64, v *ScaleView, _ *int) {
			if between(s, 0, 150) {
				v.Cold = v.Present
			}
		},
	},
	{
		name: "servers lost for good", demand: constantLoad(36), start: 10, same: 1, end: 10, late: 22,
		view: func(s float64, v *ScaleView, servers *int) {
			if s == 50 {
				*servers -= 4
				v.Present -= 4
			}
		},
	},
	{
		name: "lost servers that nobody needs", demand: constantLoad(8), start: 5, down: 1, end: 4,
		view: func(s float64, v *ScaleView, servers *int) {
			if s == 2 {
				*servers = 4
				v.Present = 4
			}
		},
	},
	{
		name: "a zone that is evacuated and taken back", demand: jump(36, 0, 50, 150), start: 10, end: 10,
		view: func(s float64, v *ScaleView, _ *int) { v.OutOfService = between(s, 50, 150) },
	},
	{
		name: "a zone that takes the load of another one", demand: jump(36, 54, 50, 150), start: 10, up: 1, down: 2, end: 11, late: 9,
	},
	{
		name: "reports missing", demand: constantLoad(36), start: 10, end: 10,
		view: func(s float64, v *ScaleView, _ *int) {
			if between(s, 50, 150) {
				v.Complete, v.Running = false, 0
			}
		},
	},
	{
		name: "reports missing again and again while the load is low", demand: constantLoad(0), start: 10, end: 10,
		view: func(s float64, v *ScaleView, _ *int) { v.Complete = int(s)%20 < 14 },
	},
	{
		name: "a jump while reports are missing", demand: jump(36, 100, 50, 1000), start: 10, up: 1, end: 25, late: 32,
		view: func(s float64, v *ScaleView, _ *int) { v.Complete = !between(s, 45, 70) },
	},
	{
		name: "a rollout with twice the servers", demand: constantLoad(36), start: 10, end: 10,
		view: func(s float64, v *ScaleView, _ *int) {
			if v.Rollout = between(s, 10, 100); v.Rollout {
				v.Present *= 2
			}
		},
	},
	{name: "an order whose result is unknown", demand: jump(30, 100, 50, 1000), start: 9, up: 1, same: 1, end: 25, late: 11, unknownAt: 50},
	{
		name: "an unknown number of slots", demand: constantLoad(0), start: 10, end: 10,
		view: func(_ float64, v *ScaleView, _ *int) { v.Slots = 0 },
	},
}

func TestScaler(t *testing.T) {
	for _, l := range scaleLoads {
		Convey("Under "+l.name, t, func() { l.play(scaleTestTime) })
	}
}

// play plays the load on a platform that starts servers after the boot time, stops them at
// once, and loses the orders whose result is unknown.
func (l scaleLoad) play(to float64) {
	var scaler Scaler
	begin := time.Unix(1000, 0)
	at := func(s float64) time.Time { return begin.Add(time.Duration(s * float64(time.Second))) }
	servers, ordered, readyAt := l.start, l.start, to
	up, down, same := 0, 0, 0
	shortSince := -1.0
	for s := 0.0; s < to; s++ {
		if s >= readyAt {
			servers, readyAt = ordered, to
		}
		demand := l.demand(s)
		v := ScaleView{Complete: true, Running: int(demand), Slots: scaleTestSlots, Present: servers}
		if l.view != nil {
			l.view(s, &v, &servers)
		}
		if int(demand) <= v.Present*scaleTestSlots*2/3 {
			shortSince = -1
		} else if shortSince < 0 {
			shortSince = s
		}
		if l.late < to && shortSince >= 0 {
			So(s-shortSince, ShouldBeLessThan, l.late)
		}
		d := scaler.Decide(at(s), scaleTestLimits, v)
		if d.Order == 0 {
			continue
		}
		So(v.Complete && !v.OutOfService, ShouldBeTrue)
		So(d.Order, ShouldBeBetweenOrEqual, scaleTestLimits.Min, scaleTestLimits.Max)
		So(d.Order*scaleTestSlots, ShouldBeGreaterThanOrEqualTo, min(v.Running, scaleTestLimits.Max*scaleTestSlots))
		switch {
		case d.Order > d.Base:
			up++
		case d.Order < d.Base:
			down++
		default:
			same++
		}
		lost := s == l.unknownAt && s > 0
		scaler.Ordered(at(s), d.Order, !lost)
		if !lost {
			if ordered = d.Order; ordered > servers {
				readyAt = s + scaleTestLimits.Boot.Seconds()
			}
			servers = min(servers, ordered)
		}
	}
	So([]int{up, down, same, ordered}, ShouldResemble, []int{l.up, l.down, l.same, l.end})
}
