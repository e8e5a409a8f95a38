package policy

import (
	"maps"
	"slices"
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
