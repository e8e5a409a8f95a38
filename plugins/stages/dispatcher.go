package stages

import (
	"cmp"
	"slices"
	"time"

	"github.com/savoryfold/savoryfold/catalog"
	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/policy"
)

// groupKey identifies a group of stage servers: all servers of a service or, if
// at least two availability zones have enough servers, those of one such zone
// and of the smaller zones assigned to it.
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

// dispatcher returns the group that is to run a stage of a service, preferably
// in the given zone, and the instance that makes the group's calls. The
// instance has no ID if none is known.
func (s *Stages) dispatcher(now time.Time, service, zone string) (groupKey, kernel.FleetMember) {
	key := groupKey{service: service}
	if !s.shared || s.host.Fleet == nil {
		return key, kernel.FleetMember{}
	}
	members := s.host.Fleet.Members()
	unreachable := s.peers.unreachableZones(now, s.host.Zone(), members)
	if unreachable[zone] {
		zone = ""
	}
	if view := s.host.Catalogs.Catalog(); view != nil {
		key.zone = policy.ChooseStageGroup(s.groupsOf(view, service), cmp.Or(zone, s.host.Zone()), unreachable, s.host.ID(), func(group string) time.Duration {
			return s.reportedForecast(now, groupKey{service, group}).InTime
		})
	}
	return key, s.owner(now, key, reachable(members, unreachable))
}

// dispatcherOf returns the group that a server belongs to, and the group's
// dispatcher.
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

// reachable returns the members outside the unreachable zones.
func reachable(members []kernel.FleetMember, unreachable map[string]bool) []kernel.FleetMember {
	if len(unreachable) == 0 {
		return members
	}
	return slices.DeleteFunc(slices.Clone(members), func(m kernel.FleetMember) bool { return unreachable[m.Zone] })
}

// groupTable holds the groups of all stage services in one catalog snapshot, by
// service and zone. It is immutable.
type groupTable struct {
	view   *catalog.Catalog
	groups map[string]map[string]string
}

// groupsOf returns the group of each zone that has servers of a service. The
// groups are computed once per catalog snapshot.
func (s *Stages) groupsOf(view *catalog.Catalog, service string) map[string]string {
	t := s.groupTable.Load()
	if t == nil || t.view != view {
		t = &groupTable{view: view, groups: make(map[string]map[string]string)}
		for name, c := range view.Config.Services {
			if c.Batch != nil {
				t.groups[name] = policy.StageGroups(usableByZone(view, name))
			}
		}
		s.groupTable.Store(t)
	}
	return t.groups[service]
}

// usableByZone returns the number of usable servers of a service in each zone.
func usableByZone(view *catalog.Catalog, service string) map[string]int {
	counts := make(map[string]int)
	for _, server := range view.Servers(service) {
		if view.Usable(server) {
			counts[server.Zone]++
		}
	}
	return counts
}

// owner returns the eligible member with the highest rendezvous weight for a
// group, in the group's zone if there is one. An instance that is leaving does
// not choose itself, as it knows this before the others do.
func (s *Stages) owner(now time.Time, key groupKey, members []kernel.FleetMember) kernel.FleetMember {
	leaving := s.host.Instance.State() == kernel.StateLeaving
	eligible := func(m kernel.FleetMember) bool {
		return m.Address != "" && !s.peers.coolDowns.Active(m.ID, now) && !(leaving && m.ID == s.host.ID())
	}
	if key.zone != "" {
		local := kernel.FleetOwner(key.String(), members, func(m kernel.FleetMember) bool { return m.Zone == key.zone && eligible(m) })
		if local.ID != "" {
			return local
		}
	}
	return kernel.FleetOwner(key.String(), members, eligible)
}
