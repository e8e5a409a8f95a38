package kernel

import (
	"context"
	"fmt"
	"math"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/savoryfold/savoryfold/config"
	"github.com/savoryfold/savoryfold/policy"
)

const serveTables = `[account alto]
key_sha256 = 0000000000000000000000000000000000000000000000000000000000000001

[route plain]
deadline = 2s
stages = a, b
a.pool = p
b.pool = p

[route once]
deadline = 2s
stages = a, b
a.pool = p
b.pool = p
b.idempotent = false

[route single]
deadline = 20s
stages = a
a.pool = p

[route shared]
deadline = 20s
stages = a
a.pool = p
a.share = 0.001

[route hedged]
deadline = 20s
stages = a
a.pool = p
hedge = true

[route stream]
deadline = 2s
stages = g
g.pool = p
g.stream = true

[pool p]
server.s1 = zone=hobart addr=127.0.0.1:1
server.s2 = zone=hobart addr=127.0.0.1:2
server.s3 = zone=hobart addr=127.0.0.1:3
`

// fakeTransport responds to each call with the result of a function.
type fakeTransport struct {
	mu          sync.Mutex
	calls       []StageCall
	answer      func(n int, c *StageCall) StageAnswer
	reconnected bool
	// before runs at the start of each call.
	before func(ctx context.Context)
}

func (f *fakeTransport) Call(ctx context.Context, c *StageCall) StageAnswer {
	if f.before != nil {
		f.before(ctx)
	}
	f.mu.Lock()
	f.calls = append(f.calls, *c)
	n := len(f.calls)
	f.mu.Unlock()
	return f.answer(n, c)
}

func (f *fakeTransport) Reconnect(context.Context, config.Server) bool { return f.reconnected }

func okAnswer(body string) StageAnswer {
	return StageAnswer{Answer: Answer{ContentType: "application/json", Body: []byte(body)}, EngineMS: 1}
}

// fakeClaims grants every claim and records how it ended.
type fakeClaims struct {
	deny  bool
	ended string
}

func (f *fakeClaims) Claim(context.Context, ClaimRequest) ClaimGrant { return ClaimGrant{Claim: f} }
func (f *fakeClaims) MayDispatch(time.Time) bool                     { return !f.deny }
func (f *fakeClaims) Release()                                       { f.ended += "release" }
func (f *fakeClaims) Complete(context.Context, Answer)               { f.ended += "complete" }
func (f *fakeClaims) MarkInDoubt()                                   { f.ended += "doubt" }

// serveHost returns a host with baseline policies, a transport and tables.
func serveHost(t *testing.T, transport Transport) *Host {
	t.Helper()
	h := testHost(t, "hobart-1", Decisions{
		Admission: policy.AdmitAll{}, Placement: &policy.RoundRobin{}, Limits: policy.FixedLimits{},
		Retry: policy.BlindRetries{}, Queues: policy.FIFOQueues{}, Rollout: policy.LinearRollout{},
	})
	h.Transport = transport
	tables, err := config.ParseTables("tables.ini", []byte(serveTables))
	if err != nil {
		t.Fatal(err)
	}
	tables.Revision = 1
	h.SetTables(tables)
	return h
}

