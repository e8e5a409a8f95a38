package configsource

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"sync"
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

// cluster is a log service with instances that are members of one fleet.
type cluster struct {
	t         *testing.T
	service   *standin.LogService
	server    *standin.Server
	mu        sync.Mutex
	instances map[string]*instance // guarded by mu
}

// instance is a module with its host, and the revisions that became active, in
// order.
type instance struct {
	*Log
	c         *cluster
	client    *platform.LogClient
	mu        sync.Mutex
	revisions []uint64 // guarded by mu
	handlers  map[string]kernel.PeerHandler
}

func newCluster(t *testing.T, retention time.Duration) *cluster {
	c := &cluster{t: t, service: standin.NewLogService(retention, 0), instances: make(map[string]*instance)}
	server, err := standin.Listen("127.0.0.1:0", c.service.Handler())
	if err != nil {
		t.Fatal(err)
	}
	c.server = server
	return c
}

func (c *cluster) start(id string) *instance {
	settings, err := kernel.Schema().Load("t.ini", []byte("[instance]\nid = "+id+"\nzone = hobart\n[config]\nrestate_every = 100ms\nedit_timeout = 10s\npeer_patience = 50ms\n"))
	if err != nil {
		c.t.Fatal(err)
	}
	in := &instance{Log: &Log{}, c: c, handlers: make(map[string]kernel.PeerHandler)}
	in.client = platform.NewLogClient(c.server.Address(), time.Second)
	h := &kernel.Host{
		Settings: settings, Logger: slog.New(slog.DiscardHandler), Metrics: metrics.NewRegistry(),
		Log: in.client, Membership: in, Peers: in,
		Decisions: kernel.Decisions{Limits: policy.FixedLimits{}, Queues: policy.FIFOQueues{}},
	}
	h.OnTables(func(t *config.Tables) {
		in.mu.Lock()
		defer in.mu.Unlock()
		in.revisions = append(in.revisions, t.Revision)
	})
	if err := errors.Join(in.Provision(h), in.Validate(), in.Start(context.Background())); err != nil {
		c.t.Fatal(err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.instances[id] = in
	return in
}

func (in *instance) close() {
	_ = in.Stop(context.Background())
	in.client.Close()
	in.c.mu.Lock()
	defer in.c.mu.Unlock()
	delete(in.c.instances, in.host.ID())
}

func (c *cluster) close() {
	for _, in := range c.instances {
		_ = in.Stop(context.Background())
		in.client.Close()
	}
	_ = c.server.Close()
	http.DefaultClient.CloseIdleConnections()
}

// revision returns the active revision.
func (in *instance) revision() uint64 {
	if s := in.host.Snapshot(); s != nil {
		return s.Tables.Revision
	}
	return 0
}

// View implements kernel.Membership.
func (in *instance) View() *kernel.MemberView {
	in.c.mu.Lock()
	defer in.c.mu.Unlock()
	v := &kernel.MemberView{Self: kernel.Member{ID: in.host.ID(), Zone: "hobart"}}
	for id, other := range in.c.instances {
		v.Members = append(v.Members, kernel.Member{ID: id, Zone: "hobart", State: kernel.MemberReady, ConfigRevision: other.revision()})
	}
	return v
}

func (in *instance) Subscribe(func(*kernel.MemberView)) {}
func (in *instance) SetState(kernel.MemberState)        {}

// Handle implements kernel.Peers.
func (in *instance) Handle(method string, h kernel.PeerHandler) { in.handlers[method] = h }

// Call implements kernel.Peers.
func (in *instance) Call(ctx context.Context, m kernel.Member, method string, body []byte) ([]byte, error) {
	in.c.mu.Lock()
	other := in.c.instances[m.ID]
	in.c.mu.Unlock()
	if other == nil {
		return nil, errors.New("gone")
	}
	return other.handlers[method](ctx, in.host.ID(), body)
}

// eventually fails the test unless the condition holds before the test timeout.
func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !f(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("condition not met before the test timeout: " + what)
		}
	}
}

func pool(id, operator, limit string, base uint64) config.Edit {
	return config.Edit{ID: id, Operator: operator, Section: "pool p", Body: "limit = " + limit + "\n", Base: base}
}

