//go:build review

package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/savoryfold/savoryfold/platform/platformtest"
)

// The deployment of the rollouts: a plain service whose requests may run once, as the duty
// roster of the small site.
const (
	service     = "roster"
	requestRate = 150 // per second
	requestWork = 60 * time.Millisecond

	warmUp = 4 * time.Second
	// drainAfter is the time from a rollback until the new servers drain.
	drainAfter = 6 * time.Second
	// exposureShare, exposureSlack and rollbackTime are bounds of the deployment.
	exposureShare = 0.1
	exposureSlack = 50
	rollbackTime  = 5 * time.Second
	// badAnswers is the number of bad answers after which rollbackTime begins.
	badAnswers   = 50
	pollInterval = 20 * time.Millisecond
)

// orderTime is the time within which a rollout has to be completed.
var orderTime = 12 * time.Second

var zones = []string{"hobart", "launceston", "devonport"}

// startRollouts starts the deployment with servers of version v1.
func startRollouts(d *deployment) (*callers, *group, error) {
	d.store.PutConfig(platformtest.Config{
		Version:  1,
		Routes:   routes(),
		Services: []platformtest.Service{{Name: service, Connections: 96}},
		Keys:     map[string]string{"key-of-choir": "choir"},
	})
	old := d.startGroup(service, "v1", requestWork, nil, zones...)
	if err := d.startNodes(zones...); err != nil {
		return nil, nil, err
	}
	return newCallers(d), old, nil
}

// smallRoutes is the number of routes beside the first, with few requests each.
const smallRoutes = 40

func routes() []platformtest.Route {
	r := platformtest.Route{Name: "assign", Host: "rota.example", Prefix: "/assign/", Kind: "non_idempotent", Service: service, TimeoutMS: 1500, GoalMS: 300, Attempts: 1, Priority: 2}
	all := []platformtest.Route{r}
	for i := range smallRoutes {
		r.Name, r.Prefix = fmt.Sprint("choir-", i), fmt.Sprintf("/choir%d/", i)
		all = append(all, r)
	}
	return all
}

func assign(int) platformtest.Request { return assignOn("/assign/") }

// assignMostly returns a request of the first route, but for smallRequests in a hundred of each
// other one.
func assignMostly(int) platformtest.Request {
	if i := rand.IntN(100) / smallRequests; i < smallRoutes {
		return assignOn(fmt.Sprintf("/choir%d/", i))
	}
	return assign(0)
}

// smallRequests is the percentage of the requests on each of the small routes.
const smallRequests = 1

func assignOn(prefix string) platformtest.Request {
	return platformtest.Request{Method: "POST", Host: "rota.example", Path: prefix + "duty", APIKey: "key-of-choir", Body: `{"duty":"urn"}`, Timeout: 3 * time.Second}
}

// order writes a rollout command, and starts the servers of its version beside the others.
func order(d *deployment, version string, fails failure) (*group, time.Time) {
	d.store.PutMove(service, version, orderTime.Seconds())
	at := time.Now()
	d.note("the operator orders version %s within %v", version, orderTime)
	return d.startGroup(service, version, requestWork, fails, zones...), at
}

// awaitState waits until the recorded state of the rollout is one of the given ones.
func awaitState(d *deployment, timeout time.Duration, states ...string) string {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(pollInterval) {
		state := d.store.MoveState(service)
		for _, s := range states {
			if s == state {
				d.note("the status of the rollout is %s", s)
				return s
			}
		}
	}
	return d.store.MoveState(service)
}

