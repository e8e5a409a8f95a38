package policy

import (
	"errors"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

func TestRateLimit(t *testing.T) {
	at := func(millis int) time.Time { return epoch.Add(ms(millis)) }
	state := func(rate float64, sent, received int) RateStatement {
		return RateStatement{Rate: rate, Sent: at(sent), Received: at(received)}
	}
	Convey("With a limit of 4 a second, stated by a request from 100 to 200 ms", t, func() {
		var l RateLimit
		So(l.Observe(state(4, 100, 200)), ShouldBeTrue)
		So(l.Rate(), ShouldEqual, 4)
		Convey("a response to a later request changes it in any way, and ends it", func() {
			So(l.Observe(state(8, 200, 300)), ShouldBeTrue)
			So(l.Observe(state(2, 300, 400)), ShouldBeTrue)
			So(l.Observe(state(0, 400, 500)), ShouldBeTrue)
			So(l.Rate(), ShouldEqual, 0)
		})
		Convey("a response that may be older neither raises nor ends it", func() {
			So(l.Observe(state(8, 50, 300)), ShouldBeFalse)
			So(l.Observe(state(0, 150, 400)), ShouldBeFalse)
			So(l.Rate(), ShouldEqual, 4)
		})
		Convey("a response that may be older lowers it", func() {
			So(l.Observe(state(1, 50, 300)), ShouldBeTrue)
			So(l.Rate(), ShouldEqual, 1)
		})
		Convey("a response that is older changes nothing", func() {
			So(l.Observe(state(1, 10, 90)), ShouldBeFalse)
			So(l.Rate(), ShouldEqual, 4)
		})
		Convey("it is restated by a request that was sent before the last statement", func() {
			So(l.Observe(state(4, 150, 400)), ShouldBeFalse)
			So(l.Observe(state(0, 300, 500)), ShouldBeFalse)
			So(l.Observe(state(0, 400, 500)), ShouldBeTrue)
		})
	})
	Convey("A limit of 0 and a huge one are replaced by the bounds", t, func() {
		for rate, want := range map[float64]float64{0: minRateLimit, 0.01: minRateLimit, 1e300: MaxRateLimit, 8: 8} {
			s, ok := RateObservation{Rate: rate, Stated: true}.Statement()
			So(ok, ShouldBeTrue)
			So(s.Rate, ShouldEqual, want)
		}
	})
	Convey("Only a response of a server that ran the request shows that there is no limit", t, func() {
		for _, c := range []struct {
			o  RateObservation
			ok bool
		}{
			{RateObservation{Ran: true}, true},
			{RateObservation{}, false},
			{RateObservation{Ran: true, Err: errors.New("not a number")}, false},
			{RateObservation{Stated: true, Rate: 1, Err: errors.New("stated twice")}, true},
		} {
			_, ok := c.o.Statement()
			So(ok, ShouldEqual, c.ok)
		}
	})
}

// Whatever the order in which responses arrive, the limit never exceeds the lowest one
// that the server may have stated last.
func TestRateLimitOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l RateLimit
		var seen []RateStatement
		now := 0
		for range rapid.IntRange(1, 30).Draw(t, "responses") {
			now += rapid.IntRange(0, 50).Draw(t, "pause")
			took := rapid.IntRange(0, 100).Draw(t, "took")
			s := RateStatement{Rate: float64(rapid.IntRange(0, 3).Draw(t, "rate")), Sent: epoch.Add(ms(now - took)), Received: epoch.Add(ms(now))}
			l.Observe(s)
			seen = append(seen, s)
			for _, old := range seen {
				newer := false
				for _, other := range seen {
					newer = newer || !other.Sent.Before(old.Received) && other != old
				}
				if old.Rate > 0 && !newer && (l.Rate() == 0 || l.Rate() > old.Rate) {
					t.Fatalf("limit %v after a statement of %v that no later request has replaced", l.Rate(), old.Rate)
				}
			}
		}
	})
}
