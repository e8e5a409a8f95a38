package autoscale

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/savoryfold/savoryfold/catalog"
	"github.com/savoryfold/savoryfold/kernel"
)

// fakeDuties is the duties of an instance. It implements kernel.Duties, and records orders.
type fakeDuties struct {
	mu      sync.Mutex
	lost    bool // this instance is not the holder
	err     error
	orders  []string
	collect func(time.Time) []byte
	receive func(time.Time, string, []byte)
}

func (d *fakeDuties) Holds(time.Time) bool { return !d.lost }
func (d *fakeDuties) OnReport(_ string, collect func(time.Time) []byte, receive func(time.Time, string, []byte)) {
	d.collect, d.receive = collect, receive
}
func (d *fakeDuties) OrderServers(_ context.Context, service, zone string, count int) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.orders = append(d.orders, fmt.Sprint(service, "/", zone, " ", count))
	return d.err
}

// fakeCatalogs provides a catalog, and a fleet with the members.
type fakeCatalogs struct {
	kernel.Catalogs
	view        *catalog.Catalog
	members     []kernel.FleetMember
	unconfirmed bool
}

func (c *fakeCatalogs) Catalog() *catalog.Catalog     { return c.view }
func (c *fakeCatalogs) Members() []kernel.FleetMember { return c.members }
func (c *fakeCatalogs) Confirmed() bool               { return !c.unconfirmed }

// fakeDemand is the demand of an instance.
type fakeDemand map[string]kernel.ServiceDemand

func (d fakeDemand) Demand() (map[string]kernel.ServiceDemand, bool) { return d, d != nil }

// fleet is a holder and the instances whose demand it gets, in zones a and b. Each zone has
// 10 servers with 10 slots.
type fleet struct {
	now      time.Time
	holder   *Autoscale
	duties   *fakeDuties
	catalogs *fakeCatalogs
	services map[string]*catalog.Service
	others   map[string]*Autoscale
	demand   map[string]fakeDemand // by instance
	silent   map[string]bool       // instances that do not report
}

func newModule(id, zone string, host *kernel.Host) *Autoscale {
	settings, err := kernel.Schema().Load("test", []byte("[instance]\nid = "+id+"\nzone = "+zone+"\n"))
	So(err, ShouldBeNil)
	host.Settings, host.Logger, host.Metrics = settings, slog.New(slog.DiscardHandler), metrics.NewRegistry()
	m := &Autoscale{ctx: context.Background()}
	So(m.Provision(host), ShouldBeNil)
	So(m.Validate(), ShouldBeNil)
	return m
}

func newFleet() *fleet {
	f := &fleet{
		now: time.Unix(1000, 0), duties: &fakeDuties{}, catalogs: &fakeCatalogs{},
		others: make(map[string]*Autoscale), demand: make(map[string]fakeDemand), silent: make(map[string]bool),
		services: map[string]*catalog.Service{
			"s":     {Name: "s", Scaling: &catalog.Scaling{Min: 4, Max: 40, Boot: 8 * time.Second}},
			"other": {Name: "other"},
			"batch": {Name: "batch", Scaling: &catalog.Scaling{Min: 1, Max: 40}, Batch: &catalog.Batch{Slots: 1}},
		},
	}
	f.setServers(map[string]int{"a": 10, "b": 10})
	for i, zone := range []string{"a", "a", "b", "b"} {
		id := fmt.Sprint(zone, i)
		f.catalogs.members = append(f.catalogs.members, kernel.FleetMember{ID: id, Zone: zone})
		f.setRunning(id, map[string]int{"a": 9, "b": 9})
		duties := &fakeDuties{lost: true}
		if i == 0 {
			duties = f.duties
		}
		m := newModule(id, zone, &kernel.Host{Duties: duties, Demand: &instanceDemand{f, id}, Catalogs: f.catalogs, Fleet: f.catalogs})
		f.others[id] = m
		if i == 0 {
			f.holder = m
		}
	}
	return f
}

// instanceDemand is the demand of an instance of a fleet.
type instanceDemand struct {
	fleet *fleet
	id    string
}

func (d *instanceDemand) Demand() (map[string]kernel.ServiceDemand, bool) {
	return d.fleet.demand[d.id].Demand()
}

func (f *fleet) setServers(counts map[string]int) {
	var servers []*catalog.Server
	for zone, n := range counts {
		for i := range n {
			for service := range f.services {
				servers = append(servers, &catalog.Server{ID: fmt.Sprint(service, zone, i), Service: service, Zone: zone, Slots: 10})
			}
		}
	}
	f.catalogs.view = catalog.New(&catalog.Config{Services: f.services}, servers)
}

func (f *fleet) setRunning(id string, running map[string]int) {
	d := f.demand[id]["s"]
	d.Running = running
	f.demand[id] = fakeDemand{"s": d}
}

// play lets a time pass, with a report of each instance and a decision in each second.
func (f *fleet) play(seconds int) {
	for range seconds {
		f.now = f.now.Add(time.Second)
		for id, m := range f.others {
			if body := m.collect(f.now); body != nil && !f.silent[id] {
				f.duties.receive(f.now, id, body)
			}
		}
		f.holder.decide(f.now)
		f.holder.running.Wait()
	}
}

