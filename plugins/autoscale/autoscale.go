// Package autoscale orders servers from the platform, for services that let this system
// choose the number of their servers.
//
// Every instance reports its demand to the holder of the fleet's duties. The holder adds
// the reports, decides the number for each service and availability zone (policy.Scaler),
// and orders it when it changes. Without such services, or without a module that elects a
// holder, the module does nothing.
package autoscale

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/savoryfold/savoryfold/catalog"
	"github.com/savoryfold/savoryfold/config"
	"github.com/savoryfold/savoryfold/internal/periodic"
	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/policy"
)

const section = "autoscale"

const (
	// decideInterval is the time between two decisions.
	decideInterval = time.Second
	// orderTimeout bounds an order, including the time until the duties make it.
	orderTimeout = 3 * time.Second
)

func init() {
	kernel.Register(kernel.ModuleInfo{
		ID:    "autoscale",
		Phase: kernel.PhaseRequest,
		Settings: []config.Key{
			{Section: section, Name: "target", Kind: config.Float, Default: "0.4", Doc: "part of the servers' slots that requests are to take at most, above 0 up to 1; the rest is for bursts shorter than the start of a server, and for the loss of servers or of an availability zone"},
			{Section: section, Name: "window", Kind: config.Duration, Default: "15s", Doc: "time over which the highest demand decides whether servers are given up; longer than the period of waves in the load"},
		},
		New: func() kernel.Module { return &Autoscale{} },
	})
}

// Autoscale is the module. It is safe for concurrent use.
type Autoscale struct {
	host    *kernel.Host
	target  float64
	window  time.Duration
	rates   demandRates
	cancel  context.CancelFunc
	running sync.WaitGroup
	// ctx ends when the module stops.
	ctx context.Context

	mu      sync.Mutex
	reports map[string]instanceReport // by instance; guarded by mu
	// The rest is kept while this instance is the holder; guarded by mu.
	holds    bool
	subjects map[subjectKey]*subject
	// zones holds the availability zones from which instances have reported.
	zones map[string]bool
	// missing is the number of instances whose demand was unknown at the last decision, by
	// service.
	missing map[string]int
}

// subjectKey is a service in an availability zone, the subject of an order.
type subjectKey struct{ service, zone string }

// subject is the state of a service in an availability zone.
type subject struct {
	scaler policy.Scaler
	// ordering is true while an order is being made.
	ordering bool
	view     policy.ScaleView
	decision policy.ScaleDecision
}

// Provision implements kernel.Provisioner.
func (m *Autoscale) Provision(h *kernel.Host) error {
	m.host = h
	m.target = h.Settings.Float(section, "target")
	m.window = h.Settings.Duration(section, "window")
	m.reports = make(map[string]instanceReport)
	m.reset()
	if m.enabled() {
		h.Duties.OnReport(section, m.collect, m.receive)
	}
	return nil
}

// enabled reports whether the modules that this one needs are active.
func (m *Autoscale) enabled() bool {
	return m.host.Duties != nil && m.host.Demand != nil && m.host.Catalogs != nil
}

// Validate implements kernel.Validator.
func (m *Autoscale) Validate() error {
	if !(m.target > 0 && m.target <= 1) {
		return errors.New("[autoscale] target: want a number above 0, at most 1")
	}
	if m.window < decideInterval {
		return errors.Errorf("[autoscale] window: want %s or more", decideInterval)
	}
	return nil
}

// Start implements kernel.Starter.
func (m *Autoscale) Start(ctx context.Context) error {
	m.ctx, m.cancel = context.WithCancel(ctx)
	if m.enabled() {
		m.running.Go(func() { periodic.Run(m.ctx, decideInterval, m.decide) })
	}
	return nil
}

// Stop implements kernel.Stopper.
func (m *Autoscale) Stop(context.Context) error {
	m.cancel()
	m.running.Wait()
	return nil
}

// reset drops what is known as the holder. The caller holds mu.
func (m *Autoscale) reset() {
	for key := range m.subjects {
		m.publish(key, policy.ScaleView{}, policy.ScaleDecision{})
	}
	m.subjects = make(map[subjectKey]*subject)
	m.zones = make(map[string]bool)
	m.missing = make(map[string]int)
}

