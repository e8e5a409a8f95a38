package stages

import (
	"cmp"
	"maps"
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

// spillWait is how much longer the wait in the own zone's group must be before
// work goes to another zone.
const spillWait = 100 * time.Millisecond

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
		key.zone = s.chooseZone(now, view, service, cmp.Or(zone, s.host.Zone()), cut)
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
		key.zone = groupsOf(view, server.Service)[server.Zone]
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

// groupsOf returns the group of each zone that has servers of a service.
func groupsOf(view *catalog.Catalog, service string) map[string]string {
	return policy.StageGroups(usableByZone(view, service))
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

// chooseZone returns the name of the group that is to do work which is best done
// in a zone. Groups of zones that are cut off get none while there are others.
func (s *Stages) chooseZone(now time.Time, view *catalog.Catalog, service, zone string, cut map[string]bool) string {
	groups := groupsOf(view, service)
	if !allCut(groups, cut) {
		maps.DeleteFunc(groups, func(_, group string) bool { return cut[group] })
	}
	best, least := "", time.Duration(0)
	home, ok := groups[zone]
	if ok {
		best, least = home, s.told(now, groupKey{service, home}).InTime-spillWait
	}
	for _, group := range slices.Sorted(maps.Values(groups)) {
		// Instances spread over the other zones if that one has no servers.
		wait := s.told(now, groupKey{service, group}).InTime
		nearer := !ok && wait == least && policy.Rendezvous(s.host.ID(), group) > policy.Rendezvous(s.host.ID(), best)
		if best == "" || wait < least || nearer {
			best, least = group, wait
		}
	}
	return best
}

// allCut reports whether no group is within reach.
func allCut(groups map[string]string, cut map[string]bool) bool {
	for _, group := range groups {
		if !cut[group] {
			return false
		}
	}
	return true
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
