package policy

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// coldRun is a warm-up, a time warm and a turn to cold without notice of one
// server, with every instance sending as many calls as its share allows.
type coldRun struct {
	*simulation
	limits    Limits
	instances []*coldInstance
	cold      bool // the server's true state
	bears     int  // calls that it can bear at once
	running   int
	report    LoadReport // sent with each answer
	most      int        // highest number of running calls since reset
	done      int        // calls finished since reset
	cut       int        // calls cut by their deadline since reset
	chilled   time.Time  // last time at which more ran than the cold limit
}

type coldInstance struct {
	limit    ServerLimit
	inFlight int
	progress time.Time
}

const (
	coldLimit, warmLimit = 2, 32
	coldUntil            = 5 * time.Second
	coldAgain            = 30 * time.Second
	coldEnd              = 40 * time.Second
	coldDeadline         = 3 * time.Second
	coldUsual            = 25 * time.Millisecond // high quantile while warm
)

// runCold returns what happened and the highest number of calls while cold.
func runCold(seed uint64, limits Limits) (out string, most int) {
	r := &coldRun{simulation: &simulation{random: rand.New(rand.NewPCG(seed, 3))}, limits: limits, cold: true, bears: coldLimit}
	r.report = LoadReport{Boot: "a", Version: "v1", Warm: 0.2}
	for range 9 {
		r.instances = append(r.instances, &coldInstance{limit: limits.New(epoch, LimitConfig{Cold: coldLimit, Max: warmLimit})})
	}
	var fill func(now time.Time)
	fill = func(now time.Time) {
		for rank, in := range r.instances {
			r.report.Running = r.running
			in.limit.Report(now, r.report)
			if in.inFlight > 0 && Stalled(now.Sub(in.progress), coldUsual) {
				in.limit.Stalled(now)
			}
			r.send(now, rank, in)
		}
		if now.Before(epoch.Add(coldEnd)) {
			r.at(now.Add(200*time.Millisecond), fill)
		}
	}
	phase := func(at time.Duration, f func()) {
		r.at(epoch.Add(at), func(time.Time) { f(); r.most, r.done, r.cut = r.running, 0, 0 })
	}
	phase(coldUntil, func() {
		most = r.most
		out = fmt.Sprintf("while cold at most %d calls at once, %d done a second", r.most, r.done/5)
		r.cold, r.bears, r.report.Warm = false, warmLimit, 1
	})
	phase(coldAgain, func() {
		out += fmt.Sprintf("; warm at most %d, %d done a second", r.most, r.done/25)
		r.cold, r.bears = true, coldLimit
	})
	phase(coldEnd, func() {
		out += fmt.Sprintf("; cold without notice: above the cold limit for %v, %d calls cut by their deadline, %d done", r.chilled.Sub(epoch.Add(coldAgain)).Round(10*time.Millisecond), r.cut, r.done)
	})
	r.at(epoch, fill)
	for len(r.events) > 0 && r.events[0].at.Before(epoch.Add(coldEnd+time.Millisecond)) {
		e := heap.Pop(&r.events).(simEvent)
		e.run(e.at)
	}
	return out, most
}

// send fills an instance's share. A server with more calls than it bears slows
// down with the square of the excess.
func (r *coldRun) send(now time.Time, rank int, in *coldInstance) {
	for in.inFlight < r.limits.Share(in.limit.Limit(now), rank, Sharers{Members: len(r.instances)}) {
		in.inFlight++
		r.running++
		r.most = max(r.most, r.running)
		share := r.limits.Share(in.limit.Limit(now), rank, Sharers{Members: len(r.instances)})
		sample := CallSample{InFlight: in.inFlight, Allowance: share, OK: true}
		excess := max(1, float64(r.running)/float64(r.bears))
		base := 20e6
		if r.cold {
			base *= 5
		}
		sample.Latency = time.Duration(base * excess * excess * (0.75 + r.random.Float64()/2))
		if sample.Latency > coldDeadline {
			sample.Latency, sample.OK, sample.Cut = coldDeadline, false, true
		}
		if in.inFlight == 1 {
			in.progress = now
		}
		r.at(now.Add(sample.Latency), func(now time.Time) {
			if r.cold && r.running > coldLimit {
				r.chilled = now
			}
			in.inFlight--
			in.progress = now
			r.running--
			if sample.Cut {
				r.cut++
			} else {
				r.done++
			}
			in.limit.Observe(now, sample)
			r.send(now, rank, in)
		})
	}
}

func TestLimitBesideBaseline(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		standard, most := runCold(seed, AdaptiveLimits{})
		baseline, _ := runCold(seed, FixedLimits{})
		t.Logf("seed %d: standard: %s", seed, standard)
		t.Logf("seed %d: baseline: %s", seed, baseline)
		if most > coldLimit {
			t.Errorf("seed %d: %d calls on a cold server at once, want at most %d", seed, most, coldLimit)
		}
	}
}
