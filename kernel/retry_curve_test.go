package kernel

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/savoryfold/savoryfold/policy"
)

const (
	curveRequests = 4000
	curveCallers  = 16
	// failureRate is the fraction of the calls that fail.
	failureRate = 0.2
	// maxCallsPerRequest is the allowed mean number of calls of the failing
	// stage per request.
	maxCallsPerRequest = 1.3
)

// curvePoint is the result for one cost weight: the fraction of requests served
// and the calls per request.
type curvePoint struct{ served, calls float64 }

// runCurve serves requests whose only stage fails at random.
func runCurve(t *testing.T, retry policy.Retry, costWeight float64) curvePoint {
	random := rand.New(rand.NewPCG(1, 2))
	var mu sync.Mutex
	calls, served := 0, 0
	h := serveHost(t, &fakeTransport{answer: func(int, *StageCall) StageAnswer {
		mu.Lock()
		defer mu.Unlock()
		calls++
		if random.Float64() < failureRate {
			return StageAnswer{Result: CallFailed}
		}
		return okAnswer(`1`)
	}})
	h.Decisions.Retry = retry
	route := *h.Snapshot().Tables.Routes["single"]
	route.CostWeight = costWeight
	h.Snapshot().Tables.Routes["single"] = &route
	var callers sync.WaitGroup
	for range curveCallers {
		callers.Go(func() {
			for range curveRequests / curveCallers {
				result := h.Serve(context.Background(), &Request{Account: "alto", Route: "single", Body: []byte(`{}`)})
				mu.Lock()
				if result.Outcome.Kind == Served {
					served++
				}
				mu.Unlock()
			}
		})
	}
	callers.Wait()
	return curvePoint{float64(served) / curveRequests, float64(calls) / curveRequests}
}

// TestRetryCurve checks the effect of a route's cost weight on the share of
// requests served and on the number of calls while a stage fails.
func TestRetryCurve(t *testing.T) {
	Convey("Calls per request stay within the bound, and a higher cost weight serves more", t, func() {
		before := 0.0
		for _, weight := range []float64{0, 0.25, 0.5, 0.75, 1} {
			p := runCurve(t, &policy.BudgetedRetries{}, weight)
			t.Logf("cost weight %.2f: %.4f served, %.3f calls of the failing stage per request", weight, p.served, p.calls)
			So(p.calls, ShouldBeLessThanOrEqualTo, maxCallsPerRequest)
			So(p.served, ShouldBeGreaterThan, before)
			before = p.served
		}
		p := runCurve(t, policy.BlindRetries{}, 1)
		t.Logf("three blind retries: %.4f served, %.3f calls", p.served, p.calls)
	})
}
