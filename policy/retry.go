package policy

import "time"

// Attempt is a failed call, as the retry decision sees it.
type Attempt struct {
	// Number counts the attempts made so far, from 1.
	Number  int
	Pool    string
	Account string
	// Idempotent is true if the stage may run again.
	Idempotent bool
	// Sent is true if a byte of the call may have left the instance.
	Sent     bool
	Deadline time.Time
	// Expected is the expected time of another call.
	Expected time.Duration
	// CostWeight says how much attainment may cost, from 0 to 1.
	CostWeight float64
	// Random is a random number drawn for this decision.
	Random uint64
	// ServerFault is false if the server answered that the request itself is
	// at fault, so that another server would say the same.
	ServerFault bool
}

// Repeatable reports whether the call may be made again without running a
// non-idempotent stage twice.
func (a Attempt) Repeatable() bool { return a.Idempotent || !a.Sent }

// RetryDecision says whether to call again.
type RetryDecision struct {
	Retry  bool
	Delay  time.Duration
	Reason Reason
}

// Retry decides on calls after a failure.
// Implementations are safe for concurrent use.
type Retry interface {
	// Sent counts a first call, which earns the budget its part.
	Sent(now time.Time, pool, account string)
	Decide(now time.Time, a Attempt) RetryDecision
}

// BlindRetries is the baseline: up to three further attempts at once.
type BlindRetries struct{}

const blindAttempts = 4

// Sent implements Retry.
func (BlindRetries) Sent(time.Time, string, string) {}

// Decide implements Retry.
func (BlindRetries) Decide(_ time.Time, a Attempt) RetryDecision {
	if !a.Repeatable() {
		return RetryDecision{Reason: "not-repeatable"}
	}
	if a.Number >= blindAttempts {
		return RetryDecision{Reason: "attempts"}
	}
	return RetryDecision{Retry: true, Reason: "blind"}
}
