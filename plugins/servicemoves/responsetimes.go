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

// responseTime is a mean of response times. It is part of reports.
type responseTime struct {
	Mean    time.Duration `cbor:"1,keyasint"`
	Samples int           `cbor:"2,keyasint"`
}

// valid reports whether the mean is possible.
func (r responseTime) valid() bool { return r.Mean >= 0 && r.Samples >= 0 }

// join returns the mean over the samples of two means.
func (r responseTime) join(o responseTime) responseTime {
	n := r.Samples + o.Samples
	if n == 0 {
		return responseTime{}
	}
	mean := (float64(r.Mean)*float64(r.Samples) + float64(o.Mean)*float64(o.Samples)) / float64(n)
	return responseTime{time.Duration(mean), n}
}

// known reports whether there are enough samples to compare with.
func (r responseTime) known() bool { return r.Samples >= minTimeSamples }

// slow reports whether a response took much longer than the mean.
func (r responseTime) slow(took time.Duration) bool {
	return r.known() && took > time.Duration(slowFactor*float64(r.Mean))+slowMargin
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
	r.Samples++
	r.Mean += time.Duration(max(timeWeight, 1/float64(r.Samples)) * float64(took-r.Mean))
	t.means[key] = r
}

// get returns the mean of a service on a route.
func (t *responseTimes) get(service, route string) responseTime {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.means[serviceRoute{service, route}]
}

// of returns the means of a service by route.
func (t *responseTimes) of(service string) map[string]responseTime {
	t.mu.Lock()
	defer t.mu.Unlock()
	means := make(map[string]responseTime)
	for key, r := range t.means {
		if key.service == service {
			means[key.route] = r
		}
	}
	return means
}
