package forward

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/savoryfold/savoryfold/catalog"
	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/policy"
)

// viewOnly provides a catalog.
type viewOnly struct {
	kernel.Catalogs
	view *catalog.Catalog
}

func (c viewOnly) Catalog() *catalog.Catalog { return c.view }

// TestDemand guards against orders of servers from a demand that is not that of the service.
func TestDemand(t *testing.T) {
	Convey("Demand is that of the services that scale", t, func() {
		services := map[string]*catalog.Service{
			"engine": {Name: "engine", Scaling: &catalog.Scaling{}},
			"plain":  {Name: "plain"},
			"stage":  {Name: "stage", Scaling: &catalog.Scaling{}, Batch: &catalog.Batch{}},
		}
		var servers []*catalog.Server
		for name := range services {
			for _, zone := range []string{"a", "b", "c"} {
				servers = append(servers, &catalog.Server{ID: name + zone, Service: name, Zone: zone, StartUnixMilli: 1})
			}
		}
		f := &Forward{host: &kernel.Host{Catalogs: viewOnly{view: catalog.New(&catalog.Config{Services: services}, servers)}}}
		f.servers.ejections = policy.NoEjections{}
		for _, s := range servers {
			if s.Zone != "c" {
				f.servers.get(s).begin(1)
			}
		}
		f.servers.get(servers[0]).begin(1)
		f.servers.get(servers[0]).end(1)
		for _, s := range services {
			f.demand.served(s, time.Second)
			f.demand.served(s, 2*time.Second)
			for _, out := range []kernel.Outcome{
				noServer, noTurn(kernel.TurnDelay{}), noTurn(kernel.TurnDelay{Paused: true}), // counted
				{Kind: kernel.Served}, unknownIfRan(true, noServer), partsRefused, {Kind: kernel.NotRun, Reason: kernel.ReasonDeadline},
			} {
				f.demand.refused(s, out)
			}
		}
		demand, ok := f.Demand()
		So(ok, ShouldBeTrue)
		So(demand, ShouldResemble, map[string]kernel.ServiceDemand{
			"engine": {Running: map[string]int{"a": 1, "b": 1}, Served: 2, Busy: 3 * time.Second, Refused: 3},
		})
	})
	Convey("It is unknown without a catalog", t, func() {
		_, ok := (&Forward{host: &kernel.Host{Catalogs: viewOnly{}}}).Demand()
		So(ok, ShouldBeFalse)
	})
}
