package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/google/uuid"

	"github.com/savoryfold/savoryfold/internal/load"
	"github.com/savoryfold/savoryfold/standin"
	"github.com/savoryfold/savoryfold/test/harness"
	"github.com/savoryfold/savoryfold/test/history"
)

const (
	onceRun      = 18 * time.Second
	onceCallers  = 12
	oncePause    = 20 * time.Millisecond
	onceRepeats  = 6
	repeatPause  = 300 * time.Millisecond
	settleRounds = 3
	poolLedger   = "ledger"
	onceRoute    = "certificate"
	// doubleClick is the part of the requests that are sent twice at once.
	doubleClick = 0.2
)

// onceSpec is the ordinary cluster with a route that may not be repeated.
func onceSpec() harness.Spec {
	s := ordinary()
	s.Pools[poolLedger] = "limit = 32\ncold_limit = 8\nfirst_byte = 700ms\n"
	s.Routes[onceRoute] = "deadline = 1500ms\nstages = encode, issue\nencode.pool = encode\nissue.pool = ledger\nissue.idempotent = false\n"
	for _, zone := range zones {
		service := standin.FleetMember{Name: "ledger-" + zone, WorkMS: 10, ReportLagMS: 300}
		s.Backends = append(s.Backends, harness.Backend{FleetMember: service, Pool: poolLedger, Zone: zone})
	}
	return s
}

// attempts collects what callers saw.
type attempts struct {
	mu   sync.Mutex
	list []history.Attempt // guarded by mu
	keys map[string]string // key -> body; guarded by mu
	last map[string]string // key -> the newest outcome; guarded by mu
}

// once sends requests that may not be repeated while instances are killed and
// paused, append answers are lost and the log is down.
func once(ctx context.Context, e *env) error {
	if err := e.launch(ctx, onceSpec()); err != nil {
		return err
	}
	seen := &attempts{keys: make(map[string]string), last: make(map[string]string)}
	client := load.NewClient()
	defer client.Close()
	run, cancel := context.WithTimeout(ctx, onceRun)
	defer cancel()
	var callers sync.WaitGroup
	for i := range onceCallers {
		callers.Go(func() { e.onceCaller(run, client, seen, i) })
	}
	e.onceFaults(run)
	callers.Wait()
	e.settle(ctx, client, seen)
	return e.judgeOnce(ctx, seen)
}

// onceFaults brings about faults, some at the same time.
func (e *env) onceFaults(ctx context.Context) {
	always := context.WithoutCancel(ctx)
	log := func(f standin.LogFaults) func() { return func() { _ = e.cluster.SetLogFaults(always, f) } }
	ledger := func(f standin.Faults) func() {
		return func() { _ = e.cluster.SetFaults(always, "ledger-launceston", f) }
	}
	hobart, launceston, burnie := e.cluster.Instances[0], e.cluster.Instances[1], e.cluster.Instances[2]
	steps := []func(){
		at(ctx, 2*time.Second, log(standin.LogFaults{LoseAnswers: 0.3})),
		at(ctx, 3*time.Second, func() { hobart.Kill(); _ = e.cluster.Restart(hobart) }),
		at(ctx, 5*time.Second, func() { launceston.Signal(syscall.SIGSTOP) }),
		at(ctx, 8*time.Second, func() { launceston.Signal(syscall.SIGCONT) }),
		at(ctx, 8500*time.Millisecond, ledger(standin.Faults{Cut: 0.2, Refuse: 0.2, WrongID: 0.1})),
		at(ctx, 10*time.Second, log(standin.LogFaults{Down: true})),
		at(ctx, 11*time.Second, func() { burnie.Kill(); _ = e.cluster.Restart(burnie) }),
		at(ctx, 12500*time.Millisecond, log(standin.LogFaults{LoseAnswers: 0.1, DelayMS: 30})),
		at(ctx, 14*time.Second, ledger(standin.Faults{Crash: true, DownMS: 500})),
		at(ctx, 15*time.Second, log(standin.LogFaults{})),
	}
	<-ctx.Done()
	for _, done := range steps {
		done()
	}
	launceston.Signal(syscall.SIGCONT)
}

