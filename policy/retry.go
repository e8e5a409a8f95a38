package policy

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

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
	// Sent counts a first call, which earns the budgets of its pool and its
	// client account their part. CostWeight is the route's, from 0 to 1.
	Sent(pool, account string, costWeight float64)
	Decide(now time.Time, a Attempt) RetryDecision
}

// BlindRetries is the baseline: up to three further attempts at once.
type BlindRetries struct{}

const blindAttempts = 4

// Sent implements Retry.
func (BlindRetries) Sent(string, string, float64) {}

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

// Parameters of retry budgets.
const (
	// earnPerCall is the part of a retry that a first call earns at cost
	// weight 1. Calls per needed call stay below 1 + earnPerCall.
	earnPerCall = 0.25
	// budgetCap is the largest number of retries saved up, and budgetStart the
	// number that a new budget holds.
	budgetCap   = 20
	budgetStart = 5
	// maxAttempts bounds the calls of one stage of one request.
	maxAttempts = 4
	// backoffBase is the mean delay before the first retry of a call that was
	// sent; it doubles with every further one up to backoffMax.
	backoffBase = 10 * time.Millisecond
	backoffMax  = 200 * time.Millisecond
)

// BudgetedRetries retries within a budget for each pool and each client
// account, so that a failing pool cannot multiply its own load. A budget earns
// a part of a retry with every first call. The zero value is ready for use.
type BudgetedRetries struct {
	pools    budgets
	accounts budgets
}

// Sent implements Retry.
func (b *BudgetedRetries) Sent(pool, account string, costWeight float64) {
	b.pools.get(pool).earn(earnPerCall * costWeight)
	b.accounts.get(account).earn(earnPerCall * costWeight)
}

// Decide implements Retry.
func (b *BudgetedRetries) Decide(now time.Time, a Attempt) RetryDecision {
	delay := backoff(a)
	switch {
	case !a.Repeatable():
		return RetryDecision{Reason: "not-repeatable"}
	case a.CostWeight <= 0:
		return RetryDecision{Reason: "cost-weight"}
	case a.Number >= maxAttempts:
		return RetryDecision{Reason: "attempts"}
	case now.Add(delay + a.Expected).After(a.Deadline):
		return RetryDecision{Reason: "deadline"}
	}
	pool := b.pools.get(a.Pool)
	if !pool.spend() {
		return RetryDecision{Reason: "pool-budget"}
	}
	if !b.accounts.get(a.Account).spend() {
		pool.earn(1)
		return RetryDecision{Reason: "account-budget"}
	}
	return RetryDecision{Retry: true, Delay: delay, Reason: "budget"}
}

// backoff is the jittered delay before another call. A call that was not sent
// moves on to another server at once.
func backoff(a Attempt) time.Duration {
	if !a.Sent {
		return 0
	}
	mean := min(backoffBase<<(a.Number-1), backoffMax)
	jitter := 0.5 + float64(a.Random)/math.MaxUint64
	return time.Duration(float64(mean) * jitter)
}

// budgets holds one budget a name. The names are those of the tables, so their
// number is bounded.
type budgets struct{ m sync.Map }

func (b *budgets) get(name string) *budget {
	if v, ok := b.m.Load(name); ok {
		return v.(*budget)
	}
	fresh := &budget{}
	fresh.milli.Store(budgetStart * 1000)
	v, _ := b.m.LoadOrStore(name, fresh)
	return v.(*budget)
}

// budget counts the retries that may be made, in thousandths.
type budget struct{ milli atomic.Int64 }

func (b *budget) earn(retries float64) {
	add := int64(retries * 1000)
	for {
		old := b.milli.Load()
		next := min(old+add, budgetCap*1000)
		if next == old || b.milli.CompareAndSwap(old, next) {
			return
		}
	}
}

func (b *budget) spend() bool {
	for {
		old := b.milli.Load()
		if old < 1000 {
			return false
		}
		if b.milli.CompareAndSwap(old, old-1000) {
			return true
		}
	}
}