func TestOutcomes(t *testing.T) {
	failed := func(r CallResult) StageAnswer { return StageAnswer{Result: r} }
	cases := []struct {
		name, route string
		answer      func(n int, c *StageCall) StageAnswer
		want        OutcomeKind
		calls       int
		ended       string
	}{
		{"served", "plain", func(int, *StageCall) StageAnswer { return okAnswer(`1`) }, Served, 2, ""},
		{"nothing sent", "plain", func(int, *StageCall) StageAnswer { return failed(CallNotSent) }, NotRun, 4, ""},
		{"refused as not run", "plain", func(int, *StageCall) StageAnswer { return failed(CallRefused) }, NotRun, 4, ""},
		{"first stage failed", "plain", func(int, *StageCall) StageAnswer { return failed(CallBroken) }, Incomplete, 4, ""},
		{"second stage not sent", "plain", func(n int, _ *StageCall) StageAnswer {
			if n == 1 {
				return okAnswer(`1`)
			}
			return failed(CallNotSent)
		}, Incomplete, 5, ""},
		{"request invalid", "plain", func(int, *StageCall) StageAnswer { return failed(CallRejected) }, Rejected, 1, ""},
		{"one server fails", "plain", func(n int, _ *StageCall) StageAnswer {
			if n == 1 {
				return failed(CallFailed)
			}
			return okAnswer(`1`)
		}, Served, 3, ""},
		{"non-idempotent served", "once", func(int, *StageCall) StageAnswer { return okAnswer(`1`) }, Served, 2, "complete"},
		{"non-idempotent broken after it was sent", "once", func(n int, _ *StageCall) StageAnswer {
			if n == 1 {
				return okAnswer(`1`)
			}
			return failed(CallBroken)
		}, Unknown, 2, "doubt"},
		{"non-idempotent silent", "once", func(n int, _ *StageCall) StageAnswer {
			if n == 1 {
				return okAnswer(`1`)
			}
			return failed(CallSilent)
		}, Unknown, 2, "doubt"},
		{"non-idempotent not sent at first", "once", func(n int, _ *StageCall) StageAnswer {
			if n == 2 {
				return failed(CallNotSent)
			}
			return okAnswer(`1`)
		}, Served, 3, "complete"},
		{"non-idempotent never sent", "once", func(n int, _ *StageCall) StageAnswer {
			if n == 1 {
				return okAnswer(`1`)
			}
			return failed(CallRefused)
		}, Incomplete, 5, "release"},
	}
	for _, c := range cases {
		Convey("Outcome: "+c.name, t, func() {
			transport := &fakeTransport{answer: c.answer}
			h := serveHost(t, transport)
			claims := &fakeClaims{}
			h.Claims = claims
			result := h.Serve(context.Background(), &Request{Account: "alto", Route: c.route, Key: "k", Body: []byte(`{}`)})
			So(result.Outcome.Kind, ShouldEqual, c.want)
			So(transport.calls, ShouldHaveLength, c.calls)
			So(claims.ended, ShouldEqual, c.ended)
		})
	}
}

func TestRetryGoesToAnotherServer(t *testing.T) {
	Convey("A failed call is retried on a server that was not tried, with a new call ID", t, func() {
		transport := &fakeTransport{answer: func(n int, _ *StageCall) StageAnswer {
			if n <= 2 {
				return StageAnswer{Result: CallBroken}
			}
			return okAnswer(`1`)
		}}
		h := serveHost(t, transport)
		h.Serve(context.Background(), &Request{Account: "alto", Route: "plain", Body: []byte(`{}`)})
		servers := map[string]bool{}
		ids := map[string]bool{}
		for _, c := range transport.calls[:3] {
			servers[c.Server.Name] = true
			ids[c.ID] = true
		}
		So(servers, ShouldHaveLength, 3)
		So(ids, ShouldHaveLength, 3)
	})
}

func TestClaimThatNoLongerAllowsDispatch(t *testing.T) {
	Convey("A claim that forbids dispatch is released and nothing is sent to the stage", t, func() {
		transport := &fakeTransport{answer: func(int, *StageCall) StageAnswer { return okAnswer(`1`) }}
		h := serveHost(t, transport)
		claims := &fakeClaims{deny: true}
		h.Claims = claims
		result := h.Serve(context.Background(), &Request{Account: "alto", Route: "once", Key: "k", Body: []byte(`{}`)})
		So(result.Outcome.Kind, ShouldEqual, Incomplete)
		So(transport.calls, ShouldHaveLength, 1)
		So(claims.ended, ShouldEqual, "release")
	})
}

func TestPanicEndsTheClaim(t *testing.T) {
	cases := []struct {
		name  string
		call  int // the number of the call that panics
		ended string
	}{
		{"before the non-idempotent call", 1, "release"},
		{"in the non-idempotent call", 2, "doubt"},
	}
	for _, c := range cases {
		Convey("A panic "+c.name+" still ends the claim", t, func() {
			h := serveHost(t, &fakeTransport{answer: func(n int, _ *StageCall) StageAnswer {
				if n == c.call {
					panic("broken invariant")
				}
				return okAnswer(`1`)
			}})
			claims := &fakeClaims{}
			h.Claims = claims
			req := &Request{Account: "alto", Route: "once", Key: "k", Body: []byte(`{}`)}
			So(func() { h.Serve(context.Background(), req) }, ShouldPanic)
			So(claims.ended, ShouldEqual, c.ended)
		})
	}
}

