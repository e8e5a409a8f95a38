package stages

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/savoryfold/savoryfold/catalog"
	"github.com/savoryfold/savoryfold/internal/upstream"
	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/platform/platformtest"
)

// TestUnreachableServers checks that calls to unreachable servers do not use up
// the attempts of a stage when most servers of a group are unreachable.
func TestUnreachableServers(t *testing.T) {
	Convey("Stages run on the one reachable server, however many others are unreachable", t, func() {
		server := platformtest.NewStageServer("good", time.Millisecond)
		defer server.Close()
		servers := []*catalog.Server{{ID: "good", Service: "s", Zone: "z", Address: server.Address()}}
		for i := range 20 {
			gone := platformtest.NewStageServer("gone", 0)
			servers = append(servers, &catalog.Server{ID: fmt.Sprint("gone-", i), Service: "s", Zone: "y", Address: gone.Address()})
			gone.Close()
		}
		s := &Stages{
			host: &kernel.Host{Logger: slog.New(slog.DiscardHandler), Metrics: metrics.NewRegistry()},
			pool: upstream.New(upstream.Options{DialTimeout: time.Second, UserTimeout: time.Second, IdleTimeout: time.Second}),
		}
		s.pendingReleases.handles = make(map[string][]string)
		g := newGroup(s, groupKey{service: "s"})
		view := newCatalog(1, servers...)
		view.Service("s").Batch.CallTime, view.Service("s").Batch.ResultMemory = 10*time.Millisecond, 1<<30
		g.refresh(view)
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		for i := range 5 {
			_, err := g.run(ctx, kernel.StageRequest{
				Request: fmt.Sprint("r", i), Service: "s", Pieces: 1, Goal: time.Now().Add(5 * time.Second), Deadline: time.Now().Add(5 * time.Second),
			})
			So(err, ShouldBeNil)
		}
		So(len(server.Calls()), ShouldEqual, 5)
	})
}

// TestReleaseInputsEarly checks when the results that a call has fetched are released, and
// that a job whose inputs are released is not called again.
func TestReleaseInputsEarly(t *testing.T) {
	for _, c := range []struct {
		name     string
		lastUse  bool
		linkRate int64
		want     int
	}{
		{"Inputs that only this stage needs are released during its call", true, 1e9, 1},
		{"Inputs that another stage needs too are kept", false, 1e9, 0},
		{"Inputs are kept if the servers' links are not known", true, 0, 0},
	} {
		Convey(c.name, t, func() {
			s := &Stages{host: &kernel.Host{Logger: slog.New(slog.DiscardHandler), Metrics: metrics.NewRegistry()}}
			s.pendingReleases.handles = make(map[string][]string)
			g := newGroup(s, groupKey{service: "s"})
			now := time.Now()
			view := newCatalog(1, &catalog.Server{ID: "a", Service: "s", Zone: "z"})
			view.Service("s").Batch.LinkRate = c.linkRate
			g.refresh(view)
			j := g.newJob(now, kernel.StageRequest{Pieces: 1, Deadline: now.Add(time.Minute)}, 0, 1)
			if c.lastUse {
				j.inputs = []string{"10.0.0.1:80/x"}
			}
			running := &call{server: g.servers["a"], jobs: []*job{j}, began: now}
			j.running = 1
			if fetch, ok := g.inputFetch(now, running.server, running).Time(); ok {
				running.inputsFetchedAt = now.Add(fetch)
			}
			g.releaseInputs(now, running)
			So(s.pendingReleases.handles, ShouldBeEmpty)
			g.releaseInputs(now.Add(time.Second/2), running)
			So(len(s.pendingReleases.handles["10.0.0.1:80"]), ShouldEqual, c.want)
			j.running = 0
			g.requeue(j, "a")
			So(j.settled, ShouldEqual, c.want > 0)
			So(g.queue.Len(), ShouldEqual, 1-c.want)
			if j.settled {
				So((<-j.done).failure.InputGone, ShouldBeTrue)
			}
		})
	}
}

func newCatalog(epoch uint64, servers ...*catalog.Server) *catalog.Catalog {
	c := &catalog.Config{Services: map[string]*catalog.Service{"s": {Name: "s", Batch: &catalog.Batch{Slots: 1, MaxPieces: 10, CallTime: time.Second}}}}
	v := catalog.New(c, servers)
	v.Epoch = epoch
	return v
}

func TestGroupCatalogSnapshots(t *testing.T) {
	server := &catalog.Server{ID: "a", Service: "s", Zone: "z", Address: "127.0.0.1:1"}
	Convey("An older catalog snapshot that arrives after a newer one is ignored", t, func() {
		g := newGroup(&Stages{}, groupKey{service: "s"})
		g.refresh(newCatalog(2, server))
		g.refresh(newCatalog(1))
		So(g.anyUsable(), ShouldBeTrue)
	})
	Convey("A stage without a server is refused at once", t, func() {
		g := newGroup(&Stages{}, groupKey{service: "s"})
		g.refresh(newCatalog(1))
		_, failure := g.submit(kernel.StageRequest{Service: "s", Pieces: 1, Goal: time.Now().Add(time.Minute), Deadline: time.Now().Add(time.Minute)})
		So(failure, ShouldNotBeNil)
		So(failure.Reason, ShouldEqual, kernel.ReasonNoServer)
		So(g.queue.Len(), ShouldEqual, 0)
	})
}
