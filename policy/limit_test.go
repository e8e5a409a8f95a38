package policy

import (
	"testing"
	"time"
	"unsafe"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

var epoch = time.Date(2026, 3, 2, 6, 0, 0, 0, time.UTC)

const fast = 20 * time.Millisecond

// feed records successful calls of one latency, each of which used the full
// share, and returns the time of the last.
func feed(l ServerLimit, now time.Time, calls int, latency time.Duration) time.Time {
	for range calls {
		now = now.Add(latency)
		l.Observe(now, CallSample{Latency: latency, OK: true, InFlight: 1, Allowance: 1})
	}
	return now
}

func warmServer() (ServerLimit, time.Time) {
	l := AdaptiveLimits{}.New(epoch, LimitConfig{Cold: 2, Max: 32})
	l.Report(epoch, LoadReport{Warm: 1, Boot: "a", Version: "v1"})
	return l, feed(l, epoch, 200, fast)
}

func TestShareSum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(0, 400).Draw(t, "limit")
		members := rapid.IntRange(1, 340).Draw(t, "members")
		among := Sharers{Members: members, Home: rapid.IntRange(0, members).Draw(t, "home")}
		sum := 0
		for rank := range members {
			sum += AdaptiveLimits{}.Share(limit, rank, among)
		}
		if sum != limit {
			t.Fatalf("the shares add up to %d, want %d", sum, limit)
		}
	})
}

// Guards against overload of a server during a membership change: a member joins
// (or leaves) at any rank while only some of the others are aware of it.
func TestShareSumDuringMembershipChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(0, 400).Draw(t, "limit")
		before := rapid.IntRange(1, 40).Draw(t, "members before")
		old := Sharers{Members: before, Home: rapid.IntRange(0, before).Draw(t, "home before")}
		joined := rapid.IntRange(0, before).Draw(t, "rank of the new member")
		now := Sharers{Members: before + 1, Home: old.Home}
		if joined < old.Home || (joined == old.Home && rapid.Bool().Draw(t, "joins home")) {
			now.Home++
		}
		own := AdaptiveLimits{}.Share(limit, joined, now)
		sum := own
		for rank := range before {
			if !rapid.Bool().Draw(t, "knows") {
				sum += AdaptiveLimits{}.Share(limit, rank, old)
				continue
			}
			if rank >= joined {
				rank++
			}
			sum += AdaptiveLimits{}.Share(limit, rank, now)
		}
		if sum > limit+own {
			t.Fatalf("the shares add up to %d, want at most %d plus the new member's share of %d", sum, limit, own)
		}
	})
}

func TestLimitBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := LimitConfig{Cold: rapid.IntRange(1, 8).Draw(t, "cold"), Max: rapid.IntRange(1, 64).Draw(t, "max")}
		l := AdaptiveLimits{}.New(epoch, c)
		now := epoch
		for range rapid.IntRange(0, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 1000).Draw(t, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 9).Draw(t, "kind") == 0 {
				l.Report(now, LoadReport{Warm: rapid.Float64Range(0, 1).Draw(t, "warm"), Boot: rapid.StringMatching("[ab]").Draw(t, "boot"), Running: rapid.IntRange(0, 100).Draw(t, "running")})
			} else {
				l.Observe(now, CallSample{Latency: time.Duration(rapid.IntRange(1, 500).Draw(t, "latency")) * time.Millisecond, OK: rapid.IntRange(0, 5).Draw(t, "ok") > 0, InFlight: 4, Allowance: 4})
			}
			if n := l.Limit(now); n < 1 || n > max(1, c.Max) {
				t.Fatalf("limit %d out of range", n)
			}
			if l.Cold(now) && l.Limit(now) > c.Cold {
				t.Fatalf("limit %d of a cold server, want at most %d", l.Limit(now), c.Cold)
			}
		}
	})
}

