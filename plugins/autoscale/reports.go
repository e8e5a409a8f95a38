package autoscale

import (
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/savoryfold/savoryfold/catalog"
	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/policy"
)

const (
	// reportTTL is the age from which on a report is ignored: a few reports.
	reportTTL = 3 * time.Second
	// rateInterval is the shortest time over which an instance takes its rates.
	rateInterval = 500 * time.Millisecond
	// maxReported bounds each number of a report.
	maxReported = 1e6
)

// report is the demand of one instance.
type report struct {
	// Zone is the availability zone of the instance.
	Zone     string                   `cbor:"1,keyasint"`
	Services map[string]serviceReport `cbor:"2,keyasint"`
}

// serviceReport is the demand of one instance for the servers of a service.
type serviceReport struct {
	// Running is the number of requests at servers, by the zone of the server.
	Running map[string]int `cbor:"1,keyasint,omitempty"`
	serviceRates
}

// serviceRates are rates of one instance for a service.
type serviceRates struct {
	// Refused and Served are requests per second, Busy is the server time of the latter, in
	// seconds per second.
	Refused float64 `cbor:"2,keyasint,omitempty"`
	Served  float64 `cbor:"3,keyasint,omitempty"`
	Busy    float64 `cbor:"4,keyasint,omitempty"`
}

// instanceReport is a report as received.
type instanceReport struct {
	report
	at time.Time
}

// demandRates takes rates from the totals of a kernel.DemandSource.
type demandRates struct {
	mu    sync.Mutex
	at    time.Time                       // of totals; guarded by mu
	total map[string]kernel.ServiceDemand // guarded by mu
	rates map[string]serviceRates         // guarded by mu
}

// update returns the rates by service, given the totals at a time.
func (r *demandRates) update(now time.Time, total map[string]kernel.ServiceDemand) map[string]serviceRates {
	r.mu.Lock()
	defer r.mu.Unlock()
	took := now.Sub(r.at)
	if !r.at.IsZero() && took < rateInterval {
		return r.rates
	}
	rates := make(map[string]serviceRates)
	for service, d := range total {
		if old, ok := r.total[service]; ok {
			rates[service] = serviceRates{
				Refused: float64(d.Refused-old.Refused) / took.Seconds(),
				Served:  float64(d.Served-old.Served) / took.Seconds(),
				Busy:    (d.Busy - old.Busy).Seconds() / took.Seconds(),
			}
		}
	}
	r.at, r.total, r.rates = now, total, rates
	return rates
}

// collect returns this instance's report, nil if there is nothing to report.
func (m *Autoscale) collect(now time.Time) []byte {
	demand, ok := m.host.Demand.Demand()
	if !ok || len(demand) == 0 {
		return nil
	}
	rates := m.rates.update(now, demand)
	out := report{Zone: m.host.Zone(), Services: make(map[string]serviceReport)}
	for service, d := range demand {
		out.Services[service] = serviceReport{d.Running, rates[service]}
	}
	body, err := cbor.Marshal(out)
	if err != nil {
		panic("autoscale: report: " + err.Error())
	}
	return body
}