func TestOrders(t *testing.T) {
	for _, c := range []struct {
		name   string
		before func(f *fleet) // once the load has been the same for 20 s
		after  int            // seconds
		orders []string
	}{
		{"the load stays", func(*fleet) {}, 60, nil},
		{"the load of one zone grows", func(f *fleet) { f.setRunning("b2", map[string]int{"a": 9, "b": 49}) }, 10, []string{"s/b 19"}},
		{"the load falls", func(f *fleet) { f.setRunning("b2", nil); f.setRunning("b3", nil) }, 20, []string{"s/a 8", "s/b 8"}},
		{"requests are refused", func(f *fleet) {
			f.demand["a1"] = fakeDemand{"s": {Running: map[string]int{"a": 9, "b": 9}, Served: 400, Busy: 200 * time.Second, Refused: 160}}
		}, 3, []string{"s/a 19", "s/b 19"}},
		{"this instance is not the holder any more", func(f *fleet) {
			f.duties.lost = true
			f.setRunning("b2", map[string]int{"b": 49})
		}, 60, nil},
		{"an instance that has shown load leaves", func(f *fleet) {
			f.setRunning("a1", map[string]int{"a": 49})
			f.silent["a1"] = true
			f.catalogs.members = append(f.catalogs.members[:1], f.catalogs.members[2:]...)
		}, 2, nil},
		{"an instance of the fleet does not report", func(f *fleet) {
			f.silent["a1"] = true
			f.setRunning("b2", map[string]int{"b": 90})
		}, 2, []string{"s/b 30"}}, // its last report still counts
		{"an instance of the fleet does not report for long", func(f *fleet) {
			f.silent["a1"] = true
			f.play(3)
			f.setRunning("b2", map[string]int{"b": 90})
		}, 30, nil},
		{"this instance has not confirmed the fleet lately", func(f *fleet) {
			f.catalogs.unconfirmed = true
			f.setRunning("b2", map[string]int{"b": 90})
		}, 30, nil},
		{"the fleet is unknown", func(f *fleet) {
			f.catalogs.members = nil
			f.setRunning("b2", map[string]int{"b": 90})
		}, 30, nil},
		{"a zone is evacuated", func(f *fleet) {
			f.catalogs.view.ExcludedZones = map[string]bool{"a": true}
			for id := range f.demand {
				f.setRunning(id, map[string]int{"b": 18})
			}
		}, 10, []string{"s/b 18"}},
		{"a zone is out of reach", func(f *fleet) {
			f.silent["b2"], f.silent["b3"] = true, true
			f.catalogs.members = f.catalogs.members[:2]
			f.setRunning("a0", map[string]int{"a": 9})
			f.setRunning("a1", map[string]int{"a": 9})
		}, 20, []string{"s/a 8"}},
		{"all servers of a zone are lost", func(f *fleet) {
			f.setServers(map[string]int{"a": 10})
			f.setRunning("b2", map[string]int{"a": 9})
			f.setRunning("b3", map[string]int{"a": 9})
		}, 13, []string{"s/b 10"}},
		{"a service does not scale any more", func(f *fleet) {
			f.services["s"].Scaling = nil
			f.setRunning("b2", map[string]int{"b": 90})
		}, 30, nil},
		{"a rollout is in progress", func(f *fleet) {
			f.catalogs.view.Moves = map[string]*catalog.Move{"s": {Order: 2}}
			f.catalogs.view.Statuses = map[string]catalog.MoveStatus{"s": {Order: 1, State: catalog.MoveCompleted}}
			f.setRunning("b2", nil)
			f.setRunning("b3", nil)
		}, 30, nil},
		{"a rollout has ended", func(f *fleet) {
			f.catalogs.view.Moves = map[string]*catalog.Move{"s": {Order: 2}}
			f.catalogs.view.Statuses = map[string]catalog.MoveStatus{"s": {Order: 2, State: catalog.MoveRolledBack}}
			f.setRunning("b2", nil)
			f.setRunning("b3", nil)
		}, 20, []string{"s/a 8", "s/b 8"}},
		{"the result of an order is unknown", func(f *fleet) {
			f.duties.err = errors.New("no response")
			f.setRunning("b2", map[string]int{"a": 9, "b": 49})
		}, 4, []string{"s/b 19", "s/b 19"}},
		{"an order is not made", func(f *fleet) {
			f.duties.err = errors.Wrap(kernel.ErrNotHolder, "frozen")
			f.setRunning("b2", map[string]int{"a": 9, "b": 49})
		}, 2, []string{"s/b 19", "s/b 19"}},
	} {
		Convey("Orders if "+c.name, t, func() {
			f := newFleet()
			f.play(20)
			So(f.duties.orders, ShouldBeEmpty)
			c.before(f)
			f.play(c.after)
			So(sorted(f.duties.orders), ShouldResemble, c.orders)
		})
	}

	Convey("A holder that has just been elected waits for a complete view", t, func() {
		f := newFleet()
		f.setRunning("b2", map[string]int{"b": 90})
		f.play(3)
		So(f.duties.orders, ShouldBeEmpty)
		f.play(1)
		So(f.duties.orders, ShouldResemble, []string{"s/b 30"})
	})
	Convey("Instances report nothing if no service scales", t, func() {
		f := newFleet()
		f.demand["a0"] = fakeDemand{}
		So(f.holder.collect(f.now), ShouldBeNil)
	})
	Convey("An impossible report is dropped", t, func() {
		f := newFleet()
		f.setRunning("a0", map[string]int{"a": -1})
		f.duties.receive(f.now, "a0", f.holder.collect(f.now))
		f.duties.receive(f.now, "a0", []byte("no report"))
		So(f.holder.reports, ShouldBeEmpty)
	})
	Convey("Without duties the module does nothing", t, func() {
		m := newModule("a0", "a", &kernel.Host{Demand: fakeDemand{}, Catalogs: &fakeCatalogs{}})
		So(m.Start(context.Background()), ShouldBeNil)
		So(m.Stop(context.Background()), ShouldBeNil)
	})
}

func sorted(orders []string) []string {
	slices.Sort(orders)
	return orders
}
