package policy

import (
	"iter"
	"time"
)

const (
	// zoneFailureWindow is the time for which a failure to reach an instance of an
	// availability zone counts. It is short, as links recover.
	zoneFailureWindow = 2 * time.Second
	// minZoneFailures is the number of instances of a zone that must be
	// unreachable for the zone to count as unreachable: a single one may have
	// failed alone.
	minZoneFailures = 2
)

// ZoneReach tracks which availability zones seem unreachable from an instance. In
// the zero value all zones are reachable. It is not safe for concurrent use.
type ZoneReach struct {
	failed map[string]map[string]time.Time // last failure by zone and instance
}

// Failed records that an instance of a zone could not be reached.
func (z *ZoneReach) Failed(now time.Time, zone, id string) {
	if z.failed == nil {
		z.failed = make(map[string]map[string]time.Time)
	}
	if z.failed[zone] == nil {
		z.failed[zone] = make(map[string]time.Time)
	}
	z.failed[zone][id] = now
}

// Reached records that an instance of a zone responded. It clears the zone's
// failures.
func (z *ZoneReach) Reached(zone string) { delete(z.failed, zone) }

// Unreachable reports whether a zone seems to be unreachable.
func (z *ZoneReach) Unreachable(now time.Time, zone string) bool {
	n := 0
	for id, at := range z.failed[zone] {
		if now.Sub(at) > zoneFailureWindow {
			delete(z.failed[zone], id)
			continue
		}
		n++
	}
	return n >= minZoneFailures
}

// Avoid returns those of the given zones that seem to be unreachable. It returns none if
// all of them do: a failed link of the instance itself looks the same, and the failures may
// be out of date.
func (z *ZoneReach) Avoid(now time.Time, zones iter.Seq[string]) map[string]bool {
	if len(z.failed) == 0 {
		return nil
	}
	avoid := make(map[string]bool)
	reachable := false
	for zone := range zones {
		if _, known := avoid[zone]; !known {
			avoid[zone] = z.Unreachable(now, zone)
			reachable = reachable || !avoid[zone]
		}
	}
	if !reachable {
		return nil
	}
	return avoid
}
