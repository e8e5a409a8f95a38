package policy

import (
	"math/bits"
	"slices"
	"strings"
	"time"
)

// MemberInfo is one member as the table shows it.
type MemberInfo struct {
	Record MemberRecord
	// Status is the announced state, or suspect or gone.
	Status MemberStatus
	Heard  time.Time
}

// View returns all members but the instance itself, sorted by ID.
func (t *MemberTable) View(now time.Time) []MemberInfo {
	out := make([]MemberInfo, 0, len(t.entries))
	for _, e := range t.entries {
		out = append(out, MemberInfo{Record: e.record, Status: t.status(e, now), Heard: e.heard})
	}
	slices.SortFunc(out, func(a, b MemberInfo) int { return strings.Compare(a.Record.ID, b.Record.ID) })
	return out
}

// ZoneOf returns the availability zone of a member, or "".
func (t *MemberTable) ZoneOf(id string) string {
	if id == t.self.ID {
		return t.self.Zone
	}
	if e := t.entries[id]; e != nil {
		return e.record.Zone
	}
	return ""
}

// status is the state of an entry as shown.
func (t *MemberTable) status(e *memberEntry, now time.Time) MemberStatus {
	if e.gone() || e.lapsed {
		return MemberGone
	}
	suspect := e.verdict == MemberSuspect
	if e.record.Zone != t.self.Zone {
		silent := now.Sub(e.heard)
		if silent > remoteSlack*t.goneAfter() {
			return MemberGone
		}
		suspect = suspect || silent > t.remoteSuspectAfter()
	}
	// A member that is not ready carries no requests, and suspicion would only
	// hide that.
	if suspect && e.record.Status == MemberReady {
		return MemberSuspect
	}
	return e.record.Status
}

// gone reports whether the member itself or its zone said that it is gone.
func (e *memberEntry) gone() bool {
	return e.verdict == MemberGone || e.record.Status == MemberGone
}

// cycle is the time in which heartbeats reach the whole zone.
func (t *MemberTable) cycle() time.Duration {
	rounds := (len(t.order) + t.config.Fanout - 1) / t.config.Fanout
	return time.Duration(max(rounds, 1)) * t.config.Interval
}

// spread is the time in which news reach the whole zone from one to the next.
func (t *MemberTable) spread() time.Duration {
	return time.Duration(spreadRounds+bits.Len(uint(len(t.order)))) * t.config.Interval
}

func (t *MemberTable) suspectAfter() time.Duration {
	return max(t.config.SuspectAfter, min(missedCycles*t.cycle(), missedSpreads*t.spread()))
}

// remoteSuspectAfter is the silence that makes a member of another zone
// suspect. Its news come by way of delegates.
func (t *MemberTable) remoteSuspectAfter() time.Duration {
	return remoteSlack * (t.suspectAfter() + t.spread())
}

func (t *MemberTable) goneAfter() time.Duration {
	return max(t.config.GoneAfter, 2*t.suspectAfter())
}

// sweep passes verdicts on silent members of the own zone, lets go of silent
// ones of other zones, and forgets those long gone.
func (t *MemberTable) sweep(now time.Time) {
	t.excusePause(now)
	var forgotten []*memberEntry
	for _, name := range t.zoneNames() {
		zone := t.zones[name]
		heard := zone.lastHeard()
		for _, e := range zone.members {
			t.sweepEntry(e, now, now.Sub(heard))
			if shown := t.status(e, now); shown != e.shown {
				e.shown = shown
				t.version++
			}
			if now.Sub(later(e.heard, e.since)) > t.config.ForgetAfter {
				forgotten = append(forgotten, e)
			}
		}
	}
	for _, e := range forgotten {
		delete(t.entries, e.record.ID)
		t.displace(e)
		t.version++
	}
}

// sweepEntry judges one entry. A member of another zone that is silent while
// its zone is heard lapses: its own zone no longer knows it.
func (t *MemberTable) sweepEntry(e *memberEntry, now time.Time, zoneSilent time.Duration) {
	silent := now.Sub(e.heard)
	if e.gone() {
		return
	}
	if e.record.Zone != t.self.Zone {
		e.lapsed = e.lapsed || (zoneSilent <= t.suspectAfter() && silent > t.remoteSuspectAfter()+t.suspectAfter())
		return
	}
	switch {
	case silent > t.goneAfter():
		t.judge(e, now, MemberGone)
	case silent > t.suspectAfter() && e.verdict == 0:
		t.judge(e, now, MemberSuspect)
	}
}

// lastHeard is when any member of the zone was last heard.
func (z *memberZone) lastHeard() time.Time {
	var last time.Time
	for _, e := range z.members {
		if !e.gone() {
			last = later(last, e.heard)
		}
	}
	return last
}

// excusePause keeps an instance whose process was paused from holding the
// pause against the others.
func (t *MemberTable) excusePause(now time.Time) {
	gap := now.Sub(t.last)
	t.last = now
	if gap <= pauseRounds*t.config.Interval {
		return
	}
	for _, e := range t.entries {
		e.heard = e.heard.Add(gap)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Revisions changes whenever a member's revision of the tables does.
func (t *MemberTable) Revisions() uint64 {
	sum := t.self.Revision
	for _, e := range t.entries {
		sum += e.record.Revision
	}
	return sum
}
