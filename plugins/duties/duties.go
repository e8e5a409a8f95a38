// Package duties performs the singleton duties of the fleet: calls to the platform that only
// one instance may make at a time. It elects the holder of the duties by a lease that is kept
// in the platform's metadata store, collects the reports that all instances send to the holder,
// and reports the usage of the client accounts.
//
// The lease is a sequence of records in a topic of its own, each appended on condition that
// the topic ends where the writer believes. A holder makes a call only right after it has
// appended a record, so a holder that has lost the lease finds that out before it calls. A few
// instances, chosen by rendezvous hashing, follow the topic and take the lease over; all others
// learn of the holder from the shared state. The design note is docs/design/0080-singleton-duties.md.
//
// The module does nothing unless its settings name duties.
package duties

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"github.com/savoryfold/savoryfold/config"
	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/platform"
	"github.com/savoryfold/savoryfold/policy"
)

const section = "duties"

// stateKind is the kind of the shared state that names a holder.
const stateKind = "duties-holder"

const (
	// storeTimeout bounds a call to the store, without the time that a read waits.
	storeTimeout = 1500 * time.Millisecond
	// rateShare is the share of the platform's rate limit that the holder uses. The rest is
	// left for calls of the holder before it.
	rateShare = 0.8
	// collectShare is the share of the time until a usage report is due for which a window
	// waits for instances that have not reported.
	collectShare = 0.6
)

func init() {
	kernel.Register(kernel.ModuleInfo{
		ID:    "duties",
		Phase: kernel.PhaseRequest,
		Settings: []config.Key{
			{Section: section, Name: "assigned", Kind: config.List, Doc: "duties that the platform assigns to this system, by its names; empty means none"},
			{Section: section, Name: "address", Kind: config.Address, Doc: "address of the platform for duty calls; empty means none"},
			{Section: section, Name: "rate", Kind: config.Float, Default: "50", Doc: "duty calls per second that the platform accepts from all instances together"},
			{Section: section, Name: "store", Kind: config.Address, Doc: "address of the metadata store, which keeps the lease; empty means none"},
			{Section: section, Name: "peer_address", Kind: config.Address, Doc: "address at which this instance accepts reports of other instances; empty means none"},
			{Section: section, Name: "lease", Kind: config.Duration, Default: "3s", Doc: "time without a sign of life of the holder after which another instance takes over, and the minimum time between the calls of two holders"},
			{Section: section, Name: "thaw", Kind: config.Duration, Default: "300ms", Doc: "time after the end of a freeze of a process within which the platform excuses calls from before it"},
			{Section: section, Name: "window", Kind: config.Duration, Default: "5s", Doc: "length of a usage window"},
			{Section: section, Name: "report_within", Kind: config.Duration, Default: "10s", Doc: "time after the end of a usage window until its report is due"},
		},
		New: func() kernel.Module { return &Duties{} },
	})
}

// Duties implements kernel.Duties and kernel.UsageMeter.
type Duties struct {
	host     *kernel.Host
	assigned platform.AssignedDuties
	active   bool
	times    policy.LeaseTimes
	// incarnation identifies this process.
	incarnation string
	peerAddress string
	sections    map[string]reportSection

	store    *platform.StoreClient
	platform *platform.DutiesClient
	limiter  *rate.Limiter

	cancel  context.CancelFunc
	running sync.WaitGroup
	// wake holds a value if the state of the lease may have changed.
	wake chan struct{}
	// calls is held for reading during a call to the platform, and for writing while the
	// lease is released.
	calls sync.RWMutex
	// appends serializes the appends to the topic.
	appends sync.Mutex

	mu    sync.Mutex
	lease *policy.Lease // guarded by mu
	// held is what the logs last stated; guarded by mu.
	held      bool
	since     time.Time              // of the last change of the holder; guarded by mu
	reason    string                 // of that change; guarded by mu
	holder    holder                 // the latest known one; guarded by mu
	stopped   bool                   // the lease is not taken again; guarded by mu
	collector *policy.UsageCollector // guarded by mu
	pending   *usageReport           // fixed, not yet accepted by the platform; guarded by mu
	// unsure is true if windows that have ended may have been reported although the store has no
	// record of it: it was restored from an older copy; guarded by mu.
	unsure     bool
	accepted   int64     // the last window that the platform has accepted; guarded by mu
	pausedTill time.Time // the platform has asked to wait; guarded by mu
	late       lateUsage // not logged yet; guarded by mu

	ledgerMu sync.Mutex
	ledger   *policy.UsageLedger // guarded by ledgerMu
}

