package main

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/savoryfold/savoryfold/platform/platformtest"
)

const (
	// dutyLease is the term of the lease of the duties, as in platformtest.Duties.Settings.
	dutyLease = time.Second
	// maxThawed is the time after the end of a pause of a process within which its late calls
	// do not count.
	maxThawed = 300 * time.Millisecond
	// maxDutyInterval is the longest time between faults of the platform's duty calls,
	// maxDutyFault their longest duration.
	maxDutyInterval = 2 * time.Second
	maxDutyFault    = 3 * time.Second
)

// dutyChecker checks the duty calls that the platform gets.
type dutyChecker struct {
	checker *checker

	mu      sync.Mutex
	reports map[int64]string     // content by window; guarded by mu
	tokens  map[uint64]bool      // guarded by mu
	highest uint64               // token; guarded by mu
	holders []dutyHolder         // the last two; guarded by mu
	thawed  map[string]time.Time // end of the last pause by instance; guarded by mu
}

// dutyHolder is an instance that made calls, and the time of the last one.
type dutyHolder struct {
	instance string
	last     time.Time
}

func newDutyChecker(c *checker) *dutyChecker {
	return &dutyChecker{checker: c, reports: make(map[int64]string), tokens: make(map[uint64]bool), thawed: make(map[string]time.Time)}
}

// noteThawed records that a process runs again.
func (d *dutyChecker) noteThawed(instance string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.thawed[instance] = time.Now()
}

// check checks a call that has taken effect.
func (d *dutyChecker) check(call platformtest.DutyCall) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	window, _, err := call.UsageCounts()
	if before, ok := d.reports[window]; err != nil || ok && before != call.Body {
		d.checker.addViolation("window %d was reported as %s after %s", window, call.Body, before)
	}
	d.reports[window] = call.Body
	d.tokens[call.Token] = true
	if now.Sub(d.thawed[call.Holder]) <= maxThawed {
		return
	}
	if call.Token < d.highest {
		d.checker.addViolation("%s made a call with the token %d after a call with %d", call.Holder, call.Token, d.highest)
	}
	d.highest = max(d.highest, call.Token)
	n := len(d.holders)
	switch {
	case n > 0 && d.holders[n-1].instance == call.Holder:
		d.holders = d.holders[:n-1]
	case n > 1 && d.holders[n-2].instance == call.Holder && now.Sub(d.holders[n-2].last) < dutyLease:
		d.checker.addViolation("%s made a call %v after its last one, and %s one between them", call.Holder, now.Sub(d.holders[n-2].last), d.holders[n-1].instance)
	}
	d.holders = append(d.holders, dutyHolder{call.Holder, now})
	d.holders = d.holders[max(0, len(d.holders)-2):]
}

// windows returns the number of windows that were reported.
func (d *dutyChecker) windows() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.reports)
}

// injectDutyFaults makes the platform refuse or lose duty calls until the context ends. It draws
// its random numbers apart from the other faults, so that those of a seed stay what they were.
func (tb *testbed) injectDutyFaults(ctx context.Context) {
	random := rand.New(rand.NewPCG(tb.options.Seed, 5))
	for {
		sleep(ctx, time.Duration(random.Int64N(int64(maxDutyInterval))))
		if ctx.Err() != nil {
			return
		}
		length := time.Duration(random.Int64N(int64(maxDutyFault)))
		name, flag := "duty calls refused", &tb.duties.Down
		if random.IntN(2) == 0 {
			name, flag = "responses to duty calls lost", &tb.duties.LoseResponses
		}
		tb.printFault(name, "", length)
		flag.Store(true)
		sleep(ctx, length)
		flag.Store(false)
	}
}

// checkDuties checks, after the faults, that usage is reported again.
func (tb *testbed) checkDuties() {
	before := tb.dutyChecker.windows()
	for end := time.Now().Add(recoveryTimeout); tb.dutyChecker.windows() < before+2; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			tb.checker.addViolation("no usage is reported %v after the last fault", recoveryTimeout)
			return
		}
	}
	tb.dutyChecker.mu.Lock()
	defer tb.dutyChecker.mu.Unlock()
	tb.checker.mu.Lock()
	defer tb.checker.mu.Unlock()
	tb.checker.counts["duty holders"], tb.checker.counts["usage windows"] = len(tb.dutyChecker.tokens), len(tb.dutyChecker.reports)
}
