package discovery

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/platform"
)

// fleetGroup is the group of the store that all instances join. Its members
// are the instances that live.
const fleetGroup = "fleet"

// joinsPerTTL is how often an instance tells that it lives within the time
// after which it counts as gone.
const joinsPerTTL = 3

// ownersInterval bounds the age of the known instances while nothing shows
// that they changed.
const ownersInterval = 5 * time.Second

// leaveTimeout bounds the call that leaves the fleet; without it the entry
// expires by itself.
const leaveTimeout = 500 * time.Millisecond

// memberSeparator stands between the fields of a member's name, which no
// identifier, zone or address holds.
const memberSeparator = "|"

// joinFleet keeps this instance in the fleet and knows the others.
func (d *Discovery) joinFleet(ctx context.Context) {
	settings := d.host.Settings
	ttl := settings.Duration(section, "member_ttl")
	self := kernel.FleetMember{ID: d.host.ID(), Zone: d.host.Zone(), Address: settings.String(section, "peer_address")}
	name := encodeMember(self)
	topics := make([]string, settings.Int(section, "member_topics"))
	for i := range topics {
		topics[i] = fmt.Sprintf("fleet-%d", i)
	}
	var generation uint64
	var listed time.Time
	away := false
	ticker := time.NewTicker(ttl / joinsPerTTL)
	defer ticker.Stop()
	for joined := true; joined; {
		group, err := d.client.Join(ctx, fleetGroup, name, topics, ttl, generation)
		switch {
		case err != nil:
			d.host.Counter(`store_calls_failed{call="join"}`).Inc(1)
			if !away {
				d.host.Logger.Warn("metadata store does not answer the heartbeat", "error", err)
			}
			away = true
		case group.Generation != generation || time.Since(listed) > ownersInterval:
			generation = group.Generation
			if d.listFleet(ctx, self) {
				listed = time.Now()
			}
		}
		if away && err == nil {
			away = false
			d.host.Logger.Info("metadata store answers the heartbeat again")
			d.noteRegained(time.Now())
			d.renew.renew()
		}
		select {
		case <-ticker.C:
		case <-d.leaving:
			joined = false
		case <-ctx.Done():
			joined = false
		}
	}
	leave, cancel := context.WithTimeout(context.WithoutCancel(ctx), leaveTimeout)
	defer cancel()
	if err := d.client.Leave(leave, fleetGroup, name); err != nil {
		d.host.Logger.Warn("could not leave the fleet, the entry expires", "after", ttl, "error", err)
	}
}

// listFleet reads the members and reports whether it could.
func (d *Discovery) listFleet(ctx context.Context, self kernel.FleetMember) bool {
	parts, err := d.client.Owners(ctx, fleetGroup)
	if err != nil {
		d.host.Logger.Warn("members of the fleet cannot be read", "error", err)
		return false
	}
	members := membersOf(parts, self)
	if old := d.members.Swap(&members); old == nil || !slices.Equal(*old, members) {
		d.host.Logger.Info("fleet changed", "members", len(members))
		d.host.Gauge("fleet_members").Update(int64(len(members)))
	}
	return true
}

// membersOf returns the members that hold partitions, and self, in order of ID.
func membersOf(parts []platform.GroupPart, self kernel.FleetMember) []kernel.FleetMember {
	byID := map[string]kernel.FleetMember{self.ID: self}
	for _, p := range parts {
		if m, ok := decodeMember(p.Member); ok && m.ID != self.ID {
			byID[m.ID] = m
		}
	}
	members := make([]kernel.FleetMember, 0, len(byID))
	for _, m := range byID {
		members = append(members, m)
	}
	slices.SortFunc(members, func(a, b kernel.FleetMember) int { return strings.Compare(a.ID, b.ID) })
	return members
}

// Members implements kernel.Fleet.
func (d *Discovery) Members() []kernel.FleetMember {
	if m := d.members.Load(); m != nil {
		return *m
	}
	return nil
}

func encodeMember(m kernel.FleetMember) string {
	return strings.Join([]string{m.ID, m.Zone, m.Address}, memberSeparator)
}

func decodeMember(name string) (kernel.FleetMember, bool) {
	fields := strings.Split(name, memberSeparator)
	if len(fields) != 3 || fields[0] == "" {
		return kernel.FleetMember{}, false
	}
	return kernel.FleetMember{ID: fields[0], Zone: fields[1], Address: fields[2]}, true
}
