package stages

import (
	"cmp"
	"slices"
	"time"

	"github.com/savoryfold/savoryfold/catalog"
	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/policy"
)

// groupKey names a group of stage servers: those of a service, or those of one
// availability zone if each zone has enough of them.
type groupKey struct {
	service string
	zone    string
}

func (k groupKey) String() string {
	if k.zone == "" {
		return k.service
	}
	return k.service + "/" + k.zone
}

// dispatcher returns the group that is to do a stage of a service, best in a
// zone if one is named, and the instance that makes its calls. The instance has
// no ID if none is known.
func (s *Stages) dispatcher(now time.Time, service, zone string) (groupKey, kernel.FleetMember) {
	key := groupKey{service: service}
	if !s.shared || s.host.Fleet == nil {
		return key, kernel.FleetMember{}
	}
	members := s.host.Fleet.Members()
	cut := s.peers.cut(now, s.host.Zone(), members)
	if cut[zone] {
		zone = ""
	}
	if view := s.host.Catalogs.Catalog(); view != nil {
		key.zone = policy.ChooseStageGroup(s.groupsOf(view, service), cmp.Or(zone, s.host.Zone()), cut, s.host.ID(), func(group string) time.Duration {
			return s.told(now, groupKey{service, group}).InTime
		})
	}
	return key, s.owner(now, key, reachable(members, cut))
}

// dispatcherOf returns the group that a server belongs to, and its dispatcher.
func (s *Stages) dispatcherOf(now time.Time, server *catalog.Server) (groupKey, kernel.FleetMember) {
	key := groupKey{service: server.Service}
	if !s.shared || s.host.Fleet == nil {
		return key, kernel.FleetMember{}
	}
	if view := s.host.Catalogs.Catalog(); view != nil {
		key.zone = s.groupsOf(view, server.Service)[server.Zone]
	}
	return key, s.owner(now, key, s.host.Fleet.Members())
}

// reachable leaves out the members of zones that are cut off.
func reachable(members []kernel.FleetMember, cut map[string]bool) []kernel.FleetMember {
	if len(cut) == 0 {
		return members
	}
	return slices.DeleteFunc(slices.Clone(members), func(m kernel.FleetMember) bool { return cut[m.Zone] })
}

// groupTable holds the groups of all stage services of a view, by service and
// zone. It is immutable.
type groupTable struct {
	view   *catalog.Catalog
	groups map[string]map[string]string
}

// groupsOf returns the group of each zone that has servers of a service. They
// are worked out once for each view.
func (s *Stages) groupsOf(view *catalog.Catalog, service string) map[string]string {
	t := s.table.Load()
	if t == nil || t.view != view {
		t = &groupTable{view: view, groups: make(map[string]map[string]string)}
		for name, c := range view.Config.Services {
			if c.Batch != nil {
				t.groups[name] = policy.StageGroups(usableByZone(view, name))
			}
		}
		s.table.Store(t)
	}
	return t.groups[service]
}

// usableByZone counts the servers that may get work.
func usableByZone(view *catalog.Catalog, service string) map[string]int {
	counts := make(map[string]int)
	for _, server := range view.Servers(service) {
		if view.Usable(server) {
			counts[server.Zone]++
		}
	}
	return counts
}

// owner returns the reachable member with the highest rendezvous weight for a
// group, of the group's zone if any stands there. An instance that leaves is no
// dispatcher, as it knows before the others do.
func (s *Stages) owner(now time.Time, key groupKey, members []kernel.FleetMember) kernel.FleetMember {
	leaving := s.host.Instance.State() == kernel.StateLeaving
	may := func(m kernel.FleetMember) bool {
		return m.Address != "" && !s.peers.avoided.Has(m.ID, now) && !(leaving && m.ID == s.host.ID())
	}
	if key.zone != "" {
		local := kernel.FleetOwner(key.String(), members, func(m kernel.FleetMember) bool { return m.Zone == key.zone && may(m) })
		if local.ID != "" {
			return local
		}
	}
	return kernel.FleetOwner(key.String(), members, may)
}
