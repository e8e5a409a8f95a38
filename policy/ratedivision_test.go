package policy

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

func TestRateDivision(t *testing.T) {
	Convey("With a rate of 2 a second", t, func() {
		var d RateDivision
		now := epoch
		two := TurnRate{PerSecond: 2, Burst: 1.1}
		Convey("the first turn comes after half a second, so that a restart brings none", func() {
			first := d.Take(now, two, "a", 0)
			So(first.Granted, ShouldBeFalse)
			So(first.RetryIn, ShouldAlmostEqual, ms(500), ms(1))
			So(d.Take(now.Add(first.RetryIn+ms(1)), two, "a", 0).Granted, ShouldBeTrue)
		})
		Convey("an instance that waits with a more urgent request goes first", func() {
			So(d.Take(now, two, "urgent", 0).Granted, ShouldBeFalse)
			So(d.Take(now.Add(ms(501)), two, "other", 3).Granted, ShouldBeFalse)
			So(d.Take(now.Add(ms(502)), two, "urgent", 0).Granted, ShouldBeTrue)
			Convey("but only as long as it may still come back", func() {
				So(d.Take(now.Add(ms(600)), two, "urgent", 0).Granted, ShouldBeFalse)
				So(d.Take(now.Add(ms(2000)), two, "other", 3).Granted, ShouldBeTrue)
			})
		})
		Convey("an equally urgent request that waits does not block others", func() {
			So(d.Take(now, two, "a", 1).Granted, ShouldBeFalse)
			So(d.Take(now.Add(ms(501)), two, "b", 1).Granted, ShouldBeTrue)
		})
		Convey("many waiting instances are asked to come back later, at most maxTurnWait", func() {
			for i := range 2000 {
				turn := d.Take(now, two, fmt.Sprint(i), 0)
				So(turn.Granted, ShouldBeFalse)
				So(turn.RetryIn, ShouldBeBetweenOrEqual, minTurnWait, maxTurnWait)
			}
			So(len(d.waiters), ShouldEqual, maxWaiters)
		})
	})
	Convey("Without a rate there is no turn", t, func() {
		var d RateDivision
		So(d.Take(epoch, TurnRate{}, "a", 0).Granted, ShouldBeFalse)
		So(d.Take(epoch.Add(time.Hour), TurnRate{}, "a", 0).Granted, ShouldBeFalse)
	})
	Convey("A denied instance waits, but a more urgent request asks at once", t, func() {
		var w TurnWait
		So(w.Remaining(epoch, 2), ShouldEqual, 0)
		w.Denied(epoch, ms(100), 2)
		So(w.Remaining(epoch.Add(ms(40)), 2), ShouldEqual, ms(60))
		So(w.Remaining(epoch.Add(ms(40)), 1), ShouldEqual, 0)
		So(w.Remaining(epoch.Add(ms(100)), 3), ShouldEqual, 0)
	})
}

// For any requests at any rate, the turns that the grantor and two more instances that
// take themselves for it grant in any span of a second or more stay within one and a
// half times the rate and five more, and those of a grantor alone within the rate and
// its burst.
func TestRateDivisionSum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0.1, 60).Draw(t, "rate")
		roles := []GrantorRole{{Rank: 0, Settled: true}, {Rank: 0}, {Rank: 1, Settled: true}}
		divisions := make([]RateDivision, len(roles))
		granted := make([][]time.Time, len(roles))
		var all []time.Time
		now := epoch
		for range rapid.IntRange(50, 800).Draw(t, "requests") {
			now = now.Add(ms(rapid.IntRange(0, 100).Draw(t, "pause")))
			i := rapid.IntRange(0, len(roles)-1).Draw(t, "grantor")
			instance := fmt.Sprint(rapid.IntRange(0, 400).Draw(t, "instance"))
			if divisions[i].Take(now, GrantableRate(rate, roles[i]), instance, rapid.IntRange(0, 3).Draw(t, "priority")).Granted {
				granted[i] = append(granted[i], now)
				all = append(all, now)
			}
		}
		check := func(what string, at []time.Time, allowed func(seconds float64) float64) {
			for i, first := range at {
				for n, last := range at[i:] {
					seconds := max(1, last.Sub(first).Seconds())
					if float64(n+1) > allowed(seconds) {
						t.Fatalf("%s: %d turns in %.3f s at a rate of %f", what, n+1, seconds, rate)
					}
				}
			}
		}
		check("grantor", granted[0], func(s float64) float64 { return 0.9*rate*s + GrantableRate(rate, roles[0]).Burst + 0.001 })
		check("all", all, func(s float64) float64 { return 1.5*rate*s + 5 })
	})
}
