package kernel

import (
	"maps"
	"slices"
	"time"

	"github.com/savoryfold/savoryfold/config"
	"github.com/savoryfold/savoryfold/policy"
)

// Dump is the state of one process, without secrets.
type Dump struct {
	ID       string                `json:"id"`
	Zone     string                `json:"zone"`
	State    string                `json:"state"`
	At       time.Time             `json:"at"`
	Revision uint64                `json:"revision"`
	Settings []config.Value        `json:"settings"`
	Pools    map[string]PoolDump   `json:"pools"`
	Modules  map[ModuleID]any      `json:"modules"`
	Routes   map[string][]string   `json:"routes"`
	Zones    map[string]ZoneStatus `json:"zones"`
}

// PoolDump is the state of a pool in a Dump.
type PoolDump struct {
	Waiting int `json:"waiting"`
	// Decisions counts by reason: placements, waits that ended without a slot,
	// borrowed slots, ejections, and refused requests for which this pool was the
	// slowest.
	Decisions map[policy.Reason]int64 `json:"decisions"`
	Servers   []ServerDump            `json:"servers"`
}

// ZoneStatus is the state of an availability zone in a Dump.
type ZoneStatus struct {
	// Out is true if the zone is taken out of service.
	Out bool `json:"out"`
}

// Dump returns the instance's state.
func (in *Instance) Dump() Dump {
	d := Dump{
		ID: in.Host.ID(), Zone: in.Host.Zone(), State: in.State().String(), At: time.Now().UTC(),
		Settings: in.Host.Settings.Dump(),
		Pools:    make(map[string]PoolDump),
		Modules:  make(map[ModuleID]any),
		Routes:   make(map[string][]string),
		Zones:    make(map[string]ZoneStatus),
	}
	for _, l := range in.modules {
		if m, ok := l.module.(Dumper); ok {
			d.Modules[l.info.ID] = m.Dump()
		}
	}
	if snap := in.Host.Snapshot(); snap != nil {
		d.addTables(snap)
	}
	return d
}

func (d *Dump) addTables(snap *Snapshot) {
	d.Revision = snap.Tables.Revision
	for _, name := range slices.Sorted(maps.Keys(snap.pools)) {
		p := snap.pools[name]
		pd := PoolDump{Waiting: p.waiters.len(), Decisions: p.reasons.dump()}
		for _, s := range p.Servers {
			pd.Servers = append(pd.Servers, s.dump())
		}
		d.Pools[name] = pd
	}
	for name, r := range snap.Tables.Routes {
		for _, s := range r.Stages {
			d.Routes[name] = append(d.Routes[name], s.Name+" on "+s.Pool)
		}
	}
	for name, z := range snap.Tables.Zones {
		d.Zones[name] = ZoneStatus{Out: z.Out}
	}
}
