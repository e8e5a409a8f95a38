package forward

import (
	"sync"
	"time"

	"github.com/savoryfold/savoryfold/catalog"
	"github.com/savoryfold/savoryfold/policy"
)

// zoneReach is what this instance has observed of the links to the availability zones of
// backend servers.
type zoneReach struct {
	mu    sync.Mutex
	zones policy.ZoneReach // guarded by mu
}

// zoneFailed records that no connection to a server could be made.
func (f *Forward) zoneFailed(now time.Time, server *catalog.Server) {
	f.reach.mu.Lock()
	before := f.reach.zones.Unreachable(now, server.Zone)
	f.reach.zones.Failed(now, server.Zone, server.ID)
	lost := !before && f.reach.zones.Unreachable(now, server.Zone)
	f.reach.mu.Unlock()
	if lost {
		f.host.Counter(`server_zones_out_of_reach{zone="` + server.Zone + `"}`).Inc(1)
		f.host.Logger.Warn("backend servers of an availability zone unreachable, preferring other zones", "zone", server.Zone, "last_failed", server.ID)
	}
}

// zoneReached records that a server responded.
func (f *Forward) zoneReached(now time.Time, server *catalog.Server) {
	f.reach.mu.Lock()
	before := f.reach.zones.Unreachable(now, server.Zone)
	f.reach.zones.Reached(server.Zone)
	f.reach.mu.Unlock()
	if before {
		f.host.Logger.Info("backend servers of an availability zone reachable again", "zone", server.Zone, "server", server.ID)
	}
}

// withinReach returns the candidates outside the zones that seem unreachable, or all of
// them if no other zone has one.
func (f *Forward) withinReach(now time.Time, usable []choice, snapshots []serverSnapshot) ([]choice, []serverSnapshot) {
	f.reach.mu.Lock()
	avoid := f.reach.zones.Avoid(now, func(yield func(string) bool) {
		for _, c := range usable {
			if !yield(c.server.Zone) {
				return
			}
		}
	})
	f.reach.mu.Unlock()
	if len(avoid) == 0 {
		return usable, snapshots
	}
	n := 0
	for i, c := range usable {
		if !avoid[c.server.Zone] {
			usable[n], snapshots[n] = c, snapshots[i]
			n++
		}
	}
	return usable[:n], snapshots[:n]
}
