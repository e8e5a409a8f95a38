package forward

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/policy"
)

// stagePieces returns the number of pieces of a stage: the number given by the
// caller, or one if it gave none for any stage.
func (r *request) stagePieces(stage int) int {
	if stage < len(r.call.Pieces) {
		return r.call.Pieces[stage]
	}
	if r.call.Pieces == nil {
		return 1
	}
	return 0
}

// forecast returns the expected time from now until the first byte of the
// response: the longest path through the stages that depend on the stage after,
// or through all stages if after is negative, plus the latency of the server.
func (f *Forward) forecast(now time.Time, r *request, after int) kernel.StageForecast {
	longest := f.stageForecast(now, r, after)
	server := f.latencies.get(r.service.Name)
	return kernel.StageForecast{InTime: longest.InTime + server, Late: longest.Late + server}
}

// stageForecast returns the expected time of the stages alone.
func (f *Forward) stageForecast(now time.Time, r *request, after int) kernel.StageForecast {
	done := make([]kernel.StageForecast, len(r.route.Stages))
	var longest kernel.StageForecast
	for i, s := range r.route.Stages {
		for _, dep := range s.After {
			done[i] = maxForecast(done[i], done[dep])
		}
		if r.stagePieces(i) > 0 && (after < 0 || dependsOn(r, i, after)) {
			stage := f.host.Stages.Forecast(now, s.Service)
			done[i].InTime += stage.InTime
			done[i].Late += stage.Late
		}
		longest = maxForecast(longest, done[i])
	}
	return longest
}

// maxForecast returns the longer times of two forecasts.
func maxForecast(a, b kernel.StageForecast) kernel.StageForecast {
	return kernel.StageForecast{InTime: max(a.InTime, b.InTime), Late: max(a.Late, b.Late)}
}

// dependsOn reports whether stage i needs the result of another stage, directly
// or indirectly.
func dependsOn(r *request, i, stage int) bool {
	for _, dep := range r.route.Stages[i].After {
		if dep == stage || dependsOn(r, dep, stage) {
			return true
		}
	}
	return false
}

// runStages runs all stages of a request. The outcome is empty if all have
// succeeded.
func (f *Forward) runStages(ctx context.Context, r *request) kernel.Outcome {
	r.inputs, r.inputZone, r.inputBytes = nil, "", 0
	if len(r.route.Stages) == 0 {
		return kernel.Outcome{}
	}
	if !f.anyUsable(r.service.Name) {
		return noServer
	}
	now := time.Now()
	if f.refusesStages(now, r) {
		return partsRefused
	}
	forecast := f.forecast(now, r, -1)
	r.log.Add("admission", "forecast_in_time", forecast.InTime, "forecast_late", forecast.Late, "to_goal", r.goal.Sub(now), "left", r.deadline.Sub(now))
	if now.Add(forecast.InTime).After(r.goal) && now.Add(forecast.Late).After(r.deadline) {
		return kernel.Outcome{
			Kind: kernel.NotRun, Reason: kernel.ReasonOverload, Detail: "the stages cannot be done in time",
			RetryAfter: retryAfter(forecast.Late, r.deadline.Sub(now)),
		}
	}
	if delay := f.noTurnFor(now, r); delay.For > forecast.InTime {
		return noTurn(delay)
	}
	p := newStagePlan(f, r)
	return p.run(ctx)
}

// retryAfter returns the retry delay for a request whose forecast exceeds the
// time left: the time in which the excess work is done.
func retryAfter(forecast, left time.Duration) time.Duration {
	return max(retryAfterBusy, forecast-left)
}

// stagePlan tracks the stages of one request.
type stagePlan struct {
	forward *Forward
	request *request
	results []kernel.StageResult
	done    chan stageDone
	started []bool
	ended   []bool
}

type stageDone struct {
	stage  int
	result kernel.StageResult
	err    error
}

func newStagePlan(f *Forward, r *request) *stagePlan {
	n := len(r.route.Stages)
	return &stagePlan{forward: f, request: r, results: make([]kernel.StageResult, n), done: make(chan stageDone, n), started: make([]bool, n), ended: make([]bool, n)}
}

// run runs every stage as soon as the stages that it depends on are done. A
// failure cancels the others.
func (p *stagePlan) run(ctx context.Context) kernel.Outcome {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	running := p.start(ctx)
	var failure error
	for running > 0 {
		d := <-p.done
		running--
		p.ended[d.stage] = true
		if d.err != nil {
			if failure == nil {
				failure = d.err
				cancel()
			}
			continue
		}
		p.results[d.stage] = d.result
		if d.result.InputsReleased {
			for _, dep := range p.request.route.Stages[d.stage].After {
				p.results[dep].Handles = nil
			}
		}
		p.releaseConsumed()
		if failure == nil {
			running += p.start(ctx)
		}
	}
	if failure != nil {
		for _, r := range p.results {
			p.forward.host.ReleaseResults(r.Handles)
		}
		return stageOutcome(failure)
	}
	p.collect()
	return kernel.Outcome{}
}

// start starts the stages whose inputs are available, and returns their number.
func (p *stagePlan) start(ctx context.Context) int {
	n := 0
	for again := true; again; {
		again = false
		for i, s := range p.request.route.Stages {
			if p.started[i] || slices.ContainsFunc(s.After, func(dep int) bool { return !p.ended[dep] }) {
				continue
			}
			if p.request.stagePieces(i) == 0 {
				p.started[i], p.ended[i], again = true, true, true
				continue
			}
			if p.deferred(i) {
				continue
			}
			p.started[i] = true
			n++
			go p.runStage(ctx, i)
		}
	}
	return n
}

