package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/savoryfold/savoryfold/internal/load"
	"github.com/savoryfold/savoryfold/standin"
	"github.com/savoryfold/savoryfold/test/harness"
)

// The policies that the experiments compare.
const (
	policyStandard = "standard"
	policyBaseline = "baseline"
)

// env is one run of an experiment under one policy.
type env struct {
	experiment string
	seed       uint64
	policy     string
	binaries   harness.Binaries
	cluster    *harness.Cluster
	dirs       []string
	missed     bool
	figures    []figure
	report     *load.Report
	series     []series
}

// figure is one measured value, with its target if it has one.
type figure struct {
	Experiment string  `json:"experiment"`
	Seed       uint64  `json:"seed"`
	Policy     string  `json:"policy"`
	Name       string  `json:"figure"`
	Value      float64 `json:"value"`
	Unit       string  `json:"unit"`
	Target     string  `json:"target,omitempty"`
	Held       *bool   `json:"held,omitempty"`
}

// series is a curve of a plot on the report page.
type series struct {
	plot, name string
	points     []point
}

type point struct{ x, y float64 }

func (e *env) emit(f figure) {
	f.Experiment, f.Seed, f.Policy = e.experiment, e.seed, e.policy
	e.figures = append(e.figures, f)
	line, _ := json.Marshal(f)
	fmt.Println(string(line))
}

// figure reports a value without a target.
func (e *env) figure(name string, value float64, unit string) {
	e.emit(figure{Name: name, Value: value, Unit: unit})
}

// atMost reports a value whose target is an upper bound.
func (e *env) atMost(name string, value, bound float64, unit string) {
	e.emitTarget(name, value, unit, fmt.Sprintf("<= %g", bound), value <= bound)
}

// atLeast reports a value whose target is a lower bound.
func (e *env) atLeast(name string, value, bound float64, unit string) {
	e.emitTarget(name, value, unit, fmt.Sprintf(">= %g", bound), value >= bound)
}

func (e *env) emitTarget(name string, value float64, unit, target string, held bool) {
	e.missed = e.missed || !held
	e.emit(figure{Name: name, Value: value, Unit: unit, Target: target, Held: &held})
}

// launch starts the experiment's cluster.
func (e *env) launch(ctx context.Context, s harness.Spec) error {
	dir, err := os.MkdirTemp("", "savoryfold-cluster")
	if err != nil {
		return err
	}
	e.dirs = append(e.dirs, dir)
	s.Binaries, s.Dir = e.binaries, dir
	s.Baseline = e.policy == policyBaseline
	e.cluster, err = harness.Launch(ctx, s)
	return err
}

// warmUp sends load before the measurement so that instances learn the expected
// durations and servers get warm.
func (e *env) warmUp(ctx context.Context) error {
	return e.warmUpWith(ctx, warmUpLoadFactor*capacity(engineCount), evenMix())
}

func (e *env) warmUpWith(ctx context.Context, rate float64, mix []load.RequestKind) error {
	_, err := load.Run(ctx, load.Config{Targets: e.entries(), Seed: e.seed, Phases: []load.Phase{
		{Name: "warm-up", Rate: rate, Duration: warmUpTime, Mix: mix},
	}})
	return err
}

func (e *env) close() {
	if e.cluster != nil {
		e.cluster.Close()
	}
	for _, d := range e.dirs {
		_ = os.RemoveAll(d)
	}
}

// entries returns the entry addresses of all instances.
func (e *env) entries() []string {
	var out []string
	for _, in := range e.cluster.Instances {
		out = append(out, in.Entry)
	}
	return out
}

// runLoad sends the load, keeps its report and prints the first failures.
func (e *env) runLoad(ctx context.Context, c load.Config) (*load.Report, error) {
	c.Seed = e.seed
	if c.Targets == nil {
		c.Targets = e.entries()
	}
	var mu sync.Mutex
	var failures []string
	c.OnResult = func(r *load.Result) {
		if r.Err != nil {
			mu.Lock()
			defer mu.Unlock()
			failures = append(failures, fmt.Sprintf("%s after %s: %v", r.Outcome, r.Latency().Round(time.Millisecond), r.Err))
		}
	}
	report, err := load.Run(ctx, c)
	e.report = report
	e.printFailures(failures)
	return report, err
}

// schedule calls a function in the background after a delay. The returned
// function cancels a call that is not yet due and waits for a running one.
func schedule(ctx context.Context, d time.Duration, f func()) func() {
	ctx, cancel := context.WithCancel(ctx)
	var wait sync.WaitGroup
	wait.Go(func() {
		select {
		case <-time.After(d):
			f()
		case <-ctx.Done():
		}
	})
	return func() {
		cancel()
		wait.Wait()
	}
}

// stats returns the counters of a pool's servers by name.
func (e *env) stats(ctx context.Context, pool string) (map[string]standin.Stats, error) {
	out := make(map[string]standin.Stats)
	for _, b := range e.cluster.Spec.Backends {
		if b.Pool != pool {
			continue
		}
		s, err := e.cluster.Stats(ctx, b.Name)
		if err != nil {
			return nil, err
		}
		out[b.Name] = s
	}
	return out, nil
}

// expectCompleteResponses reports the number of truncated, wrong and missing
// responses, which must be 0.
func (e *env) expectCompleteResponses(r *load.Report) {
	o := r.Total.Outcomes
	e.atMost("answers cut, wrong or absent", float64(o[load.OutcomeTruncated]+o[load.OutcomeWrong]+o[load.OutcomeNoResponse]), 0, "requests")
}

// ratio returns part/whole, or 1 if the whole is 0.
func ratio(part, whole float64) float64 {
	if whole == 0 {
		return 1
	}
	return part / whole
}

// attainment returns the fraction of the requests that were served in time.
func attainment(g *load.Group) float64 { return ratio(float64(g.Attained), float64(g.Sent)) }

// refused returns the number of requests that load shedding refused.
func refused(g *load.Group) int { return g.Reasons["overload"] }

// admittedAttainment returns the attainment without the refused requests.
func admittedAttainment(g *load.Group) float64 {
	return ratio(float64(g.Attained), float64(g.Sent-refused(g)))
}

// attainedBetween returns the attainment of the requests due in a time span of
// the run.
func attainedBetween(r *load.Report, from, to time.Duration) float64 {
	var attained, sent int
	for _, p := range r.Timeline {
		if p.At >= from && p.At < to {
			attained += p.Attained
			sent += p.Sent
		}
	}
	return ratio(float64(attained), float64(sent))
}

// maxPrintedFailures limits the failures that are printed.
const maxPrintedFailures = 5

// printFailures prints the first failures to standard error.
func (e *env) printFailures(failures []string) {
	for i, f := range failures {
		if i == maxPrintedFailures {
			return
		}
		fmt.Fprintln(os.Stderr, e.experiment, e.policy, f)
	}
}
