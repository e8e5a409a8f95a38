package kernel

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/savoryfold/savoryfold/config"
	"github.com/savoryfold/savoryfold/policy"
)

const moveTables = `[account alto]
key_sha256 = 0000000000000000000000000000000000000000000000000000000000000001

[route one]
stages = a
a.pool = p
move.from = v1
move.to = v2
move.start = 2026-01-01T00:00:00Z
move.by = 2126-01-02T00:00:00Z

[route two]
stages = a, b
a.pool = p
b.pool = p
move.from = v1
move.to = v2
move.start = 2026-01-01T00:00:00Z
move.by = 2126-01-02T00:00:00Z

[pool p]
versioned = true
server.s1 = zone=hobart addr=127.0.0.1:1 version=v1
server.s2 = zone=hobart addr=127.0.0.1:2 version=v2
`

// pickNewVersion sends every request to the new version and counts the observed
// calls.
type pickNewVersion struct{ observed *int }

func (pickNewVersion) Pick(_ time.Time, r *config.Route, _ uint64) string    { return r.Move.To }
func (a pickNewVersion) Observe(_ time.Time, _, _ string, _ policy.MoveCall) { *a.observed++ }

func TestFallbackToOldVersion(t *testing.T) {
	Convey("Given a move to a version whose calls fail", t, func() {
		transport := &fakeTransport{}
		h := serveHost(t, transport)
		tables, err := config.ParseTables("tables.ini", []byte(moveTables))
		So(err, ShouldBeNil)
		tables.Revision = 2
		So(h.SetTables(tables), ShouldBeTrue)
		observed := 0
		h.Versions = pickNewVersion{&observed}
		versions := func(route string) (OutcomeKind, []string) {
			result := h.Serve(context.Background(), &Request{Account: "alto", Route: route, Body: []byte("{}")})
			var used []string
			for _, c := range transport.calls {
				used = append(used, c.Server.Version)
			}
			return result.Outcome.Kind, used
		}
		Convey("the retry goes to the old version", func() {
			transport.answer = func(_ int, c *StageCall) StageAnswer {
				if c.Server.Version == "v2" {
					return StageAnswer{Result: CallFailed}
				}
				return okAnswer(`1`)
			}
			kind, used := versions("one")
			So(kind, ShouldEqual, Served)
			So(used, ShouldResemble, []string{"v2", "v1"})
		})
		Convey("a server that reports another version than the tables gets no calls of that version", func() {
			transport.answer = func(int, *StageCall) StageAnswer { return okAnswer(`1`) }
			pool := h.Snapshot().Pool("p")
			for _, s := range pool.Servers {
				s.Report(time.Now(), policy.LoadReport{Version: "v1", At: time.Now()})
			}
			So(pool.HasServer("v1"), ShouldBeTrue)
			So(pool.HasServer("v2"), ShouldBeFalse)
			kind, used := versions("one")
			So(kind, ShouldEqual, NotRun)
			So(used, ShouldBeEmpty)
		})
		Convey("a call without a response counts as evidence about its version", func() {
			transport.reconnected = true
			transport.answer = func(n int, _ *StageCall) StageAnswer {
				if n == 1 {
					return StageAnswer{Result: CallSilent}
				}
				return okAnswer(`1`)
			}
			kind, _ := versions("one")
			So(kind, ShouldEqual, Served)
			So(observed, ShouldEqual, 2)
		})
		Convey("after the rollout's completion time there is no fallback to the old version", func() {
			h.Snapshot().Tables.Routes["one"].Move.CompleteBy = time.Now()
			transport.answer = func(int, *StageCall) StageAnswer { return StageAnswer{Result: CallFailed} }
			_, used := versions("one")
			So(used, ShouldNotContain, "v1")
		})
		Convey("later stages use the old version too", func() {
			transport.answer = func(n int, _ *StageCall) StageAnswer {
				if n == 1 {
					return StageAnswer{Result: CallFailed}
				}
				return okAnswer(`1`)
			}
			kind, used := versions("two")
			So(kind, ShouldEqual, Served)
			So(used, ShouldResemble, []string{"v2", "v1", "v1"})
		})
		Convey("a request with a stage completed on the new version stays on it", func() {
			transport.answer = func(n int, _ *StageCall) StageAnswer {
				if n == 2 {
					return StageAnswer{Result: CallFailed}
				}
				return okAnswer(`1`)
			}
			kind, used := versions("two")
			So(kind, ShouldEqual, Served)
			So(used, ShouldResemble, []string{"v2", "v2", "v2"})
		})
	})
}
