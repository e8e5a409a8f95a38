package policy

import "time"

// Request is what admission knows of a request.
type Request struct {
	Account string
	// Weight is the account's part of a shared resource, relative to others.
	Weight float64
	Route  string
	// Class is the request's size class.
	Class    string
	Deadline time.Time
	// Cost is the expected work in milliseconds of engine time, weighted.
	Cost float64
}

// StageForecast is what is known of one stage that a request has yet to pass.
type StageForecast struct {
	Pool string
	// Service is the expected time of a call of the request's size class.
	Service time.Duration
	// Hold is the expected time for which a call of any size class holds its
	// call slot.
	Hold time.Duration
	// ServiceHigh is a high quantile of the time of the call.
	ServiceHigh time.Duration
	// Waiting is the number of calls queued for the pool on this instance.
	Waiting int
	// Ahead is the work, as time in call slots, of the waiting calls that would
	// go before the request's.
	Ahead time.Duration
	// InFlight and Capacity count this instance's calls and call slots.
	InFlight, Capacity int
	// CostWeight turns a millisecond of the stage into cost units.
	CostWeight float64
}

// Reason names why a decision was taken, in one word for counters and dumps.
type Reason string

// AdmissionDecision says whether a request may start.
type AdmissionDecision struct {
	Admit  bool
	Reason Reason
	// RetryAfter is the earliest time at which a repeat makes sense.
	RetryAfter time.Duration
	// Predicted is the predicted time to finish.
	Predicted time.Duration
	// Slowest is the index of the stage with the longest predicted time.
	Slowest int
}

// Admission decides which requests start.
// Implementations are safe for concurrent use.
type Admission interface {
	// Admit decides on a request. Every admitted request is followed by one
	// call of Finish.
	Admit(now time.Time, r Request, stages []StageForecast) AdmissionDecision
	// Finish reports the end of an admitted request.
	Finish(now time.Time, r Request, f Finish)
}

// Finish says how an admitted request ended.
type Finish struct {
	// Cost is the work that it took, weighted.
	Cost   float64
	Served bool
	// Late is true if it ended because its deadline passed or would have.
	Late bool
}

// AdmitAll is the baseline: it admits every request.
type AdmitAll struct{}

// Admit implements Admission.
func (AdmitAll) Admit(time.Time, Request, []StageForecast) AdmissionDecision {
	return AdmissionDecision{Admit: true, Reason: "baseline"}
}

// Finish implements Admission.
func (AdmitAll) Finish(time.Time, Request, Finish) {}
