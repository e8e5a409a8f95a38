package policy

import "time"

const (
	// zoneMemory is how long a failure to reach an instance of an availability
	// zone counts: short, as links come back.
	zoneMemory = 2 * time.Second
	// zoneFailures is the number of instances of a zone that must be out of
	// reach for the zone to count as cut off: one may have died alone.
	zoneFailures = 2
)

// ZoneReach knows which availability zones an instance seems to be cut off from.
// The zero value knows of none. It is not safe for concurrent use.
type ZoneReach struct {
	failed map[string]map[string]time.Time // by zone and instance
}

// Failed notes that an instance of a zone was not reached.
func (z *ZoneReach) Failed(now time.Time, zone, id string) {
	if z.failed == nil {
		z.failed = make(map[string]map[string]time.Time)
	}
	if z.failed[zone] == nil {
		z.failed[zone] = make(map[string]time.Time)
	}
	z.failed[zone][id] = now
}

// Reached notes that an instance of a zone answered.
func (z *ZoneReach) Reached(zone string) { delete(z.failed, zone) }

// Cut reports whether a zone seems to be out of reach.
func (z *ZoneReach) Cut(now time.Time, zone string) bool {
	n := 0
	for id, at := range z.failed[zone] {
		if now.Sub(at) > zoneMemory {
			delete(z.failed[zone], id)
			continue
		}
		n++
	}
	return n >= zoneFailures
}