func TestAdaptiveLimit(t *testing.T) {
	Convey("Given a server that has just started", t, func() {
		l := AdaptiveLimits{}.New(epoch, LimitConfig{Cold: 2, Max: 32})
		So(l.Limit(epoch), ShouldEqual, 2)
		Convey("it stays cold while its reports contain a low warmth", func() {
			l.Report(epoch, LoadReport{Warm: 0.3, Boot: "a"})
			now := feed(l, epoch, 500, fast)
			So(l.Cold(now), ShouldBeTrue)
			So(l.Limit(now), ShouldEqual, 2)
		})
		Convey("successes at the limit end the cold state and start slow start", func() {
			now := feed(l, epoch, warmUpSuccesses, fast)
			So(l.Cold(now), ShouldBeFalse)
			So(l.Limit(now), ShouldEqual, 2)
			So(l.Limit(feed(l, now, 10, fast)), ShouldEqual, 32)
		})
		Convey("successes below the limit do not raise it", func() {
			for range 100 {
				l.Observe(epoch, CallSample{Latency: fast, OK: true, InFlight: 1, Allowance: 2})
			}
			So(l.Limit(epoch), ShouldEqual, 2)
		})
		Convey("without calls of its own, an instance raises the limit by the reports of a warm server", func() {
			now := epoch
			for range 20 {
				now = now.Add(time.Second)
				l.Report(now, LoadReport{Warm: 1, Boot: "a", Running: 3})
			}
			So(l.Limit(now), ShouldEqual, 32)
		})
		Convey("an instance without a share raises the limit with the running calls of the others", func() {
			now := epoch
			for running := 2; running <= 32; running += 2 {
				now = now.Add(time.Second)
				l.Report(now, LoadReport{Warm: 1, Boot: "a", Running: running})
			}
			So(l.Limit(now), ShouldEqual, 32)
		})
	})
	Convey("Given a warm server", t, func() {
		l, now := warmServer()
		So(l.Limit(now), ShouldEqual, 32)
		Convey("a new boot resets it to the cold limit at once", func() {
			l.Report(now, LoadReport{Warm: 1, Boot: "b", Version: "v1"})
			So(l.Limit(now), ShouldEqual, 2)
		})
		Convey("a drop of its reported warmth resets it", func() {
			l.Report(now, LoadReport{Warm: 0.5, Boot: "a", Version: "v1"})
			So(l.Limit(now), ShouldEqual, 2)
		})
		Convey("a latency jump resets it, and reports do not raise it until a call is fast again", func() {
			now = feed(l, now, latencyJumpSamples, 10*fast)
			So(l.Limit(now), ShouldEqual, 2)
			l.Report(now, LoadReport{Warm: 1, Boot: "a", Version: "v1", Running: 20})
			So(l.Limit(now), ShouldEqual, 2)
			now = feed(l, now, 40, fast)
			So(l.Limit(now), ShouldEqual, 32)
		})
		Convey("a broken connection resets it", func() {
			l.Observe(now, CallSample{Broken: true})
			So(l.Limit(now), ShouldEqual, 2)
		})
		Convey("consecutive failures reset it", func() {
			for range failureThreshold {
				l.Observe(now, CallSample{})
			}
			So(l.Limit(now), ShouldEqual, 2)
		})
		Convey("calls that hit their deadline early do not count, those that hit it late make a jump", func() {
			for range 20 {
				l.Observe(now, CallSample{Latency: fast, DeadlineExceeded: true})
			}
			So(l.Limit(now), ShouldEqual, 32)
			for range latencyJumpSamples {
				l.Observe(now, CallSample{Latency: 10 * fast, DeadlineExceeded: true})
			}
			So(l.Limit(now), ShouldEqual, 2)
		})
		Convey("a higher latency decreases the limit in steps", func() {
			now = feed(l, now, 30, 3*fast)
			So(l.Cold(now), ShouldBeFalse)
			So(l.Limit(now), ShouldBeLessThan, 32)
		})
		Convey("large requests are compared only with large ones", func() {
			for range 100 {
				now = now.Add(time.Second)
				l.Observe(now, CallSample{Latency: time.Second, Class: largeClass, OK: true, InFlight: 1, Allowance: 1})
			}
			So(l.Limit(now), ShouldEqual, 32)
		})
	})
}

func TestLimitSize(t *testing.T) {
	size := unsafe.Sizeof(adaptiveLimit{})
	t.Logf("limit of one server: %d bytes", size)
	if size > 384 {
		t.Errorf("limit of one server takes %d bytes, want at most 384", size)
	}
}
