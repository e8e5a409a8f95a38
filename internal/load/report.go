package load

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the histograms; values are in microseconds.
const (
	lowestMicros      = 1
	highestMicros     = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// TimelineInterval is the length of one interval of the timeline.
const TimelineInterval = 500 * time.Millisecond

// Group aggregates a set of requests, such as those of a route.
type Group struct {
	Sent     int            `json:"sent"`
	Outcomes map[string]int `json:"outcomes"`
	Reasons  map[string]int `json:"reasons,omitempty"`
	// Attained counts the requests that were served within their deadline.
	Attained int `json:"attained"`
	// Calls, EngineMS, WastedMS and WaitMS are sums over all stages. UnservedMS is
	// the engine time spent on requests that were not served.
	Calls      int     `json:"calls"`
	EngineMS   float64 `json:"engine_ms"`
	WastedMS   float64 `json:"wasted_ms"`
	WaitMS     float64 `json:"wait_ms"`
	UnservedMS float64 `json:"unserved_ms"`
	// Latency is that of the served requests. First is their time to the first
	// event, for streams.
	Latency Quantiles  `json:"latency"`
	First   *Quantiles `json:"first_event,omitempty"`
	latency *hdrhistogram.Histogram
	first   *hdrhistogram.Histogram
}

// Quantiles are latency quantiles in milliseconds.
type Quantiles struct {
	P50  float64 `json:"p50_ms"`
	P90  float64 `json:"p90_ms"`
	P99  float64 `json:"p99_ms"`
	P999 float64 `json:"p999_ms"`
	Max  float64 `json:"max_ms"`
}

// Point is one interval of the timeline. Requests count at their scheduled time.
type Point struct {
	At       time.Duration `json:"at_ns"`
	Sent     int           `json:"sent"`
	Served   int           `json:"served"`
	Attained int           `json:"attained"`
	P50      float64       `json:"p50_ms"`
	P99      float64       `json:"p99_ms"`
	latency  *hdrhistogram.Histogram
}

// Report is the result of a run.
type Report struct {
	Start     time.Time         `json:"start"`
	Total     *Group            `json:"total"`
	Phases    map[string]*Group `json:"phases"`
	Accounts  map[string]*Group `json:"accounts"`
	Routes    map[string]*Group `json:"routes"`
	Timeline  []*Point          `json:"timeline,omitempty"`
	mu        sync.Mutex
	finished  int
	served    int
	phaseEnds []time.Duration
	phases    []string
}

func newReport(c Config) *Report {
	r := &Report{
		Total: newGroup(), Phases: make(map[string]*Group),
		Accounts: make(map[string]*Group), Routes: make(map[string]*Group),
	}
	var end time.Duration
	for _, p := range c.Phases {
		end += p.Duration
		r.phaseEnds = append(r.phaseEnds, end)
		r.phases = append(r.phases, p.Name)
	}
	return r
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestMicros, highestMicros, significantDigits)
}

func newGroup() *Group {
	return &Group{Outcomes: make(map[string]int), Reasons: make(map[string]int), latency: newHistogram(), first: newHistogram()}
}

func (r *Report) add(x *Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.finished++
	if x.Outcome == OutcomeServed {
		r.served++
	}
	r.Total.add(x)
	groupFor(r.Phases, x.Phase).add(x)
	groupFor(r.Accounts, x.Kind.Account).add(x)
	groupFor(r.Routes, x.Kind.Route).add(x)
	r.addToTimeline(x)
}

func groupFor(groups map[string]*Group, name string) *Group {
	g := groups[name]
	if g == nil {
		g = newGroup()
		groups[name] = g
	}
	return g
}

func (g *Group) add(x *Result) {
	g.Sent++
	g.Outcomes[x.Outcome]++
	if x.Outcome != OutcomeServed && x.Reason != "" {
		g.Reasons[x.Reason]++
	}
	for _, c := range x.Costs {
		g.Calls += c.Calls
		g.EngineMS += c.EngineMS
		g.WastedMS += c.WastedMS
		g.WaitMS += c.WaitMS
		if x.Outcome != OutcomeServed {
			g.UnservedMS += c.EngineMS
		}
	}
	if x.Attained() {
		g.Attained++
	}
	if x.Outcome != OutcomeServed {
		return
	}
	_ = g.latency.RecordValue(max(x.Latency().Microseconds(), lowestMicros))
	if !x.First.IsZero() {
		_ = g.first.RecordValue(max(x.First.Sub(x.Due).Microseconds(), lowestMicros))
	}
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	ms := func(v int64) float64 { return float64(v) / 1000 }
	return Quantiles{
		P50: ms(h.ValueAtQuantile(50)), P90: ms(h.ValueAtQuantile(90)), P99: ms(h.ValueAtQuantile(99)),
		P999: ms(h.ValueAtQuantile(99.9)), Max: ms(h.Max()),
	}
}

// addToTimeline records a result in the timeline. The caller holds mu.
func (r *Report) addToTimeline(x *Result) {
	i := int(x.Due.Sub(r.Start) / TimelineInterval)
	for len(r.Timeline) <= i {
		r.Timeline = append(r.Timeline, &Point{At: time.Duration(len(r.Timeline)) * TimelineInterval, latency: newHistogram()})
	}
	p := r.Timeline[i]
	p.Sent++
	if x.Attained() {
		p.Attained++
	}
	if x.Outcome == OutcomeServed {
		p.Served++
		_ = p.latency.RecordValue(max(x.Latency().Microseconds(), lowestMicros))
	}
}

// startProgress calls c.Progress once per second until the returned function is
// called, which also completes the report.
func (r *Report) startProgress(c Config, start time.Time, sent *atomic.Int64) func() {
	done := make(chan struct{})
	var wait sync.WaitGroup
	if c.Progress != nil {
		wait.Go(func() {
			ticker := time.NewTicker(time.Second)
			defer ticker.Stop()
			for {
				select {
				case now := <-ticker.C:
					c.Progress(r.progress(now.Sub(start), int(sent.Load())))
				case <-done:
					return
				}
			}
		})
	}
	return func() {
		close(done)
		wait.Wait()
		r.complete()
	}
}

func (r *Report) progress(elapsed time.Duration, sent int) Progress {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := Progress{Elapsed: elapsed, Sent: sent, Finished: r.finished, Served: r.served}
	for i, end := range r.phaseEnds {
		if elapsed < end {
			p.Phase = r.phases[i]
			break
		}
	}
	return p
}

// complete computes the quantiles.
func (r *Report) complete() {
	groups := []*Group{r.Total}
	for _, m := range []map[string]*Group{r.Phases, r.Accounts, r.Routes} {
		for _, g := range m {
			groups = append(groups, g)
		}
	}
	for _, g := range groups {
		g.Latency = quantiles(g.latency)
		if g.first.TotalCount() > 0 {
			q := quantiles(g.first)
			g.First = &q
		}
	}
	for _, p := range r.Timeline {
		p.P50 = quantiles(p.latency).P50
		p.P99 = quantiles(p.latency).P99
	}
}
