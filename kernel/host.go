package kernel

import (
	"log/slog"
	"sync/atomic"

	"github.com/rcrowley/go-metrics"

	"github.com/savoryfold/savoryfold/config"
	"github.com/savoryfold/savoryfold/policy"
)

// The parameters of a histogram's sample: its size, and the decay factor that
// gives recent values more weight.
const (
	reservoirSize  = 1028
	reservoirDecay = 0.015
)

// Decisions holds the policies that the settings select.
type Decisions struct {
	Admission policy.Admission
	Placement policy.Placement
	Limits    policy.Limits
	Retry     policy.Retry
	Queues    policy.Queues
	Ejections policy.Ejections
	Rollout   policy.Rollout
}

// ejections returns the selected policy, or NoEjections if there is none.
func (d *Decisions) ejections() policy.Ejections {
	if d.Ejections == nil {
		return policy.NoEjections{}
	}
	return d.Ejections
}

// Host gives modules access to the settings, logs, metrics and, through the
// interfaces of this package, to each other. A field is nil if no module
// implements its interface. All are set before the first module is provisioned
// and do not change afterwards.
type Host struct {
	Settings *config.Settings
	Logger   *slog.Logger
	LogLevel *slog.LevelVar
	Metrics  metrics.Registry
	Instance *Instance
	// StopBudget decides which requests Serve still takes on while the instance stops.
	StopBudget StopBudget

	Decisions       Decisions
	Transport       Transport
	Log             Log
	Config          ConfigSource
	Membership      Membership
	Peers           Peers
	Digests         Digests
	Claims          Claims
	Versions        Versions
	CrashGuard      CrashGuard
	PartGuard       PartGuard
	Borrower        SlotBorrower
	CacheHints      CacheHints
	Catalogs        Catalogs
	SharedState     SharedState
	Fleet           Fleet
	PeerCalls       PeerCalls
	Stages          StageRunner
	LoadFigures     LoadFigures
	ChoiceExplainer ChoiceExplainer
	VersionPicker   VersionPicker
	ServerRates     ServerRates
	Duties          Duties
	UsageMeter      UsageMeter
	Demand          DemandSource
	// ClaimsOperator and Moves are for operators.
	ClaimsOperator ClaimsOperator
	Moves          Moves

	snapshot atomic.Pointer[Snapshot]
	onTables []func(*config.Tables)
	runtime  runtimeState

	requestMetrics    requestMetrics
	requestLogLimiter requestLogLimiter
	suspects          suspects
}

// ID returns the instance's name.
func (h *Host) ID() string { return h.Settings.String("instance", "id") }

// Zone returns the instance's availability zone.
func (h *Host) Zone() string { return h.Settings.String("instance", "zone") }

// Counter returns the counter with the name. The name includes the labels in
// Prometheus form, such as `calls{pool="encode"}`.
func (h *Host) Counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, h.Metrics)
}

// Gauge returns the gauge with the name.
func (h *Host) Gauge(name string) metrics.Gauge {
	return metrics.GetOrRegisterGauge(name, h.Metrics)
}

// Histogram returns the histogram of durations with the name. Its values are in
// nanoseconds; WriteMetrics exports seconds.
func (h *Host) Histogram(name string) metrics.Histogram {
	return metrics.GetOrRegisterHistogram(name, h.Metrics, metrics.NewExpDecaySample(reservoirSize, reservoirDecay))
}

// bind stores a module in every field whose interface it implements.
func (h *Host) bind(m Module) {
	setIfImplements(&h.Decisions.Admission, m)
	setIfImplements(&h.Decisions.Placement, m)
	setIfImplements(&h.Decisions.Limits, m)
	setIfImplements(&h.Decisions.Retry, m)
	setIfImplements(&h.Decisions.Queues, m)
	setIfImplements(&h.Decisions.Ejections, m)
	setIfImplements(&h.Decisions.Rollout, m)
	setIfImplements(&h.Transport, m)
	setIfImplements(&h.Log, m)
	setIfImplements(&h.Config, m)
	setIfImplements(&h.Membership, m)
	setIfImplements(&h.Peers, m)
	setIfImplements(&h.Digests, m)
	setIfImplements(&h.Claims, m)
	setIfImplements(&h.Versions, m)
	setIfImplements(&h.CrashGuard, m)
	setIfImplements(&h.PartGuard, m)
	setIfImplements(&h.Borrower, m)
	setIfImplements(&h.CacheHints, m)
	setIfImplements(&h.Catalogs, m)
	setIfImplements(&h.SharedState, m)
	setIfImplements(&h.Fleet, m)
	setIfImplements(&h.PeerCalls, m)
	setIfImplements(&h.Stages, m)
	setIfImplements(&h.LoadFigures, m)
	setIfImplements(&h.ChoiceExplainer, m)
	setIfImplements(&h.VersionPicker, m)
	setIfImplements(&h.ServerRates, m)
	setIfImplements(&h.Duties, m)
	setIfImplements(&h.UsageMeter, m)
	setIfImplements(&h.Demand, m)
	setIfImplements(&h.ClaimsOperator, m)
	setIfImplements(&h.Moves, m)
}

func setIfImplements[T any](field *T, m Module) {
	if v, ok := m.(T); ok {
		*field = v
	}
}
