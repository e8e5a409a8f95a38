package servicemoves

import (
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/savoryfold/savoryfold/policy"
)

// stateKind is the kind of the shared state that holds the counts of an instance.
const stateKind = "rollout-counts"

// reportInterval is the minimum time between two reports of an instance.
const reportInterval = 400 * time.Millisecond

// reportGrowth is the factor by which the number of requests has to grow for another report,
// if there are no responses of new versions.
const reportGrowth = 1.5

// report holds the counts of one instance in its ongoing rollouts, by service.
type report map[string]serviceReport

type serviceReport struct {
	// Order identifies the rollout.
	Order  uint64                        `cbor:"1,keyasint"`
	Routes map[string]policy.RouteCounts `cbor:"2,keyasint"`
	// Times holds the means of the response times of other versions, by route.
	Times map[string]responseTime `cbor:"3,keyasint,omitempty"`
}

// reports holds the reports of the other instances.
type reports struct {
	mu         sync.Mutex
	byInstance map[string]report // guarded by mu
	// published is the number of responses of new versions in the last published
	// report, publishedSent that of requests, publishedAt its time; guarded by mu.
	published, publishedSent int
	// publishedOrders is the sum of the orders in it, which changes with each rollout.
	publishedOrders uint64
	publishedAt     time.Time
}

// sum returns the counts of the other instances for a rollout, by route.
func (r *reports) sum(service string, order uint64) map[string]policy.RouteCounts {
	r.mu.Lock()
	defer r.mu.Unlock()
	sum := make(map[string]policy.RouteCounts)
	for _, instance := range r.byInstance {
		if s, ok := instance[service]; ok && s.Order == order {
			for route, c := range s.Routes {
				sum[route] = sum[route].Add(c)
			}
		}
	}
	return sum
}

// meanTime returns the mean response time of the other instances.
func (r *reports) meanTime(service, route string, order uint64) (mean responseTime) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, instance := range r.byInstance {
		if s, ok := instance[service]; ok && s.Order == order {
			mean = mean.join(s.Times[route])
		}
	}
	return mean
}

// publishReport publishes the counts of this instance if it has received more
// responses of new versions, has sent many more requests, or a rollout has started.
func (m *Moves) publishReport(now time.Time) {
	if m.host.SharedState == nil {
		return
	}
	out := make(report)
	responses, sent, orders := 0, 0, uint64(0)
	for service, mv := range *m.active.Load() {
		if mv.rolledBack.Load() || mv.completed.Load() {
			continue
		}
		s := serviceReport{Order: mv.command.Order, Routes: make(map[string]policy.RouteCounts), Times: m.times.of(service)}
		orders += s.Order
		mv.mu.Lock()
		for route, c := range mv.counts {
			s.Routes[route] = c
			responses += c.New.Responses
			sent += c.Sent
		}
		mv.mu.Unlock()
		out[service] = s
	}
	m.reports.mu.Lock()
	defer m.reports.mu.Unlock()
	grown := orders != m.reports.publishedOrders || responses != m.reports.published || sent < m.reports.publishedSent || float64(sent) > reportGrowth*float64(m.reports.publishedSent)
	if !grown || now.Sub(m.reports.publishedAt) < reportInterval {
		return
	}
	m.reports.published, m.reports.publishedSent, m.reports.publishedAt = responses, sent, now
	m.reports.publishedOrders = orders
	body, err := cbor.Marshal(out)
	if err != nil {
		panic("servicemoves: report: " + err.Error())
	}
	m.host.SharedState.PublishState(stateKind, body)
}

func decodeReport(state []byte) (report, error) {
	var r report
	if err := cbor.Unmarshal(state, &r); err != nil {
		return nil, errors.Wrap(err, "decode report")
	}
	for service, s := range r {
		for route, c := range s.Routes {
			if !c.Valid() {
				return nil, errors.Errorf("impossible counts of service %s on route %s: %+v", service, route, c)
			}
		}
		for route, t := range s.Times {
			if !t.valid() {
				return nil, errors.Errorf("impossible response time of service %s on route %s: %+v", service, route, t)
			}
		}
	}
	return r, nil
}

// mergeReport replaces the report of another instance. What an earlier process of
// this instance has counted is counted like that of another one.
func (m *Moves) mergeReport(instance string, state []byte) {
	r, err := decodeReport(state)
	if err != nil {
		m.host.Counter(`shared_state_errors{kind="` + stateKind + `"}`).Inc(1)
		m.host.Logger.Warn("invalid report of rollout counts", "from", instance, "error", err)
		return
	}
	m.reports.mu.Lock()
	if m.reports.byInstance == nil {
		m.reports.byInstance = make(map[string]report)
	}
	m.reports.byInstance[instance] = r
	m.reports.mu.Unlock()
	for service, mv := range *m.active.Load() {
		if _, ok := r[service]; ok {
			m.judge(time.Now(), service, mv)
		}
	}
}
