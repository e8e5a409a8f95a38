//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Bounds of the small deployments.
const (
	exposureShare = 0.1
	exposureSlack = 50
	rollbackTime  = 5 * time.Second
	// rolloutSeconds is the duration of the rollout in the example of the wire.
	rolloutSeconds = 12
	badAnswers     = 50
)

// Traffic of the duty roster application on the sheet of dcrc-rota.
const (
	assignPerSecond = 26.6
	viewPerSecond   = 10.7
	rosterEngines   = 4
	rosterSlots     = 6
	rosterWork      = 60 * time.Millisecond
)

// rollout plays a rollout of a version of the roster, whose engines fail as fail says, with
// the traffic of the sheet, and returns what breaks EXPOSURE. split is the part of the
// traffic that the routes give to the roster; another service gets the rest.
func rollout(s *stand, after time.Duration, split float64, fail func(e *engine, path string, now time.Time) bool) []string {
	if !s.trouble {
		fail = nil
	}
	zones := []string{"tas-hobart", "tas-launceston", "tas-devonport", "tas-burnie"}
	routes := []fields{
		plainRoute("r-assign", "/assign/", "non_idempotent", "roster", 1),
		plainRoute("r-view", "/view/", "idempotent", "roster", 2),
	}
	services := []fields{plainService("roster")}
	if split < 1 {
		services = append(services, plainService("rota"))
		for _, r := range routes {
			delete(r, "service")
			r["traffic_split"] = []fields{{"service": "rota", "weight": 100 - 100*split}, {"service": "roster", "weight": 100 * split}}
		}
		for i, zone := range zones {
			e := &engine{stand: s, id: fmt.Sprintf("i-rota-%d", i), service: "rota", zone: zone, version: "v1", slots: rosterSlots, work: rosterWork}
			e.start()
		}
	}
	s.put(topicOp, "config", config(7, routes, services))
	version := func(name string, fail func(e *engine, path string, now time.Time) bool) []*engine {
		var engines []*engine
		for i, zone := range zones[:rosterEngines] {
			e := &engine{stand: s, id: fmt.Sprintf("i-%s-%d", name, i), service: "roster", zone: zone, version: name, slots: rosterSlots, work: rosterWork, fail: fail}
			e.start()
			engines = append(engines, e)
		}
		return engines
	}
	old := version("v1", nil)
	for i, zone := range []string{"tas-hobart", "tas-hobart", "tas-launceston", "tas-launceston", "tas-devonport", "tas-burnie"} {
		s.newInstance(fmt.Sprintf("edge-%s-%d", zone, i+1), zone)
	}
	s.startAll(6*time.Second, s.instances...)

	var mu sync.Mutex
	sentAt := make(map[string]time.Time)
	var n atomic.Int64
	var requests sync.WaitGroup
	stop := make(chan struct{})
	clients := make([]*client, 24)
	for i := range clients {
		clients[i] = newClient()
	}
	traffic := func(method, path string, perSecond float64, deadline time.Duration) {
		ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			k := int(n.Add(1))
			requests.Go(func() {
				id, in := s.newID(k), s.instances[rand.IntN(len(s.instances))]
				mu.Lock()
				sentAt[id] = time.Now()
				mu.Unlock()
				a := clients[k%len(clients)].send(in, method, path, id, deadline, nil)
				s.log("client sent %s %s to %s: %v", path, id, in.name, a)
			})
		}
	}
	var generators sync.WaitGroup
	generators.Go(func() { traffic("POST", "/assign/duty", assignPerSecond, 3*time.Second) })
	generators.Go(func() { traffic("GET", "/view/roster", viewPerSecond, 3*time.Second) })
	time.Sleep(5 * time.Second)

	ordered := time.Now()
	s.put(topicOp, "rollout/roster", fields{"service": "roster", "target": "v2", "duration_s": rolloutSeconds})
	next := version("v2", fail) // started alongside the old engines
	s.note("rollout of v2 within %d s ordered", rolloutSeconds)
	deadline := ordered.Add(rolloutSeconds * time.Second)
	state := ""
	var drained <-chan time.Time
	for time.Since(ordered) < after {
		time.Sleep(20 * time.Millisecond)
		if now := s.rolloutState("roster"); now != state {
			state = now
			s.note("status/rollout/roster: %s, %.2f s after the order", state, time.Since(ordered).Seconds())
			switch state {
			case "completed":
				for _, e := range old {
					e.stop() // immediately, without draining
				}
			case "rolled_back":
				drained = time.After(3 * time.Second)
			}
		}
		select {
		case <-drained:
			for _, e := range next {
				e.mu.Lock()
				e.draining = true
				e.mu.Unlock()
				e.register()
			}
		default:
		}
	}
	close(stop)
	generators.Wait()
	requests.Wait()
	return s.judgeExposure(old, next, sentAt, ordered, deadline, state)
}

