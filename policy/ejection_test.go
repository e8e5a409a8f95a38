package policy

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

func TestOutlierEjections(t *testing.T) {
	Convey("Given a server", t, func() {
		o := OutlierEjections{}.NewEjector()
		fail := func(now time.Time, n int) (ejected bool) {
			for range n {
				ejected = o.Observe(now, CallSample{})
			}
			return ejected
		}
		Convey("consecutive failures eject it, for longer each time, up to a bound", func() {
			now := epoch
			So(fail(now, ejectConsecutiveFailures-1), ShouldBeFalse)
			So(fail(now, 1), ShouldBeTrue)
			for want := minEjectTime; want < maxEjectTime; want *= 2 {
				until := o.Eject(now)
				So(until.Sub(now), ShouldEqual, want)
				now = until
				So(fail(now, 1), ShouldBeTrue)
			}
			So(o.Eject(now).Sub(now), ShouldEqual, maxEjectTime)
		})
		Convey("a call without a response on the old and on a new connection ejects it at once", func() {
			So(o.Observe(epoch, CallSample{Unresponsive: true}), ShouldBeTrue)
		})
		Convey("a server that was not ejected for a long time is ejected for the shortest time again", func() {
			o.Eject(epoch)
			o.Observe(epoch.Add(minEjectTime), CallSample{OK: true})
			late := epoch.Add(10 * minEjectTime)
			So(o.Eject(late).Sub(late), ShouldEqual, minEjectTime)
		})
		Convey("a high failure rate ejects it", func() {
			var ejected bool
			for range ejectMinCalls {
				o.Observe(epoch, CallSample{OK: true})
				ejected = o.Observe(epoch, CallSample{})
			}
			So(ejected, ShouldBeTrue)
		})
		Convey("refused calls and calls ended by their deadlines do not eject it", func() {
			for range 100 {
				So(o.Observe(epoch, CallSample{Refused: true}), ShouldBeFalse)
				So(o.Observe(epoch, CallSample{DeadlineExceeded: true}), ShouldBeFalse)
			}
		})
	})
}

func TestOutlierEjectionsKeepHalf(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		group := rapid.IntRange(0, 50).Draw(t, "group")
		ejected := 0
		for (OutlierEjections{}).Allowed(ejected, group) {
			ejected++
		}
		if 2*ejected > group {
			t.Fatalf("%d of %d servers ejected", ejected, group)
		}
	})
}
