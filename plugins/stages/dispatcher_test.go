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
	"github.com/savoryfold/savoryfold/kernel"
)

// fixedView is a view of servers that does not change.
type fixedView struct{ view *catalog.Catalog }

func (f fixedView) Catalog() *catalog.Catalog             { return f.view }
func (f fixedView) OnCatalog(func(*catalog.Catalog))      {}
func (f fixedView) Position() kernel.CatalogPosition      { return kernel.CatalogPosition{} }
func (f fixedView) HearPosition(p kernel.CatalogPosition) {}
func (f fixedView) RecordMove(context.Context, string, catalog.MoveStatus) error {
	return nil
}

type fixedFleet []kernel.FleetMember

func (f fixedFleet) Members() []kernel.FleetMember { return f }

// inZoneA is the stages of instance a0 in a fleet of two instances in each of
// the zones a and b, where zones have a number of servers each.
func inZoneA(t *testing.T, servers int) *Stages {
	settings, err := kernel.Schema().Load("test", []byte("[instance]\nid = a0\nzone = a\n"))
	if err != nil {
		t.Fatal(err)
	}
	var all []*catalog.Server
	var fleet fixedFleet
	for _, zone := range []string{"a", "b"} {
		for i := range servers {
			all = append(all, &catalog.Server{ID: fmt.Sprint(zone, "-", i), Service: "s", Zone: zone, Address: "127.0.0.1:1"})
		}
		for i := range 2 {
			fleet = append(fleet, kernel.FleetMember{ID: fmt.Sprint(zone, i), Zone: zone, Address: "127.0.0.1:1", Capacity: 1})
		}
	}
	s := &Stages{host: &kernel.Host{
		Settings: settings, Logger: slog.New(slog.DiscardHandler), Metrics: metrics.NewRegistry(),
		Instance: &kernel.Instance{}, Fleet: fleet, Catalogs: fixedView{viewOf(1, all...)},
	}, shared: true}
	s.peers.links = make(map[groupKey]*peerLink)
	return s
}

// Pattern: a zone is cut off while its stage servers have work whose inputs lie
// beyond the cut.
func TestZonesOutOfReach(t *testing.T) {
	Convey("With groups of servers in each zone", t, func() {
		s := inZoneA(t, 3)
		now := time.Now()
		key, owner := s.dispatcher(now, "s", "b")
		So(key.zone, ShouldEqual, "b")
		So(owner.Zone, ShouldEqual, "b")
		Convey("one instance out of reach leaves the work in its zone", func() {
			s.peers.failed(owner)
			key, next := s.dispatcher(time.Now(), "s", "b")
			So(key.zone, ShouldEqual, "b")
			So(next.ID, ShouldNotEqual, owner.ID)
			Convey("and the second one sends it to a zone within reach", func() {
				s.peers.failed(next)
				key, owner := s.dispatcher(time.Now(), "s", "b")
				So(key.zone, ShouldEqual, "a")
				So(owner.Zone, ShouldEqual, "a")
			})
		})
		Convey("instances of the own zone that died do not send it away", func() {
			for _, m := range s.host.Fleet.Members()[:2] {
				s.peers.failed(m)
			}
			key, _ := s.dispatcher(time.Now(), "s", "")
			So(key.zone, ShouldEqual, "a")
		})
	})
	Convey("With one group of few servers a dispatcher within reach is taken", t, func() {
		s := inZoneA(t, 1)
		for _, m := range s.host.Fleet.Members()[2:] {
			s.peers.failed(m)
		}
		key, owner := s.dispatcher(time.Now(), "s", "b")
		So(key.zone, ShouldEqual, "")
		So(owner.Zone, ShouldEqual, "a")
	})
}