// holder names a holder of the duties.
type holder struct {
	Token       uint64 `cbor:"1,keyasint"`
	Instance    string `cbor:"2,keyasint"`
	Address     string `cbor:"3,keyasint"`
	Incarnation string `cbor:"4,keyasint"`
}

// Provision implements kernel.Provisioner.
func (m *Duties) Provision(h *kernel.Host) error {
	m.host = h
	var unknown []string
	m.assigned, unknown = platform.ParseDuties(h.Settings.Words(section, "assigned"))
	if len(unknown) > 0 {
		h.Logger.Warn("unknown duties are not performed", "duties", unknown)
	}
	address, store := h.Settings.String(section, "address"), h.Settings.String(section, "store")
	m.active = (m.assigned.Usage || m.assigned.Scaling) && address != "" && store != ""
	if !m.active {
		return nil
	}
	m.incarnation = uuid.NewString()
	m.peerAddress = h.Settings.String(section, "peer_address")
	m.wake = make(chan struct{}, 1)
	m.times = policy.NewLeaseTimes(h.Settings.Duration(section, "lease"), h.Settings.Duration(section, "thaw"))
	m.lease = policy.NewLease(policy.LeaseRecord{Instance: h.ID(), Address: m.peerAddress, Incarnation: m.incarnation}, m.times)
	m.ledger = policy.NewUsageLedger(h.Settings.Duration(section, "window"))
	m.collector = policy.NewUsageCollector(time.Duration(collectShare * float64(h.Settings.Duration(section, "report_within"))))
	m.store = platform.NewStoreClient(store, storeTimeout)
	m.store.OnCall(func(call string) { h.Counter(`duty_store_calls{call="` + call + `"}`).Inc(1) })
	m.platform = platform.NewDutiesClient(address, m.times.CallEnd, m.times.Undelivered, func() bool { _, ok := m.mayCall(); return ok })
	perSecond := rateShare * h.Settings.Float(section, "rate")
	m.limiter = rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
	if h.PeerCalls != nil {
		h.PeerCalls.HandlePeer(reportPath, m.serveReport)
	}
	if h.SharedState != nil {
		h.SharedState.OnState(stateKind, m.learnHolder)
	}
	return nil
}

// Validate implements kernel.Validator.
func (m *Duties) Validate() error {
	if !m.active {
		return nil
	}
	s := m.host.Settings
	switch {
	case s.Duration(section, "lease") < time.Second:
		return errors.New("[duties] lease: want 1s or more")
	case s.Duration(section, "thaw") < time.Millisecond:
		return errors.New("[duties] thaw: want 1ms or more")
	case s.Duration(section, "window") < time.Second:
		return errors.New("[duties] window: want 1s or more")
	case s.Duration(section, "report_within") <= 0:
		return errors.New("[duties] report_within: want more than 0")
	case !(s.Float(section, "rate") > 0):
		return errors.New("[duties] rate: want more than 0")
	}
	return nil
}

// Start implements kernel.Starter. It does not wait for the store.
func (m *Duties) Start(ctx context.Context) error {
	if !m.active {
		return nil
	}
	ctx, m.cancel = context.WithCancel(ctx)
	m.running.Go(func() { m.runLease(ctx) })
	m.running.Go(func() { m.runReports(ctx) })
	if m.assigned.Usage {
		m.running.Go(func() { m.runUsage(ctx) })
	}
	return nil
}

// PrepareStop implements kernel.StopPreparer. The lease is released, so that another instance
// can take it before its term has passed.
func (m *Duties) PrepareStop() {
	if !m.active {
		return
	}
	m.mu.Lock()
	m.stopped = true
	m.mu.Unlock()
	m.signal()
}

