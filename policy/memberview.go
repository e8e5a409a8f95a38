package policy

import (
	"math/bits"
	"slices"
	"strings"
	"time"
)

// MemberInfo describes one member.
type MemberInfo struct {
	Record MemberRecord
	// Status is the announced status, or suspect or gone.
	Status MemberStatus
	// LastHeard is the latest time at which the member was known to be alive.
	LastHeard time.Time
}

// View returns all members but the instance itself, sorted by ID.
func (t *MemberTable) View(now time.Time) []MemberInfo {
	out := make([]MemberInfo, 0, len(t.entries))
	for _, e := range t.entries {
		out = append(out, MemberInfo{Record: e.record, Status: t.status(e, now), LastHeard: e.lastHeard})
	}
	slices.SortFunc(out, func(a, b MemberInfo) int { return strings.Compare(a.Record.ID, b.Record.ID) })
	return out
}

// ZoneOf returns the availability zone of a member, or "" if it is unknown.
func (t *MemberTable) ZoneOf(id string) string {
	if id == t.self.ID {
		return t.self.Zone
	}
	if e := t.entries[id]; e != nil {
		return e.record.Zone
	}
	return ""
}

// status returns the status of an entry as shown by View.
func (t *MemberTable) status(e *memberEntry, now time.Time) MemberStatus {
	if e.gone() || e.expired {
		return MemberGone
	}
	suspect := e.observed == MemberSuspect
	if e.record.Zone != t.self.Zone {
		silence := now.Sub(e.lastHeard)
		if silence > remoteFactor*t.goneAfter() {
			return MemberGone
		}
		suspect = suspect || silence > t.remoteSuspectAfter()
	}
	// A member that is not ready serves no requests, and a suspect status would
	// hide that.
	if suspect && e.record.Status == MemberReady {
		return MemberSuspect
	}
	return e.record.Status
}

// gone reports whether the member announced that it is gone, or its zone observed
// it as gone.
func (e *memberEntry) gone() bool {
	return e.observed == MemberGone || e.record.Status == MemberGone
}

// heartbeatCycle is the time in which an instance sends a heartbeat to each
// member of the local zone.
func (t *MemberTable) heartbeatCycle() time.Duration {
	rounds := (len(t.heartbeatOrder) + t.config.Fanout - 1) / t.config.Fanout
	return time.Duration(max(rounds, 1)) * t.config.Interval
}

// propagationTime is the time in which gossip from one member reaches the whole
// local zone.
func (t *MemberTable) propagationTime() time.Duration {
	return time.Duration(propagationRounds+bits.Len(uint(len(t.heartbeatOrder)))) * t.config.Interval
}

func (t *MemberTable) suspectAfter() time.Duration {
	return max(t.config.SuspectAfter, min(missedCycles*t.heartbeatCycle(), missedPropagations*t.propagationTime()))
}

// remoteSuspectAfter is the time without an update after which a member of
// another zone is suspect. It is longer than in the local zone, as updates come
// through delegates.
func (t *MemberTable) remoteSuspectAfter() time.Duration {
	return remoteFactor * (t.suspectAfter() + t.propagationTime())
}

func (t *MemberTable) goneAfter() time.Duration {
	return max(t.config.GoneAfter, 2*t.suspectAfter())
}

// sweep marks members of the local zone that timed out as suspect or gone, expires
// those of other zones, and removes entries after ForgetAfter.
func (t *MemberTable) sweep(now time.Time) {
	t.compensatePause(now)
	var removed []*memberEntry
	for _, name := range t.zoneNames() {
		zone := t.zones[name]
		heard := zone.lastHeard()
		for _, e := range zone.members {
			t.sweepEntry(e, now, now.Sub(heard))
			if status := t.status(e, now); status != e.lastStatus {
				e.lastStatus = status
				t.version++
			}
			if now.Sub(later(e.lastHeard, e.observedAt)) > t.config.ForgetAfter {
				removed = append(removed, e)
			}
		}
	}
	for _, e := range removed {
		delete(t.entries, e.record.ID)
		t.removeFromZone(e)
		t.version++
	}
}

// sweepEntry applies the time-outs to one entry. A member of another zone that
// times out while other members of that zone are known to be alive is expired: its
// own zone no longer lists it.
func (t *MemberTable) sweepEntry(e *memberEntry, now time.Time, zoneSilence time.Duration) {
	silence := now.Sub(e.lastHeard)
	if e.gone() {
		return
	}
	if e.record.Zone != t.self.Zone {
		e.expired = e.expired || (zoneSilence <= t.suspectAfter() && silence > t.remoteSuspectAfter()+t.suspectAfter())
		return
	}
	switch {
	case silence > t.goneAfter():
		t.setObserved(e, now, MemberGone)
	case silence > t.suspectAfter() && e.observed == 0:
		t.setObserved(e, now, MemberSuspect)
	}
}

// lastHeard returns the latest time at which any member of the zone was known to
// be alive.
func (z *memberZone) lastHeard() time.Time {
	var last time.Time
	for _, e := range z.members {
		if !e.gone() {
			last = later(last, e.lastHeard)
		}
	}
	return last
}

// compensatePause shifts lastHeard of all entries after a pause of this process,
// so that the pause does not count as silence of the other members.
func (t *MemberTable) compensatePause(now time.Time) {
	gap := now.Sub(t.lastTick)
	t.lastTick = now
	if gap <= pauseRounds*t.config.Interval {
		return
	}
	for _, e := range t.entries {
		e.lastHeard = e.lastHeard.Add(gap)
	}
}

// Revisions returns the sum of the active table revisions of all members, which
// changes when one of them does.
func (t *MemberTable) Revisions() uint64 {
	sum := t.self.Revision
	for _, e := range t.entries {
		sum += e.record.Revision
	}
	return sum
}
