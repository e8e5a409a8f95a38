package loadreport

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/savoryfold/savoryfold/kernel"
)

// owners says which instance asks which server.
type owners struct {
	byZone map[string][]string
	all    []string
}

// owners takes the live members by availability zone.
func (m *Module) owners() owners {
	o := owners{byZone: make(map[string][]string)}
	if m.host.Membership == nil {
		o.all = []string{m.host.ID()}
		return o
	}
	for _, member := range m.host.Membership.View().Members {
		// A suspect may be dead, and its servers should not go unasked.
		if member.State != kernel.MemberReady {
			continue
		}
		o.byZone[member.Zone] = append(o.byZone[member.Zone], member.ID)
		o.all = append(o.all, member.ID)
	}
	return o
}

// owner returns the instance that asks a server: one of the server's zone, or
// one of all if the zone has none.
func (o owners) owner(t *target) string {
	return o.of(t.server.Config.Zone, t.hash)
}

func (o owners) of(zone string, server uint64) string {
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

// weightOf is an instance's weight in the rendezvous order of a server.
func weightOf(id string, server uint64) uint64 {
	var key [8]byte
	binary.LittleEndian.PutUint64(key[:], server)
	d := xxhash.New()
	_, _ = d.WriteString(id)
	_, _ = d.Write(key[:])
	return d.Sum64()
}
