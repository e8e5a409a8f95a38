package kernel

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/savoryfold/savoryfold/config"
	"github.com/savoryfold/savoryfold/policy"
)

// completeTimeout bounds the wait for the log to take an answer before the
// caller gets it.
const completeTimeout = 500 * time.Millisecond

// run is one request on its way through the stages of its route.
type run struct {
	host     *Host
	snap     *Snapshot
	req      *Request
	route    *config.Route
	account  *config.Account
	deadline time.Time
	version  string
	random   uint64
	claim    Claim
	results  map[string]json.RawMessage
	costs    []StageCost
	last     Answer
	// sent is true once a byte of any stage call may have left the instance.
	sent bool
	// sentOnce is true once a byte of a non-idempotent call may have left.
	sentOnce bool
	// events is true once an event of the answer was passed to the caller.
	events bool
}

// Serve carries a request through its route. It returns exactly one outcome
// and never panics for a fault of callers, backend servers or the platform.
func (h *Host) Serve(ctx context.Context, req *Request) Result {
	start := time.Now()
	r := &run{host: h, req: req, snap: h.Snapshot(), random: rand.Uint64()}
	result := r.serve(ctx, start)
	result.Costs = r.costs
	if r.snap != nil {
		result.Revision = r.snap.Tables.Revision
	}
	h.count(r, result, time.Since(start))
	return result
}

func (r *run) serve(ctx context.Context, now time.Time) Result {
	if out := r.accept(now); out.Kind != "" {
		return Result{Outcome: out}
	}
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	admission := r.host.Decisions.Admission
	preq := r.policyRequest()
	decision := admission.Admit(now, preq, r.forecasts())
	if !decision.Admit {
		r.host.Counter(`admission_refused{reason="` + string(decision.Reason) + `"}`).Inc(1)
		return Result{Outcome: Outcome{Kind: NotRun, Reason: ReasonOverload, Detail: string(decision.Reason), RetryAfter: decision.RetryAfter}}
	}
	result := r.admitted(ctx)
	admission.Finish(time.Now(), preq, r.cost(), result.Outcome.Kind == Served)
	return result
}

// accept checks the request against the tables. It returns an empty outcome if
// the request may go on.
func (r *run) accept(now time.Time) Outcome {
	if r.snap == nil {
		return Outcome{Kind: NotRun, Reason: ReasonNotReady, Detail: "no tables in force yet", RetryAfter: time.Second}
	}
	r.route = r.snap.Tables.Routes[r.req.Route]
	if r.route == nil {
		return Outcome{Kind: Rejected, Reason: ReasonUnknownRoute, Detail: "no route " + r.req.Route}
	}
	r.account = r.snap.Tables.Accounts[r.req.Account]
	if r.account == nil || (len(r.route.Accounts) > 0 && !slices.Contains(r.route.Accounts, r.account.Name)) {
		return Outcome{Kind: Rejected, Reason: ReasonForbidden, Detail: "the client account may not use this route"}
	}
	if !r.route.Repeatable() && r.req.Key == "" {
		return Outcome{Kind: Rejected, Reason: ReasonKeyRequired, Detail: "this route needs the header Idempotency-Key"}
	}
	r.deadline = now.Add(r.route.Deadline)
	if !r.req.Deadline.IsZero() && r.req.Deadline.Before(r.deadline) {
		r.deadline = r.req.Deadline
	}
	if !r.deadline.After(now) {
		return Outcome{Kind: NotRun, Reason: ReasonDeadline, Detail: "the deadline has passed"}
	}
	if g := r.host.CrashGuard; g != nil && g.Refuse(now, r.fingerprint()) {
		return Outcome{Kind: NotRun, Reason: ReasonCrashes, Detail: "this request ended the servers that ran it", RetryAfter: time.Minute}
	}
	r.version = r.route.Version
	if v := r.host.Versions; v != nil && r.route.Version == "" {
		r.version = v.Pick(now, r.route, r.random)
	}
	r.results = make(map[string]json.RawMessage, len(r.route.Stages))
	return Outcome{}
}

// fingerprint identifies the request when its caller sends it again.
func (r *run) fingerprint() uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(r.req.Account + "\x00" + r.req.Route + "\x00")
	_, _ = d.Write(r.req.Body)
	return d.Sum64()
}

func (r *run) policyRequest() policy.Request {
	return policy.Request{
		Account:  r.account.Name,
		Weight:   r.account.Weight,
		Route:    r.route.Name,
		Class:    string(r.route.Size),
		Deadline: r.deadline,
		Cost:     r.expectedCost(),
	}
}

func (r *run) forecasts() []policy.StageForecast {
	forecasts := make([]policy.StageForecast, 0, len(r.route.Stages))
	for _, s := range r.route.Stages {
		forecasts = append(forecasts, r.snap.Pool(s.Pool).forecast(s, r.blankTicket()))
	}
	return forecasts
}

func (r *run) expectedCost() float64 {
	var cost float64
	for _, f := range r.forecasts() {
		cost += milliseconds(f.Service) * f.CostWeight
	}
	return cost
}

