package rollout

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/savoryfold/savoryfold/config"
	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/policy"
)

// Moves implements kernel.Moves. It returns version moves sorted by route, then
// the availability zones that are out of service.
func (r *Rollout) Moves() []kernel.MoveStatus {
	var out []kernel.MoveStatus
	set := r.moves.Load()
	for _, name := range slices.Sorted(maps.Keys(set.byRoute)) {
		out = append(out, set.byRoute[name].status(time.Now()))
	}
	snap := r.host.Snapshot()
	if snap == nil {
		return out
	}
	for _, name := range slices.Sorted(maps.Keys(snap.Tables.Zones)) {
		if z := snap.Tables.Zones[name]; z.Out {
			out = append(out, r.zoneStatus(z))
		}
	}
	return out
}

func (m *move) status(now time.Time) kernel.MoveStatus {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := kernel.MoveStatus{
		Kind: "version", Name: m.route, From: m.move.From, To: m.move.To, State: kernel.MoveRunning,
		Share: m.getShare(), Revision: m.revision.Load(), By: m.move.CompleteBy,
	}
	switch {
	case m.rolledBack.Load():
		s.State, s.At, s.Why = kernel.MoveRolledBack, m.rolledBackAt, m.why
	case !m.done.IsZero():
		s.State, s.At = kernel.MoveDone, m.done
	default:
		s.Why = m.waiting(now)
	}
	return s
}

// waiting describes what a running move waits for. The caller holds mu.
func (m *move) waiting(now time.Time) string {
	calls := m.evidence(now).New.Calls
	switch {
	case now.Before(m.move.Start):
		return "begins at " + m.move.Start.UTC().Format(time.RFC3339)
	case !m.newServers.Load():
		return "no server that gets calls runs the new version yet"
	case m.deferred.Load():
		return "waits for a route with cheaper or repeatable traffic to prove the version"
	}
	return fmt.Sprintf("%d calls of the new version seen", calls)
}

// zoneStatus reports how many calls still run in a zone that is out of service.
// Instances without a recent digest are not counted.
func (r *Rollout) zoneStatus(z *config.Zone) kernel.MoveStatus {
	s := kernel.MoveStatus{Kind: "zone", Name: z.Name, State: kernel.MoveDone, Revision: z.Revision}
	calls, instances := r.ownZoneCalls()[z.Name], 1
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, other := range r.zones {
		if id != r.host.ID() {
			calls += other.calls[z.Name]
			instances++
		}
	}
	if calls > 0 {
		s.State = kernel.MoveRunning
	}
	s.Why = fmt.Sprintf("%d calls still run, as %d instances say", calls, instances)
	return s
}

// moveDump is the dumped state of a move.
type moveDump struct {
	Status    kernel.MoveStatus   `json:"status"`
	Evidence  policy.MoveEvidence `json:"evidence"`
	Instances int                 `json:"instances_heard"`
}

// Dump implements kernel.Dumper.
func (r *Rollout) Dump() any {
	now := time.Now()
	out := make(map[string]moveDump)
	for name, m := range r.moves.Load().byRoute {
		d := moveDump{Status: m.status(now)}
		m.mu.Lock()
		d.Evidence, d.Instances = m.evidence(now), len(m.byInstance)
		m.mu.Unlock()
		out[name] = d
	}
	return out
}
