package kernel

import (
	"net/http"
	"time"
)

// OutcomeKind is how a request ended.
type OutcomeKind string

// The kinds of outcomes. Each request ends in exactly one.
const (
	// Served: the caller gets the complete answer.
	Served OutcomeKind = "served"
	// NotRun: no stage of this attempt ran, and none will. A backend server that
	// got a call refused it, in a response that carries the call's ID.
	NotRun OutcomeKind = "not-run"
	// Incomplete: some idempotent stages ran; no other stage ran or will run. The
	// request may be retried.
	Incomplete OutcomeKind = "incomplete"
	// Unknown: a non-idempotent stage ran or may have run, and its answer is not
	// available.
	Unknown OutcomeKind = "unknown"
	// Rejected: the request itself is invalid. No non-idempotent stage ran.
	Rejected OutcomeKind = "rejected"
)

// OutcomeReason is the reason for an outcome.
type OutcomeReason string

// The reasons of outcomes.
const (
	ReasonNone                OutcomeReason = ""
	ReasonUnknownRoute        OutcomeReason = "unknown-route"
	ReasonForbidden           OutcomeReason = "forbidden"
	ReasonBadRequest          OutcomeReason = "bad-request"
	ReasonBadDeadline         OutcomeReason = "bad-deadline"
	ReasonUnauthorized        OutcomeReason = "unauthorized"
	ReasonTooLarge            OutcomeReason = "too-large"
	ReasonKeyRequired         OutcomeReason = "key-required"
	ReasonKeyReused           OutcomeReason = "key-reused"
	ReasonKeyInvalidOrExpired OutcomeReason = "key-time" // the key has no timestamp, or one outside the window
	ReasonNotReady            OutcomeReason = "not-ready"
	ReasonLeaving             OutcomeReason = "leaving"
	ReasonOverload            OutcomeReason = "overload"
	ReasonRateLimit           OutcomeReason = "rate-limit"   // the rates that the servers accept are used up
	ReasonServerPause         OutcomeReason = "server-pause" // all servers have asked for a pause
	ReasonDeadline            OutcomeReason = "deadline"
	ReasonNoServer            OutcomeReason = "no-server"
	ReasonStageInputLost      OutcomeReason = "input-gone"
	ReasonStageFailed         OutcomeReason = "stage-failed"
	ReasonCallerGone          OutcomeReason = "caller-gone"
	ReasonCrashes             OutcomeReason = "crashes-servers"
	ReasonLogUnavailable      OutcomeReason = "log-unavailable"
	ReasonInProgress          OutcomeReason = "in-progress"
	ReasonInDoubt             OutcomeReason = "in-doubt"
	ReasonClaimUnknown        OutcomeReason = "claim-unknown"   // an earlier claim of the key may still reach the log
	ReasonSettledNotRun       OutcomeReason = "settled-not-run" // an operator decided that the request did not run
	ReasonAnswerNotKept       OutcomeReason = "answer-not-kept" // the request ran, but its answer is not stored
)

// RejectedStatus is the HTTP status for a request that was rejected for the
// reason.
func (r OutcomeReason) RejectedStatus() int {
	switch r {
	case ReasonUnknownRoute:
		return http.StatusNotFound
	case ReasonForbidden:
		return http.StatusForbidden
	case ReasonUnauthorized:
		return http.StatusUnauthorized
	case ReasonTooLarge:
		return http.StatusRequestEntityTooLarge
	case ReasonKeyReused:
		return http.StatusUnprocessableEntity
	}
	return http.StatusBadRequest
}

// Outcome is how a request ended and why.
type Outcome struct {
	Kind   OutcomeKind
	Reason OutcomeReason
	// Detail is shown to the caller and must hold no secrets.
	Detail string
	// RetryAfter is how long the caller should wait before a retry; 0 if
	// unspecified.
	RetryAfter time.Duration
	// Truncated is true if a part of the answer was already sent to the caller, so
	// that only closing the connection can show that it is incomplete.
	Truncated bool
}

// StageCost is the work and time spent on one stage of a request.
type StageCost struct {
	Stage string `json:"stage" cbor:"1,keyasint"`
	Pool  string `json:"pool" cbor:"2,keyasint"`
	// Calls is the number of calls made. At most one of them gave the result;
	// the others were wasted.
	Calls int `json:"calls" cbor:"3,keyasint"`
	// EngineMS is the work time of the backend servers, in milliseconds.
	EngineMS float64 `json:"engine_ms" cbor:"4,keyasint"`
	// WastedMS is the part of EngineMS spent on calls whose answer was not used.
	WastedMS float64 `json:"wasted_ms" cbor:"5,keyasint"`
	Tokens   int     `json:"tokens" cbor:"6,keyasint"`
	// WaitMS is the time spent waiting for a call slot, in milliseconds.
	WaitMS float64 `json:"wait_ms" cbor:"7,keyasint"`
	Server string  `json:"server" cbor:"8,keyasint"`
}

// Answer is the complete answer to a request.
type Answer struct {
	ContentType string `cbor:"1,keyasint"`
	Body        []byte `cbor:"2,keyasint"`
}

// Result is everything that is reported to the caller.
type Result struct {
	Outcome Outcome
	Answer  Answer
	// Replayed is true if the answer is that of an earlier request with the
	// same idempotency key.
	Replayed       bool
	Costs          []StageCost
	TablesRevision uint64
}

// Request is one request of a caller.
type Request struct {
	ID      string
	Account string
	Route   string
	// Key is the idempotency key; empty if the caller gave none.
	Key         string
	ContentType string
	Body        []byte
	// Deadline is the one set by the caller; if zero, the route's applies.
	Deadline time.Time
	// Events receives the events of the last stage if the caller wants a stream.
	// If it is nil, the caller gets one complete answer.
	Events EventSink
}

// Event is one event of a streamed answer.
type Event struct {
	ID   string
	Data string
}

// EventSink receives a streamed answer. An error means that the caller has
// disconnected.
type EventSink interface {
	Send(Event) error
}