// deferred reports whether stage i, whose inputs are there, waits for the end of another
// one. The longest path of stages never waits, so that one of them runs.
func (p *stagePlan) deferred(i int) bool {
	now := time.Now()
	var others []policy.ReadyStage
	for j, s := range p.request.route.Stages {
		if j != i && !p.ended[j] && p.request.stagePieces(j) > 0 && !slices.ContainsFunc(s.After, func(dep int) bool { return !p.ended[dep] }) {
			others = append(others, p.readyStage(now, j))
		}
	}
	return policy.DeferStage(p.readyStage(now, i), others)
}

// readyStage describes stage i to the policy.
func (p *stagePlan) readyStage(now time.Time, i int) policy.ReadyStage {
	s := p.request.route.Stages[i]
	return policy.ReadyStage{
		Own: p.forward.host.Stages.Forecast(now, s.Service).InTime, Rest: p.forward.stageForecast(now, p.request, i).InTime,
		Bytes: s.ResultBytes * p.request.stagePieces(i),
	}
}

// runStage runs one stage and sends its result to done.
func (p *stagePlan) runStage(ctx context.Context, i int) {
	r := p.request
	s := r.route.Stages[i]
	now := time.Now()
	remaining := p.forward.forecast(now, r, i).InTime
	q := kernel.StageRequest{
		Request: r.call.ID, Service: s.Service, Stage: i, Pieces: r.stagePieces(i), ResultBytes: s.ResultBytes,
		Goal: r.goal.Add(-remaining), Deadline: r.deadline.Add(-remaining), Priority: r.priority(),
		Part: stagePart(r, i),
	}
	for _, dep := range s.After {
		q.Inputs = append(q.Inputs, p.results[dep].Handles...)
	}
	if len(q.Inputs) == 0 {
		q.Key = r.call.PieceKey
	}
	_, q.InputBytes = p.inputLocation(s.After)
	q.LastUse = p.onlyUse(i)
	q.Zone = p.preferredZone(now, i)
	result, err := p.forward.host.Stages.Run(ctx, q)
	r.log.Add("stage", "stage", i, "service", s.Service, "pieces", q.Pieces, "preferred_zone", q.Zone, "zone", result.Zone, "rest", remaining, "took", time.Since(now), "error", err)
	p.forward.host.CountStage(s.Service, err, time.Since(now))
	p.done <- stageDone{i, result, err}
}

// onlyUse reports whether no stage but stage i uses the results of those that it depends on.
func (p *stagePlan) onlyUse(i int) bool {
	stages := p.request.route.Stages
	for j, s := range stages {
		if j != i && p.request.stagePieces(j) > 0 && slices.ContainsFunc(s.After, func(dep int) bool { return slices.Contains(stages[i].After, dep) }) {
			return false
		}
	}
	return true
}

// preferredZone returns the zone in which stage i is best run. Every piece
// fetches all inputs.
func (p *stagePlan) preferredZone(now time.Time, i int) string {
	r := p.request
	inputZone, inputBytes := p.inputLocation(r.route.Stages[i].After)
	inputBytes *= r.stagePieces(i)
	if !slices.Contains(r.route.FinalStages(), i) {
		return policy.StageZone(inputZone, inputBytes, "", 0)
	}
	resultBytes := r.route.Stages[i].ResultBytes * r.stagePieces(i)
	if resultBytes <= inputBytes || !policy.PreferInputZone(resultBytes, r.sharedTokens) {
		return policy.StageZone(inputZone, inputBytes, "", 0)
	}
	return policy.StageZone(inputZone, inputBytes, p.forward.bestServerZone(now, r), resultBytes)
}

// inputLocation returns the zone of the largest of the given stages' results, and
// the total size of the results in bytes.
func (p *stagePlan) inputLocation(stages []int) (zone string, bytes int) {
	most := -1
	for _, i := range stages {
		size := p.request.route.Stages[i].ResultBytes * len(p.results[i].Handles)
		if size > most && len(p.results[i].Handles) > 0 {
			zone, most = p.results[i].Zone, size
		}
		bytes += size
	}
	return zone, bytes
}

// collect sets the inputs of the request to the results of its final stages.
func (p *stagePlan) collect() {
	r := p.request
	final := r.route.FinalStages()
	for _, i := range final {
		r.inputs = append(r.inputs, p.results[i].Handles...)
	}
	r.inputZone, r.inputBytes = p.inputLocation(final)
}

// releaseConsumed releases the results of stages whose dependent stages are all
// done, as stage servers have little memory for results.
func (p *stagePlan) releaseConsumed() {
	stages := p.request.route.Stages
	for i := range stages {
		dependents, pending := 0, 0
		for j, s := range stages {
			if slices.Contains(s.After, i) {
				dependents++
				if !p.ended[j] {
					pending++
				}
			}
		}
		if dependents > 0 && pending == 0 {
			p.forward.host.ReleaseResults(p.results[i].Handles)
			p.results[i].Handles = nil
		}
	}
}

// stageOutcome returns the outcome of a request whose stage failed. The request
// itself has not run, and pieces may run more than once.
func stageOutcome(err error) kernel.Outcome {
	out := kernel.Outcome{Kind: kernel.NotRun, Reason: kernel.ReasonStageFailed, Detail: err.Error(), RetryAfter: retryAfterBusy}
	var failure *kernel.StageFailure
	if errors.As(err, &failure) {
		out.Reason, out.Detail = failure.Reason, failure.Detail
		out.RetryAfter = max(out.RetryAfter, failure.RetryAfter)
	}
	return out
}
