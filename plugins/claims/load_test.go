package claims

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/standin"
)

// Load of the benchmark. The peak rate is a tenth of 6,300 requests per second.
const (
	peakRate     = 630
	lowRate      = 20
	loadTime     = 8 * time.Second
	serviceLimit = 300 // appends per second that the log service accepts
)

// loadResult holds the measurements of one load.
type loadResult struct {
	mu              sync.Mutex
	claim, complete *hdrhistogram.Histogram // microseconds
	refused         map[kernel.OutcomeReason]int
}

// BenchmarkLoad sends claims to three instances at a fixed rate, each with an
// answer of 300 bytes, and reports rates and latencies. Latencies count from the
// time at which a request was due.
//
//	go test ./plugins/claims -run '^$' -bench Load -benchtime 1x
func BenchmarkLoad(b *testing.B) {
	for _, shards := range []int{16, 8, 4} {
		for _, perSecond := range []int{lowRate, peakRate} {
			b.Run(fmt.Sprintf("shards=%d/rate=%d", shards, perSecond), func(b *testing.B) {
				for range b.N {
					load(b, shards, perSecond, standin.LogFaults{})
				}
			})
		}
	}
	b.Run("slow", func(b *testing.B) {
		for range b.N {
			load(b, 16, lowRate, standin.LogFaults{DelayMS: 50})
		}
	})
}

func load(b *testing.B, shards, perSecond int, faults standin.LogFaults) {
	c := newCluster(b, 3, 0, serviceLimit, fmt.Sprintf("shards = %d\nappends_per_second = 200\n", shards))
	defer c.close()
	c.service.Set(faults)
	r := &loadResult{
		claim: hdrhistogram.New(1, 60_000_000, 3), complete: hdrhistogram.New(1, 60_000_000, 3),
		refused: make(map[kernel.OutcomeReason]int),
	}
	var wg sync.WaitGroup
	start := time.Now()
	total := int(loadTime.Seconds()) * perSecond
	for i := range total {
		due := start.Add(time.Duration(i) * time.Second / time.Duration(perSecond))
		time.Sleep(time.Until(due))
		wg.Go(func() { r.claimAndComplete(c.nodes[i%3], due) })
	}
	wg.Wait()
	took := time.Since(start).Seconds()
	granted := r.claim.TotalCount()
	appends := float64(c.service.Appends())
	b.ReportMetric(float64(granted)/took, "claims/s")
	b.ReportMetric(appends/took, "appends/s")
	b.ReportMetric(appends/float64(granted), "appends/claim")
	b.ReportMetric(float64(int64(total)-granted), "refused")
	for name, h := range map[string]*hdrhistogram.Histogram{"claim": r.claim, "complete": r.complete} {
		b.ReportMetric(float64(h.ValueAtQuantile(50))/1000, name+"-p50-ms")
		b.ReportMetric(float64(h.ValueAtQuantile(99))/1000, name+"-p99-ms")
	}
	if len(r.refused) > 0 {
		b.Log(r.refused)
	}
}

// claimAndComplete claims a new key, completes it and records both latencies.
func (r *loadResult) claimAndComplete(n *node, due time.Time) {
	g := n.claimKey(newKey(), "body", 3*time.Second)
	claimed := time.Now()
	if g.Claim == nil {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.refused[g.Result.Outcome.Reason]++
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	g.Claim.Complete(ctx, kernel.Answer{Body: make([]byte, 300)})
	completed := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.claim.RecordValue(max(1, claimed.Sub(due).Microseconds()))
	_ = r.complete.RecordValue(max(1, completed.Sub(claimed).Microseconds()))
}
