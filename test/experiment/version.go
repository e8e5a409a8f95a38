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
	// moveTime is the time from the start of a move to its set time.
	moveTime    = 28 * time.Second
	moveRate    = 80.0 // requests a second of one lane
	badRun      = 34 * time.Second
	goodRun     = 34 * time.Second
	moveTokens  = 6
	maxBadShare = 0.05
)

// lane is one pool with both versions and the routes that use it.
type lane struct {
	name   string
	routes []string
	bad    *standin.BadVersion
}

// laneSpec is a cluster with the lanes, each with one engine of each version
// in every availability zone.
func laneSpec(lanes []lane) harness.Spec {
	s := harness.Spec{
		Zones: zones, Pools: make(map[string]string), Routes: make(map[string]string),
		Accounts: map[string]float64{"one": 1},
	}
	for _, l := range lanes {
		s.Pools[l.name] = fmt.Sprintf("versioned = true\nlimit = %d\ncold_limit = %d\nfirst_byte = 1s\nbetween_bytes = 500ms\n", engineBatch, coldLimit)
		for _, r := range l.routes {
			s.Routes[r] = laneRoute(l.name, "version = "+oldVersion+"\n")
		}
		for _, zone := range zones {
			for i, version := range []string{oldVersion, newVersion} {
				b := engine(fmt.Sprintf("%s-%s%d", l.name, zone, i+1), zone)
				b.Pool, b.Version = l.name, version
				// Short answers give each move enough calls to be judged by.
				b.Tokens = moveTokens
				s.Backends = append(s.Backends, b)
			}
		}
	}
	return s
}

func laneRoute(pool, extra string) string {
	return fmt.Sprintf("deadline = %s\nstages = generate\ngenerate.pool = %s\n%s", deadline, pool, extra)
}

// startMoves begins the move of every route and returns its set time.
func (e *env) startMoves(ctx context.Context, lanes []lane) (time.Time, error) {
	start := time.Now()
	by := start.Add(moveTime)
	move := fmt.Sprintf("move.from = %s\nmove.to = %s\nmove.start = %s\nmove.by = %s\n", oldVersion, newVersion,
		start.UTC().Format(time.RFC3339Nano), by.UTC().Format(time.RFC3339Nano))
	for _, l := range lanes {
		for _, r := range l.routes {
			result, err := e.cluster.Change(ctx, e.cluster.Instances[0], "route "+r, laneRoute(l.name, move))
			if err != nil {
				return by, err
			}
			if result.Status != "accepted" {
				return by, fmt.Errorf("move of route %s: %v", r, result)
			}
		}
	}
	return by, nil
}

func laneMix(lanes []lane) (mix []load.Share, rate float64) {
	for _, l := range lanes {
		for _, r := range l.routes {
			s := small("one", 1)
			s.Route = r
			s.Body = func(n int) string { return fmt.Sprintf(`{"n":%d,"route":%q}`, n, r) }
			s.Weight = 1 / float64(len(l.routes))
			mix = append(mix, s)
		}
		rate += moveRate
	}
	return mix, rate
}

// versionGood moves a route to a good version; the log is down from the middle
// of the move on.
func versionGood(ctx context.Context, e *env) error {
	lanes := []lane{{name: "good", routes: []string{"answer"}}}
	if err := e.launch(ctx, laneSpec(lanes)); err != nil {
		return err
	}
	mix, rate := laneMix(lanes)
	if err := e.warmUpWith(ctx, rate, mix); err != nil {
		return err
	}
	by, err := e.startMoves(ctx, lanes)
	if err != nil {
		return err
	}
	down := at(ctx, time.Until(by)/2, func() { _ = e.cluster.SetLogFaults(ctx, standin.LogFaults{Down: true}) })
	r, err := e.drive(ctx, load.Config{Phases: []load.Phase{{Name: "move", Rate: rate, Duration: goodRun, Mix: mix}}})
	down()
	if err != nil {
		return err
	}
	calls, err := e.laneCalls(ctx, "good")
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
	e.figure("share of the new version in the first fifth of the move", share(calls, r.Start, r.Start.Add(moveTime/5)), "part")
	e.figure("share of the new version in the last second of the move", share(calls, by.Add(-time.Second), by), "part")
	e.atMost("calls of the old version after the set time", float64(late), 0, "calls")
	e.atLeast("attainment", attainment(r.Total), 0.995, "part")
	e.figure("attainment in the last half of the move", attainedBetween(r, moveTime/2, moveTime), "part")
	e.figure("attainment after the set time", attainedBetween(r, moveTime, goodRun), "part")
	e.whole(r)
	return nil
}

