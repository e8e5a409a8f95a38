package stages

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rcrowley/go-metrics"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/savoryfold/savoryfold/catalog"
	"github.com/savoryfold/savoryfold/kernel"
)

// fixedCatalog provides a catalog snapshot that does not change.
type fixedCatalog struct{ view *catalog.Catalog }

func (f fixedCatalog) Catalog() *catalog.Catalog                     { return f.view }
func (f fixedCatalog) AwaitCatalog(context.Context) *catalog.Catalog { return f.Catalog() }
func (f fixedCatalog) OnCatalog(func(*catalog.Catalog))              {}
func (f fixedCatalog) Position() kernel.CatalogPosition              { return kernel.CatalogPosition{} }
func (f fixedCatalog) ObservePosition(p kernel.CatalogPosition)      {}
func (f fixedCatalog) ServerLeaves(*catalog.Server)                  {}
func (f fixedCatalog) RecordMove(context.Context, string, catalog.MoveStatus) error {
	return nil
}

type fixedFleet []kernel.FleetMember

func (f fixedFleet) Members() []kernel.FleetMember { return f }
func (fixedFleet) Confirmed() bool                 { return true }

// newStagesInZoneA returns the Stages of instance a0 in a fleet of two
// instances in each of the zones a and b, with the given number of stage
// servers in each zone.
func newStagesInZoneA(t *testing.T, servers int) *Stages {
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
		Instance: &kernel.Instance{}, Fleet: fleet, Catalogs: fixedCatalog{newCatalog(1, all...)},
	}, shared: true}
	s.peers.links = make(map[groupKey]*peerLink)
	return s
}

// TestUnreachableZones checks that stages move to a reachable zone when a network
// partition makes the zone unreachable in which they would otherwise run.
func TestUnreachableZones(t *testing.T) {
	Convey("With groups of servers in each zone", t, func() {
		s := newStagesInZoneA(t, 3)
		now := time.Now()
		key, owner := s.dispatcher(now, "s", "b")
		So(key.zone, ShouldEqual, "b")
		So(owner.Zone, ShouldEqual, "b")
		Convey("one unreachable instance leaves the stages in its zone", func() {
			s.peers.recordFailure(owner)
			key, next := s.dispatcher(time.Now(), "s", "b")
			So(key.zone, ShouldEqual, "b")
			So(next.ID, ShouldNotEqual, owner.ID)
			Convey("and a second one moves them to a reachable zone", func() {
				s.peers.recordFailure(next)
				key, owner := s.dispatcher(time.Now(), "s", "b")
				So(key.zone, ShouldEqual, "a")
				So(owner.Zone, ShouldEqual, "a")
			})
		})
		Convey("failed instances in the local zone do not move the stages", func() {
			for _, m := range s.host.Fleet.Members()[:2] {
				s.peers.recordFailure(m)
			}
			key, _ := s.dispatcher(time.Now(), "s", "")
			So(key.zone, ShouldEqual, "a")
		})
	})
	Convey("With one group of few servers a reachable dispatcher is chosen", t, func() {
		s := newStagesInZoneA(t, 1)
		for _, m := range s.host.Fleet.Members()[2:] {
			s.peers.recordFailure(m)
		}
		key, owner := s.dispatcher(time.Now(), "s", "b")
		So(key.zone, ShouldEqual, "")
		So(owner.Zone, ShouldEqual, "a")
	})
}

// TestMalformedDispatch guards against a stage request of another instance that uses up
// the memory of the process.
func TestMalformedDispatch(t *testing.T) {
	Convey("A stage request with more pieces than a caller can ask for, or a negative size, is refused", t, func() {
		s := newStagesInZoneA(t, 1)
		s.groups = make(map[groupKey]*group)
		for _, d := range []dispatchRequest{
			{Service: "s", Pieces: 1 << 20, Final: true},
			{Service: "s", Pieces: 1, ResultBytes: -1, Final: true},
		} {
			body, err := cbor.Marshal(d)
			So(err, ShouldBeNil)
			w := httptest.NewRecorder()
			s.serveDispatch(w, httptest.NewRequest(http.MethodPost, dispatchPath, bytes.NewReader(body)))
			So(w.Code, ShouldEqual, http.StatusBadRequest)
		}
	})
}
