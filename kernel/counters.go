package kernel

import (
	"maps"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/rcrowley/go-metrics"
)

// metricFamily is a set of metrics with the same name and different label
// values.
type metricFamily struct {
	name   string
	labels []string // at most two
}

// The metrics of request processing.
var (
	requestsFamily          = &metricFamily{"requests", []string{"route", "outcome"}}
	requestSecondsFamily    = &metricFamily{"request_seconds", []string{"route"}}
	stageEngineFamily       = &metricFamily{"stage_engine_us", []string{"route", "stage"}}
	stageWastedFamily       = &metricFamily{"stage_wasted_us", []string{"route", "stage"}}
	stageTokensFamily       = &metricFamily{"stage_tokens", []string{"route", "stage"}}
	stageCallsFamily        = &metricFamily{"stage_calls", []string{"pool", "result"}}
	retriesFamily           = &metricFamily{"retries", []string{"pool"}}
	retriesRefusedFamily    = &metricFamily{"retries_refused", []string{"pool", "reason"}}
	hedgesFamily            = &metricFamily{"hedges", []string{"pool"}}
	silentConnectionsFamily = &metricFamily{"connections_silent", []string{"pool"}}
	silentServersFamily     = &metricFamily{"servers_silent", []string{"pool"}}
	forwardStageFamily      = &metricFamily{"forward_stage_seconds", []string{"service"}}
	forwardStagesFamily     = &metricFamily{"forward_stages", []string{"service", "result"}}
	sendsFamily             = &metricFamily{"sends", []string{"service", "result"}}
	outcomeReasonsFamily    = &metricFamily{"outcome_reasons", []string{"route", "reason"}}
	admissionDeniedFamily   = &metricFamily{"admission_refused", []string{"reason"}}
)

// metricKey identifies one metric of a family by its label values.
type metricKey struct {
	family        *metricFamily
	first, second string
}

// String returns the metric's name with its labels in Prometheus form.
func (k metricKey) String() string {
	var b strings.Builder
	b.WriteString(k.family.name)
	separator := "{"
	for i, label := range k.family.labels {
		b.WriteString(separator + label + `="` + [...]string{k.first, k.second}[i] + `"`)
		separator = ","
	}
	b.WriteString("}")
	return b.String()
}

// metricCache looks up metrics without building their names. Lookups take no
// lock; the first use of a metric replaces the map by a copy that has it.
type metricCache[M any] struct {
	byKey atomic.Pointer[map[metricKey]M]
	mu    sync.Mutex
}

// get returns the metric with the key, and creates it if it does not exist.
func (c *metricCache[M]) get(h *Host, k metricKey, create func(h *Host, name string) M) M {
	if m := c.byKey.Load(); m != nil {
		if v, ok := (*m)[k]; ok {
			return v
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	next := make(map[metricKey]M)
	if m := c.byKey.Load(); m != nil {
		maps.Copy(next, *m)
	}
	if _, ok := next[k]; !ok {
		next[k] = create(h, k.String())
	}
	c.byKey.Store(&next)
	return next[k]
}

// requestMetrics holds the metrics of request processing.
type requestMetrics struct {
	counters   metricCache[metrics.Counter]
	histograms metricCache[metrics.Histogram]
}

// addCount adds n to the counter of a family with the given label values.
func (h *Host) addCount(f *metricFamily, first, second string, n int64) {
	h.requestMetrics.counters.get(h, metricKey{f, first, second}, (*Host).Counter).Inc(n)
}

// observeDuration adds a duration, in nanoseconds, to the histogram of a family
// with the given label value.
func (h *Host) observeDuration(f *metricFamily, first string, ns int64) {
	h.requestMetrics.histograms.get(h, metricKey{family: f, first: first}, (*Host).Histogram).Update(ns)
}
