package main

import (
	"context"
	"time"

	"github.com/savoryfold/savoryfold/internal/load"
)

// overload sends 0.7, 1 and 2 times the capacity, then 0.7 times again.
func overload(ctx context.Context, e *env) error {
	if err := e.launch(ctx, twoStageSpec()); err != nil {
		return err
	}
	if err := e.warmUp(ctx); err != nil {
		return err
	}
	full := capacity(engineCount)
	warm := e.generatedTokens(ctx)
	var before, after int
	begin := schedule(ctx, 8*time.Second, func() { before = e.generatedTokens(ctx) })
	end := schedule(ctx, 13*time.Second, func() { after = e.generatedTokens(ctx) })
	r, err := e.runLoad(ctx, load.Config{Check: checkResponse, Phases: []load.Phase{
		{Name: "0.7x", Rate: 0.7 * full, Duration: 4 * time.Second, Mix: evenMix()},
		{Name: "1x", Rate: full, Duration: 4 * time.Second, Mix: evenMix()},
		{Name: "2x", Rate: 2 * full, Duration: 5 * time.Second, Mix: evenMix()},
		{Name: "back", Rate: 0.7 * full, Duration: 4 * time.Second, Mix: evenMix()},
	}})
	begin()
	end()
	if err != nil {
		return err
	}
	wastedTokens := e.generatedTokens(ctx) - warm - tokens*r.Total.Outcomes[load.OutcomeServed]
	goodput := func(phase string, seconds float64) float64 { return float64(r.Phases[phase].Attained) / seconds }
	e.figure("capacity", full, "requests/s")
	e.atLeast("attainment at 0.7x", attainment(r.Phases["0.7x"]), 0.995, "part")
	e.figure("goodput at 1x", goodput("1x", 4), "requests/s")
	e.figure("goodput at 2x", goodput("2x", 5), "requests/s")
	e.atLeast("goodput at 2x over 1x", ratio(goodput("2x", 5), goodput("1x", 4)), 0.9, "part")
	e.atLeast("attainment of admitted at 2x", admittedAttainment(r.Phases["2x"]), 0.95, "part")
	e.figure("refused early at 2x", ratio(float64(refused(r.Phases["2x"])), float64(r.Phases["2x"].Sent)), "part")
	e.atMost("tokens generated in vain, of those at 2x", ratio(float64(wastedTokens), float64(after-before)), 0.05, "part")
	e.atLeast("attainment from 2 s after the return on", attainedBetween(r, 15*time.Second, 17*time.Second), 0.995, "part")
	e.figure("p50 at 0.7x", r.Phases["0.7x"].Latency.P50, "ms")
	e.figure("p99 at 0.7x", r.Phases["0.7x"].Latency.P99, "ms")
	e.expectCompleteResponses(r)
	return nil
}

// generatedTokens returns the number of tokens that all engines have generated.
func (e *env) generatedTokens(ctx context.Context) int {
	stats, err := e.stats(ctx, poolGenerate)
	if err != nil {
		return 0
	}
	n := 0
	for _, s := range stats {
		n += s.Tokens
	}
	return n
}

// peaks sends many small requests, then few large ones, and then lets one account
// send far more than its share.
func peaks(ctx context.Context, e *env) error {
	if err := e.launch(ctx, twoStageSpec()); err != nil {
		return err
	}
	if err := e.warmUp(ctx); err != nil {
		return err
	}
	full := capacity(engineCount)
	evening := []load.RequestKind{largeRequests("one", 1), largeRequests("two", 1), streamed(largeRequests("three", 1)), smallRequests("four", 4), smallRequests("greedy", 1)}
	// A large request costs an engine as much as largeTokens/tokens small ones.
	perRequest := (3*largeTokens/float64(tokens) + 5) / 8
	burst := []load.RequestKind{smallRequests("one", 1), smallRequests("two", 1), streamed(smallRequests("three", 1)), largeRequests("four", 0.1), smallRequests("greedy", 8)}
	burstCost := (11 + 0.1*largeTokens/float64(tokens)) / 11.1
	r, err := e.runLoad(ctx, load.Config{Check: checkResponse, Phases: []load.Phase{
		{Name: "morning", Rate: 0.7 * full, Duration: 5 * time.Second, Mix: evenMix()},
		{Name: "evening", Rate: 0.7 * full / perRequest, Duration: 7 * time.Second, Mix: evening},
		{Name: "greedy", Rate: 1.5 * full / burstCost, Duration: 5 * time.Second, Mix: burst},
	}})
	if err != nil {
		return err
	}
	e.atLeast("attainment in the morning", attainment(r.Phases["morning"]), 0.995, "part")
	e.atLeast("attainment in the evening", attainment(r.Phases["evening"]), 0.995, "part")
	e.atLeast("attainment of admitted beside a greedy account", admittedAttainment(r.Phases["greedy"]), 0.95, "part")
	for _, account := range []string{"one", "two", "three", "four"} {
		e.atLeast("attainment of account "+account, attainment(r.Accounts[account]), 0.95, "part")
	}
	e.figure("attainment of account greedy", attainment(r.Accounts["greedy"]), "part")
	e.figure("stage work per served request in the morning", r.Phases["morning"].EngineMS/float64(max(1, r.Phases["morning"].Outcomes[load.OutcomeServed])), "ms")
	e.figure("p99 of large requests", r.Routes["season"].Latency.P99, "ms")
	e.figure("p99 in the morning", r.Phases["morning"].Latency.P99, "ms")
	e.expectCompleteResponses(r)
	return nil
}
