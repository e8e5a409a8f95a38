package policy

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// Attempt describes a failed call to the retry decision.
type Attempt struct {
	// Number is the number of attempts made so far, at least 1.
	Number  int
	Pool    string
	Account string
	// Idempotent is true if the stage may run more than once.
	Idempotent bool
	// Sent is true if a byte of the call may have left the instance.
	Sent     bool
	Deadline time.Time
	// Expected is the expected duration of another call.
	Expected time.Duration
	// CostWeight determines how much extra work the route may spend to meet its
	// deadlines, from 0 (no retries) to 1.
	CostWeight float64
	// Random is a uniformly distributed random number for the jitter.
	Random uint64
}

// SafeToRetry reports whether the call can be retried without running a
// non-idempotent stage twice.
func (a Attempt) SafeToRetry() bool { return a.Idempotent || !a.Sent }

// RetryDecision is the decision whether to retry a call, and after which delay.
type RetryDecision struct {
	Retry  bool
	Delay  time.Duration
	Reason Reason
}

// Retry decides whether failed calls are retried.
// Implementations are safe for concurrent use.
type Retry interface {
	// Sent records the first call of a stage, which adds to the retry budgets of
	// its pool and its client account. CostWeight is the route's, from 0 to 1.
	Sent(pool, account string, costWeight float64)
	Decide(now time.Time, a Attempt) RetryDecision
}

// BlindRetries is the baseline. It retries up to three times without delay or
// budget.
type BlindRetries struct{}

const maxBlindAttempts = 4

// Sent implements Retry.
func (BlindRetries) Sent(string, string, float64) {}

// Decide implements Retry.
func (BlindRetries) Decide(_ time.Time, a Attempt) RetryDecision {
	if !a.SafeToRetry() {
		return RetryDecision{Reason: "not-repeatable"}
	}
	if a.Number >= maxBlindAttempts {
		return RetryDecision{Reason: "attempts"}
	}
	return RetryDecision{Retry: true, Reason: "blind"}
}

// Parameters of retry budgets and backoff.
const (
	// budgetPerCall is the number of retries that a first call adds to a budget
	// at cost weight 1. In the long run there are at most 1 + budgetPerCall calls
	// per first call.
	budgetPerCall = 0.25
	// maxBudget is the largest number of retries that a budget holds, and
	// initialBudget the number in a new budget.
	maxBudget     = 20
	initialBudget = 5
	// maxAttempts is the maximum number of calls of one stage of one request,
	// including the first.
	maxAttempts = 4
	// backoffBase is the mean delay before the first retry of a call that was
	// sent. The delay doubles with every further retry, up to backoffMax.
	backoffBase = 10 * time.Millisecond
	backoffMax  = 200 * time.Millisecond
)

// BudgetedRetries retries with exponential backoff and jitter, within a budget
// for each pool and each client account. The budgets keep retries from
// multiplying the load of a failing pool. Every first call adds a fraction of a
// retry to its budgets. The zero value is ready for use.
type BudgetedRetries struct {
	pools    budgets
	accounts budgets
}

// Sent implements Retry.
func (b *BudgetedRetries) Sent(pool, account string, costWeight float64) {
	b.pools.get(pool).deposit(budgetPerCall * costWeight)
	b.accounts.get(account).deposit(budgetPerCall * costWeight)
}

// Decide implements Retry.
func (b *BudgetedRetries) Decide(now time.Time, a Attempt) RetryDecision {
	delay := backoff(a)
	switch {
	case !a.SafeToRetry():
		return RetryDecision{Reason: "not-repeatable"}
	case a.CostWeight <= 0:
		return RetryDecision{Reason: "cost-weight"}
	case a.Number >= maxAttempts:
		return RetryDecision{Reason: "attempts"}
	case now.Add(delay + a.Expected).After(a.Deadline):
		return RetryDecision{Reason: "deadline"}
	}
	pool := b.pools.get(a.Pool)
	if !pool.tryWithdraw() {
		return RetryDecision{Reason: "pool-budget"}
	}
	if !b.accounts.get(a.Account).tryWithdraw() {
		pool.deposit(1)
		return RetryDecision{Reason: "account-budget"}
	}
	return RetryDecision{Retry: true, Delay: delay, Reason: "budget"}
}

// backoff returns the jittered delay before another call, 0.5 to 1.5 times the
// mean. A call that was not sent is retried without delay, on another server.
func backoff(a Attempt) time.Duration {
	if !a.Sent {
		return 0
	}
	mean := min(backoffBase<<(a.Number-1), backoffMax)
	jitter := 0.5 + float64(a.Random)/math.MaxUint64
	return time.Duration(float64(mean) * jitter)
}

// budgets holds one budget per name. Its size is bounded, because the names are
// those of configured pools or accounts.
type budgets struct{ m sync.Map }

func (b *budgets) get(name string) *budget {
	if v, ok := b.m.Load(name); ok {
		return v.(*budget)
	}
	created := &budget{}
	created.milliRetries.Store(initialBudget * 1000)
	v, _ := b.m.LoadOrStore(name, created)
	return v.(*budget)
}

// budget counts the permitted retries, in thousandths of a retry.
type budget struct{ milliRetries atomic.Int64 }

func (b *budget) deposit(retries float64) {
	add := int64(retries * 1000)
	for {
		old := b.milliRetries.Load()
		next := min(old+add, maxBudget*1000)
		if next == old || b.milliRetries.CompareAndSwap(old, next) {
			return
		}
	}
}

func (b *budget) tryWithdraw() bool {
	for {
		old := b.milliRetries.Load()
		if old < 1000 {
			return false
		}
		if b.milliRetries.CompareAndSwap(old, old-1000) {
			return true
		}
	}
}
