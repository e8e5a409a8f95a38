package policy

import "time"

// Request describes a request to admission control.
type Request struct {
	Account string
	// Weight is the account's share of the capacity, relative to other accounts.
	Weight float64
	Route  string
	// Class is the request's size class.
	Class    string
	Deadline time.Time
	// Cost is the expected work in cost units: milliseconds of engine time,
	// each stage multiplied by its CostWeight.
	Cost float64
}

// StageForecast describes the expected load and duration of one stage that a
// request still has to run.
type StageForecast struct {
	Pool string
	// Service is the expected duration of a call of the request's size class.
	Service time.Duration
	// Hold is the expected time for which a call of any size class occupies its
	// call slot.
	Hold time.Duration
	// ServiceHigh is a high quantile of the call's duration.
	ServiceHigh time.Duration
	// Waiting is the number of calls queued for the pool on this instance.
	Waiting int
	// Ahead is the work, as call-slot time, of the waiting calls that would be
	// served before the request's call.
	Ahead time.Duration
	// InFlight and Capacity count this instance's calls and call slots.
	InFlight, Capacity int
	// CostWeight is the number of cost units per millisecond of the stage.
	CostWeight float64
}

// Reason is the reason for a decision, as a single word for counters and state
// dumps.
type Reason string

// AdmissionDecision is the decision whether a request may start.
type AdmissionDecision struct {
	Admit  bool
	Reason Reason
	// RetryAfter is the delay after which a retry may succeed.
	RetryAfter time.Duration
	// Predicted is the predicted duration of the request.
	Predicted time.Duration
	// Slowest is the index of the stage with the longest predicted duration.
	Slowest int
}

// Admission decides which requests start.
// Implementations are safe for concurrent use.
type Admission interface {
	// Admit decides on a request. The caller must call Finish once for every
	// admitted request.
	Admit(now time.Time, r Request, stages []StageForecast) AdmissionDecision
	// Finish reports the end of an admitted request.
	Finish(now time.Time, r Request, f Finish)
}

// Finish describes how an admitted request ended.
type Finish struct {
	// Cost is the work done for the request, in cost units.
	Cost   float64
	Served bool
	// Late is true if the request ended because its deadline passed or could no
	// longer be met.
	Late bool
}

// AdmitAll is the baseline. It admits every request.
type AdmitAll struct{}

// Admit implements Admission.
func (AdmitAll) Admit(time.Time, Request, []StageForecast) AdmissionDecision {
	return AdmissionDecision{Admit: true, Reason: "baseline"}
}

// Finish implements Admission.
func (AdmitAll) Finish(time.Time, Request, Finish) {}
