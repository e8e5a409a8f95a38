package config

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// Bounds of the remembered edits.
const (
	maxDecided      = 1024
	maxProblemBytes = 512
)

// DecidedEdit is a remembered edit with its result. It lets a retried edit with
// the same ID get the same result.
type DecidedEdit struct {
	ID       string     `cbor:"1,keyasint"`
	Operator string     `cbor:"2,keyasint"`
	Section  string     `cbor:"3,keyasint"`
	Content  uint64     `cbor:"4,keyasint"` // hash of the complete edit
	Result   EditResult `cbor:"5,keyasint"`
}

// State is the state after the records of the stream "config" up to an offset.
// It is immutable, and a pure function of those records.
type State struct {
	// Offset is the offset of the last record that the state includes.
	Offset  uint64
	Tables  *Tables
	Decided []DecidedEdit // oldest first
}

// NewState returns the state before the first record.
func NewState() *State { return &State{Tables: Empty()} }

// Find returns the result of an edit that is remembered as decided. An edit that
// reuses the ID of a different edit is invalid.
func (s *State) Find(e Edit) (EditResult, bool) {
	for _, d := range slices.Backward(s.Decided) {
		if d.ID != e.ID {
			continue
		}
		if d.Content != contentHash(e) {
			return EditResult{Status: EditInvalid, Problem: "the edit's ID was used for another edit"}, true
		}
		return d.Result, true
	}
	return EditResult{}, false
}

// ApplyEdit returns the state after an edit at the given offset, and the result
// of the edit. The first valid edit based on a section's current revision is
// accepted. A retry of a remembered edit gets the same result again.
func (s *State) ApplyEdit(e Edit, offset uint64) (*State, EditResult) {
	next := &State{Offset: offset, Tables: s.Tables, Decided: s.Decided}
	if result, ok := s.Find(e); ok {
		return next, result
	}
	tables, result := Apply(s.Tables, e, offset)
	if result.Status == EditSuperseded {
		result.By = s.lastEditor(e.Section)
	}
	if len(result.Problem) > maxProblemBytes {
		result.Problem = result.Problem[:maxProblemBytes]
	}
	next.Tables = tables
	next.Decided = remember(s.Decided, DecidedEdit{
		ID: e.ID, Operator: e.Operator, Section: e.Section, Content: contentHash(e), Result: result,
	})
	return next, result
}

// Skip returns the state after a record at the given offset that changes nothing.
func (s *State) Skip(offset uint64) *State {
	return &State{Offset: offset, Tables: s.Tables, Decided: s.Decided}
}

// remember returns a new list with one more edit, without the oldest ones beyond
// maxDecided.
func remember(list []DecidedEdit, d DecidedEdit) []DecidedEdit {
	from := max(0, len(list)+1-maxDecided)
	next := make([]DecidedEdit, 0, len(list)+1-from)
	next = append(next, list[from:]...)
	return append(next, d)
}

// lastEditor returns the operator who last set or deleted a section.
func (s *State) lastEditor(section string) string {
	for _, d := range slices.Backward(s.Decided) {
		if d.Section == section && d.Result.Status == EditAccepted {
			return d.Operator
		}
	}
	return s.Tables.Sections[section].EditedBy
}

// contentHash distinguishes a retried edit from a different edit with the same ID.
func contentHash(e Edit) uint64 {
	data, err := recordEncoder.Marshal(e)
	if err != nil {
		panic("config: edit: " + err.Error())
	}
	return xxhash.Sum64(data)
}

// Restate returns the state as a restatement.
func (s *State) Restate() Restatement {
	r := Restatement{Covers: s.Offset, Revision: s.Tables.Revision, Decided: s.Decided}
	for _, name := range s.Tables.SectionNames() {
		r.Sections = append(r.Sections, s.Tables.Sections[name])
	}
	return r
}

// Digest returns a hash of the restatement's content.
func (r Restatement) Digest() uint64 {
	data, err := recordEncoder.Marshal(r)
	if err != nil {
		panic("config: restatement: " + err.Error())
	}
	return xxhash.Sum64(data)
}

// State returns the state that a restatement describes, or an error if the
// restatement is inconsistent.
func (r Restatement) State() (*State, error) {
	if r.Revision > r.Covers {
		return nil, errors.New("restatement: revision is newer than the records covered")
	}
	if len(r.Decided) > maxDecided {
		return nil, errors.New("restatement: too many edits remembered")
	}
	sections := make(map[string]Section, len(r.Sections))
	for _, s := range r.Sections {
		if s.Revision > r.Revision {
			return nil, errors.Errorf("restatement: section [%s] is newer than the tables", s.Name)
		}
		sections[s.Name] = s
	}
	if len(sections) != len(r.Sections) {
		return nil, errors.New("restatement: duplicate section")
	}
	t, err := Compile(maps.Clone(sections), r.Revision)
	if err != nil {
		return nil, errors.Wrap(err, "restatement")
	}
	return &State{Offset: r.Covers, Tables: t, Decided: r.Decided}, nil
}
