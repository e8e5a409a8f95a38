package main

import (
	"context"
	"time"

	"github.com/savoryfold/savoryfold/internal/load"
	"github.com/savoryfold/savoryfold/standin"
)

// cold starts a third of the engines cold, restarts one engine and turns another
// one cold without a restart, at half of the capacity.
func cold(ctx context.Context, e *env) error {
	spec := twoStageSpec()
	for i := range spec.Backends {
		b := &spec.Backends[i]
		b.Cold = b.Name == "generate-hobart1" || b.Name == "generate-burnie1"
	}
	if err := e.launch(ctx, spec); err != nil {
		return err
	}
	stopSampling := e.sample(ctx, "calls on generate-hobart1", "generate-hobart1")
	restart := schedule(ctx, 6*time.Second, func() {
		_ = e.cluster.SetFaults(ctx, "generate-launceston1", standin.Faults{Crash: true, DownMS: 500})
	})
	turn := schedule(ctx, 10*time.Second, func() {
		_ = e.cluster.SetFaults(ctx, "generate-launceston2", standin.Faults{TurnCold: true})
	})
	r, err := e.runLoad(ctx, load.Config{Check: checkResponse, Phases: []load.Phase{
		{Name: "cold", Rate: 0.5 * capacity(engineCount), Duration: 16 * time.Second, Mix: evenMix()},
	}})
	restart()
	turn()
	stopSampling()
	if err != nil {
		return err
	}
	stats, err := e.stats(ctx, poolGenerate)
	if err != nil {
		return err
	}
	var overloaded, maxColdCalls, restarts, maxExcess int
	for _, s := range stats {
		overloaded += s.Overloaded
		restarts += s.Restarts
		maxColdCalls = max(maxColdCalls, s.MaxCold)
		maxExcess = max(maxExcess, s.MaxConcurrent-engineBatch)
	}
	e.atMost("calls beyond what a cold server bears", float64(overloaded), 0, "calls")
	e.atMost("restarts but the one brought about", float64(restarts-1), 0, "restarts")
	e.figure("most calls at once on a server that was not warm", float64(maxColdCalls), "calls")
	e.figure("most calls beyond the limit of a warm server", float64(maxExcess), "calls")
	e.figure("attainment", attainment(r.Total), "part")
	e.figure("p99", r.Total.Latency.P99, "ms")
	e.expectCompleteResponses(r)
	return nil
}

// sampleInterval is the time between two polls of a server's counters.
const sampleInterval = 100 * time.Millisecond

// sample records the concurrent calls of a server and the limit that its
// warm-up allows, until the returned function is called.
func (e *env) sample(ctx context.Context, plot, server string) func() {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	calls := series{plot: plot, name: "calls"}
	limits := series{plot: plot, name: "what it bears"}
	go func() {
		defer close(done)
		start := time.Now()
		for ctx.Err() == nil {
			if s, err := e.cluster.Stats(ctx, server); err == nil {
				x := time.Since(start).Seconds()
				calls.points = append(calls.points, point{x, float64(s.Concurrent)})
				limits.points = append(limits.points, point{x, coldLimit + s.Warm*(engineBatch-coldLimit)})
			}
			select {
			case <-ctx.Done():
			case <-time.After(sampleInterval):
			}
		}
	}()
	return func() {
		cancel()
		<-done
		e.series = append(e.series, calls, limits)
	}
}
