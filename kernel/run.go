package kernel

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/savoryfold/savoryfold/config"
	"github.com/savoryfold/savoryfold/policy"
)

// completeTimeout bounds the wait for the log to store an answer before the
// caller gets it.
const completeTimeout = 500 * time.Millisecond

// prefixBytes is the length of the request prefix that is hashed for cache
// affinity: placement prefers backend servers that may have it cached. Shorter
// requests gain nothing from a cache.
const prefixBytes = 256

// run is the state of one request while it passes through the stages of its
// route.
type run struct {
	host        *Host
	snap        *Snapshot
	req         *Request
	route       *config.Route
	account     *config.Account
	deadline    time.Time
	version     string
	random      uint64
	fingerprint uint64
	prefix      uint64
	claim       Claim
	results     map[string]json.RawMessage
	costs       []StageCost
	lastAnswer  Answer
	// sent is true once a byte of any stage call may have left the instance.
	sent bool
	// nonIdempotentSent is true once a byte of a non-idempotent call may have left
	// the instance.
	nonIdempotentSent bool
}

// Serve runs a request through the stages of its route. It returns exactly one
// outcome and never panics because of errors of callers, backend servers or the
// platform.
func (h *Host) Serve(ctx context.Context, req *Request) Result {
	start := time.Now()
	r := &run{host: h, req: req, snap: h.Snapshot(), random: rand.Uint64()}
	result := r.serve(ctx, start)
	r.explainNotRun(&result.Outcome)
	result.Costs = r.costs
	if r.snap != nil {
		result.TablesRevision = r.snap.Tables.Revision
	}
	h.recordResult(r, result, time.Since(start))
	return result
}

func (r *run) serve(ctx context.Context, now time.Time) (result Result) {
	if out := r.accept(now); out.Kind != "" {
		return Result{Outcome: out}
	}
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	forecasts := r.forecasts()
	policyReq := r.policyRequest(forecasts)
	admission := r.host.Decisions.Admission
	decision := admission.Admit(now, policyReq, forecasts)
	if !decision.Admit {
		r.host.addCount(admissionDeniedFamily, string(decision.Reason), "", 1)
		r.snap.Pool(forecasts[decision.Slowest].Pool).reasons.count(decision.Reason)
		return Result{Outcome: Outcome{Kind: NotRun, Reason: ReasonOverload, Detail: string(decision.Reason), RetryAfter: decision.RetryAfter}}
	}
	defer func() {
		admission.Finish(time.Now(), policyReq, policy.Finish{
			Cost:   r.cost(),
			Served: result.Outcome.Kind == Served,
			Late:   result.Outcome.Reason == ReasonDeadline,
		})
	}()
	return r.runAdmitted(ctx)
}

// explainNotRun adds a note to the detail of a request that may run at most once:
// "not run" refers to this attempt only, as an earlier one with the same
// idempotency key may have run.
func (r *run) explainNotRun(o *Outcome) {
	if o.Kind == NotRun && r.route != nil && !r.route.Retryable() {
		o.Detail += "; this attempt did not run: repeat it with the same idempotency key"
	}
}

// accept checks the request against the configuration tables. It returns an empty
// outcome if the request is acceptable.
func (r *run) accept(now time.Time) Outcome {
	if r.snap == nil {
		return Outcome{Kind: NotRun, Reason: ReasonNotReady, Detail: "no tables in force yet", RetryAfter: time.Second}
	}
	if out := r.authorize(); out.Kind != "" {
		return out
	}
	r.deadline = now.Add(r.route.Deadline)
	if !r.req.Deadline.IsZero() && r.req.Deadline.Before(r.deadline) {
		r.deadline = r.req.Deadline
	}
	if !r.deadline.After(now) {
		return Outcome{Kind: NotRun, Reason: ReasonDeadline, Detail: "the deadline has passed"}
	}
	if v := r.host.StopBudget.Fits(now, r.route.Name, r.deadline); !v.Fits {
		return r.refuseStopping(v)
	}
	r.fingerprint = fingerprintOf(r.req)
	if g := r.host.CrashGuard; g != nil && g.Refuse(now, r.fingerprint) {
		return Outcome{Kind: NotRun, Reason: ReasonCrashes, Detail: "backend servers died while they ran this request", RetryAfter: time.Minute}
	}
	r.prefix = prefixOf(r.req)
	r.version = r.route.Version
	if v := r.host.Versions; v != nil && r.route.Version == "" {
		r.version = v.Pick(now, r.route, r.random)
	}
	r.results = make(map[string]json.RawMessage, len(r.route.Stages))
	return Outcome{}
}

