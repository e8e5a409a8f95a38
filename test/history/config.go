package history

import (
	"fmt"
	"sort"
	"time"
)

// Sight is the revision that one process was seen to have in force.
type Sight struct {
	// Process changes with every start of an instance.
	Process  string
	At       time.Time
	Revision uint64
}

// Edit is an edit as its operator saw it.
type Edit struct {
	ID       string
	Section  string
	Base     uint64
	Accepted bool
	Revision uint64
	// At is when the verdict came.
	At time.Time
}

// Tables is the history of the configuration.
type Tables struct {
	Sights []Sight
	Edits  []Edit
}

// TablesVerdict counts what was wrong with the configuration.
type TablesVerdict struct {
	// Reverted counts older revisions after newer ones in one process.
	Reverted int
	// Raced counts edits that were accepted on the same revision of a section
	// as another edit.
	Raced int
	// Slowest is the longest time from an acceptance to its being seen in
	// force in every process that was looked at all along.
	Slowest time.Duration
	Faults  []string
}

// Check judges a history.
func (h Tables) Check() TablesVerdict {
	var v TablesVerdict
	for process, sights := range h.byProcess() {
		for i := 1; i < len(sights); i++ {
			if sights[i].Revision < sights[i-1].Revision {
				v.Reverted++
				v.Faults = append(v.Faults, fmt.Sprintf("%s went from revision %d back to %d", process, sights[i-1].Revision, sights[i].Revision))
			}
		}
	}
	v.races(h.Edits)
	v.slowest(h)
	return v
}

func (h Tables) byProcess() map[string][]Sight {
	out := make(map[string][]Sight)
	for _, s := range h.Sights {
		out[s.Process] = append(out[s.Process], s)
	}
	for _, sights := range out {
		sort.SliceStable(sights, func(i, j int) bool { return sights[i].At.Before(sights[j].At) })
	}
	return out
}

func (v *TablesVerdict) races(edits []Edit) {
	type place struct {
		section string
		base    uint64
	}
	winners := make(map[place]string)
	for _, e := range edits {
		if !e.Accepted {
			continue
		}
		p := place{e.Section, e.Base}
		if other, ok := winners[p]; ok && other != e.ID {
			v.Raced++
			v.Faults = append(v.Faults, fmt.Sprintf("edits %s and %s of [%s] were both accepted on revision %d", other, e.ID, e.Section, e.Base))
		}
		winners[p] = e.ID
	}
}

// slowest looks, for each accepted edit, for the first sight of its revision
// in every process that was seen both before the acceptance and at least once
// with that revision or a newer one.
func (v *TablesVerdict) slowest(h Tables) {
	processes := h.byProcess()
	for _, e := range h.Edits {
		if !e.Accepted {
			continue
		}
		for _, sights := range processes {
			if sights[0].At.After(e.At) {
				continue
			}
			for _, s := range sights {
				if s.Revision >= e.Revision {
					v.Slowest = max(v.Slowest, s.At.Sub(e.At))
					break
				}
			}
		}
	}
}