func TestEditsOverTheLog(t *testing.T) {
	Convey("Given two instances on an empty log", t, func() {
		c := newCluster(t, 0)
		defer c.close()
		a, b := c.start("a"), c.start("b")
		ctx := context.Background()
		Convey("no tables are active before the first edit", func() {
			So(a.host.Snapshot(), ShouldBeNil)
		})
		Convey("of two concurrent edits one is accepted, and the other's result names its operator", func() {
			var results [2]config.EditResult
			var wg sync.WaitGroup
			wg.Go(func() { results[0], _ = a.Edit(ctx, pool("1", "alice", "4", 0)) })
			wg.Go(func() { results[1], _ = b.Edit(ctx, pool("2", "bob", "5", 0)) })
			wg.Wait()
			first, second := results[0], results[1]
			by := "alice"
			if first.Status != config.EditAccepted {
				first, second, by = second, first, "bob"
			}
			So(first.Status, ShouldEqual, config.EditAccepted)
			So(second, ShouldResemble, config.EditResult{Status: config.EditSuperseded, Revision: first.Revision, By: by})
			eventually(t, "both active", func() bool { return a.revision() == first.Revision && b.revision() == first.Revision })
		})
		Convey("an edit whose append responses are lost takes effect once", func() {
			c.service.Set(standin.LogFaults{LoseResponses: 1})
			result, err := a.Edit(ctx, pool("1", "alice", "4", 0))
			So(err, ShouldBeNil)
			So(result.Status, ShouldEqual, config.EditAccepted)
			again, err := b.Edit(ctx, pool("1", "alice", "4", 0))
			So(err, ShouldBeNil)
			So(again, ShouldResemble, result)
			So(a.revision(), ShouldEqual, result.Revision)
		})
		Convey("an edit that no record can hold is invalid", func() {
			result, err := a.Edit(ctx, pool("1", "alice", string(make([]byte, config.MaxRecordBytes)), 0))
			So(err, ShouldBeNil)
			So(result.Status, ShouldEqual, config.EditInvalid)
		})
		Convey("while the log is down an edit fails, and can be retried with the same ID", func() {
			c.service.Set(standin.LogFaults{Down: true})
			short, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
			defer cancel()
			_, err := a.Edit(short, pool("1", "alice", "4", 0))
			var unsettled *config.UnsettledError
			So(errors.As(err, &unsettled), ShouldBeTrue)
			So(unsettled.ID, ShouldEqual, "1")
			c.service.Set(standin.LogFaults{})
			result, err := a.Edit(ctx, pool("1", "alice", "4", 0))
			So(err, ShouldBeNil)
			So(result.Status, ShouldEqual, config.EditAccepted)
		})
	})
}

func TestTablesReachNewInstances(t *testing.T) {
	Convey("Given an instance with accepted tables", t, func() {
		c := newCluster(t, 2*time.Second)
		defer c.close()
		a := c.start("a")
		result, err := a.Edit(context.Background(), pool("1", "alice", "4", 0))
		So(err, ShouldBeNil)
		Convey("a new instance reads them from a restatement after the log dropped the edit", func() {
			eventually(t, "the edit dropped", func() bool {
				batch, err := a.client.Read(context.Background(), stream, 1, 0)
				return err == nil && batch.First > result.Revision
			})
			c.mu.Lock()
			delete(c.instances, "a") // so that b cannot fetch the tables from a
			c.mu.Unlock()
			defer a.close()
			b := c.start("b")
			eventually(t, "active", func() bool { return b.revision() == result.Revision })
			So(b.host.Snapshot().Tables.Pools["p"].Limit, ShouldEqual, 4)
			second, err := b.Edit(context.Background(), pool("2", "bob", "5", result.Revision))
			So(err, ShouldBeNil)
			So(second.Status, ShouldEqual, config.EditAccepted)
			Convey("and the active revision only grows in each instance", func() {
				eventually(t, "active", func() bool { return a.revision() == second.Revision })
				for _, in := range []*instance{a, b} {
					in.mu.Lock()
					for i := 1; i < len(in.revisions); i++ {
						So(in.revisions[i], ShouldBeGreaterThan, in.revisions[i-1])
					}
					in.mu.Unlock()
				}
			})
		})
		Convey("an edit after the log lost its records fails with ErrLogLost, and the tables stay", func() {
			for i := range 20 { // so that a retried append on the new log still gets an offset that was read before
				result, err = a.Edit(context.Background(), pool(fmt.Sprint("more", i), "alice", "4", result.Revision))
				So(err, ShouldBeNil)
			}
			address := c.server.Address()
			So(c.server.Close(), ShouldBeNil)
			c.server, err = standin.Listen(address, standin.NewLogService(0, 0).Handler())
			So(err, ShouldBeNil)
			_, err := a.Edit(context.Background(), pool("9", "alice", "9", result.Revision))
			So(errors.Is(err, ErrLogLost), ShouldBeTrue)
			So(a.host.Snapshot().Tables.Pools["p"].Limit, ShouldEqual, 4)
		})
		Convey("while the log is down a new instance fetches them from the other", func() {
			c.service.Set(standin.LogFaults{Down: true})
			b := c.start("b")
			eventually(t, "active", func() bool { return b.revision() == result.Revision })
		})
	})
}