// stopRetryAfter is the retry delay for a caller that is to turn to another instance.
const stopRetryAfter = 300 * time.Millisecond

// refuseStopping returns the outcome of a request that cannot end before the instance stops.
func (r *run) refuseStopping(v StopVerdict) Outcome {
	r.host.Counter("refused_during_stop").Inc(1)
	r.host.Logger.Info("refused during a stop", "request", r.req.ID, "route", r.route.Name, "stop_left", v.Left, "expected", v.Expected, "expected_known", v.Known)
	out := r.fail(ReasonLeaving, "the instance stops before the request could end")
	out.RetryAfter = stopRetryAfter
	return out
}

// authorize finds the route and the client account.
func (r *run) authorize() Outcome {
	r.route = r.snap.Tables.Routes[r.req.Route]
	if r.route == nil {
		return Outcome{Kind: Rejected, Reason: ReasonUnknownRoute, Detail: "no such route"}
	}
	r.account = r.snap.Tables.Accounts[r.req.Account]
	if r.account == nil || (len(r.route.Accounts) > 0 && !slices.Contains(r.route.Accounts, r.account.Name)) {
		return Outcome{Kind: Rejected, Reason: ReasonForbidden, Detail: "the client account may not use this route"}
	}
	if !r.route.Retryable() && r.req.Key == "" {
		return Outcome{Kind: Rejected, Reason: ReasonKeyRequired, Detail: "this route needs the header Idempotency-Key"}
	}
	return Outcome{}
}

// fingerprintOf returns a hash of account, route and body. It is the same when
// a caller sends the request again.
func fingerprintOf(req *Request) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(req.Account + "\x00" + req.Route + "\x00")
	_, _ = d.Write(req.Body)
	return d.Sum64()
}

// prefixOf returns a hash of the request's prefix, or 0 if the request is too
// short for cache affinity.
func prefixOf(req *Request) uint64 {
	if len(req.Body) < prefixBytes {
		return 0
	}
	d := xxhash.New()
	_, _ = d.WriteString(req.Route + "\x00")
	_, _ = d.Write(req.Body[:prefixBytes])
	return d.Sum64()
}

func (r *run) policyRequest(forecasts []policy.StageForecast) policy.Request {
	p := policy.Request{
		Account:  r.account.Name,
		Weight:   r.account.Weight,
		Route:    r.route.Name,
		Class:    string(r.route.Size),
		Deadline: r.deadline,
	}
	for _, f := range forecasts {
		p.Cost += milliseconds(f.Service) * f.CostWeight
	}
	return p
}

func (r *run) forecasts() []policy.StageForecast {
	forecasts := make([]policy.StageForecast, 0, len(r.route.Stages))
	for _, s := range r.route.Stages {
		forecasts = append(forecasts, r.snap.Pool(s.Pool).forecast(s, r.baseTicket()))
	}
	return forecasts
}

// baseTicket returns a queue ticket without the fields that depend on a stage.
func (r *run) baseTicket() policy.Ticket {
	return policy.Ticket{
		Account: r.account.Name, Weight: r.account.Weight, Class: string(r.route.Size),
		Priority: r.route.Priority, Deadline: r.deadline,
	}
}

