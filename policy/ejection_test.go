package policy

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

func TestOutlier(t *testing.T) {
	Convey("Given a server", t, func() {
		o := OutlierEjections{}.NewEjector()
		fail := func(now time.Time, n int) (ejected bool) {
			for range n {
				ejected = o.Observe(now, CallSample{})
			}
			return ejected
		}
		Convey("failures in a row eject it, for longer each time, up to a bound", func() {
			now := epoch
			So(fail(now, ejectRun-1), ShouldBeFalse)
			So(fail(now, 1), ShouldBeTrue)
			for want := ejectFirst; want < ejectLongest; want *= 2 {
				until := o.Eject(now)
				So(until.Sub(now), ShouldEqual, want)
				now = until
				So(fail(now, 1), ShouldBeTrue)
			}
			So(o.Eject(now).Sub(now), ShouldEqual, ejectLongest)
		})
		Convey("silence on an old and on a new connection ejects it at once", func() {
			So(o.Observe(epoch, CallSample{Dead: true}), ShouldBeTrue)
		})
		Convey("a server that worked well for long is ejected for the first time again", func() {
			o.Eject(epoch)
			o.Observe(epoch.Add(ejectFirst), CallSample{OK: true})
			late := epoch.Add(10 * ejectFirst)
			So(o.Eject(late).Sub(late), ShouldEqual, ejectFirst)
		})
		Convey("a high rate of failures ejects it", func() {
			var ejected bool
			for range ejectCalls {
				o.Observe(epoch, CallSample{OK: true})
				ejected = o.Observe(epoch, CallSample{})
			}
			So(ejected, ShouldBeTrue)
		})
		Convey("refusals and calls cut by deadlines do not", func() {
			for range 100 {
				So(o.Observe(epoch, CallSample{Refused: true}), ShouldBeFalse)
				So(o.Observe(epoch, CallSample{Cut: true}), ShouldBeFalse)
			}
		})
	})
}

func TestEjectionsLeaveHalf(t *testing.T) {
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
