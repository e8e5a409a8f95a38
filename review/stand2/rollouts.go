package main

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/savoryfold/savoryfold/platform/platformtest"
)

// The deployment of the rollouts: a plain service whose requests may run once, as the duty
// roster of the small site.
const (
	service      = "roster"
	requestRate  = 150 // per second
	requestWork  = 60 * time.Millisecond
	orderSeconds = 12
	warmUp       = 4 * time.Second
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

var zones = []string{"hobart", "launceston", "devonport"}

// startRollouts starts the deployment with servers of version v1.
func startRollouts(d *deployment) (*callers, *group, error) {
	d.store.PutConfig(platformtest.Config{
		Version:  1,
		Routes:   []platformtest.Route{{Name: "assign", Host: "rota.example", Prefix: "/assign/", Kind: "non_idempotent", Service: service, TimeoutMS: 1500, GoalMS: 300, Attempts: 1, Priority: 2}},
		Services: []platformtest.Service{{Name: service, Connections: 96}},
		Keys:     map[string]string{"key-of-choir": "choir"},
	})
	old := d.startGroup(service, "v1", requestWork, nil, zones...)
	if err := d.startNodes(zones...); err != nil {
		return nil, nil, err
	}
	return newCallers(d), old, nil
}

func assign(int) platformtest.Request {
	return platformtest.Request{Method: "POST", Host: "rota.example", Path: "/assign/duty", APIKey: "key-of-choir", Body: `{"duty":"urn"}`, Timeout: 3 * time.Second}
}

// order writes a rollout command, and starts the servers of its version beside the others.
func order(d *deployment, version string, fails func(running int) bool) (*group, time.Time) {
	d.store.PutMove(service, version, orderSeconds)
	at := time.Now()
	d.note("the operator orders version %s within %d s", version, orderSeconds)
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
	deadline := ordered.Add(orderSeconds * time.Second)
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
	bad, ordered := order(d, "v2", func(int) bool { return rand.Float64() < 0.3 })
	if state := awaitState(d, orderSeconds*time.Second, "rolled-back"); state != "rolled-back" {
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
	if awaitState(d, (orderSeconds+3)*time.Second, "completed") == "completed" {
		old.stop()
	}
	time.Sleep(2 * time.Second)
	cancel()
	<-done
	d.note("%s", c.summary())
	return judgeExposure(d, c, bad, ordered, old, next), nil
}

// playBadVersion rolls out a version that fails some of its requests. Without the disruption
// it fails none.
func playBadVersion(d *deployment, trouble bool, fails func(running int) bool) (bool, error) {
	c, old, err := startRollouts(d)
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan struct{})
	go func() { c.send(ctx, requestRate, assign); close(done) }()
	time.Sleep(warmUp)
	if !trouble {
		fails = nil
	}
	next, ordered := order(d, "v2", fails)
	switch awaitState(d, (orderSeconds+3)*time.Second, "completed", "rolled-back") {
	case "completed":
		old.stop()
	case "rolled-back":
		time.AfterFunc(drainAfter, next.drain)
	}
	time.Sleep(20 * time.Second)
	cancel()
	<-done
	d.note("%s", c.summary())
	return judgeExposure(d, c, next, ordered, old), nil
}

// playUnderLoad rolls out a version whose servers fail three in ten of the requests that they
// begin while they run two others or more.
func playUnderLoad(d *deployment, trouble bool) (bool, error) {
	return playBadVersion(d, trouble, func(running int) bool { return running > 2 && rand.Float64() < 0.3 })
}