// cost returns the work done so far: backend milliseconds times the stages'
// cost weights.
func (r *run) cost() float64 {
	var cost float64
	for i, c := range r.costs {
		cost += c.EngineMS * r.route.Stages[i].CostWeight
	}
	return cost
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// runAdmitted runs an admitted request. It first takes a claim if the request
// may run at most once.
func (r *run) runAdmitted(ctx context.Context) (result Result) {
	if r.route.Retryable() {
		return r.runStages(ctx)
	}
	if r.host.Claims == nil {
		return Result{Outcome: Outcome{Kind: NotRun, Reason: ReasonLogUnavailable, Detail: "no claims module"}}
	}
	grant := r.host.Claims.Claim(ctx, ClaimRequest{
		Account: r.req.Account, Route: r.req.Route, Key: r.req.Key,
		BodyHash: sha256.Sum256(r.req.Body), Deadline: r.deadline,
	})
	if grant.Claim == nil {
		return grant.Result
	}
	r.claim = grant.Claim
	// Deferred, so that the claim also ends after a panic.
	defer func() { r.endClaim(ctx, result) }()
	return r.runStages(ctx)
}

// endClaim ends the claim according to the outcome.
func (r *run) endClaim(ctx context.Context, result Result) {
	switch {
	case result.Outcome.Kind == Served:
		// The answer is stored even if the caller has disconnected or the deadline
		// has passed.
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), completeTimeout)
		defer cancel()
		r.claim.Complete(ctx, result.Answer)
	case r.nonIdempotentSent:
		r.claim.MarkInDoubt()
	default:
		r.claim.Release()
	}
}

// runStages runs all stages in order.
func (r *run) runStages(ctx context.Context) Result {
	for i, stage := range r.route.Stages {
		began := time.Now()
		kind := r.route.Name + "/" + stage.Name
		// A request that was accepted goes on, but for a stage that may run once only and is
		// known to take longer than is left.
		if v := r.host.StopBudget.Fits(began, kind, r.deadline); !v.Fits && v.Known && !stage.Idempotent && !r.nonIdempotentSent {
			return Result{Outcome: r.refuseStopping(v)}
		}
		r.costs = append(r.costs, StageCost{Stage: stage.Name, Pool: stage.Pool})
		s := &stageRun{run: r, stage: stage, pool: r.snap.Pool(stage.Pool), cost: &r.costs[i]}
		s.deadline = r.stageDeadline(time.Now(), stage)
		if out := s.do(ctx); out.Kind != "" {
			return Result{Outcome: out}
		}
		r.host.StopBudget.Observe(kind, time.Since(began))
	}
	return Result{Outcome: Outcome{Kind: Served}, Answer: r.lastAnswer}
}

// stageDeadline returns the deadline of a stage that starts now: its share of
// the route's deadline, but never later than the request's own deadline.
func (r *run) stageDeadline(now time.Time, stage config.Stage) time.Time {
	limit := now.Add(time.Duration(stage.DeadlineShare * float64(r.route.Deadline)))
	if limit.Before(r.deadline) {
		return limit
	}
	return r.deadline
}

// fail returns the outcome of a request that cannot be finished. The kind
// depends on what may have been sent.
func (r *run) fail(reason OutcomeReason, detail string) Outcome {
	kind := NotRun
	switch {
	case r.nonIdempotentSent:
		kind = Unknown
	case r.sent:
		kind = Incomplete
	}
	return Outcome{Kind: kind, Reason: reason, Detail: detail}
}

// recordResult counts a finished request. All work for a request that was not
// served counts as wasted.
func (h *Host) recordResult(r *run, result Result, took time.Duration) {
	route := "unknown"
	if r.route != nil {
		route = r.route.Name
	}
	h.addCount(requestsFamily, route, string(result.Outcome.Kind), 1)
	h.observeDuration(requestSecondsFamily, route, int64(took))
	if r.route != nil && result.Outcome.Kind == Served && !result.Replayed {
		h.StopBudget.Observe(route, took)
	}
	for _, c := range result.Costs {
		wasted := c.WastedMS
		if result.Outcome.Kind != Served {
			wasted = c.EngineMS
		}
		h.addCount(stageEngineFamily, route, c.Stage, int64(c.EngineMS*1000))
		h.addCount(stageWastedFamily, route, c.Stage, int64(wasted*1000))
		h.addCount(stageTokensFamily, route, c.Stage, int64(c.Tokens))
	}
}
