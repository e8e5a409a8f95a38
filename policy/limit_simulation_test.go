package policy

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// coldSimulation simulates one server that warms up, stays warm and then turns
// cold without reporting it. Every instance sends as many calls as its share
// permits.
type coldSimulation struct {
	*simulation
	limits           Limits
	instances        []*coldInstance
	cold             bool // the server's true state
	capacity         int  // concurrent calls without slow-down
	running          int
	report           LoadReport // passed to every instance each 200 ms
	maxRunning       int        // highest number of running calls since reset
	finished         int        // calls finished since reset
	deadlineExceeded int        // calls ended by their deadline since reset
	lastOverload     time.Time  // last time at which more calls ran than the cold limit while cold
}

type coldInstance struct {
	limit        ServerLimit
	inFlight     int
	lastProgress time.Time
}

const (
	coldLimit, warmLimit = 2, 32
	warmAt               = 5 * time.Second
	coldAgainAt          = 30 * time.Second
	coldSimulationEnd    = 40 * time.Second
	coldCallDeadline     = 3 * time.Second
	warmHighLatency      = 25 * time.Millisecond // high quantile while warm
)

// simulateCold runs a coldSimulation with nine instances. It returns a summary and
// the highest number of running calls before the server is warm.
func simulateCold(seed uint64, limits Limits) (out string, most int) {
	r := &coldSimulation{simulation: &simulation{random: rand.New(rand.NewPCG(seed, 3))}, limits: limits, cold: true, capacity: coldLimit}
	r.report = LoadReport{Boot: "a", Version: "v1", Warm: 0.2}
	for range 9 {
		r.instances = append(r.instances, &coldInstance{limit: limits.New(epoch, LimitConfig{Cold: coldLimit, Max: warmLimit})})
	}
	var fill func(now time.Time)
	fill = func(now time.Time) {
		for rank, in := range r.instances {
			r.report.Running = r.running
			in.limit.Report(now, r.report)
			if in.inFlight > 0 && Stalled(now.Sub(in.lastProgress), warmHighLatency) {
				in.limit.Stalled(now)
			}
			r.send(now, rank, in)
		}
		if now.Before(epoch.Add(coldSimulationEnd)) {
			r.at(now.Add(200*time.Millisecond), fill)
		}
	}
	phase := func(at time.Duration, f func()) {
		r.at(epoch.Add(at), func(time.Time) { f(); r.maxRunning, r.finished, r.deadlineExceeded = r.running, 0, 0 })
	}
	phase(warmAt, func() {
		most = r.maxRunning
		out = fmt.Sprintf("while cold at most %d concurrent calls, %d finished per second", r.maxRunning, r.finished/5)
		r.cold, r.capacity, r.report.Warm = false, warmLimit, 1
	})
	phase(coldAgainAt, func() {
		out += fmt.Sprintf("; while warm at most %d, %d finished per second", r.maxRunning, r.finished/25)
		r.cold, r.capacity = true, coldLimit
	})
	phase(coldSimulationEnd, func() {
		out += fmt.Sprintf("; cold without a report: above the cold limit for %v, %d calls ended by their deadline, %d finished", r.lastOverload.Sub(epoch.Add(coldAgainAt)).Round(10*time.Millisecond), r.deadlineExceeded, r.finished)
	})
	r.at(epoch, fill)
	for len(r.events) > 0 && r.events[0].at.Before(epoch.Add(coldSimulationEnd+time.Millisecond)) {
		e := heap.Pop(&r.events).(simEvent)
		e.run(e.at)
	}
	return out, most
}

// send sends calls up to an instance's share. Beyond the server's capacity, the
// latency grows with the square of the running calls.
func (r *coldSimulation) send(now time.Time, rank int, in *coldInstance) {
	for in.inFlight < r.limits.Share(in.limit.Limit(now), rank, Sharers{Members: len(r.instances)}) {
		in.inFlight++
		r.running++
		r.maxRunning = max(r.maxRunning, r.running)
		share := r.limits.Share(in.limit.Limit(now), rank, Sharers{Members: len(r.instances)})
		sample := CallSample{InFlight: in.inFlight, Allowance: share, OK: true}
		excess := max(1, float64(r.running)/float64(r.capacity))
		base := 20e6
		if r.cold {
			base *= 5
		}
		sample.Latency = time.Duration(base * excess * excess * (0.75 + r.random.Float64()/2))
		if sample.Latency > coldCallDeadline {
			sample.Latency, sample.OK, sample.DeadlineExceeded = coldCallDeadline, false, true
		}
		if in.inFlight == 1 {
			in.lastProgress = now
		}
		r.at(now.Add(sample.Latency), func(now time.Time) {
			if r.cold && r.running > coldLimit {
				r.lastOverload = now
			}
			in.inFlight--
			in.lastProgress = now
			r.running--
			if sample.DeadlineExceeded {
				r.deadlineExceeded++
			} else {
				r.finished++
			}
			in.limit.Observe(now, sample)
			r.send(now, rank, in)
		})
	}
}

func TestLimitAgainstBaseline(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		standard, most := simulateCold(seed, AdaptiveLimits{})
		baseline, _ := simulateCold(seed, FixedLimits{})
		t.Logf("seed %d: standard: %s", seed, standard)
		t.Logf("seed %d: baseline: %s", seed, baseline)
		if most > coldLimit {
			t.Errorf("seed %d: %d concurrent calls on a cold server, want at most %d", seed, most, coldLimit)
		}
	}
}
