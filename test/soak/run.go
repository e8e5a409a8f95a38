package main

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// recoveryTimeout is the time after the last fault within which every kind of
// request must be served again.
const recoveryTimeout = 12 * time.Second

// Report is the result of a run.
type Report struct {
	Seed       uint64
	Counts     map[string]int
	Violations []string
}

// String formats the counts of responses and the violations.
func (r Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d\n", r.Seed)
	for _, k := range slices.Sorted(maps.Keys(r.Counts)) {
		fmt.Fprintf(&b, "  %-24s %6d\n", k, r.Counts[k])
	}
	for _, violation := range r.Violations {
		fmt.Fprintf(&b, "BROKEN: %s\n", violation)
	}
	return b.String()
}

// Run injects faults for the configured time and then checks that the system
// recovers.
func Run(o Options) (Report, error) {
	tb, err := newTestbed(o)
	if err != nil {
		return Report{}, err
	}
	defer tb.close()
	if !tb.allServed(recoveryTimeout) {
		tb.checker.addViolation("not every kind of request is served before the first fault")
	}
	ctx, stop := context.WithCancel(context.Background())
	wait := tb.startCallers(ctx)
	injecting, end := context.WithTimeout(ctx, o.Length)
	var others sync.WaitGroup
	others.Go(func() { tb.injectRateLimits(injecting) })
	others.Go(func() { tb.injectAnswerFaults(injecting) })
	others.Go(func() { tb.injectStatements(injecting) })
	others.Go(func() { tb.injectDutyFaults(injecting) })
	tb.inject(injecting)
	others.Wait()
	end()
	if !tb.allServed(recoveryTimeout) {
		tb.checker.addViolation("not every kind of request is served %v after the last fault", recoveryTimeout)
	}
	tb.checkPlannedChanges()
	tb.checkStatements()
	tb.checkDuties()
	stop()
	wait()
	tb.checker.mu.Lock()
	defer tb.checker.mu.Unlock()
	report := Report{Seed: o.Seed, Counts: tb.checker.counts, Violations: tb.checker.violations}
	if len(report.Violations) > 0 {
		tb.printLogs()
	}
	return report, nil
}

// allServed waits until each instance serves each kind of request.
func (tb *testbed) allServed(limit time.Duration) bool {
	end := time.Now().Add(limit)
	for i, n := range tb.instances {
		for _, kind := range kinds {
			c := &caller{tb: tb, number: 90 + i, instance: n, client: noKeepAlive()}
			path := kind
			if kind == "v" {
				path = fmt.Sprint("v", tb.version.Load())
			}
			for {
				c.sent = probeNumbers.next()
				id := fmt.Sprintf("%02d%06d", c.number, c.sent)
				full := "/" + path + "/" + id
				tb.checker.recordRequest(id, n.id)
				r := c.send(context.Background(), full, id)
				tb.checker.recordReply(id, full, r)
				if r.status == 200 && r.complete {
					break
				}
				if time.Now().After(end) {
					fmt.Fprintf(tb.options.Out, "%s does not serve %s: %s\n", n.id, path, r.summary())
					return false
				}
				time.Sleep(50 * time.Millisecond)
			}
		}
	}
	return true
}

// printLogs prints the last part of every instance's log.
func (tb *testbed) printLogs() {
	for _, n := range tb.instances {
		log := n.process.Log()
		fmt.Fprintf(tb.options.Out, "--- log of %s\n%s\n", n.id, log[max(0, len(log)-logTailBytes):])
	}
}

// logTailBytes is the printed length of each log.
const logTailBytes = 20000
