package kernel

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestServeDuringStop guards against requests that start during a stop and are aborted at
// its end.
func TestServeDuringStop(t *testing.T) {
	serve := func(h *Host, route string) Outcome {
		return h.Serve(context.Background(), &Request{Account: "alto", Route: route, Key: "k", Body: []byte(`{}`)}).Outcome
	}
	Convey("With an instance that begins to stop, and aborts in 1 s", t, func() {
		transport := &fakeTransport{answer: func(int, *StageCall) StageAnswer { return okAnswer(`1`) }}
		h := serveHost(t, transport)
		claims := &fakeClaims{}
		h.Claims = claims
		stop := func() { h.StopBudget.Begin(time.Now().Add(time.Second)) }
		Convey("a request of unknown length whose deadline is later is refused as not run", func() {
			stop()
			out := serve(h, "single")
			So(out.Kind, ShouldEqual, NotRun)
			So(out.Reason, ShouldEqual, ReasonLeaving)
			So(out.RetryAfter, ShouldBeGreaterThan, 0)
			So(transport.calls, ShouldBeEmpty)
		})
		Convey("one that is known to take less is served", func() {
			So(serve(h, "single").Kind, ShouldEqual, Served)
			stop()
			So(serve(h, "single").Kind, ShouldEqual, Served)
		})
		Convey("one that is known to take longer is refused", func() {
			h.StopBudget.Observe("single", 3*time.Second)
			stop()
			So(serve(h, "single").Kind, ShouldEqual, NotRun)
			So(transport.calls, ShouldBeEmpty)
		})
		for _, route := range []string{"plain", "once"} {
			Convey("one that was in progress when the stop began is finished, route "+route, func() {
				transport.before = func(context.Context) { stop() }
				So(serve(h, route).Kind, ShouldEqual, Served)
			})
		}
		Convey("a non-idempotent stage that is known to take longer is not started, and the claim is released", func() {
			h.StopBudget.Observe("once/b", 3*time.Second)
			transport.before = func(context.Context) { stop() }
			So(serve(h, "once").Kind, ShouldEqual, Incomplete)
			So(transport.calls, ShouldHaveLength, 1)
			So(claims.ended, ShouldEqual, "release")
		})
	})
}
