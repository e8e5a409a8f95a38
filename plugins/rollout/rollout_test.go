package rollout

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"

	"github.com/savoryfold/savoryfold/config"
	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/platform"
	"github.com/savoryfold/savoryfold/policy"
	"github.com/savoryfold/savoryfold/standin"
)

const testTimeout = 30 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// cluster is a log service with instances that exchange digests only when the
// test calls gossip.
type cluster struct {
	t         *testing.T
	service   *standin.LogService
	server    *standin.Server
	instances []*instance
}

type instance struct {
	*Rollout
	cluster *cluster
	client  *platform.LogClient
	source  map[string]func() []byte
	sink    map[string]func(kernel.Digest)
}

func (in *instance) Source(kind string, f func() []byte)     { in.source[kind] = f }
func (in *instance) Sink(kind string, f func(kernel.Digest)) { in.sink[kind] = f }

func newCluster(t *testing.T) *cluster {
	f := &cluster{t: t, service: standin.NewLogService(0, 0)}
	var err error
	if f.server, err = standin.Listen("127.0.0.1:0", f.service.Handler()); err != nil {
		t.Fatal(err)
	}
	return f
}

func (f *cluster) start(id string, tables *config.Tables) *instance {
	settings, err := kernel.Schema().Load("t.ini", []byte("[instance]\nid = "+id+"\nzone = hobart\n"))
	if err != nil {
		f.t.Fatal(err)
	}
	in := &instance{Rollout: &Rollout{}, cluster: f, client: platform.NewLogClient(f.server.Address(), time.Second),
		source: make(map[string]func() []byte), sink: make(map[string]func(kernel.Digest))}
	h := &kernel.Host{
		Settings: settings, Logger: slog.New(slog.DiscardHandler), Metrics: metrics.NewRegistry(), Log: in.client, Digests: in,
		Decisions: kernel.Decisions{Limits: policy.FixedLimits{}, Queues: policy.FIFOQueues{}, Rollout: policy.StandardRollout{}},
	}
	if err := errors.Join(in.Provision(h), in.Start(context.Background())); err != nil {
		f.t.Fatal(err)
	}
	h.SetTables(tables)
	f.instances = append(f.instances, in)
	return in
}

func (f *cluster) close() {
	for _, in := range f.instances {
		_ = in.Stop(context.Background())
		in.client.Close()
	}
	_ = f.server.Close()
}

// gossip delivers every instance's digests to the others.
func (f *cluster) gossip() {
	for _, from := range f.instances {
		for kind, encode := range from.source {
			payload := encode()
			for _, to := range f.instances {
				if to != from {
					to.sink[kind](kernel.Digest{From: kernel.Member{ID: from.host.ID()}, Payload: payload})
				}
			}
		}
	}
}

func (f *cluster) eventually(what string, cond func() bool) {
	f.t.Helper()
	for end := time.Now().Add(testTimeout); !cond(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatal("condition not met before the test timeout: " + what)
		}
	}
}

func (in *instance) share(route string) float64 { return in.moves.Load().byRoute[route].getShare() }

// observe reports finished calls of a version on a route to the instance.
func (in *instance) observe(route, version string, calls int, ok bool) {
	for range calls {
		in.Observe(time.Now(), route, version, policy.MoveCall{OK: ok, Latency: 100 * time.Millisecond})
	}
}

// movingTables returns tables with a retryable and a non-retryable route. Both
// move from v1 to v2 within the hour after start. The tests pass a start 50
// minutes ago, so that 5/6 of the time has passed.
func movingTables(t *testing.T, revision uint64, start time.Time, more string) *config.Tables {
	move := fmt.Sprintf("move.from = v1\nmove.to = v2\nmove.start = %s\nmove.by = %s\n", start.Format(time.RFC3339), start.Add(time.Hour).Format(time.RFC3339))
	tables, err := config.ParseTables("t.ini", []byte("[route answer]\nstages = g\ng.pool = p\n"+more+move+
		"[route issue]\nstages = g\ng.pool = p\ng.idempotent = false\n"+move+
		"[pool p]\nversioned = true\nserver.a = zone=hobart addr=127.0.0.1:1 version=v1\nserver.b = zone=burnie addr=127.0.0.1:2 version=v2\n[zone burnie]\nstate = in\n"))
	if err != nil {
		t.Fatal(err)
	}
	tables.Revision = revision
	return tables
}

