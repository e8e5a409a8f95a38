package main

import (
	"context"
	"fmt"
	"sort"
	"time"

	"github.com/savoryfold/savoryfold/internal/load"
	"github.com/savoryfold/savoryfold/standin"
	"github.com/savoryfold/savoryfold/test/harness"
)

const (
	oldVersion = "v1"
	newVersion = "v2"
	// rolloutDuration is the time from the start of a rollout to its deadline.
	rolloutDuration    = 28 * time.Second
	caseRate           = 80.0 // requests per second of one case
	badDuration        = 34 * time.Second
	goodDuration       = 34 * time.Second
	rolloutTokens      = 6
	maxBadVersionShare = 0.05
)

// rolloutCase is one pool with both versions, the routes that use it and the fault
// of the new version.
type rolloutCase struct {
	name   string
	routes []string
	bad    *standin.BadVersion
}

// rolloutSpec returns a cluster with the pools of the cases, each with one engine
// of each version in every availability zone.
func rolloutSpec(cases []rolloutCase) harness.Spec {
	s := harness.Spec{
		Zones: zones, Pools: make(map[string]string), Routes: make(map[string]string),
		Accounts: map[string]float64{"one": 1},
	}
	for _, rc := range cases {
		s.Pools[rc.name] = fmt.Sprintf("versioned = true\nlimit = %d\ncold_limit = %d\nfirst_byte = 1s\nbetween_bytes = 500ms\n", engineBatch, coldLimit)
		for _, r := range rc.routes {
			s.Routes[r] = rolloutRoute(rc.name, "version = "+oldVersion+"\n")
		}
		for _, zone := range zones {
			for i, version := range []string{oldVersion, newVersion} {
				b := engine(fmt.Sprintf("%s-%s%d", rc.name, zone, i+1), zone)
				b.Pool, b.Version = rc.name, version
				// Short responses give each rollout enough calls to evaluate.
				b.Tokens = rolloutTokens
				s.Backends = append(s.Backends, b)
			}
		}
	}
	return s
}

func rolloutRoute(pool, extra string) string {
	return fmt.Sprintf("deadline = %s\nstages = generate\ngenerate.pool = %s\n%s", deadline, pool, extra)
}

// startRollouts starts the rollout of every route and returns its deadline.
func (e *env) startRollouts(ctx context.Context, cases []rolloutCase) (time.Time, error) {
	start := time.Now()
	by := start.Add(rolloutDuration)
	move := fmt.Sprintf("move.from = %s\nmove.to = %s\nmove.start = %s\nmove.by = %s\n", oldVersion, newVersion,
		start.UTC().Format(time.RFC3339Nano), by.UTC().Format(time.RFC3339Nano))
	for _, rc := range cases {
		for _, r := range rc.routes {
			result, err := e.cluster.EditLatest(ctx, e.cluster.Instances[0], "route "+r, rolloutRoute(rc.name, move))
			if err != nil {
				return by, err
			}
			if result.Status != "accepted" {
				return by, fmt.Errorf("rollout of route %s not accepted: %v", r, result)
			}
		}
	}
	return by, nil
}

func rolloutMix(cases []rolloutCase) (mix []load.RequestKind, rate float64) {
	for _, rc := range cases {
		for _, r := range rc.routes {
			s := smallRequests("one", 1)
			s.Route = r
			s.Body = func(n int) string { return fmt.Sprintf(`{"n":%d,"route":%q}`, n, r) }
			s.Weight = 1 / float64(len(rc.routes))
			mix = append(mix, s)
		}
		rate += caseRate
	}
	return mix, rate
}

// versionGood rolls out a good version on a route; the log is down from the middle
// of the rollout on.
func versionGood(ctx context.Context, e *env) error {
	cases := []rolloutCase{{name: "good", routes: []string{"answer"}}}
	if err := e.launch(ctx, rolloutSpec(cases)); err != nil {
		return err
	}
	mix, rate := rolloutMix(cases)
	if err := e.warmUpWith(ctx, rate, mix); err != nil {
		return err
	}
	by, err := e.startRollouts(ctx, cases)
	if err != nil {
		return err
	}
	down := schedule(ctx, time.Until(by)/2, func() { _ = e.cluster.SetLogFaults(ctx, standin.LogFaults{Down: true}) })
	r, err := e.runLoad(ctx, load.Config{Phases: []load.Phase{{Name: "move", Rate: rate, Duration: goodDuration, Mix: mix}}})
	down()
	if err != nil {
		return err
	}
	calls, err := e.rolloutCalls(ctx, "good")
	if err != nil {
		return err
	}
	e.shareCurve("good", calls, r.Start)
	late := 0
	for _, c := range calls {
		if c.Version == oldVersion && c.Start.After(by) {
			late++
		}
	}
	e.figure("share of the new version in the first fifth of the move", share(calls, r.Start, r.Start.Add(rolloutDuration/5)), "part")
	e.figure("share of the new version in the last second of the move", share(calls, by.Add(-time.Second), by), "part")
	e.atMost("calls of the old version after the set time", float64(late), 0, "calls")
	e.atLeast("attainment", attainment(r.Total), 0.995, "part")
	e.figure("attainment in the last half of the move", attainedBetween(r, rolloutDuration/2, rolloutDuration), "part")
	e.figure("attainment after the set time", attainedBetween(r, rolloutDuration, goodDuration), "part")
	e.expectCompleteResponses(r)
	return nil
}

