// Package history judges what callers, services and instances saw, without
// asking the system for its own account.
package history

import (
	"fmt"
	"time"

	"github.com/savoryfold/savoryfold/standin"
)

// The outcomes of attempts that the checker tells apart.
const (
	served = "served"
	notRun = "not-run"
)

// Attempt is one request as its caller saw it. Repeats share the key.
type Attempt struct {
	Key        string
	Start, End time.Time
	// Outcome is empty if no answer came.
	Outcome string
	Answer  string
}

// Requests is the history of requests that may run at most once.
type Requests struct {
	Attempts []Attempt
	// Executions are the calls that services logged, by the attempts' key.
	Executions map[string][]standin.CallRecord
}

// Verdict counts what was wrong. Faults explains each case.
type Verdict struct {
	// Doubled are keys that ran more than once.
	Doubled int
	// FalseNotRun are executions that only attempts answered with "not run"
	// can have brought about.
	FalseNotRun int
	// Phantom are served keys that never ran.
	Phantom int
	// Differing are keys whose served answers differ.
	Differing int
	// Served, Ran and Unsettled are keys with a served answer, that ran, and
	// that ran without any served answer.
	Keys, Served, Ran, Unsettled int
	Faults                       []string
}

func (v *Verdict) fault(count *int, format string, args ...any) {
	*count++
	v.Faults = append(v.Faults, fmt.Sprintf(format, args...))
}

// Check judges a history.
func (h Requests) Check() Verdict {
	var v Verdict
	byKey := make(map[string][]Attempt)
	for _, a := range h.Attempts {
		byKey[a.Key] = append(byKey[a.Key], a)
	}
	v.Keys = len(byKey)
	for key, attempts := range byKey {
		v.key(key, attempts, h.Executions[key])
	}
	for key, runs := range h.Executions {
		if len(byKey[key]) == 0 {
			v.fault(&v.FalseNotRun, "key %s ran %d times and nobody asked for it", key, len(runs))
		}
	}
	return v
}

// key judges one key.
func (v *Verdict) key(key string, attempts []Attempt, runs []standin.CallRecord) {
	if len(runs) > 1 {
		v.fault(&v.Doubled, "key %s ran %d times", key, len(runs))
	}
	answers := make(map[string]bool)
	for _, a := range attempts {
		if a.Outcome == served {
			answers[a.Answer] = true
		}
	}
	if len(answers) > 1 {
		v.fault(&v.Differing, "key %s has %d different answers", key, len(answers))
	}
	if len(answers) > 0 {
		v.Served++
	}
	if len(answers) > 0 && len(runs) == 0 {
		v.fault(&v.Phantom, "key %s was served and never ran", key)
	}
	if len(runs) > 0 {
		v.Ran++
		if len(answers) == 0 {
			v.Unsettled++
		}
	}
	for _, run := range runs {
		if !explained(run, attempts) {
			v.fault(&v.FalseNotRun, "key %s ran at %s, and each attempt before was told that it did not", key, run.Start.Format(time.RFC3339Nano))
		}
	}
}

// explained reports whether an attempt that was not told "not run" can have
// brought about an execution.
func explained(run standin.CallRecord, attempts []Attempt) bool {
	for _, a := range attempts {
		if a.Outcome != notRun && !a.Start.After(run.Start) {
			return true
		}
	}
	return false
}