func TestMovesBetweenInstances(t *testing.T) {
	Convey("Given two instances in the middle of a move", t, func() {
		f := newCluster(t)
		defer f.close()
		start := time.Now().Add(-50 * time.Minute)
		tables := movingTables(t, 5, start, "")
		a, b := f.start("a", tables), f.start("b", tables)
		route := tables.Routes["answer"]
		picksNew := func(in *instance) bool { return in.Pick(time.Now(), route, 0) == "v2" }
		Convey("without evidence the new version gets a small share, and the non-retryable route waits", func() {
			f.eventually("share", func() bool { return a.share("answer") > 0 })
			So(a.share("answer"), ShouldBeLessThan, 0.05)
			So(a.share("issue"), ShouldEqual, 0)
			So(a.Pick(time.Now(), route, math.MaxUint64), ShouldEqual, "v1")
		})
		Convey("evidence of both instances proves the version, and the other route follows", func() {
			a.observe("answer", "v2", 120, true)
			b.observe("answer", "v2", 60, true)
			f.eventually("done", func() bool {
				f.gossip()
				return a.share("answer") == 1 && b.share("answer") == 1
			})
			f.eventually("the other route begins", func() bool { return a.share("issue") > 0 })
			f.eventually("recorded", func() bool {
				batch, err := a.client.Read(context.Background(), stream, 1, 0)
				return err == nil && len(batch.Records) > 0
			})
			Convey("an instance that starts now continues from the log, without digests of others", func() {
				c := f.start("c", tables)
				f.eventually("done", func() bool { return c.share("answer") == 1 })
				So(c.Moves()[0].State, ShouldEqual, kernel.MoveDone)
			})
		})
		Convey("failures seen by one instance roll the version back everywhere while the log is down", func() {
			f.eventually("share", func() bool { return picksNew(a) && picksNew(b) })
			f.service.Set(standin.LogFaults{Down: true})
			a.observe("answer", "v2", 3, false)
			So(picksNew(a), ShouldBeFalse)
			So(picksNew(b), ShouldBeTrue)
			f.gossip()
			So(picksNew(b), ShouldBeFalse)
			So(b.Moves()[0].State, ShouldEqual, kernel.MoveRolledBack)
			So(b.Moves()[0].Why, ShouldEqual, string(policy.ReasonVersionFails))
			Convey("the rollback is recorded once the log is back, and a later instance reads it", func() {
				f.service.Set(standin.LogFaults{})
				f.eventually("recorded", func() bool {
					batch, err := a.client.Read(context.Background(), stream, 1, 0)
					return err == nil && len(batch.Records) > 0
				})
				c := f.start("c", tables)
				f.eventually("known", func() bool { return c.Moves()[0].State == kernel.MoveRolledBack })
				So(picksNew(c), ShouldBeFalse)
			})
			Convey("successful calls and another edit of the route do not lift the rollback, a new move does", func() {
				a.observe("answer", "v2", 1000, true)
				So(a.host.SetTables(movingTables(t, 6, start, "priority = 3\n")), ShouldBeTrue)
				So(a.Moves()[0].State, ShouldEqual, kernel.MoveRolledBack)
				again := movingTables(t, 7, start.Add(time.Second), "")
				So(a.host.SetTables(again), ShouldBeTrue)
				route = again.Routes["answer"]
				f.eventually("share", func() bool { return picksNew(a) })
			})
		})
		Convey("an alert combines failures when each instance has seen only one", func() {
			f.eventually("share", func() bool { return picksNew(a) && picksNew(b) })
			a.observe("answer", "v2", 1, false)
			b.observe("answer", "v2", 1, false)
			So(picksNew(a) && picksNew(b), ShouldBeTrue)
			m := b.moves.Load().byRoute["answer"]
			alert := encodeDigest(digest{Moves: []moveDigest{{ID: m.id, Evidence: m.ownEvidence(time.Now())}}})
			_, err := a.receiveAlert(context.Background(), "b", alert)
			So(err, ShouldBeNil)
			So(picksNew(a), ShouldBeFalse)
		})
		Convey("a version without servers gets no requests, and a zone out of service is listed", func() {
			f.eventually("share", func() bool { return picksNew(a) })
			out := movingTables(t, 6, start, "")
			out.Zones["burnie"].Out = true
			So(a.host.SetTables(out), ShouldBeTrue)
			So(picksNew(a), ShouldBeFalse)
			moves := a.Moves()
			zone := moves[len(moves)-1]
			So(zone.Kind, ShouldEqual, "zone")
			So(zone.State, ShouldEqual, kernel.MoveDone)
		})
	})
}

func FuzzDecode(f *testing.F) {
	data, err := eventEncoder.Marshal(event{Move: 1, Route: "answer", State: kernel.MoveDone})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte{0xa1, 0x01, 0x80})
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = decodeEvent(data)
		_, _ = decodeDigest(data)
		_, _ = decodeRollbacks(data)
	})
}