// versionBad rolls out versions that are bad in different ways.
func versionBad(ctx context.Context, e *env) error {
	cases := []rolloutCase{
		{"at-once", []string{"roster"}, &standin.BadVersion{Version: newVersion}},
		{"later", []string{"minutes"}, &standin.BadVersion{Version: newVersion, AfterCalls: 8, Slow: 6}},
		{"loaded", []string{"rebate"}, &standin.BadVersion{Version: newVersion, MinConcurrent: 4}},
		{"one-route", []string{"notice", "query"}, &standin.BadVersion{Version: newVersion, Route: "notice"}},
	}
	if err := e.launch(ctx, rolloutSpec(cases)); err != nil {
		return err
	}
	for _, rc := range cases {
		for _, b := range e.cluster.Spec.Backends {
			if b.Pool != rc.name {
				continue
			}
			if err := e.cluster.SetFaults(ctx, b.Name, standin.Faults{Bad: []standin.BadVersion{*rc.bad}}); err != nil {
				return err
			}
		}
	}
	mix, rate := rolloutMix(cases)
	if err := e.warmUpWith(ctx, rate, mix); err != nil {
		return err
	}
	if _, err := e.startRollouts(ctx, cases); err != nil {
		return err
	}
	middle := schedule(ctx, badDuration/2, func() { _ = e.cluster.SetLogFaults(ctx, standin.LogFaults{Down: true}) })
	r, err := e.runLoad(ctx, load.Config{Phases: []load.Phase{{Name: "move", Rate: rate, Duration: badDuration, Mix: mix}}})
	middle()
	if err != nil {
		return err
	}
	for _, rc := range cases {
		if err := e.reportBadVersion(ctx, rc, r); err != nil {
			return err
		}
	}
	e.figure("attainment", attainment(r.Total), "part")
	e.expectCompleteResponses(r)
	return nil
}

// reportBadVersion reports how one rollout ended, from its engines' call logs.
func (e *env) reportBadVersion(ctx context.Context, rc rolloutCase, r *load.Report) error {
	calls, err := e.rolloutCalls(ctx, rc.name)
	if err != nil {
		return err
	}
	e.shareCurve(rc.name, calls, r.Start)
	var firstBad time.Time
	var last time.Time
	late, bad := 0, 0
	for _, c := range calls {
		if !c.Bad {
			continue
		}
		bad++
		last = c.Start
		if firstBad.IsZero() {
			firstBad = c.Start
		}
		if c.Start.After(firstBad.Add(changeTimeout)) {
			late++
		}
	}
	name := "bad " + rc.name + ": "
	for _, route := range rc.routes {
		e.figure(name+"attainment of route "+route, attainment(r.Routes[route]), "part")
	}
	e.figure(name+"share in the last second", share(calls, r.Start.Add(badDuration-time.Second), r.Start.Add(badDuration)), "part")
	e.figure(name+"calls that met the fault", float64(bad), "calls")
	if firstBad.IsZero() {
		return nil
	}
	e.figure(name+"time until the fault showed", firstBad.Sub(r.Start).Seconds(), "s")
	e.figure(name+"time from the first to the last call that met the fault", last.Sub(firstBad).Seconds(), "s")
	if rc.bad.AfterCalls == 0 && rc.bad.MinConcurrent == 0 {
		e.atMost(name+"share until 3 s after the fault showed", share(calls, r.Start, firstBad.Add(changeTimeout)), maxBadVersionShare, "part")
	}
	e.atMost(name+"calls that met the fault from 3 s after it showed on", float64(late), 0, "calls")
	return nil
}

// rolloutCalls returns the calls of all engines of a pool in order of their start.
func (e *env) rolloutCalls(ctx context.Context, pool string) ([]standin.CallRecord, error) {
	var out []standin.CallRecord
	for _, b := range e.cluster.Spec.Backends {
		if b.Pool != pool {
			continue
		}
		calls, err := e.cluster.Calls(ctx, b.Name)
		if err != nil {
			return nil, err
		}
		out = append(out, calls...)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Start.Before(out[j].Start) })
	return out, nil
}

// share returns the fraction of the calls in a time span that the new version got.
func share(calls []standin.CallRecord, from, to time.Time) float64 {
	newCalls, all := 0, 0
	for _, c := range calls {
		if c.Start.Before(from) || c.Start.After(to) {
			continue
		}
		all++
		if c.Version == newVersion {
			newCalls++
		}
	}
	if all == 0 {
		return 0
	}
	return float64(newCalls) / float64(all)
}

// shareCurve records the share of the new version over time for the report page.
func (e *env) shareCurve(name string, calls []standin.CallRecord, start time.Time) {
	s := series{plot: "share of the new version", name: name}
	for at := start; at.Before(start.Add(badDuration)); at = at.Add(load.TimelineInterval) {
		s.points = append(s.points, point{at.Sub(start).Seconds(), share(calls, at, at.Add(load.TimelineInterval))})
	}
	e.series = append(e.series, s)
}
