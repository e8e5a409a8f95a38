package forward

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/policy"
)

// stagePieces is the number of pieces of a stage: what the caller said, or one
// if it said nothing.
func (r *request) stagePieces(stage int) int {
	if stage < len(r.call.Pieces) {
		return r.call.Pieces[stage]
	}
	if r.call.Pieces == nil {
		return 1
	}
	return 0
}

// forecast is the expected time from now until the first byte of the answer:
// the longest way through the stages that follow one, or through all if after
// is negative, and the server's time.
func (f *Forward) forecast(now time.Time, r *request, after int) kernel.StageForecast {
	done := make([]kernel.StageForecast, len(r.route.Stages))
	var longest kernel.StageForecast
	for i, s := range r.route.Stages {
		for _, before := range s.After {
			done[i] = longer(done[i], done[before])
		}
		if r.stagePieces(i) > 0 && (after < 0 || followed(r, i, after)) {
			stage := f.host.Stages.Forecast(now, s.Service)
			done[i].InTime += stage.InTime
			done[i].Late += stage.Late
		}
		longest = longer(longest, done[i])
	}
	server := f.latency.get(r.service.Name)
	return kernel.StageForecast{InTime: longest.InTime + server, Late: longest.Late + server}
}

// longer returns the longer times of two forecasts.
func longer(a, b kernel.StageForecast) kernel.StageForecast {
	return kernel.StageForecast{InTime: max(a.InTime, b.InTime), Late: max(a.Late, b.Late)}
}

// followed reports whether stage i needs the result of a stage, by itself or by
// others.
func followed(r *request, i, stage int) bool {
	for _, before := range r.route.Stages[i].After {
		if before == stage || followed(r, before, stage) {
			return true
		}
	}
	return false
}

// stages does all stages of a request. The outcome is empty if all are done.
func (f *Forward) stages(ctx context.Context, r *request) kernel.Outcome {
	r.inputs, r.zone, r.inputBytes = nil, "", 0
	if len(r.route.Stages) == 0 {
		return kernel.Outcome{}
	}
	now := time.Now()
	forecast := f.forecast(now, r, -1)
	r.log.Add("admission", "forecast_in_time", forecast.InTime, "forecast_late", forecast.Late, "to_goal", r.goal.Sub(now), "left", r.deadline.Sub(now))
	if now.Add(forecast.InTime).After(r.goal) && now.Add(forecast.Late).After(r.deadline) {
		return kernel.Outcome{
			Kind: kernel.NotRun, Reason: kernel.ReasonOverload, Detail: "the stages cannot be done in time",
			RetryAfter: retryAfter(forecast.Late, r.deadline.Sub(now)),
		}
	}
	p := newPlan(f, r)
	return p.run(ctx)
}

// retryAfter is when a refused caller may find room: when as much has been done
// as keeps the request from being in time.
func retryAfter(forecast, left time.Duration) time.Duration {
	return max(retryBusy, forecast-left)
}

// plan is the stages of one request in progress.
type plan struct {
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

func newPlan(f *Forward, r *request) *plan {
	n := len(r.route.Stages)
	return &plan{forward: f, request: r, results: make([]kernel.StageResult, n), done: make(chan stageDone, n), started: make([]bool, n), ended: make([]bool, n)}
}

// run does every stage as soon as those before it are done.
func (p *plan) run(ctx context.Context) kernel.Outcome {
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
		p.releaseUsed()
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

// start begins the stages whose inputs are there, and returns their number.
func (p *plan) start(ctx context.Context) int {
	n := 0
	for again := true; again; {
		again = false
		for i, s := range p.request.route.Stages {
			if p.started[i] || slices.ContainsFunc(s.After, func(before int) bool { return !p.ended[before] }) {
				continue
			}
			p.started[i] = true
			if p.request.stagePieces(i) == 0 {
				p.ended[i], again = true, true
				continue
			}
			n++
			go p.stage(ctx, i)
		}
	}
	return n
}

// stage does one stage.
func (p *plan) stage(ctx context.Context, i int) {
	r := p.request
	s := r.route.Stages[i]
	now := time.Now()
	rest := p.forward.forecast(now, r, i).InTime
	q := kernel.StageRequest{
		Request: r.call.ID, Service: s.Service, Stage: i, Pieces: r.stagePieces(i), ResultBytes: s.ResultBytes,
		Goal: r.goal.Add(-rest), Deadline: r.deadline.Add(-rest), Priority: r.priority(),
	}
	for _, before := range s.After {
		q.Inputs = append(q.Inputs, p.results[before].Handles...)
	}
	if len(q.Inputs) == 0 {
		q.Key = r.call.PieceKey
	}
	q.Zone = p.zone(now, i)
	result, err := p.forward.host.Stages.Run(ctx, q)
	r.log.Add("stage", "stage", i, "service", s.Service, "pieces", q.Pieces, "wanted", q.Zone, "zone", result.Zone, "rest", rest, "took", time.Since(now), "error", err)
	p.forward.host.CountStage(s.Service, err, time.Since(now))
	p.done <- stageDone{i, result, err}
}

// zone is where stage i is best done. Every piece fetches all inputs.
func (p *plan) zone(now time.Time, i int) string {
	r := p.request
	inputZone, inputBytes := p.largest(r.route.Stages[i].After)
	inputBytes *= r.stagePieces(i)
	if !slices.Contains(r.route.FinalStages(), i) {
		return policy.StageZone(inputZone, inputBytes, "", 0)
	}
	resultBytes := r.route.Stages[i].ResultBytes * r.stagePieces(i)
	if resultBytes <= inputBytes || !policy.InputsBind(resultBytes, r.sharedTokens) {
		return policy.StageZone(inputZone, inputBytes, "", 0)
	}
	return policy.StageZone(inputZone, inputBytes, p.forward.homeZone(now, r), resultBytes)
}

// largest returns the zone where most of the results of some stages lie, and
// the size of all.
func (p *plan) largest(stages []int) (zone string, bytes int) {
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

// collect takes the results that the request itself needs.
func (p *plan) collect() {
	r := p.request
	final := r.route.FinalStages()
	for _, i := range final {
		r.inputs = append(r.inputs, p.results[i].Handles...)
	}
	r.zone, r.inputBytes = p.largest(final)
}

// releaseUsed gives up the results of stages whose followers are all done:
// stage servers have little room for results.
func (p *plan) releaseUsed() {
	stages := p.request.route.Stages
	for i := range stages {
		followers, waiting := 0, 0
		for j, s := range stages {
			if slices.Contains(s.After, i) {
				followers++
				if !p.ended[j] {
					waiting++
				}
			}
		}
		if followers > 0 && waiting == 0 {
			p.forward.host.ReleaseResults(p.results[i].Handles)
			p.results[i].Handles = nil
		}
	}
}

// stageOutcome is the outcome of a request whose stage failed. The request
// itself has not run: pieces may be made again.
func stageOutcome(err error) kernel.Outcome {
	out := kernel.Outcome{Kind: kernel.NotRun, Reason: kernel.ReasonStageFailed, Detail: err.Error(), RetryAfter: retryBusy}
	var failure *kernel.StageFailure
	if errors.As(err, &failure) {
		out.Reason, out.Detail = failure.Reason, failure.Detail
		out.RetryAfter = max(out.RetryAfter, failure.RetryAfter)
	}
	return out
}
