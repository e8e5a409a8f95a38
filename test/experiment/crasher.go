package main

import (
	"context"
	"time"

	"github.com/savoryfold/savoryfold/internal/load"
	"github.com/savoryfold/savoryfold/standin"
)

const (
	crashMarker   = "poison"
	crashInterval = 500 * time.Millisecond
	// maxCrashedEngines is the number of crashed servers after which the request
	// is refused.
	maxCrashedEngines = 2
)

// crasher resends one request that crashes every engine that runs it. It sends
// the request to each instance in turn.
func crasher(ctx context.Context, e *env) error {
	if err := e.launch(ctx, twoStageSpec()); err != nil {
		return err
	}
	if err := e.warmUp(ctx); err != nil {
		return err
	}
	for _, b := range e.cluster.Spec.Backends {
		if b.Pool == poolGenerate {
			if err := e.cluster.SetFaults(ctx, b.Name, standin.Faults{CrashOn: crashMarker, DownMS: 1000}); err != nil {
				return err
			}
		}
	}
	outcomes := make(map[string]int)
	stop := schedule(ctx, 3*time.Second, func() { e.resendCrasher(ctx, outcomes, 12*time.Second) })
	r, err := e.runLoad(ctx, load.Config{Check: checkResponse, Phases: []load.Phase{
		{Name: "crasher", Rate: 0.4 * capacity(engineCount), Duration: 15 * time.Second, Mix: evenMix()},
	}})
	stop()
	if err != nil {
		return err
	}
	stats, err := e.stats(ctx, poolGenerate)
	if err != nil {
		return err
	}
	restarts, overloaded := 0, 0
	for _, s := range stats {
		restarts += s.Restarts
		overloaded += s.Overloaded
	}
	sent := 0
	for outcome, n := range outcomes {
		sent += n
		e.figure("times that the request was answered with "+outcome, float64(n), "requests")
	}
	e.figure("times that the request was sent", float64(sent), "requests")
	e.atMost("engines that the request ended", float64(restarts-overloaded), maxCrashedEngines, "engines")
	e.atMost("calls beyond what a cold server bears", float64(overloaded), 0, "calls")
	e.figure("attainment of all other requests", attainment(r.Total), "part")
	e.figure("attainment of all other requests from 3 s after the first crash", attainedBetween(r, 6*time.Second, 15*time.Second), "part")
	e.expectCompleteResponses(r)
	return nil
}

// resendCrasher sends the crashing request to each instance in turn and counts
// the outcomes.
func (e *env) resendCrasher(ctx context.Context, outcomes map[string]int, d time.Duration) {
	client := load.NewClient()
	defer client.Close()
	kind := smallRequests("four", 1)
	kind.Body = func(int) string { return `{"text":"` + crashMarker + `"}` }
	end := time.Now().Add(d)
	for n := 0; time.Now().Before(end) && ctx.Err() == nil; n++ {
		call := load.NewCall(n, "", &kind)
		call.Target = e.cluster.Instances[n%len(e.cluster.Instances)].Entry
		r := client.Send(ctx, call, time.Now())
		outcomes[r.Outcome+" "+r.Reason]++
		time.Sleep(crashInterval)
	}
}
