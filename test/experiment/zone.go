package main

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/savoryfold/savoryfold/config"
	"github.com/savoryfold/savoryfold/internal/load"
)

const (
	testedZone = "hobart"
	// changeTimeout is the time after which a change must be active.
	changeTimeout = 3 * time.Second
)

// zone takes an availability zone out of service and puts it back, then partitions
// it from the other zones and the platform, and heals the partition.
func zone(ctx context.Context, e *env) error {
	if err := e.launch(ctx, twoStageSpec()); err != nil {
		return err
	}
	if err := e.warmUp(ctx); err != nil {
		return err
	}
	var out, in time.Time
	var failed error
	put := func(state string, when *time.Time) func() {
		return func() {
			result, err := e.cluster.EditLatest(ctx, e.cluster.Instances[1], "zone "+testedZone, "state = "+state+"\n")
			if err != nil || result.Status != config.EditAccepted {
				failed = err
				return
			}
			*when = time.Now()
		}
	}
	steps := []func(){
		schedule(ctx, 2*time.Second, put("out", &out)),
		schedule(ctx, 7*time.Second, put("in", &in)),
		schedule(ctx, 11*time.Second, func() { e.cluster.PartitionZone(testedZone, true, true) }),
		schedule(ctx, 15*time.Second, func() { e.cluster.PartitionZone(testedZone, false, true) }),
	}
	r, err := e.runLoad(ctx, load.Config{Check: checkResponse, Phases: []load.Phase{
		{Name: "move", Rate: 0.6 * capacity(engineCount), Duration: 11 * time.Second, Mix: evenMix()},
		{Name: "cut", Rate: 0.6 * capacity(engineCount), Duration: 7 * time.Second, Mix: evenMix()},
	}})
	for _, done := range steps {
		done()
	}
	if err != nil {
		return err
	}
	if out.IsZero() || in.IsZero() {
		e.emitTarget("edits of the zone accepted", 0, "edits", "both", false)
		return failed
	}
	if err := e.reportLateCalls(ctx, out, in); err != nil {
		return err
	}
	e.atLeast("attainment while a zone is taken out and brought back", attainment(r.Phases["move"]), 0.97, "part")
	e.atLeast("attainment while a zone is cut off and heals", attainment(r.Phases["cut"]), 0.97, "part")
	for _, reason := range slices.Sorted(maps.Keys(r.Phases["cut"].Reasons)) {
		e.figure("requests while cut off that ended "+reason, float64(r.Phases["cut"].Reasons[reason]), "requests")
	}
	e.figure("p99", r.Total.Latency.P99, "ms")
	e.expectCompleteResponses(r)
	return e.reportColdOverload(ctx)
}

// reportLateCalls reports the calls to the zone's servers while the zone was out,
// starting changeTimeout after the accepted edit.
func (e *env) reportLateCalls(ctx context.Context, out, in time.Time) error {
	late := 0
	last := out
	for _, b := range e.cluster.Spec.Backends {
		if b.Zone != testedZone {
			continue
		}
		calls, err := e.cluster.Calls(ctx, b.Name)
		if err != nil {
			return err
		}
		for _, c := range calls {
			if c.Start.After(out) && c.Start.Before(in) && c.Start.After(last) {
				last = c.Start
			}
			if c.Start.After(out.Add(changeTimeout)) && c.Start.Before(in.Add(-100*time.Millisecond)) {
				late++
			}
		}
	}
	e.figure("last new work in the zone after its edit", last.Sub(out).Seconds(), "s")
	e.atMost("new work in the zone from 3 s after its edit on", float64(late), 0, "calls")
	return nil
}

// reportColdOverload reports the calls beyond the limits of cold servers.
func (e *env) reportColdOverload(ctx context.Context) error {
	stats, err := e.stats(ctx, poolGenerate)
	if err != nil {
		return err
	}
	n := 0
	for _, s := range stats {
		n += s.Overloaded
	}
	e.atMost("calls beyond what a cold server bears", float64(n), 0, "calls")
	return nil
}
