package serverrates

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/savoryfold/savoryfold/catalog"
	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/policy"
)

// Grantors publish the limits of their servers, so that instances which have had no
// response of a server ask for a turn as well. A published limit is a hint: its age is
// unknown, so what a response or the grantor says goes before it.

// stateKind is the kind of the shared state that holds the limits of a grantor's
// servers.
const stateKind = "server-rates"

// maxPublishedLimits bounds the limits that one instance publishes.
const maxPublishedLimits = 1000

// serverStart identifies one start of a server.
type serverStart struct {
	id      string
	startMS int64
}

// publishedLimits is what this instance has published.
type publishedLimits struct {
	mu     sync.Mutex
	limits map[serverStart]float64 // guarded by mu
}

// hints holds what the other instances have published, and what an earlier process of
// this instance has.
type hints struct {
	mu         sync.Mutex
	byInstance map[string]publisherHints // guarded by mu
}

type publisherHints struct {
	limits map[serverStart]float64
	// seen is when the publisher was last known to be a member. For an earlier process
	// of this instance it is when its state was read.
	seen time.Time
}

type wireLimit struct {
	Server string  `cbor:"1,keyasint"`
	Start  int64   `cbor:"2,keyasint"`
	Rate   float64 `cbor:"3,keyasint"`
}

// publish publishes the limits of the servers that this instance is the grantor of, if
// they have changed. A limit that it has published it goes on publishing until it ends,
// since the next grantor may not have published it yet.
func (m *Rates) publish(now time.Time) {
	if m.host.SharedState == nil {
		return
	}
	m.hints.mu.Lock()
	defer m.hints.mu.Unlock()
	limits := m.inherited()
	m.published.mu.Lock()
	defer m.published.mu.Unlock()
	for _, r := range *m.servers.Load() {
		key := serverStart{r.server.ID, r.server.StartUnixMilli}
		r.mu.Lock()
		rate := r.limit.Rate()
		r.mu.Unlock()
		_, published := m.published.limits[key]
		if rate > 0 && len(limits) < maxPublishedLimits && (published || m.roster.role(now, m.host, r.server).Rank == 0) {
			limits[key] = rate
		}
	}
	if maps.Equal(limits, m.published.limits) {
		return
	}
	m.published.limits = limits
	m.host.SharedState.PublishState(stateKind, encodeLimits(limits))
}

// inherited returns the limits that an earlier process of this instance has published
// and of which this one knows nothing better. The caller holds hints.mu.
func (m *Rates) inherited() map[serverStart]float64 {
	limits := make(map[serverStart]float64)
	for key, rate := range m.hints.byInstance[m.host.ID()].limits {
		r := (*m.servers.Load())[key.id]
		if r == nil || r.server.StartUnixMilli != key.startMS {
			continue
		}
		r.mu.Lock()
		if !r.limit.Known() {
			limits[key] = rate
		}
		r.mu.Unlock()
	}
	return limits
}

// dropHints drops the hints of instances that have not been members for limitTTL, and
// those of an earlier process of this instance after that time.
func (m *Rates) dropHints(now time.Time) {
	members := m.roster.members(m.host)
	m.hints.mu.Lock()
	defer m.hints.mu.Unlock()
	for instance, h := range m.hints.byInstance {
		isMember := func(member kernel.FleetMember) bool { return member.ID == instance }
		if instance != m.host.ID() && slices.ContainsFunc(members, isMember) {
			h.seen = now
			m.hints.byInstance[instance] = h
		}
		if now.Sub(h.seen) < limitTTL {
			continue
		}
		delete(m.hints.byInstance, instance)
		for key := range h.limits {
			m.applyHint(key, false, instance)
		}
	}
}

func encodeLimits(limits map[serverStart]float64) []byte {
	wire := make([]wireLimit, 0, len(limits))
	for key, rate := range limits {
		wire = append(wire, wireLimit{key.id, key.startMS, rate})
	}
	body, err := cbor.Marshal(wire)
	if err != nil {
		panic("serverrates: encode limits: " + err.Error())
	}
	return body
}

