package policy

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// newVersion is the behaviour of the new version in a simulated rollout.
type newVersion struct {
	name string
	// call returns the result of a call of the new version, given the result for a
	// good version and the fraction of the move's time that has passed.
	call func(c simCall, progress float64, random *rand.Rand) simCall
	// faultFrom is the progress of the move at which the fault begins.
	faultFrom float64
	good      bool
	// sudden is true if the fault affects every call from faultFrom on.
	sudden bool
}

// simCall is a call with the number of calls of the new version before it.
type simCall struct {
	MoveCall
	Calls int64
}

func failing(c simCall, fraction float64, random *rand.Rand) simCall {
	c.OK = c.OK && random.Float64() >= fraction
	return c
}

var newVersions = []newVersion{
	{name: "good", good: true, call: func(c simCall, _ float64, _ *rand.Rand) simCall { return c }},
	{name: "good, slow while cold", good: true, call: func(c simCall, _ float64, r *rand.Rand) simCall {
		if c.Cold = c.Calls < 60; c.Cold {
			c.Latency = c.Latency * 5 / 2
		}
		return c
	}},
	{name: "fails at once, all calls", sudden: true, call: func(c simCall, _ float64, r *rand.Rand) simCall { return failing(c, 1, r) }},
	{name: "fails at once, 1 in 5", call: func(c simCall, _ float64, r *rand.Rand) simCall { return failing(c, 0.2, r) }},
	{name: "fails later, all calls", sudden: true, faultFrom: 0.6, call: func(c simCall, p float64, r *rand.Rand) simCall {
		if p < 0.6 {
			return c
		}
		return failing(c, 1, r)
	}},
	{name: "fails later, 1 in 10", faultFrom: 0.8, call: func(c simCall, p float64, r *rand.Rand) simCall {
		if p < 0.8 {
			return c
		}
		return failing(c, 0.1, r)
	}},
	{name: "fails under load, 1 in 3", call: func(c simCall, _ float64, r *rand.Rand) simCall {
		if c.Load <= loadedThreshold {
			return c
		}
		return failing(c, 0.33, r)
	}},
	{name: "slow later, all calls", sudden: true, faultFrom: 0.6, call: func(c simCall, p float64, _ *rand.Rand) simCall {
		if p >= 0.6 {
			c.Latency *= 3
		}
		return c
	}},
	{name: "three times as slow", call: func(c simCall, _ float64, _ *rand.Rand) simCall {
		c.Latency *= 3
		return c
	}},
}

// moveResult is the result of a simulated rollout.
type moveResult struct {
	earlyFraction float64       // calls of the new version before 20 of them were observed, as a fraction of simCalls
	bad           int           // calls that failed or were slow because of the new version's fault
	calls         int           // calls since faultFrom
	badDuration   time.Duration // time from the first bad call to the last call of the new version
	finishedAt    float64       // progress at which the share was 1, 0 if never
	rolledBack    bool
}

const (
	simInstances      = 4
	simDuration       = 10 * time.Minute
	simCalls          = 60_000 // 100 per second
	simGossipInterval = time.Second
)

// simulateMove simulates a rollout on instances that exchange evidence every
// simGossipInterval.
func simulateMove(r Rollout, v newVersion, seed uint64) moveResult {
	random := rand.New(rand.NewPCG(seed, 1))
	start := time.Unix(1_700_000_000, 0)
	m := Move{Route: "answer", From: "v1", To: "v2", Start: start, By: start.Add(simDuration), Retryable: true}
	var trackers [simInstances]MoveTracker
	var received [simInstances]MoveEvidence // last evidence that each instance sent
	var rolledBack [simInstances]bool
	var out moveResult
	var firstBad, lastNew, gossiped time.Time
	for i := range simCalls * 11 / 10 {
		now := start.Add(simDuration * time.Duration(i) / simCalls)
		if now.Sub(gossiped) >= simGossipInterval {
			gossiped = now
			for k := range trackers {
				received[k] = trackers[k].Evidence(now)
				received[k].RolledBack = rolledBack[k]
			}
		}
		k := random.IntN(simInstances)
		e := trackers[k].Evidence(now)
		for other := range received {
			if other != k {
				e = e.Plus(received[other])
			}
		}
		if _, fault := r.RollBack(now, m, e); fault || e.RolledBack {
			rolledBack[k], e.RolledBack, out.rolledBack = true, true, true
		}
		share := r.Share(now, m, e)
		if share == 1 && out.finishedAt == 0 {
			out.finishedAt = m.progress(now)
		}
		c := MoveCall{New: random.Float64() < share, OK: random.Float64() >= 0.005, Load: 0.6 * (1 - share)}
		c.Latency = time.Duration((0.8 + 0.4*random.Float64() + 0.1*random.ExpFloat64()) * float64(100*time.Millisecond))
		if c.New {
			c.Load = min(1, share/0.5)
			before := c
			c = v.call(simCall{c, e.New.Calls}, m.progress(now), random).MoveCall
			lastNew = now
			if c.OK != before.OK || c.Latency != before.Latency {
				out.bad++
				if firstBad.IsZero() {
					firstBad = now
				}
			}
			if e.New.Calls < 20 {
				out.earlyFraction++
			}
		}
		if m.progress(now) >= v.faultFrom {
			out.calls++
		}
		trackers[k].Observe(now, c)
	}
	out.earlyFraction /= simCalls
	if !firstBad.IsZero() {
		out.badDuration = lastNew.Sub(firstBad)
	}
	return out
}

