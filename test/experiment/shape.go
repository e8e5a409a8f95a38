package main

import (
	"fmt"
	"time"

	"github.com/savoryfold/savoryfold/internal/load"
	"github.com/savoryfold/savoryfold/standin"
	"github.com/savoryfold/savoryfold/test/harness"
)

// Parameters of the engines and of their requests.
const (
	tokens           = 10
	engineBatch      = 8
	stepMS           = 20.0
	perCallMS        = 2.0
	enginePerZone    = 2
	coldLimit        = 2
	warmMS           = 4000
	warmCalls        = 20
	deadline         = 1500 * time.Millisecond
	largeTokens      = 40
	warmUpTime       = 3 * time.Second
	warmUpLoadFactor = 0.5
	largeDeadline    = 6 * time.Second
)

var zones = []string{"hobart", "launceston", "burnie"}

// Names of the pools.
const (
	poolEncode   = "encode"
	poolGenerate = "generate"
)

// capacity returns the number of small requests per second that a number of
// engines finish with full batches.
func capacity(engines int) float64 {
	step := stepMS + perCallMS*(engineBatch-1)
	return float64(engines) * engineBatch / (step * tokens / 1000)
}

// twoStageSpec returns a cluster whose routes have two stages: a service and an
// engine.
func twoStageSpec() harness.Spec {
	s := harness.Spec{
		Zones: zones,
		Pools: map[string]string{
			poolEncode:   "limit = 64\ncold_limit = 8\nfirst_byte = 500ms\n",
			poolGenerate: fmt.Sprintf("limit = %d\ncold_limit = %d\nfirst_byte = 1s\nbetween_bytes = 500ms\n", engineBatch, coldLimit),
		},
		Routes: map[string]string{
			"answer": routeBody("small", deadline),
			"season": routeBody("large", largeDeadline),
		},
		Accounts: map[string]float64{"one": 1, "two": 1, "three": 1, "four": 1, "greedy": 1},
	}
	for _, zone := range zones {
		service := standin.FleetMember{Name: "encode-" + zone, WorkMS: 4, ReportLagMS: 300}
		s.Backends = append(s.Backends, harness.Backend{FleetMember: service, Pool: poolEncode, Zone: zone})
		for i := range enginePerZone {
			s.Backends = append(s.Backends, engine(fmt.Sprintf("generate-%s%d", zone, i+1), zone))
		}
	}
	return s
}

func engine(name, zone string) harness.Backend {
	return harness.Backend{Pool: poolGenerate, Zone: zone, FleetMember: standin.FleetMember{
		Name: name, Engine: true, Version: "v1", Tokens: tokens, StepMS: stepMS, PerCallMS: perCallMS, PerPromptMS: 0.01,
		Capacity: engineBatch, CacheTokens: 10_000, ReportLagMS: 300,
		ColdLimit: coldLimit, WarmMS: warmMS, WarmCalls: warmCalls, ColdSlow: 2,
	}}
}

func routeBody(size string, d time.Duration) string {
	return fmt.Sprintf("deadline = %s\nsize = %s\nstages = encode, generate\nencode.pool = %s\ngenerate.pool = %s\ngenerate.stream = true\n",
		d, size, poolEncode, poolGenerate)
}

// smallRequests returns an account's kind of request with short responses.
func smallRequests(account string, weight float64) load.RequestKind {
	return load.RequestKind{
		Route: "answer", Account: account, APIKey: account + "-key", Weight: weight, Deadline: deadline,
		Body: func(n int) string { return fmt.Sprintf(`{"n":%d}`, n) },
	}
}

// largeRequests returns an account's kind of request with long responses.
func largeRequests(account string, weight float64) load.RequestKind {
	s := smallRequests(account, weight)
	s.Route, s.Deadline = "season", largeDeadline
	s.Body = func(n int) string { return fmt.Sprintf(`{"n":%d,"tokens":%d}`, n, largeTokens) }
	return s
}

// streamed returns the kind of request with responses as event streams.
func streamed(s load.RequestKind) load.RequestKind {
	s.Stream = true
	return s
}

// checkResponse checks that a response is complete and belongs to its request.
func checkResponse(r *load.Result) error {
	n := tokens
	if r.Kind.Route == "season" {
		n = largeTokens
	}
	want := standin.ResponseText([]byte(r.Body), "v1", n)
	if !r.Kind.Stream {
		want = fmt.Sprintf(`{"text":%q}`, want)
	}
	if string(r.Answer) != want {
		return fmt.Errorf("request %d got %q", r.N, r.Answer)
	}
	return nil
}

// evenMix returns a mix in which all accounts have equal weights.
func evenMix() []load.RequestKind {
	return []load.RequestKind{smallRequests("one", 1), streamed(smallRequests("two", 1)), smallRequests("three", 1), streamed(smallRequests("four", 1)), smallRequests("greedy", 1)}
}

const engineCount = enginePerZone * 3
