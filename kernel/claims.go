package kernel

import (
	"context"
	"time"
)

// ClaimRequest asks for the right to run a request that may run at most once.
type ClaimRequest struct {
	Account, Route, Key string
	// BodyHash distinguishes a retry from another request with the same key.
	BodyHash [32]byte
	Deadline time.Time
}

// ClaimGrant is the response to a ClaimRequest, whether or not the claim was
// granted: a Claim, or, if Claim is nil, the Result for the caller.
type ClaimGrant struct {
	Claim  Claim
	Result Result
}

// Claim is the right to run one request once. It must be ended by exactly one
// call of Release, Complete or MarkInDoubt.
type Claim interface {
	// MayDispatch reports whether a non-idempotent call may be sent now. After
	// it returned true, Release is allowed only if every non-idempotent call since
	// then is known not to have run. After Release it returns false.
	MayDispatch(now time.Time) bool
	// Release ends a claim under which no non-idempotent call ran and none will be
	// sent.
	Release()
	// Complete stores the answer so that retries get it, unless it is too large to
	// be kept. It returns once the answer is on the log or the context ends.
	Complete(ctx context.Context, a Answer)
	// MarkInDoubt records that the request may have run. The claim stays in doubt
	// until an operator settles it.
	MarkInDoubt()
}

// Claims decides which instance may run a request that may run at most once.
type Claims interface {
	Claim(ctx context.Context, r ClaimRequest) ClaimGrant
}

// ClaimInfo describes a claim to operators.
type ClaimInfo struct {
	Shard   int       `json:"shard"`
	Account string    `json:"account"`
	Route   string    `json:"route"`
	Key     string    `json:"key"`
	Attempt string    `json:"attempt"`
	Holder  string    `json:"holder"`
	Claimed time.Time `json:"claimed"`
	// Why is the reason why the claim is in doubt.
	Why string `json:"why"`
}

// Verdict is an operator's finding on a claim in doubt.
type Verdict string

// The verdicts. After either, retries get the outcome Unknown, since the holder may
// only be paused and still run the request.
const (
	VerdictRan    Verdict = "ran"     // it ran; retries get ReasonAnswerNotKept
	VerdictNotRun Verdict = "not-run" // it did not run; retries get ReasonSettledNotRun, and the key cannot be used again
)

// ClaimsOperator lets operators see and settle claims in doubt.
type ClaimsOperator interface {
	InDoubt(ctx context.Context) ([]ClaimInfo, error)
	// Settle ends a claim in doubt. The record on the log names the operator.
	Settle(ctx context.Context, c ClaimInfo, v Verdict, operator string) error
}