// decide decides the number of servers of all services in all zones.
func (m *Autoscale) decide(now time.Time) {
	holds := m.host.Duties.Holds(now)
	view := m.host.Catalogs.Catalog()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.forget(now)
	if m.holds && !holds {
		m.reset()
	}
	m.holds = holds
	if !holds || view == nil {
		return
	}
	known := make(map[subjectKey]bool)
	for name, service := range view.Config.Services {
		if service.Scaling != nil {
			m.decideService(now, view, name, service, known)
		}
	}
	for key := range m.subjects {
		if !known[key] {
			m.publish(key, policy.ScaleView{}, policy.ScaleDecision{})
			delete(m.subjects, key)
		}
	}
}

// decideService decides the number of servers of a service, and adds its subjects to known.
// The caller holds mu.
func (m *Autoscale) decideService(now time.Time, view *catalog.Catalog, name string, service *catalog.Service, known map[subjectKey]bool) {
	views := m.scaleViews(now, view, name, service)
	for zone, v := range views {
		key := subjectKey{name, zone}
		known[key] = true
		s := m.subjects[key]
		if s == nil {
			s = &subject{}
			m.subjects[key] = s
		}
		if s.ordering {
			continue
		}
		limits := policy.ScaleLimits{Min: service.Scaling.Min, Max: service.Scaling.Max, Boot: service.Scaling.Boot, Target: m.target, Window: m.window}
		s.view, s.decision = v, s.scaler.Decide(now, limits, v)
		m.publish(key, s.view, s.decision)
		if s.decision.Order > 0 {
			s.ordering = true
			m.running.Go(func() { m.order(now, key, s) })
		}
	}
}

// publish exports the state of a service in a zone; zero if this instance does not decide
// on it.
func (m *Autoscale) publish(key subjectKey, v policy.ScaleView, d policy.ScaleDecision) {
	labels := `{service="` + key.service + `",zone="` + key.zone + `"}`
	desired := d.Order
	if desired == 0 {
		desired = d.Base
	}
	m.host.Gauge("servers_desired" + labels).Update(int64(desired))
	m.host.Gauge("servers_present" + labels).Update(int64(v.Present))
	m.host.Gauge("server_demand" + labels).Update(int64(v.Running))
}

// order makes the order that was decided on for a subject.
func (m *Autoscale) order(now time.Time, key subjectKey, s *subject) {
	v, d := s.view, s.decision // not changed while an order is being made
	ctx, cancel := context.WithTimeout(m.ctx, orderTimeout)
	defer cancel()
	err := m.host.Duties.OrderServers(ctx, key.service, key.zone, d.Order)
	result := "ok"
	switch {
	case errors.Is(err, kernel.ErrNotHolder):
		result = "not-made"
	case err != nil:
		result = "unknown"
	}
	m.host.Counter(`server_orders{service="` + key.service + `",zone="` + key.zone + `",result="` + result + `"}`).Inc(1)
	log := m.host.Logger.Info
	if err != nil {
		log = m.host.Logger.Warn
	}
	log("order of servers", "service", key.service, "zone", key.zone, "count", d.Order, "before", d.Base, "reason", string(d.Reason),
		"result", result, "error", err, "needed", d.Need, "needed_in_window", d.Peak, "running", v.Running, "refused_per_second", v.Refused,
		"server_time", v.ServerTime, "slots", v.Slots, "present", v.Present, "cold", v.Cold, "draining", v.Draining)
	m.mu.Lock()
	defer m.mu.Unlock()
	s.ordering = false
	if result != "not-made" {
		s.scaler.Ordered(now, d.Order, err == nil)
	}
}

// subjectDump is the state of a service in an availability zone in a dump.
type subjectDump struct {
	Service  string               `json:"service"`
	Zone     string               `json:"zone"`
	View     policy.ScaleView     `json:"view"`
	Decision policy.ScaleDecision `json:"decision"`
}

// Dump implements kernel.Dumper. It is empty at instances that do not hold the duties.
func (m *Autoscale) Dump() any {
	m.mu.Lock()
	defer m.mu.Unlock()
	dumps := []subjectDump{}
	for key, s := range m.subjects {
		dumps = append(dumps, subjectDump{key.service, key.zone, s.view, s.decision})
	}
	slices.SortFunc(dumps, func(a, b subjectDump) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Zone, b.Zone))
	})
	return dumps
}