func TestImplausibleWorkReports(t *testing.T) {
	for _, ms := range []float64{math.NaN(), math.Inf(1), -5, 1e12} {
		Convey(fmt.Sprintf("A reported work time of %g ms is replaced by a plausible one", ms), t, func() {
			h := serveHost(t, &fakeTransport{answer: func(int, *StageCall) StageAnswer {
				a := okAnswer(`1`)
				a.EngineMS, a.Tokens = ms, -1
				return a
			}})
			result := h.Serve(context.Background(), &Request{Account: "alto", Route: "plain", Body: []byte(`{}`)})
			So(result.Costs[0].EngineMS, ShouldBeBetween, 0, 10_000)
			So(result.Costs[0].Tokens, ShouldEqual, 0)
		})
	}
}

// countingVersions counts the calls reported to a Versions module.
type countingVersions struct {
	failed, seen atomic.Int32
}

func (c *countingVersions) Pick(time.Time, *config.Route, uint64) string { return "" }

func (c *countingVersions) Observe(_ time.Time, _, _ string, call policy.MoveCall) {
	c.seen.Add(1)
	if !call.OK {
		c.failed.Add(1)
	}
}

func TestVersionFailureCounts(t *testing.T) {
	cases := []struct {
		result CallResult
		failed int
	}{{CallRefused, 0}, {CallDeadline, 0}, {CallRejected, 0}, {CallCancelled, 0}, {CallFailed, 4}}
	for _, c := range cases {
		Convey("Calls that end as "+c.result.String()+" add the expected failures to a version", t, func() {
			h := serveHost(t, &fakeTransport{answer: func(int, *StageCall) StageAnswer { return StageAnswer{Result: c.result} }})
			h.Snapshot().Pool("p").Config.Versioned = true
			versions := &countingVersions{}
			h.Versions = versions
			h.Serve(context.Background(), &Request{Account: "alto", Route: "plain", Body: []byte(`{}`)})
			So(versions.failed.Load(), ShouldEqual, c.failed)
		})
	}
}

// alwaysSuspect is a crash guard that suspects every request.
type alwaysSuspect struct{}

func (alwaysSuspect) Refuse(time.Time, uint64) bool                       { return false }
func (alwaysSuspect) Suspect(time.Time, uint64) bool                      { return true }
func (alwaysSuspect) ConnectionBroken(_, _ time.Time, _ uint64, _ string) {}
func (alwaysSuspect) Succeeded(time.Time, uint64)                         {}

func TestDeniedSuspectIsRemoved(t *testing.T) {
	Convey("A suspect whose claim forbids dispatch is removed from the suspects", t, func() {
		h := serveHost(t, &fakeTransport{answer: func(int, *StageCall) StageAnswer { return okAnswer(`1`) }})
		h.CrashGuard = alwaysSuspect{}
		h.Claims = &fakeClaims{deny: true}
		h.Serve(context.Background(), &Request{Account: "alto", Route: "once", Key: "k", Body: []byte(`{}`)})
		suspects := 0
		h.suspects.m.Range(func(any, any) bool { suspects++; return true })
		So(suspects, ShouldEqual, 0)
	})
}

func TestRestartSeenDespiteClockAhead(t *testing.T) {
	Convey("A report after a restart counts, even if the clock was ahead before it", t, func() {
		h := serveHost(t, &fakeTransport{})
		s := h.Snapshot().Pool("p").Servers[0]
		now := time.Now()
		s.Report(now, policy.LoadReport{Boot: "one", Warm: 1, At: now.Add(time.Hour)})
		s.Report(now, policy.LoadReport{Boot: "two", Warm: 0, At: now})
		So(s.report.Load().Boot, ShouldEqual, policy.BootKey("two"))
		Convey("and later reports of the same boot count too", func() {
			s.Report(now.Add(2*time.Second), policy.LoadReport{Boot: "two", Warm: 1, At: now.Add(2 * time.Second)})
			So(s.report.Load().Warm, ShouldEqual, 1)
		})
	})
}

func TestRefusedRequests(t *testing.T) {
	transport := &fakeTransport{answer: func(int, *StageCall) StageAnswer { return okAnswer(`1`) }}
	h := serveHost(t, transport)
	cases := []struct {
		name string
		req  Request
		want OutcomeReason
	}{
		{"unknown route", Request{Account: "alto", Route: "none"}, ReasonUnknownRoute},
		{"unknown account", Request{Account: "bass", Route: "plain"}, ReasonForbidden},
		{"no key", Request{Account: "alto", Route: "once"}, ReasonKeyRequired},
		{"late", Request{Account: "alto", Route: "plain", Deadline: time.Unix(1, 0)}, ReasonDeadline},
	}
	for _, c := range cases {
		Convey("Refused: "+c.name, t, func() {
			So(h.Serve(context.Background(), &c.req).Outcome.Reason, ShouldEqual, c.want)
			So(transport.calls, ShouldBeEmpty)
		})
	}
}

