package config

import "maps"

// Edit is an operator's change of one section, as recorded on the log.
type Edit struct {
	// ID makes the edit idempotent: an edit with the same ID takes effect once.
	ID       string `cbor:"1,keyasint" json:"id"`
	Operator string `cbor:"2,keyasint" json:"operator"`
	Section  string `cbor:"3,keyasint" json:"section"`
	// Body is the section's new text. It is ignored when Delete is set.
	Body   string `cbor:"4,keyasint" json:"body"`
	Delete bool   `cbor:"5,keyasint" json:"delete"`
	// Base is the revision of the section on which the edit is based. 0 means
	// that the section did not exist.
	Base uint64 `cbor:"6,keyasint" json:"base"`
}

// EditStatus is the status of a decided edit.
type EditStatus string

// The statuses of an edit.
const (
	EditAccepted   EditStatus = "accepted"
	EditSuperseded EditStatus = "superseded" // the section has another revision than the edit's base
	EditInvalid    EditStatus = "invalid"
)

// EditResult is the result of one edit.
type EditResult struct {
	Status EditStatus `cbor:"1,keyasint" json:"status"`
	// Revision is the section's revision after the edit, or the one that
	// superseded it.
	Revision uint64 `cbor:"2,keyasint" json:"revision"`
	// By is the operator whose edit superseded this one.
	By      string `cbor:"3,keyasint,omitempty" json:"by,omitempty"`
	Problem string `cbor:"4,keyasint,omitempty" json:"problem,omitempty"`
}

// Empty returns tables without any section.
func Empty() *Tables {
	t, _ := Compile(map[string]Section{}, 0)
	return t
}

// Apply applies an edit recorded at the given offset. It is a pure function, so
// that instances that read the same log accept the same edits. It returns t
// itself unless the edit is accepted.
func Apply(t *Tables, e Edit, offset uint64) (*Tables, EditResult) {
	current := t.Sections[e.Section]
	if current.Revision != e.Base {
		return t, EditResult{Status: EditSuperseded, Revision: current.Revision, By: current.EditedBy}
	}
	sections := maps.Clone(t.Sections)
	if e.Delete {
		delete(sections, e.Section)
	} else {
		sections[e.Section] = Section{Name: e.Section, Body: e.Body, Revision: offset, EditedBy: e.Operator}
	}
	next, err := Compile(sections, offset)
	if err != nil {
		return t, EditResult{Status: EditInvalid, Revision: current.Revision, Problem: err.Error()}
	}
	return next, EditResult{Status: EditAccepted, Revision: offset}
}

// UnsettledError reports an edit whose result is not known. The edit may be
// retried with the same ID, since it takes effect at most once.
type UnsettledError struct {
	ID string
	// Sent is false if the edit is certainly not on the log.
	Sent  bool
	Cause error
}

// Error implements error.
func (e *UnsettledError) Error() string {
	what := "the log service is out of reach, the edit was not taken"
	if e.Sent {
		what = "the edit was sent, its verdict is not known yet"
	}
	if e.Cause != nil {
		what += ": " + e.Cause.Error()
	}
	return what
}

// Unwrap returns the cause.
func (e *UnsettledError) Unwrap() error { return e.Cause }
