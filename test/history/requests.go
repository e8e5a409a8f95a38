// Package history checks the guarantees of the system against what callers,
// services and instances observed. It does not rely on the system's own logs or
// metrics.
package history

import (
	"fmt"
	"time"

	"github.com/savoryfold/savoryfold/standin"
)

// The outcomes of attempts that the checker distinguishes.
const (
	served = "served"
	notRun = "not-run"
)

// Attempt is one request as its caller saw it. Retries share the key.
type Attempt struct {
	Key        string
	Start, End time.Time
	// Outcome is empty if the caller got no response.
	Outcome string
	Answer  string
}

// Requests is the history of requests that may run at most once.
type Requests struct {
	Attempts []Attempt
	// Executions are the calls that services logged, by the key of the attempts.
	Executions map[string][]standin.CallRecord
}

// RequestsResult is the result of checking a history of requests. Violations
// describes each violation.
type RequestsResult struct {
	// Duplicated counts the keys that ran more than once.
	Duplicated int
	// FalseNotRun counts the executions that only attempts with the outcome
	// "not-run" can have caused.
	FalseNotRun int
	// ServedNotRun counts the served keys that never ran.
	ServedNotRun int
	// Differing counts the keys that were served with different answers.
	Differing int
	// Keys counts all keys, Served those with a served answer, Ran those that
	// ran, and Unsettled those that ran without a served answer.
	Keys, Served, Ran, Unsettled int
	Violations                   []string
}

func (v *RequestsResult) addViolation(count *int, format string, args ...any) {
	*count++
	v.Violations = append(v.Violations, fmt.Sprintf(format, args...))
}

// Check looks for violations in the history.
func (h Requests) Check() RequestsResult {
	var v RequestsResult
	byKey := make(map[string][]Attempt)
	for _, a := range h.Attempts {
		byKey[a.Key] = append(byKey[a.Key], a)
	}
	v.Keys = len(byKey)
	for key, attempts := range byKey {
		v.checkKey(key, attempts, h.Executions[key])
	}
	for key, runs := range h.Executions {
		if len(byKey[key]) == 0 {
			v.addViolation(&v.FalseNotRun, "key %s ran %d times without any attempt", key, len(runs))
		}
	}
	return v
}

// checkKey looks for violations of one key.
func (v *RequestsResult) checkKey(key string, attempts []Attempt, runs []standin.CallRecord) {
	if len(runs) > 1 {
		v.addViolation(&v.Duplicated, "key %s ran %d times", key, len(runs))
	}
	answers := make(map[string]bool)
	for _, a := range attempts {
		if a.Outcome == served {
			answers[a.Answer] = true
		}
	}
	if len(answers) > 1 {
		v.addViolation(&v.Differing, "key %s has %d different answers", key, len(answers))
	}
	if len(answers) > 0 {
		v.Served++
	}
	if len(answers) > 0 && len(runs) == 0 {
		v.addViolation(&v.ServedNotRun, "key %s was served but never ran", key)
	}
	if len(runs) > 0 {
		v.Ran++
		if len(answers) == 0 {
			v.Unsettled++
		}
	}
	for _, run := range runs {
		if !isExplained(run, attempts) {
			v.addViolation(&v.FalseNotRun, "key %s ran at %s, but all earlier attempts were answered \"not run\"", key, run.Start.Format(time.RFC3339Nano))
		}
	}
}

// isExplained reports whether an attempt with another outcome than "not-run"
// can have caused an execution.
func isExplained(run standin.CallRecord, attempts []Attempt) bool {
	for _, a := range attempts {
		if a.Outcome != notRun && !a.Start.After(run.Start) {
			return true
		}
	}
	return false
}