// recorder is a caller that records events.
type recorder struct{ events []Event }

func (r *recorder) Send(e Event) error {
	r.events = append(r.events, e)
	return nil
}

func TestResumedStream(t *testing.T) {
	Convey("A broken stream continues on another server without duplicate or lost events", t, func() {
		transport := &fakeTransport{answer: func(n int, c *StageCall) StageAnswer {
			if n == 1 {
				_ = c.Events.Send(Event{ID: "1", Data: "one "})
				_ = c.Events.Send(Event{ID: "2", Data: "two "})
				return StageAnswer{Result: CallBroken}
			}
			So(c.Events.LastID(), ShouldEqual, "2")
			for _, e := range []Event{{"2", "two "}, {"3", "three"}} { // the server sends one event again
				So(c.Events.Send(e), ShouldBeNil)
			}
			return okAnswer(`{"text":"` + c.Events.Text() + `"}`)
		}}
		h := serveHost(t, transport)
		caller := &recorder{}
		result := h.Serve(context.Background(), &Request{Account: "alto", Route: "stream", Body: []byte(`{}`), Events: caller})
		So(result.Outcome.Kind, ShouldEqual, Served)
		So(caller.events, ShouldResemble, []Event{{"1", "one "}, {"2", "two "}, {"3", "three"}})
		So(string(result.Answer.Body), ShouldEqual, `{"text":"one two three"}`)
	})
	Convey("A gap in a stream is an error", t, func() {
		c := &EventCollector{}
		So(c.Send(Event{ID: "1"}), ShouldBeNil)
		So(c.Send(Event{ID: "3"}), ShouldNotBeNil)
		So(c.Send(Event{ID: "x"}), ShouldNotBeNil)
	})
}

func TestStageDeadlineIsItsShare(t *testing.T) {
	Convey("A stage ends after its share of the route's deadline", t, func() {
		transport := &fakeTransport{answer: func(int, *StageCall) StageAnswer { return StageAnswer{Result: CallDeadline} }}
		transport.before = func(ctx context.Context) { <-ctx.Done() }
		h := serveHost(t, transport)
		result := h.Serve(context.Background(), &Request{Account: "alto", Route: "shared", Body: []byte(`{}`)})
		So(result.Outcome.Reason, ShouldEqual, ReasonDeadline)
		call := transport.calls[0]
		So(call.Deadline, ShouldHappenBefore, time.Now())
	})
}

func TestHedge(t *testing.T) {
	Convey("A slow call is hedged on another server, and the loser is cancelled", t, func() {
		var started atomic.Int32
		transport := &fakeTransport{}
		transport.before = func(ctx context.Context) {
			if started.Add(1) == 1 {
				<-ctx.Done() // the first call blocks until it is cancelled
			}
		}
		transport.answer = func(n int, _ *StageCall) StageAnswer {
			if n == 1 {
				return okAnswer(`"second"`) // the hedge answers first
			}
			return StageAnswer{Result: CallCancelled}
		}
		h := serveHost(t, transport)
		result := h.Serve(context.Background(), &Request{Account: "alto", Route: "hedged", Body: []byte(`{}`)})
		So(result.Outcome.Kind, ShouldEqual, Served)
		So(string(result.Answer.Body), ShouldEqual, `"second"`)
		So(result.Costs[0].Calls, ShouldEqual, 2)
		So(result.Costs[0].WastedMS, ShouldBeGreaterThan, 0)
		So(transport.calls[0].Server.Name, ShouldNotEqual, transport.calls[1].Server.Name)
		for _, s := range h.Snapshot().Pool("p").Servers {
			So(s.inFlight.Load(), ShouldEqual, 0)
		}
	})
}

func TestOlderTablesAreIgnored(t *testing.T) {
	Convey("Tables of an older revision are ignored", t, func() {
		h := serveHost(t, &fakeTransport{})
		older := config.Empty()
		So(h.SetTables(older), ShouldBeFalse)
		So(h.Snapshot().Tables.Revision, ShouldEqual, 1)
	})
}