// receive records the report of an instance.
func (m *Autoscale) receive(now time.Time, instance string, data []byte) {
	r, err := decodeReport(data)
	if err != nil {
		m.host.Counter("scale_reports_invalid").Inc(1)
		m.host.Logger.Warn("invalid report of demand", "from", instance, "error", err)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reports[instance] = instanceReport{r, now}
}

func decodeReport(data []byte) (report, error) {
	var r report
	if err := cbor.Unmarshal(data, &r); err != nil {
		return r, errors.Wrap(err, "decode report")
	}
	for service, s := range r.Services {
		numbers := []float64{s.Refused, s.Served, s.Busy}
		for _, n := range s.Running {
			numbers = append(numbers, float64(n))
		}
		if slices.ContainsFunc(numbers, func(x float64) bool { return math.IsNaN(x) || x < 0 || x > maxReported }) {
			return r, errors.Errorf("impossible demand for service %s: %+v", service, s)
		}
	}
	return r, nil
}

// forget drops the reports of instances that have stopped to report. The caller holds mu.
func (m *Autoscale) forget(now time.Time) {
	maps.DeleteFunc(m.reports, func(_ string, r instanceReport) bool { return now.Sub(r.at) >= reportTTL })
}

// complete reports whether the demand of every instance for a service is known, and logs
// changes. The caller holds mu.
func (m *Autoscale) complete(service string) bool {
	members := []kernel.FleetMember{{ID: m.host.ID()}}
	confirmed := true
	if m.host.Fleet != nil {
		members, confirmed = m.host.Fleet.Members(), m.host.Fleet.Confirmed()
	}
	missing, example := 0, ""
	for _, member := range members {
		if _, ok := m.reports[member.ID].Services[service]; !ok {
			missing, example = missing+1, member.ID
		}
	}
	if (missing == 0) != (m.missing[service] == 0) {
		m.host.Logger.Info("instances whose demand is unknown", "service", service, "missing", missing, "of", len(members), "example", example)
	}
	m.missing[service] = missing
	m.host.Gauge(`scale_reports_missing{service="` + service + `"}`).Update(int64(missing))
	return missing == 0 && len(members) > 0 && confirmed
}

// scaleViews returns what is known of a service, by availability zone: those in which it
// has servers, and those in which it had some while this instance held the duties. The
// caller holds mu.
func (m *Autoscale) scaleViews(now time.Time, view *catalog.Catalog, name string, service *catalog.Service) map[string]policy.ScaleView {
	views := make(map[string]policy.ScaleView)
	for key := range m.subjects {
		if key.service == name {
			views[key.zone] = policy.ScaleView{}
		}
	}
	slots, present := 0, 0
	for _, server := range view.Servers(name) {
		v := views[server.Zone]
		switch {
		case server.Draining:
			v.Draining++
		default:
			v.Present++
			present++
			slots += server.Slots
			if server.Cold(now) {
				v.Cold++
			}
		}
		views[server.Zone] = v
	}
	reporting := make(map[string]bool)
	running := make(map[string]int)
	var sum serviceRates
	for _, r := range m.reports {
		reporting[r.Zone], m.zones[r.Zone] = true, true
		s := r.Services[name]
		for zone, n := range s.Running {
			running[zone] += n
		}
		sum.Refused += s.Refused
		sum.Served += s.Served
		sum.Busy += s.Busy
	}
	complete := m.complete(name)
	inService := 0
	for zone, v := range views {
		v.Complete = complete
		v.OutOfService = view.ExcludedZones[zone] || m.zones[zone] && !reporting[zone]
		v.Rollout = rolloutInProgress(view, name)
		v.Running = running[zone]
		v.Slots = slotsOf(service, slots, present)
		if !v.OutOfService {
			inService++
		}
		views[zone] = v
	}
	// A request that was refused could have gone to any zone.
	for zone, v := range views {
		if !v.OutOfService && sum.Served > 0 {
			v.Refused = sum.Refused / float64(inService)
			v.ServerTime = time.Duration(sum.Busy / sum.Served * float64(time.Second))
			views[zone] = v
		}
	}
	return views
}

// slotsOf returns the number of requests that a server runs concurrently, 0 if unknown.
// total is the sum over the servers that are present in all zones.
func slotsOf(service *catalog.Service, total, present int) int {
	if total > 0 {
		return max(1, total/present)
	}
	if service.Engine != nil {
		return service.Engine.Slots
	}
	return 0
}

// rolloutInProgress reports whether the traffic of a service is moving between versions.
func rolloutInProgress(view *catalog.Catalog, service string) bool {
	move := view.Moves[service]
	if move == nil {
		return false
	}
	status, ok := view.Statuses[service]
	return !ok || status.Order != move.Order || status.State == catalog.MoveInProgress
}
