package history

import (
	"fmt"
	"sort"
	"time"
)

// Observation is the active revision of one process at one time.
type Observation struct {
	// Process identifies one start of an instance.
	Process  string
	At       time.Time
	Revision uint64
}

// Edit is an edit and its result as the operator received it.
type Edit struct {
	ID       string
	Section  string
	Base     uint64
	Accepted bool
	Revision uint64
	// At is the time at which the operator received the result.
	At time.Time
}

// Tables is the history of the configuration tables.
type Tables struct {
	Observations []Observation
	Edits        []Edit
}

// TablesResult is the result of checking a configuration history.
type TablesResult struct {
	// Reverted counts the times that a process went back to an older revision.
	Reverted int
	// Raced counts edits that were accepted on the same revision of a section
	// as another edit.
	Raced int
	// Slowest is the longest time from the acceptance of an edit until a process
	// that was observed before it had the revision or a newer one active.
	Slowest    time.Duration
	Violations []string
}

// Check looks for violations in the history.
func (h Tables) Check() TablesResult {
	var v TablesResult
	for process, observations := range h.byProcess() {
		for i := 1; i < len(observations); i++ {
			if observations[i].Revision < observations[i-1].Revision {
				v.Reverted++
				v.Violations = append(v.Violations, fmt.Sprintf("%s went from revision %d back to %d", process, observations[i-1].Revision, observations[i].Revision))
			}
		}
	}
	v.countRaces(h.Edits)
	v.measureSlowest(h)
	return v
}

func (h Tables) byProcess() map[string][]Observation {
	out := make(map[string][]Observation)
	for _, s := range h.Observations {
		out[s.Process] = append(out[s.Process], s)
	}
	for _, observations := range out {
		sort.SliceStable(observations, func(i, j int) bool { return observations[i].At.Before(observations[j].At) })
	}
	return out
}

func (v *TablesResult) countRaces(edits []Edit) {
	type sectionRevision struct {
		section string
		base    uint64
	}
	winners := make(map[sectionRevision]string)
	for _, e := range edits {
		if !e.Accepted {
			continue
		}
		p := sectionRevision{e.Section, e.Base}
		if other, ok := winners[p]; ok && other != e.ID {
			v.Raced++
			v.Violations = append(v.Violations, fmt.Sprintf("edits %s and %s of [%s] were both accepted on revision %d", other, e.ID, e.Section, e.Base))
		}
		winners[p] = e.ID
	}
}

// measureSlowest finds, for each accepted edit, the first observation of its
// revision or a newer one in every process that was observed both before the
// acceptance and with such a revision.
func (v *TablesResult) measureSlowest(h Tables) {
	processes := h.byProcess()
	for _, e := range h.Edits {
		if !e.Accepted {
			continue
		}
		for _, observations := range processes {
			if observations[0].At.After(e.At) {
				continue
			}
			for _, s := range observations {
				if s.Revision >= e.Revision {
					v.Slowest = max(v.Slowest, s.At.Sub(e.At))
					break
				}
			}
		}
	}
}
