package loadreport

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/savoryfold/savoryfold/kernel"
)

// owners holds the IDs of the live instances and determines which of them polls
// a server.
type owners struct {
	byZone map[string][]string
	all    []string
}

// currentOwners returns the owners for the current membership.
func (m *Module) currentOwners() owners {
	o := owners{byZone: make(map[string][]string)}
	if m.host.Membership == nil {
		o.all = []string{m.host.ID()}
		return o
	}
	for _, member := range m.host.Membership.View().Members {
		// Suspect members are skipped: they may have failed, and the servers must
		// still be polled.
		if member.State != kernel.MemberReady {
			continue
		}
		o.byZone[member.Zone] = append(o.byZone[member.Zone], member.ID)
		o.all = append(o.all, member.ID)
	}
	return o
}

// owner returns the ID of the instance that polls a server: one of the server's
// zone, or one of all if the zone has none.
func (o owners) owner(t *target) string {
	return o.ownerAmong(t.server.Config.Zone, t.hash)
}

func (o owners) ownerAmong(zone string, server uint64) string {
	candidates := o.byZone[zone]
	if len(candidates) == 0 {
		candidates = o.all
	}
	var best string
	var highest uint64
	for _, id := range candidates {
		weight := weightOf(id, server)
		if best == "" || weight > highest || (weight == highest && id < best) {
			best, highest = id, weight
		}
	}
	return best
}

// weightOf returns an instance's rendezvous weight for a server.
func weightOf(id string, server uint64) uint64 {
	var key [8]byte
	binary.LittleEndian.PutUint64(key[:], server)
	d := xxhash.New()
	_, _ = d.WriteString(id)
	_, _ = d.Write(key[:])
	return d.Sum64()
}