func (s *stand) rolloutState(service string) string {
	value, ok := s.store.Newest(topicStatus, "rollout/"+service)
	var status struct {
		State string `json:"state"`
	}
	if !ok || json.Unmarshal(value, &status) != nil {
		return ""
	}
	return status.State
}

// judgeExposure checks EXPOSURE.
func (s *stand) judgeExposure(old, next []*engine, sentAt map[string]time.Time, ordered, deadline time.Time, state string) (broken []string) {
	var all, toNew int
	var bad []time.Time
	count := func(e *engine, isNew bool) {
		e.mu.Lock()
		defer e.mu.Unlock()
		for _, r := range e.runs {
			if r.at.After(ordered) && r.at.Before(deadline) {
				all++
				if isNew {
					toNew++
				}
			}
			if isNew && r.failed {
				bad = append(bad, r.at.Add(e.work))
			}
		}
	}
	for _, e := range old {
		count(e, false)
	}
	for _, e := range next {
		count(e, true)
	}
	slices.SortFunc(bad, time.Time.Compare)
	s.note("until the deadline %d of %d requests reached the new version; it gave %d bad answers in all; last state: %s", toNew, all, len(bad), state)
	if len(bad) == 0 {
		if state != "completed" {
			panic(notRun("a good version was not completed"))
		}
		return nil
	}
	if float64(toNew) > exposureShare*float64(all)+exposureSlack {
		broken = append(broken, fmt.Sprintf("a bad version got %d of %d requests between the order and its deadline", toNew, all))
	}
	if len(bad) < badAnswers {
		return broken
	}
	last := bad[badAnswers-1]
	late, latest := 0, time.Time{}
	for _, e := range next {
		e.mu.Lock()
		for _, r := range e.runs {
			if at := sentAt[r.id]; at.After(last.Add(rollbackTime)) {
				late++
				if at.After(latest) {
					latest = at
				}
			}
		}
		e.mu.Unlock()
	}
	s.note("the 50th bad answer came %.2f s after the order", last.Sub(ordered).Seconds())
	if late > 0 {
		broken = append(broken, fmt.Sprintf("the bad version got %d requests that were sent later than %v after its 50th bad answer, the last of them %.2f s after it", late, rollbackTime, latest.Sub(last).Seconds()))
	}
	return broken
}

// exposureLoad rolls out a version that is sound at the share of a trial, and fails nearly
// half of its responses under load.
func exposureLoad(s *stand) []string {
	const (
		loadedPerSecond = 5    // requests of an engine in a second from which on it is under load
		portion         = 0.45 // of the responses that are failures then
	)
	return rollout(s, 32*time.Second, 1, func(e *engine, _ string, now time.Time) bool {
		return e.ranSince(now.Add(-time.Second)) >= loadedPerSecond && rand.Float64() < portion
	})
}

// exposureSplit rolls out a version that fails nearly half of its responses from the
// beginning, of a service that gets a tenth of its routes' traffic.
func exposureSplit(s *stand) []string {
	const portion = 0.45 // of the responses that are failures
	return rollout(s, 65*time.Second, 0.1, func(*engine, string, time.Time) bool { return rand.Float64() < portion })
}