// versionBad moves routes to versions that are bad in different ways.
func versionBad(ctx context.Context, e *env) error {
	lanes := []lane{
		{"at-once", []string{"roster"}, &standin.BadVersion{Version: newVersion}},
		{"later", []string{"minutes"}, &standin.BadVersion{Version: newVersion, After: 8, Slow: 6}},
		{"loaded", []string{"rebate"}, &standin.BadVersion{Version: newVersion, Load: 4}},
		{"one-route", []string{"notice", "query"}, &standin.BadVersion{Version: newVersion, Route: "notice"}},
	}
	if err := e.launch(ctx, laneSpec(lanes)); err != nil {
		return err
	}
	for _, l := range lanes {
		for _, b := range e.cluster.Spec.Backends {
			if b.Pool != l.name {
				continue
			}
			if err := e.cluster.SetFaults(ctx, b.Name, standin.Faults{Bad: []standin.BadVersion{*l.bad}}); err != nil {
				return err
			}
		}
	}
	mix, rate := laneMix(lanes)
	if err := e.warmUpWith(ctx, rate, mix); err != nil {
		return err
	}
	if _, err := e.startMoves(ctx, lanes); err != nil {
		return err
	}
	middle := at(ctx, badRun/2, func() { _ = e.cluster.SetLogFaults(ctx, standin.LogFaults{Down: true}) })
	r, err := e.drive(ctx, load.Config{Phases: []load.Phase{{Name: "move", Rate: rate, Duration: badRun, Mix: mix}}})
	middle()
	if err != nil {
		return err
	}
	for _, l := range lanes {
		if err := e.judgeBad(ctx, l, r); err != nil {
			return err
		}
	}
	e.figure("attainment", attainment(r.Total), "part")
	e.whole(r)
	return nil
}

// judgeBad judges one lane by its engines' logs of calls.
func (e *env) judgeBad(ctx context.Context, l lane, r *load.Report) error {
	calls, err := e.laneCalls(ctx, l.name)
	if err != nil {
		return err
	}
	e.shareCurve(l.name, calls, r.Start)
	var shown time.Time
	var last time.Time
	late, bad := 0, 0
	for _, c := range calls {
		if !c.Bad {
			continue
		}
		bad++
		last = c.Start
		if shown.IsZero() {
			shown = c.Start
		}
		if c.Start.After(shown.Add(changeTime)) {
			late++
		}
	}
	name := "bad " + l.name + ": "
	for _, route := range l.routes {
		e.figure(name+"attainment of route "+route, attainment(r.Routes[route]), "part")
	}
	e.figure(name+"share in the last second", share(calls, r.Start.Add(badRun-time.Second), r.Start.Add(badRun)), "part")
	e.figure(name+"calls that met the fault", float64(bad), "calls")
	if shown.IsZero() {
		return nil
	}
	e.figure(name+"time until the fault showed", shown.Sub(r.Start).Seconds(), "s")
	e.figure(name+"time from the first to the last call that met the fault", last.Sub(shown).Seconds(), "s")
	if l.bad.After == 0 && l.bad.Load == 0 {
		e.atMost(name+"share until 3 s after the fault showed", share(calls, r.Start, shown.Add(changeTime)), maxBadShare, "part")
	}
	e.atMost(name+"calls that met the fault from 3 s after it showed on", float64(late), 0, "calls")
	return nil
}

// laneCalls returns the calls of all engines of a lane in order.
func (e *env) laneCalls(ctx context.Context, pool string) ([]standin.CallRecord, error) {
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

// share is the part of the calls in a span that the new version got.
func share(calls []standin.CallRecord, from, to time.Time) float64 {
	fresh, all := 0, 0
	for _, c := range calls {
		if c.Start.Before(from) || c.Start.After(to) {
			continue
		}
		all++
		if c.Version == newVersion {
			fresh++
		}
	}
	if all == 0 {
		return 0
	}
	return float64(fresh) / float64(all)
}

// shareCurve keeps the share of the new version over time for the page.
func (e *env) shareCurve(name string, calls []standin.CallRecord, start time.Time) {
	s := series{plot: "share of the new version", name: name}
	for at := start; at.Before(start.Add(badRun)); at = at.Add(load.Bucket) {
		s.points = append(s.points, point{at.Sub(start).Seconds(), share(calls, at, at.Add(load.Bucket))})
	}
	e.series = append(e.series, s)
}