// judgeExposure checks both parts of the rule for a bad version.
func judgeExposure(d *deployment, c *callers, bad *group, ordered time.Time, others ...*group) (held bool) {
	held = true
	deadline := ordered.Add(orderTime)
	within := func(g *group) (n int) {
		for _, a := range g.arrived() {
			if a.at.After(ordered) && a.at.Before(deadline) {
				n++
			}
		}
		return n
	}
	got := within(bad)
	all := got
	for _, g := range others {
		all += within(g)
	}
	limit := exposureShare*float64(all) + exposureSlack
	d.note("version %s got %d of %d requests between the order and its deadline; %.0f are allowed", bad.version, got, all, limit)
	if float64(got) > limit {
		held = false
	}
	shown, ok := bad.badAnswer(badAnswers)
	if !ok {
		d.note("version %s gave fewer than %d bad answers", bad.version, badAnswers)
		return held
	}
	d.note("version %s gave its bad answer %d at %.3f", bad.version, badAnswers, shown.Sub(d.began).Seconds())
	late := 0
	for _, a := range bad.arrived() {
		if sent := c.sent(a.id); sent.After(shown.Add(rollbackTime)) {
			if late++; late <= 3 {
				d.note("request %s, sent at %.3f, reached version %s", a.id, sent.Sub(d.began).Seconds(), bad.version)
			}
		}
	}
	d.note("version %s got %d requests that were sent more than %v after that", bad.version, late, rollbackTime)
	return held && late == 0
}

// playSecondOrder has the operator order another version while the servers of one that was
// rolled back still run. Without the disruption it waits until they have left.
func playSecondOrder(d *deployment, trouble bool) (bool, error) {
	c, old, err := startRollouts(d)
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan struct{})
	go func() { c.send(ctx, requestRate, assign); close(done) }()
	time.Sleep(warmUp)
	bad, ordered := order(d, "v2", portion(0.3))
	if state := awaitState(d, orderTime, "rolled-back"); state != "rolled-back" {
		d.note("the status is %s", state)
	}
	rolledBack := time.Now()
	time.AfterFunc(drainAfter, bad.drain)
	wait := 1500 * time.Millisecond
	if !trouble {
		wait = drainAfter + leaveTime + 2*time.Second
	}
	time.Sleep(time.Until(rolledBack.Add(wait)))
	next, _ := order(d, "v3", nil)
	if awaitState(d, orderTime+3*time.Second, "completed") == "completed" {
		old.stop()
	}
	time.Sleep(2 * time.Second)
	cancel()
	<-done
	d.note("%s", c.summary())
	return judgeExposure(d, c, bad, ordered, old, next), nil
}

// portion returns a failure of a portion of all requests.
func portion(p float64) failure {
	return func(platformtest.ReceivedRequest) bool { return rand.Float64() < p }
}

// playBadVersion rolls out a version that fails some of its requests, and goes on for a time
// after that. Without the disruption it fails none.
func playBadVersion(d *deployment, trouble bool, fails failure, request func(int) platformtest.Request, after time.Duration) (bool, error) {
	c, old, err := startRollouts(d)
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan struct{})
	go func() { c.send(ctx, requestRate, request); close(done) }()
	time.Sleep(warmUp)
	if !trouble {
		fails = nil
	}
	next, ordered := order(d, "v2", fails)
	end := time.Now().Add(orderTime + after)
	switch awaitState(d, time.Until(end), "completed", "rolled-back") {
	case "completed":
		old.stop()
	case "rolled-back":
		time.AfterFunc(drainAfter, next.drain)
	}
	time.Sleep(time.Until(end))
	cancel()
	<-done
	d.note("%s", c.summary())
	return judgeExposure(d, c, next, ordered, old), nil
}

// playOneRoute rolls out a version that fails seven in ten of the requests of one small route.
func playOneRoute(d *deployment, trouble bool) (bool, error) {
	onRoute := func(s platformtest.ReceivedRequest) bool {
		return strings.HasPrefix(s.URI, "/choir3/") && rand.Float64() < 0.7
	}
	orderTime = 6 * time.Second
	return playBadVersion(d, trouble, onRoute, assignMostly, 75*time.Second)
}

// playSmallPortion rolls out a version that fails four in a hundred of its requests.
func playSmallPortion(d *deployment, trouble bool) (bool, error) {
	return playBadVersion(d, trouble, portion(0.04), assign, 20*time.Second)
}
