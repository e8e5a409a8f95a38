package policy

import (
	"maps"
	"slices"
	"time"
)

// minStageGroupServers is the minimum number of stage servers of a zone for a
// group of their own. The queue wait for three servers is little longer than for
// the servers of all zones, and the group's dispatcher has less work.
const minStageGroupServers = 3

// StageGroups divides the stage servers of a service into groups with one queue
// each. It returns the group of each zone, given the number of its servers. Zones
// with fewer than three servers join the group of another zone. If fewer than two
// zones have three servers or more, all zones are one group, whose name is empty.
func StageGroups(servers map[string]int) map[string]string {
	var large []string
	for _, zone := range slices.Sorted(maps.Keys(servers)) {
		if servers[zone] >= minStageGroupServers {
			large = append(large, zone)
		}
	}
	groups := make(map[string]string, len(servers))
	for zone, n := range servers {
		switch {
		case len(large) < 2:
			groups[zone] = ""
		case n >= minStageGroupServers:
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

// spillThreshold is how much longer the queue wait in the group of the preferred
// zone must be before work goes to another group: about the time to transfer a
// call's data between zones.
const spillThreshold = 100 * time.Millisecond

// ChooseStageGroup returns the group for work that prefers a zone, given the
// group of each zone, the unreachable zones, and the queue wait in each group. It
// returns the zone's group unless the wait there is longer than in another group
// by more than spillThreshold. Groups of unreachable zones are chosen only if there
// are no others. If the zone has no reachable group, the group with the shortest
// wait is chosen; a rendezvous hash of the instance ID breaks ties, so that
// instances spread over groups with equal waits.
func ChooseStageGroup(groups map[string]string, zone string, unreachable map[string]bool, instance string, wait func(group string) time.Duration) string {
	names := slices.Compact(slices.Sorted(maps.Values(groups)))
	if reachable := slices.DeleteFunc(slices.Clone(names), func(group string) bool { return unreachable[group] }); len(reachable) > 0 {
		names = reachable
	}
	own, hasOwn := groups[zone]
	hasOwn = hasOwn && slices.Contains(names, own)
	best, least := "", time.Duration(0)
	if hasOwn {
		best, least = own, wait(own)-spillThreshold
	}
	for i, group := range names {
		w := wait(group)
		winsTie := !hasOwn && w == least && Rendezvous(instance, group) > Rendezvous(instance, best)
		if !hasOwn && i == 0 || w < least || winsTie {
			best, least = group, w
		}
	}
	return best
}
