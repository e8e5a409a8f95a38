package main

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/savoryfold/savoryfold/internal/load"
	"github.com/savoryfold/savoryfold/standin"
)

// blackhole blackholes the open connections of three of the six engines and of one
// encode server, twice.
func blackhole(ctx context.Context, e *env) error {
	if err := e.launch(ctx, twoStageSpec()); err != nil {
		return err
	}
	if err := e.warmUp(ctx); err != nil {
		return err
	}
	blackholeLinks := func() {
		for _, name := range []string{"generate-hobart1", "generate-launceston1", "generate-burnie1", "encode-hobart"} {
			e.cluster.Links[name].BlackholeOpen()
		}
	}
	first := schedule(ctx, 3*time.Second, blackholeLinks)
	second := schedule(ctx, 8*time.Second, blackholeLinks)
	r, err := e.runLoad(ctx, load.Config{Check: checkResponse, Phases: []load.Phase{
		{Name: "silent", Rate: 0.5 * capacity(engineCount), Duration: 15 * time.Second, Mix: evenMix()},
	}})
	first()
	second()
	if err != nil {
		return err
	}
	e.figure("attainment", attainment(r.Total), "part")
	e.figure("attainment within 3 s of a silence", attainedBetween(r, 3*time.Second, 6*time.Second), "part")
	e.atLeast("attainment from 3 s after a silence", attainedBetween(r, 6*time.Second, 8*time.Second), 0.995, "part")
	e.atLeast("attainment from 3 s after another silence", attainedBetween(r, 11*time.Second, 15*time.Second), 0.995, "part")
	e.figure("stage work wasted", ratio(r.Total.WastedMS, max(r.Total.EngineMS, 1)), "part")
	e.figure("p99", r.Total.Latency.P99, "ms")
	e.expectCompleteResponses(r)
	return nil
}

// stopExperiment replaces the instances one by one behind a load balancer.
func stopExperiment(ctx context.Context, e *env) error {
	if err := e.launch(ctx, twoStageSpec()); err != nil {
		return err
	}
	if err := e.warmUp(ctx); err != nil {
		return err
	}
	balancer, err := standin.NewBalancer("127.0.0.1:0", e.entries())
	if err != nil {
		return err
	}
	defer balancer.Close()
	replaced := make(chan error, 1)
	rolling := schedule(ctx, 2*time.Second, func() { replaced <- e.replaceAll(ctx) })
	r, err := e.runLoad(ctx, load.Config{Check: checkResponse, Targets: []string{balancer.Address()}, Phases: []load.Phase{
		{Name: "stop", Rate: 0.5 * capacity(engineCount), Duration: 15 * time.Second, Mix: evenMix()},
	}})
	rolling()
	if err != nil {
		return err
	}
	select {
	case err = <-replaced:
	default:
		err = errors.New("the instances were not replaced in time")
	}
	e.emitTarget("instances replaced, each with exit code 0", float64(len(e.cluster.Instances)), "instances", fmt.Sprint(err == nil), err == nil)
	if err != nil {
		fmt.Println(err)
	}
	e.figure("attainment", attainment(r.Total), "part")
	e.figure("p99", r.Total.Latency.P99, "ms")
	e.figure("requests refused", float64(r.Total.Outcomes["not-run"]), "requests")
	e.atMost("requests begun and not finished", float64(r.Total.Outcomes["incomplete"]+r.Total.Outcomes["unknown"]), 0, "requests")
	e.expectCompleteResponses(r)
	return nil
}

// replaceAll stops each instance gracefully and starts it again.
func (e *env) replaceAll(ctx context.Context) error {
	for _, in := range e.cluster.Instances {
		in.Signal(syscall.SIGTERM)
		if code := in.Wait(10 * time.Second); code != 0 {
			return errors.Errorf("%s: exit code %d", in.ID, code)
		}
		if err := e.cluster.Restart(in); err != nil {
			return err
		}
		if err := e.cluster.WaitReady(ctx); err != nil {
			return err
		}
		time.Sleep(time.Second)
	}
	return nil
}
