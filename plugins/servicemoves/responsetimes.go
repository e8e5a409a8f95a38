package servicemoves

import (
	"sync"
	"time"
)

const (
	// slowFactor is the multiple of the mean response time of a route above which a
	// response counts as bad.
	slowFactor = 2.5
	// slowMargin is added to that limit: a smaller excess may be due to a busy
	// machine.
	slowMargin = 25 * time.Millisecond
	// minTimeSamples is the number of responses from which on the mean is used.
	minTimeSamples = 5
	// timeWeight is the weight of a new sample in the moving average, after the first
	// samples, which have equal weights.
	timeWeight = 0.05
	// maxTimedRoutes bounds the routes with response times.
	maxTimedRoutes = 16384
)

// serviceRoute is a service on a route.
type serviceRoute struct{ service, route string }

// responseTimes holds the mean response time of each service on each route, except
// for responses of versions that are being rolled out.
type responseTimes struct {
	mu    sync.Mutex
	means map[serviceRoute]responseTime // guarded by mu
}

type responseTime struct {
	mean    time.Duration
	samples int
}

// add records a response. Many more routes than a configuration has are forgotten
// all at once.
func (t *responseTimes) add(service, route string, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.means == nil || len(t.means) >= maxTimedRoutes {
		t.means = make(map[serviceRoute]responseTime)
	}
	key := serviceRoute{service, route}
	r := t.means[key]
	r.samples++
	r.mean += time.Duration(max(timeWeight, 1/float64(r.samples)) * float64(took-r.mean))
	t.means[key] = r
}

// slow reports whether a response took much longer than usual.
func (t *responseTimes) slow(service, route string, took time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.means[serviceRoute{service, route}]
	return r.samples >= minTimeSamples && took > time.Duration(slowFactor*float64(r.mean))+slowMargin
}
