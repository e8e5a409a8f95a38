package policy

import (
	"maps"
	"slices"
	"time"
)

// stageGroupServers is the number of servers from which on the stage servers of
// a zone are a group of their own: a queue before three servers waits little
// longer than one before all, and the group's dispatcher has less to do.
const stageGroupServers = 3

// StageGroups divides the stage servers of a service into groups, each of which
// has one queue. It returns the group of each zone, given the number of its
// servers. Zones with few servers join another one; if fewer than two zones have
// enough, all are one group, whose name is empty.
func StageGroups(servers map[string]int) map[string]string {
	var large []string
	for _, zone := range slices.Sorted(maps.Keys(servers)) {
		if servers[zone] >= stageGroupServers {
			large = append(large, zone)
		}
	}
	groups := make(map[string]string, len(servers))
	for zone, n := range servers {
		switch {
		case len(large) < 2:
			groups[zone] = ""
		case n >= stageGroupServers:
			groups[zone] = zone
		default:
			groups[zone] = slices.MaxFunc(large, func(a, b string) int {
				if Rendezvous(zone, a) < Rendezvous(zone, b) {
					return -1
				}
				return 1
			})
		}
	}
	return groups
}

// spillWait is how much longer the wait in the group of the best zone must be
// before work goes to another one: about what a call's data loses between zones.
const spillWait = 100 * time.Millisecond

// ChooseStageGroup returns the group that is to do work which is best done in a
// zone, given the group of each zone, the zones that are out of reach, and the
// wait in each group. Groups out of reach get work only if there are no others.
// If the zone has no group within reach, instances spread over those whose wait
// is least, each by its own ID.
func ChooseStageGroup(groups map[string]string, zone string, cut map[string]bool, instance string, wait func(group string) time.Duration) string {
	names := slices.Compact(slices.Sorted(maps.Values(groups)))
	if within := slices.DeleteFunc(slices.Clone(names), func(group string) bool { return cut[group] }); len(within) > 0 {
		names = within
	}
	home, ok := groups[zone]
	ok = ok && slices.Contains(names, home)
	best, least := "", time.Duration(0)
	if ok {
		best, least = home, wait(home)-spillWait
	}
	for i, group := range names {
		w := wait(group)
		nearer := !ok && w == least && Rendezvous(instance, group) > Rendezvous(instance, best)
		if !ok && i == 0 || w < least || nearer {
			best, least = group, w
		}
	}
	return best
}
