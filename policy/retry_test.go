package policy

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

func TestBudgetBoundsCalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := &BudgetedRetries{}
		weight := rapid.Float64Range(0, 1).Draw(t, "cost weight")
		failing := rapid.Float64Range(0, 1).Draw(t, "failing fraction")
		requests := rapid.IntRange(1, 500).Draw(t, "requests")
		now := time.Unix(0, 0)
		calls := 0
		for range requests {
			b.Sent("p", "a", weight)
			calls++
			for n := 1; rapid.Float64Range(0, 1).Draw(t, "draw") < failing; n++ {
				a := Attempt{Number: n, Pool: "p", Account: "a", Idempotent: true, Sent: true, CostWeight: weight, Deadline: now.Add(time.Minute)}
				if !b.Decide(now, a).Retry {
					break
				}
				calls++
			}
		}
		if bound := float64(requests)*(1+budgetPerCall*weight) + initialBudget; float64(calls) > bound+1e-6 {
			t.Fatalf("%d calls for %d requests, bound %.1f", calls, requests, bound)
		}
	})
}

func TestRetryDecision(t *testing.T) {
	now := time.Unix(0, 0)
	good := Attempt{Number: 1, Pool: "p", Account: "a", Idempotent: true, Sent: true, CostWeight: 1, Deadline: now.Add(time.Minute)}
	cases := []struct {
		name   string
		change func(*Attempt)
		want   Reason
	}{
		{"within all bounds", func(*Attempt) {}, "budget"},
		{"sent and not idempotent", func(a *Attempt) { a.Idempotent = false }, "not-repeatable"},
		{"not idempotent but not sent", func(a *Attempt) { a.Idempotent, a.Sent = false, false }, "budget"},
		{"past the deadline", func(a *Attempt) { a.Deadline = now }, "deadline"},
		{"no time for another call", func(a *Attempt) { a.Expected = 2 * time.Minute }, "deadline"},
		{"route without retries", func(a *Attempt) { a.CostWeight = 0 }, "cost-weight"},
		{"too many attempts", func(a *Attempt) { a.Number = maxAttempts }, "attempts"},
	}
	for _, c := range cases {
		Convey("Retry: "+c.name, t, func() {
			a := good
			c.change(&a)
			So((&BudgetedRetries{}).Decide(now, a).Reason, ShouldEqual, c.want)
		})
	}
	Convey("A retry refused by an account's empty budget does not use up the pool's", t, func() {
		b := &BudgetedRetries{}
		for b.accounts.get("a").tryWithdraw() {
		}
		before := b.pools.get("p").milliRetries.Load()
		So(b.Decide(now, good).Reason, ShouldEqual, Reason("account-budget"))
		So(b.pools.get("p").milliRetries.Load(), ShouldEqual, before)
	})
}