func decodeLimits(body []byte) (map[serverStart]float64, error) {
	var wire []wireLimit
	if err := cbor.Unmarshal(body, &wire); err != nil {
		return nil, errors.Wrap(err, "decode limits")
	}
	if len(wire) > maxPublishedLimits {
		return nil, errors.Errorf("%d limits, at most %d are allowed", len(wire), maxPublishedLimits)
	}
	limits := make(map[serverStart]float64, len(wire))
	for _, w := range wire {
		if !(w.Rate > 0) || w.Rate > policy.MaxRateLimit {
			return nil, errors.Errorf("rate limit %v of server %s", w.Rate, w.Server)
		}
		limits[serverStart{w.Server, w.Start}] = w.Rate
	}
	return limits, nil
}

// mergeHints replaces the hints of an instance.
func (m *Rates) mergeHints(instance string, state []byte) {
	limits, err := decodeLimits(state)
	if err != nil {
		m.host.Counter(`shared_state_errors{kind="` + stateKind + `"}`).Inc(1)
		m.host.Logger.Warn("invalid rate limits", "from", instance, "error", err)
		return
	}
	m.hints.mu.Lock()
	defer m.hints.mu.Unlock()
	if m.hints.byInstance == nil {
		m.hints.byInstance = make(map[string]publisherHints)
	}
	before := m.hints.byInstance[instance].limits
	m.hints.byInstance[instance] = publisherHints{limits, time.Now()}
	if instance == m.host.ID() {
		m.published.mu.Lock()
		m.published.limits = limits
		m.published.mu.Unlock()
	}
	for key := range limits {
		_, known := before[key]
		m.applyHint(key, !known, instance)
	}
	for key := range before {
		if _, ok := limits[key]; !ok {
			m.applyHint(key, false, instance)
		}
	}
}

// applyHints applies the hints of servers that have come into the catalog since the
// hints were read.
func (m *Rates) applyHints() {
	m.hints.mu.Lock()
	defer m.hints.mu.Unlock()
	for instance, h := range m.hints.byInstance {
		for key := range h.limits {
			if r := (*m.servers.Load())[key.id]; r == nil || r.server.StartUnixMilli != key.startMS {
				m.applyHint(key, false, instance)
			}
		}
	}
}

// applyHint sets the hint of a server to the lowest limit that any instance publishes.
// It does nothing for a server that is not in the catalog. If fresh is true, an instance has begun to publish it, so that an earlier response
// without a limit no longer counts. The caller holds hints.mu.
func (m *Rates) applyHint(key serverStart, fresh bool, source string) {
	var rates []float64
	for _, h := range m.hints.byInstance {
		if rate, ok := h.limits[key]; ok {
			rates = append(rates, rate)
		}
	}
	r := (*m.servers.Load())[key.id]
	if r == nil || r.server.StartUnixMilli != key.startMS {
		server := m.serverOf(key)
		if len(rates) == 0 || server == nil {
			return
		}
		r = m.add(server)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.rate()
	r.hint = 0
	if len(rates) > 0 {
		r.hint = slices.Min(rates)
	}
	if fresh && r.limit.Rate() == 0 {
		r.limit = policy.RateLimit{}
	}
	if r.rate() != before {
		m.logChange(r, before, 0, source)
	}
	if r.hint == 0 && r.rate() > 0 {
		m.report(r) // the grantor may know that the limit has ended
	}
}

// serverOf returns a server of the catalog, or nil if it has another start or is not
// there.
func (m *Rates) serverOf(key serverStart) *catalog.Server {
	view := m.host.Catalogs.Catalog()
	if view == nil {
		return nil
	}
	if server := view.Server(key.id); server != nil && server.StartUnixMilli == key.startMS {
		return server
	}
	return nil
}

var _ kernel.ServerRates = (*Rates)(nil)