func TestRolloutAgainstBaseline(t *testing.T) {
	Convey("Given good new versions, and bad ones with different faults", t, func() {
		for _, v := range newVersions {
			baseline := simulateMove(LinearRollout{}, v, 0)
			for seed := range uint64(3) {
				standard := simulateMove(StandardRollout{}, v, seed)
				t.Logf("%-26s seed %d: standard bad calls %5d of %d, %6.1f s from the first bad to the last call of the new version, finished at %.2f, rolledBack %v; baseline bad calls %5d",
					v.name, seed, standard.bad, standard.calls, standard.badDuration.Seconds(), standard.finishedAt, standard.rolledBack, baseline.bad)
				if v.good {
					So(standard.rolledBack, ShouldBeFalse)
					So(standard.finishedAt, ShouldBeBetween, 0, 1)
					continue
				}
				So(standard.rolledBack, ShouldBeTrue)
				if v.faultFrom < 0.7 {
					So(standard.finishedAt, ShouldEqual, 0)
				}
				So(standard.bad, ShouldBeLessThan, baseline.bad/20)
				So(standard.earlyFraction, ShouldBeLessThan, 0.05)
				if v.sudden {
					So(standard.badDuration, ShouldBeLessThan, 3*time.Second)
				}
			}
		}
	})
}

func TestRolloutRules(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	at := func(fraction float64) time.Time { return start.Add(time.Duration(fraction * float64(time.Hour))) }
	m := Move{Start: start, By: start.Add(time.Hour), Retryable: true}
	validated := MoveEvidence{Old: VersionEvidence{Calls: 1e4}, New: VersionEvidence{Calls: 1e4}}
	var r StandardRollout
	Convey("Without evidence the share stays below 5%, also after the end of the move", t, func() {
		for _, fraction := range []float64{0, 0.5, 1, 3} {
			So(r.Share(at(fraction), m, MoveEvidence{}), ShouldBeBetween, 0, 0.05)
		}
	})
	Convey("A validated version gets all traffic before the end of the move", t, func() {
		So(r.Share(at(-0.1), m, validated), ShouldEqual, 0)
		So(r.Share(at(0.9), m, validated), ShouldEqual, 1)
	})
	Convey("Without evidence under load the share is bounded for most of the move's time", t, func() {
		e := validated
		e.Old.LoadedCalls = 1000
		So(r.Share(at(0.75), m, e), ShouldEqual, maxUnloadedShare)
		So(r.Share(at(0.85), m, e), ShouldEqual, 1)
	})
	Convey("Routes with more expensive traffic begin later, and those that must not be retried wait until another route has validated the version", t, func() {
		deferred := m
		deferred.Deferred = true
		So(r.Share(at(0.1), deferred, validated), ShouldEqual, 0)
		So(r.Share(at(0.2), deferred, validated), ShouldBeGreaterThan, 0)
		deferred.Retryable = false
		So(r.Share(at(0.9), deferred, validated), ShouldEqual, 0)
		deferred.Deferred = false
		So(r.Share(at(0.9), deferred, validated), ShouldEqual, 1)
	})
	Convey("A version that fails as often as the old one is not rolled back", t, func() {
		e := MoveEvidence{Old: VersionEvidence{Calls: 1000, Failures: 300}, New: VersionEvidence{Calls: 100, Failures: 32}}
		_, bad := r.RollBack(at(0.5), m, e)
		So(bad, ShouldBeFalse)
		e.Old.Failures = 5
		_, bad = r.RollBack(at(0.5), m, e)
		So(bad, ShouldBeTrue)
	})
}

func TestShareProperties(t *testing.T) {
	count := func(t *rapid.T, name string) VersionEvidence {
		calls := rapid.Int64Range(0, 5000).Draw(t, name)
		loaded := rapid.Int64Range(0, calls).Draw(t, name+" loaded")
		return VersionEvidence{Calls: calls, Failures: rapid.Int64Range(0, calls).Draw(t, name+" failures"), LoadedCalls: loaded}
	}
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1_700_000_000, 0)
		m := Move{Start: start, By: start.Add(time.Hour), Retryable: rapid.Bool().Draw(t, "repeatable"), Deferred: rapid.Bool().Draw(t, "behind")}
		e := MoveEvidence{Old: count(t, "old"), New: count(t, "new"), Step: rapid.IntRange(0, 9).Draw(t, "step")}
		var r StandardRollout
		last := 0.0
		for minute := range 130 {
			share := r.Share(start.Add(time.Duration(minute)*time.Minute), m, e)
			if share < last || share > 1 {
				t.Fatalf("share %f after %f", share, last)
			}
			last = share
		}
		e.RolledBack = true
		if s := r.Share(start.Add(2*time.Hour), m, e); s != 0 {
			t.Fatal(fmt.Sprint("rolled back, but a share of ", s))
		}
	})
}
