package standin

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/savoryfold/savoryfold/internal/httpapi"
	"github.com/savoryfold/savoryfold/policy"
)

// Stats returns the current counters.
func (b *Backend) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.prepare(time.Now())
	s := b.stats
	s.Warm = b.state.level(time.Now(), b.WarmUp)
	return s
}

// Calls returns the log of calls, which is limited to maxCallLog records.
func (b *Backend) Calls() []CallRecord {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]CallRecord{}, b.calls...)
}

// Executions returns the number of calls by idempotency key.
func (b *Backend) Executions() map[string]int {
	out := make(map[string]int)
	for _, c := range b.Calls() {
		if c.Key != "" {
			out[c.Key]++
		}
	}
	return out
}

// currentReport creates a load report. The caller holds mu.
func (b *Backend) currentReport(now time.Time) policy.LoadReport {
	b.prepare(now)
	return policy.LoadReport{
		Running: b.running, Waiting: max(0, b.stats.Concurrent-b.running),
		Warm: b.state.level(now, b.WarmUp), Boot: b.boot, Version: b.version, At: now,
	}
}

// laggingReport returns a load report that is up to ReportLag old.
func (b *Backend) laggingReport() policy.LoadReport {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	if now.Sub(b.report.At) >= b.ReportLag {
		b.report = b.currentReport(now)
	}
	return b.report
}

// freshReport returns a current load report.
func (b *Backend) freshReport() policy.LoadReport {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.currentReport(time.Now())
}

// setLoadHeader adds the load report to the headers of a response.
func (b *Backend) setLoadHeader(h http.Header) {
	text, _ := json.Marshal(b.freshReport())
	h.Set(httpapi.HeaderLoad, string(text))
}

// addRunning changes the number of running calls, unless the server has restarted
// since the call began.
func (b *Backend) addRunning(c *activeCall, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.boot == b.boot {
		b.running += n
	}
}
