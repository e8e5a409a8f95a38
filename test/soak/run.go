package main

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// recovery is the time after the last fault within which every kind of request
// has to be served again.
const recovery = 12 * time.Second

// Report is the result of a run.
type Report struct {
	Seed   uint64
	Counts map[string]int
	Broken []string
}

// String shows what callers got, and what is broken.
func (r Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d\n", r.Seed)
	for _, k := range slices.Sorted(maps.Keys(r.Counts)) {
		fmt.Fprintf(&b, "  %-24s %6d\n", k, r.Counts[k])
	}
	for _, broken := range r.Broken {
		fmt.Fprintf(&b, "BROKEN: %s\n", broken)
	}
	return b.String()
}

// Run runs one soak.
func Run(o Options) (Report, error) {
	w, err := newWorld(o)
	if err != nil {
		return Report{}, err
	}
	defer w.close()
	if !w.allServed(recovery) {
		w.ledger.note("not every kind of request is served before the first fault")
	}
	ctx, stop := context.WithCancel(context.Background())
	wait := w.startCallers(ctx)
	injecting, end := context.WithTimeout(ctx, o.Length)
	w.inject(injecting)
	end()
	if !w.allServed(recovery) {
		w.ledger.note("not every kind of request is served %v after the last fault", recovery)
	}
	w.checkPlannedChanges()
	stop()
	wait()
	w.ledger.mu.Lock()
	defer w.ledger.mu.Unlock()
	report := Report{Seed: o.Seed, Counts: w.ledger.counts, Broken: w.ledger.broken}
	if len(report.Broken) > 0 {
		w.keepLogs()
	}
	return report, nil
}

// allServed waits until each instance serves each kind of request.
func (w *world) allServed(limit time.Duration) bool {
	end := time.Now().Add(limit)
	for i, n := range w.nodes {
		for _, kind := range kinds {
			c := &caller{w: w, number: 90 + i, node: n, client: noKeepAlive()}
			path := kind
			if kind == "v" {
				path = fmt.Sprint("v", w.version.Load())
			}
			for {
				c.sent = probes.next()
				id := fmt.Sprintf("%02d%06d", c.number, c.sent)
				full := "/" + path + "/" + id
				w.ledger.ask(id)
				r := c.send(context.Background(), full, id)
				w.ledger.told(id, full, r)
				if r.status == 200 && r.whole {
					break
				}
				if time.Now().After(end) {
					fmt.Fprintf(w.options.Out, "%s does not serve %s: %s\n", n.id, path, r.summary())
					return false
				}
				time.Sleep(50 * time.Millisecond)
			}
		}
	}
	return true
}

// keepLogs prints the end of every instance's log.
func (w *world) keepLogs() {
	for _, n := range w.nodes {
		log := n.process.Log()
		fmt.Fprintf(w.options.Out, "--- log of %s\n%s\n", n.id, log[max(0, len(log)-logTail):])
	}
}

// logTail is what is shown of each log, in bytes.
const logTail = 20000
