package standin

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/savoryfold/savoryfold/internal/httpapi"
	"github.com/savoryfold/savoryfold/policy"
)

// Stats returns the counters.
func (b *Backend) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.prepare(time.Now())
	s := b.stats
	s.Warm = b.state.warm(time.Now(), b.Warmth)
	return s
}

// Calls returns the log of calls.
func (b *Backend) Calls() []CallRecord {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]CallRecord{}, b.calls...)
}

// Executions returns how often each idempotency key ran.
func (b *Backend) Executions() map[string]int {
	out := make(map[string]int)
	for _, c := range b.Calls() {
		if c.Key != "" {
			out[c.Key]++
		}
	}
	return out
}

// load makes a load report. The caller holds mu.
func (b *Backend) load(now time.Time) policy.LoadReport {
	b.prepare(now)
	return policy.LoadReport{
		Running: b.running, Waiting: max(0, b.stats.Concurrent-b.running),
		Warm: b.state.warm(now, b.Warmth), Boot: b.boot, Version: b.version, At: now,
	}
}

// laggingReport returns a report that is up to ReportLag old.
func (b *Backend) laggingReport() policy.LoadReport {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	if now.Sub(b.report.At) >= b.ReportLag {
		b.report = b.load(now)
	}
	return b.report
}

// freshReport returns a report of this moment.
func (b *Backend) freshReport() policy.LoadReport {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.load(time.Now())
}

// setLoad puts the load report into an answer's headers.
func (b *Backend) setLoad(h http.Header) {
	text, _ := json.Marshal(b.freshReport())
	h.Set(httpapi.HeaderLoad, string(text))
}

// work records that calls began or ended to be worked on.
func (b *Backend) work(c *activeCall, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.boot == b.boot {
		b.running += n
	}
}