// cost is the weighted work done so far.
func (r *run) cost() float64 {
	var cost float64
	for i, c := range r.costs {
		cost += c.EngineMS * r.route.Stages[i].CostWeight
	}
	return cost
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// admitted claims the request if it may run at most once, and runs it.
func (r *run) admitted(ctx context.Context) Result {
	if r.route.Repeatable() {
		return r.stages(ctx)
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
	result := r.stages(ctx)
	r.endClaim(ctx, result)
	return result
}

// endClaim ends the claim as the outcome asks.
func (r *run) endClaim(ctx context.Context, result Result) {
	switch {
	case result.Outcome.Kind == Served:
		// The answer is kept even if the caller is gone or the deadline passed.
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), completeTimeout)
		defer cancel()
		r.claim.Complete(ctx, result.Answer)
	case r.sentOnce:
		r.claim.Doubt()
	default:
		r.claim.Release()
	}
}

// stages runs all stages in order.
func (r *run) stages(ctx context.Context) Result {
	for i, stage := range r.route.Stages {
		r.costs = append(r.costs, StageCost{Stage: stage.Name, Pool: stage.Pool})
		if out := r.stage(ctx, i, stage); out.Kind != "" {
			return Result{Outcome: out}
		}
	}
	return Result{Outcome: Outcome{Kind: Served}, Answer: r.last}
}

// stage runs one stage, with as many calls as the retry policy allows. It
// returns an empty outcome once the stage is done.
func (r *run) stage(ctx context.Context, index int, stage config.Stage) Outcome {
	pool := r.snap.Pool(stage.Pool)
	if !pool.hasServer(r.version) {
		return r.fail(ReasonNoServer, "no backend server for stage "+stage.Name)
	}
	w := &want{
		ticket:  r.ticket(stage, pool),
		call:    policy.Call{Class: string(r.route.Size)},
		version: r.version,
	}
	call := r.stageCall(stage, pool)
	r.host.Decisions.Retry.Sent(time.Now(), stage.Pool, r.account.Name)
	for attempt := 1; ; attempt++ {
		answer, server := r.attempt(ctx, index, pool, w, call)
		if server == nil {
			return r.fail(ReasonDeadline, "no call slot for stage "+stage.Name+" in time")
		}
		if answer.Result == CallOK {
			r.results[stage.Name] = jsonOrString(answer.Answer)
			r.last = answer.Answer
			return Outcome{}
		}
		if out := r.afterFailure(ctx, stage, pool, w, call, attempt, answer, server); out.Kind != "" {
			return out
		}
	}
}

func (r *run) ticket(stage config.Stage, pool *Pool) policy.Ticket {
	t := r.blankTicket()
	t.Arrived = time.Now()
	return pool.ticket(stage, t)
}

// blankTicket is a ticket without what the stage brings.
func (r *run) blankTicket() policy.Ticket {
	return policy.Ticket{
		Account: r.account.Name, Weight: r.account.Weight, Class: string(r.route.Size),
		Priority: r.route.Priority, Deadline: r.deadline,
	}
}

func (r *run) stageCall(stage config.Stage, pool *Pool) *StageCall {
	call := &StageCall{
		Pool: pool.Config, Stage: stage, ContentType: "application/json",
		Body: r.stageInput(), Deadline: r.deadline, Priority: r.route.Priority,
	}
	if !stage.Idempotent {
		call.Key = r.req.Account + "/" + r.req.Route + "/" + stage.Name + "/" + r.req.Key
	}
	if stage.Stream && r.req.Events != nil {
		call.Events = &countingSink{sink: r.req.Events, run: r, call: call}
	}
	return call
}

// stageInput is the body of a stage call: the caller's request and the results
// of the stages before.
func (r *run) stageInput() []byte {
	input := struct {
		Request json.RawMessage            `json:"request"`
		Results map[string]json.RawMessage `json:"results,omitempty"`
	}{Request: jsonOrString(Answer{Body: r.req.Body}), Results: r.results}
	body, err := json.Marshal(input)
	if err != nil {
		panic("kernel: stage input: " + err.Error())
	}
	return body
}

// jsonOrString returns a body that is JSON as it is, and any other as a string.
func jsonOrString(a Answer) json.RawMessage {
	if json.Valid(a.Body) {
		return a.Body
	}
	quoted, _ := json.Marshal(string(a.Body))
	return quoted
}

// attempt makes one call. The server is nil if there was no call slot in time.
func (r *run) attempt(ctx context.Context, index int, pool *Pool, w *want, call *StageCall) (StageAnswer, *Server) {
	waitStart := time.Now()
	server := pool.acquire(ctx, w)
	cost := &r.costs[index]
	cost.WaitMS += milliseconds(time.Since(waitStart))
	if server == nil {
		return StageAnswer{}, nil
	}
	defer pool.release(server)
	if !call.Stage.Idempotent && !r.claim.MayDispatch(time.Now()) {
		return StageAnswer{Result: CallNotSent, Err: context.DeadlineExceeded}, server
	}
	call.ID = uuid.NewString()
	call.Server = server.Config
	sample := policy.CallSample{Class: string(r.route.Size), InFlight: int(server.inFlight.Load())}
	sentAt := time.Now()
	answer := r.host.Transport.Call(ctx, call)
	sample.Latency = time.Since(sentAt)
	sample.OK = answer.Result == CallOK
	r.note(cost, call, server, answer, sample)
	return answer, server
}