// Stop implements kernel.Stopper. It states the last counts to the holder.
func (m *Duties) Stop(ctx context.Context) error {
	if m.cancel == nil {
		return nil
	}
	m.sendReport(ctx, time.Now(), true)
	m.cancel()
	m.running.Wait()
	m.store.Close()
	m.platform.Close()
	return nil
}

func (m *Duties) signal() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// Holds implements kernel.Duties.
func (m *Duties) Holds(now time.Time) bool {
	if !m.active {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lease.Holds(now)
}

// learnHolder takes the state in which an instance has named itself the holder.
func (m *Duties) learnHolder(instance string, state []byte) {
	h, err := decodeHolder(state)
	if err != nil {
		m.host.Counter(`shared_state_errors{kind="` + stateKind + `"}`).Inc(1)
		m.host.Logger.Warn("invalid state of a holder of the duties", "from", instance, "error", err)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.noteHolder(time.Now(), h, "shared state")
}

// noteHolder records a holder if it is later than the known one. The caller holds mu.
func (m *Duties) noteHolder(now time.Time, h holder, reason string) {
	if h.Token <= m.holder.Token || h.Token > policy.MaxLeaseToken {
		return
	}
	m.lease.LearnToken(now, h.Token)
	m.holder, m.since, m.reason = h, now, reason
	m.host.Gauge("duties_token").Update(int64(h.Token))
	m.host.Logger.Info("holder of the duties changed", "holder", h.Instance, "address", h.Address, "incarnation", h.Incarnation, "token", h.Token, "reason", reason)
}

// noteLease publishes and logs a change of this instance's lease. The caller holds mu.
func (m *Duties) noteLease(now time.Time, reason string) {
	held := m.lease.Mine()
	latest := m.lease.Latest()
	if latest.Incarnation != "" {
		m.noteHolder(now, holder{latest.Token, latest.Instance, latest.Address, latest.Incarnation}, reason)
	}
	if held == m.held {
		return
	}
	m.held = held
	if !held {
		m.since, m.reason = now, reason
		m.host.Gauge("duties_held").Update(0)
		m.host.Counter(`duty_lease_changes{change="lost"}`).Inc(1)
		m.host.Logger.Info("this instance no longer holds the duties", "token", m.lease.Highest(), "reason", reason)
		return
	}
	m.host.Gauge("duties_held").Update(1)
	m.host.Counter(`duty_lease_changes{change="acquired"}`).Inc(1)
	m.host.Logger.Info("this instance holds the duties", "token", latest.Token, "calls_in", max(0, m.lease.NotBefore().Sub(now)), "reason", reason)
	if m.host.SharedState != nil {
		m.host.SharedState.PublishState(stateKind, encode(m.holder))
	}
}

// Dump implements kernel.Dumper.
func (m *Duties) Dump() any {
	type dump struct {
		Holder    string    `json:"holder,omitempty"`
		Address   string    `json:"address,omitempty"`
		Token     uint64    `json:"token"`
		Since     time.Time `json:"since"`
		Reason    string    `json:"reason,omitempty"`
		Holds     bool      `json:"holds"`
		CallsFrom time.Time `json:"calls_from"`
		// FixedWindow is the last window whose usage report is fixed, AcceptedWindow the last
		// one that the platform has accepted from this instance, PendingWindow the one that it
		// has not.
		FixedWindow    int64 `json:"fixed_window"`
		AcceptedWindow int64 `json:"accepted_window,omitempty"`
		PendingWindow  int64 `json:"pending_window,omitempty"`
	}
	if !m.active {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	d := dump{
		Holder: m.holder.Instance, Address: m.holder.Address, Token: m.holder.Token, Since: m.since, Reason: m.reason,
		Holds: m.lease.Holds(time.Now()), CallsFrom: m.lease.NotBefore(), FixedWindow: m.collector.Fixed(), AcceptedWindow: m.accepted,
	}
	if m.pending != nil {
		d.PendingWindow = m.pending.Window
	}
	return d
}

var (
	_ kernel.Duties     = (*Duties)(nil)
	_ kernel.UsageMeter = (*Duties)(nil)
)