// onceCaller sends new requests, and repeats each until it is settled.
func (e *env) onceCaller(ctx context.Context, client *load.Client, seen *attempts, caller int) {
	random := rand.New(rand.NewPCG(e.seed, uint64(caller)))
	for n := 0; ctx.Err() == nil; n++ {
		key := uuid.Must(uuid.NewV7()).String()
		body := fmt.Sprintf(`{"caller":%d,"n":%d}`, caller, n)
		var twin sync.WaitGroup
		if random.Float64() < doubleClick {
			other := random.IntN(len(e.cluster.Instances))
			twin.Go(func() { e.onceSend(ctx, client, seen, key, body, other) })
		}
		for range onceRepeats {
			outcome := e.onceSend(ctx, client, seen, key, body, random.IntN(len(e.cluster.Instances)))
			if outcome == load.OutcomeServed || ctx.Err() != nil {
				break
			}
			time.Sleep(repeatPause)
		}
		twin.Wait()
		time.Sleep(oncePause)
	}
}

// onceSend sends one attempt and notes what came of it.
func (e *env) onceSend(ctx context.Context, client *load.Client, seen *attempts, key, body string, instance int) string {
	share := small("one", 1)
	share.Route = onceRoute
	share.Body = func(int) string { return body }
	call := load.NewCall(0, "", &share)
	call.Key = key
	call.Target = e.cluster.Instances[instance].Entry
	start := time.Now()
	r := client.Send(context.WithoutCancel(ctx), call, start)
	a := history.Attempt{Key: key, Start: start, End: r.End, Outcome: r.Outcome, Answer: string(r.Answer)}
	seen.mu.Lock()
	defer seen.mu.Unlock()
	seen.list = append(seen.list, a)
	seen.keys[key] = body
	if seen.last[key] != load.OutcomeServed {
		seen.last[key] = strings.TrimSpace(r.Outcome + " " + r.Reason)
		if r.Outcome == load.OutcomeServed {
			seen.last[key] = load.OutcomeServed
		}
	}
	return r.Outcome
}

// settle repeats every request without a served answer once all is well.
func (e *env) settle(ctx context.Context, client *load.Client, seen *attempts) {
	for round := range settleRounds {
		var open []string
		seen.mu.Lock()
		for key, outcome := range seen.last {
			if outcome != load.OutcomeServed {
				open = append(open, key)
			}
		}
		seen.mu.Unlock()
		for i, key := range open {
			e.onceSend(ctx, client, seen, key, seen.keys[key], (round+i)%len(e.cluster.Instances))
		}
		time.Sleep(repeatPause)
	}
}

// judgeOnce compares what callers and services saw.
func (e *env) judgeOnce(ctx context.Context, seen *attempts) error {
	executions := make(map[string][]standin.CallRecord)
	for _, b := range e.cluster.Spec.Backends {
		if b.Pool != poolLedger {
			continue
		}
		calls, err := e.cluster.Calls(ctx, b.Name)
		if err != nil {
			return err
		}
		for _, c := range calls {
			key := c.Key[strings.LastIndex(c.Key, "/")+1:]
			executions[key] = append(executions[key], c)
		}
	}
	v := history.Requests{Attempts: seen.list, Executions: executions}.Check()
	crossed := 0
	for _, a := range seen.list {
		if a.Outcome == load.OutcomeServed && !strings.Contains(a.Answer, `"echo":`+seen.keys[a.Key]) {
			crossed++
		}
	}
	e.figure("requests", float64(v.Keys), "keys")
	e.figure("attempts", float64(len(seen.list)), "requests")
	e.figure("requests served", float64(v.Served), "keys")
	e.atMost("requests that ran more than once", float64(v.Doubled), 0, "keys")
	e.atMost("false 'not run'", float64(v.FalseNotRun), 0, "executions")
	e.atMost("answers without an execution", float64(v.Phantom), 0, "keys")
	e.atMost("requests with differing answers", float64(v.Differing), 0, "keys")
	e.atMost("answers of other requests", float64(crossed), 0, "requests")
	e.figure("requests that ran and whose answer is in doubt", float64(v.Unsettled), "keys")
	open := make(map[string]int)
	for _, outcome := range seen.last {
		open[outcome]++
	}
	for outcome, n := range open {
		e.figure("requests that ended with "+outcome, float64(n), "keys")
	}
	e.explain(v.Faults)
	return nil
}