// note books a finished call to costs, counters and the server's state.
func (r *run) note(cost *StageCost, call *StageCall, server *Server, answer StageAnswer, sample policy.CallSample) {
	now := time.Now()
	cost.Calls++
	cost.Server = server.Config.Name
	cost.EngineMS += answer.EngineMS
	cost.Tokens += answer.Tokens
	if answer.Result != CallOK {
		cost.WastedMS += answer.EngineMS
	}
	if answer.Result.Sent() {
		r.sent = true
		r.sentOnce = r.sentOnce || !call.Stage.Idempotent
	}
	if answer.Result != CallCancelled && answer.Result != CallRejected {
		server.observe(now, sample)
	}
	if answer.Load != nil {
		server.Report(now, *answer.Load)
	}
	if v := r.host.Versions; v != nil && call.Pool.Versioned {
		load := float64(sample.InFlight) / float64(max(1, server.allowance.Load()))
		v.Observe(now, r.route.Name, server.Config.Version, sample.OK, sample.Latency, load)
	}
	r.host.Counter(`stage_calls{pool="` + call.Pool.Name + `",result="` + answer.Result.String() + `"}`).Inc(1)
}

// afterFailure decides what follows a failed call. An empty outcome means
// another call.
func (r *run) afterFailure(ctx context.Context, stage config.Stage, pool *Pool, w *want, call *StageCall, attempt int, answer StageAnswer, server *Server) Outcome {
	switch answer.Result {
	case CallRejected:
		return r.rejected(stage, answer)
	case CallCancelled:
		return r.fail(ReasonCallerGone, "the caller went away")
	case CallDeadline:
		return r.fail(ReasonDeadline, "the deadline passed in stage "+stage.Name)
	case CallSilent:
		r.host.Transport.Forget(server.Config)
	}
	w.tried = append(w.tried, server.ID)
	decision := r.host.Decisions.Retry.Decide(time.Now(), policy.Attempt{
		Number: attempt, Pool: stage.Pool, Account: r.account.Name,
		Idempotent: stage.Idempotent, Sent: answer.Result.Sent(), Deadline: r.deadline,
		Expected: time.Duration(server.expected.Load()), CostWeight: r.route.CostWeight,
		Random: rand.Uint64(), ServerFault: true,
	})
	if !decision.Retry {
		return r.fail(ReasonStageFailed, "stage "+stage.Name+": "+answer.Result.String())
	}
	r.host.Counter(`retries{pool="` + stage.Pool + `"}`).Inc(1)
	if !sleep(ctx, decision.Delay) {
		return r.fail(ReasonDeadline, "the deadline passed before another call of stage "+stage.Name)
	}
	return Outcome{}
}

// rejected is the outcome of a request that a backend server found at fault.
func (r *run) rejected(stage config.Stage, answer StageAnswer) Outcome {
	detail := "stage " + stage.Name + " rejected the request"
	if answer.Err != nil {
		detail += ": " + answer.Err.Error()
	}
	if r.sentOnce {
		return Outcome{Kind: Unknown, Reason: ReasonStageFailed, Detail: detail}
	}
	return Outcome{Kind: Rejected, Reason: ReasonBadRequest, Detail: detail}
}

// fail is the outcome of a request that cannot be finished.
func (r *run) fail(reason OutcomeReason, detail string) Outcome {
	kind := NotRun
	switch {
	case r.sentOnce:
		kind = Unknown
	case r.sent:
		kind = Incomplete
	}
	return Outcome{Kind: kind, Reason: reason, Detail: detail}
}

// sleep waits and reports whether the context lives on.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// countingSink passes events on and remembers where the stream stands, so that
// a later call of the stage can resume it.
type countingSink struct {
	sink EventSink
	run  *run
	call *StageCall
}

// Send implements EventSink.
func (s *countingSink) Send(e Event) error {
	if err := s.sink.Send(e); err != nil {
		return err
	}
	s.run.events = true
	s.call.ResumeAfter = e.ID
	s.call.Received += e.Data
	return nil
}

// count books a finished request.
func (h *Host) count(r *run, result Result, took time.Duration) {
	route := "unknown"
	if r.route != nil {
		route = r.route.Name
	}
	h.Counter(`requests{route="` + route + `",outcome="` + string(result.Outcome.Kind) + `"}`).Inc(1)
	h.Histogram(`request_seconds{route="` + route + `"}`).Update(int64(took))
	for _, c := range result.Costs {
		h.Counter(`stage_engine_ms{route="` + route + `",stage="` + c.Stage + `"}`).Inc(int64(c.EngineMS))
		h.Counter(`stage_wasted_ms{route="` + route + `",stage="` + c.Stage + `"}`).Inc(int64(c.WastedMS))
		h.Counter(`stage_tokens{route="` + route + `",stage="` + c.Stage + `"}`).Inc(int64(c.Tokens))
	}
}
