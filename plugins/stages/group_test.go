package stages

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/savoryfold/savoryfold/catalog"
	"github.com/savoryfold/savoryfold/kernel"
)

func viewOf(epoch uint64, servers ...*catalog.Server) *catalog.Catalog {
	c := &catalog.Config{Services: map[string]*catalog.Service{"s": {Name: "s", Batch: &catalog.Batch{Slots: 1, MaxPieces: 10, CallTime: time.Second}}}}
	v := catalog.New(c, servers)
	v.Epoch = epoch
	return v
}

func TestGroupViews(t *testing.T) {
	server := &catalog.Server{ID: "a", Service: "s", Zone: "z", Address: "127.0.0.1:1"}
	Convey("A view that comes after a newer one changes nothing", t, func() {
		g := newGroup(&Stages{}, groupKey{service: "s"})
		g.refresh(viewOf(2, server))
		g.refresh(viewOf(1))
		So(g.anyUsable(), ShouldBeTrue)
	})
	Convey("Work for which there is no server is refused at once", t, func() {
		g := newGroup(&Stages{}, groupKey{service: "s"})
		g.refresh(viewOf(1))
		_, failure := g.submit(kernel.StageRequest{Service: "s", Pieces: 1, Goal: time.Now().Add(time.Minute), Deadline: time.Now().Add(time.Minute)})
		So(failure, ShouldNotBeNil)
		So(failure.Reason, ShouldEqual, kernel.ReasonNoServer)
		So(g.queue.Len(), ShouldEqual, 0)
	})
}
