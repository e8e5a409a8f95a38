// Package partguard refuses requests with a part of a prompt that crashes the servers
// that begin to respond to it, and requests that come again unchanged and crash the
// servers that run them. It shares the evidence with other instances, since such requests
// come at any instance, and each crash is seen by few.
package partguard

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/savoryfold/savoryfold/internal/periodic"
	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/policy"
)

// stateKind is the kind of the shared state that holds the report of an instance.
const stateKind = "crash-parts"

const (
	// updateInterval is the time between two updates of the published report and of
	// the refused parts, if nothing urgent happens.
	updateInterval = time.Second
	// replyDelay is the longest delay of a reply to other instances' reports. Another
	// instance may reply the same meanwhile.
	replyDelay = 200 * time.Millisecond
)

func init() {
	kernel.Register(kernel.ModuleInfo{
		ID:    "partguard",
		Phase: kernel.PhaseRequest,
		New:   func() kernel.Module { return newGuard() },
	})
}

// Guard implements kernel.PartGuard. It is safe for concurrent use.
type Guard struct {
	host     *kernel.Host
	refusals atomic.Pointer[policy.PartRefusals] // replaced as a whole
	cancel   context.CancelFunc
	running  sync.WaitGroup

	mu        sync.Mutex
	ledger    *policy.PartLedger // guarded by mu
	suspects  []uint64           // parts of refusals; guarded by mu
	owned     policy.Ownership   // of suspects; guarded by mu
	published []byte             // the last published report; guarded by mu
}

func newGuard() *Guard {
	g := &Guard{ledger: policy.NewPartLedger(), published: encodeReport(policy.PartReport{})}
	g.refusals.Store(&policy.PartRefusals{})
	return g
}

// Provision implements kernel.Provisioner.
func (g *Guard) Provision(h *kernel.Host) error {
	g.host = h
	if h.SharedState != nil {
		h.SharedState.OnState(stateKind, g.merge)
	}
	return nil
}

// Start implements kernel.Starter.
func (g *Guard) Start(ctx context.Context) error {
	ctx, g.cancel = context.WithCancel(ctx)
	// Charges expire, and successes make charges obsolete.
	g.running.Go(func() { periodic.Run(ctx, updateInterval, g.update) })
	return nil
}

// Stop implements kernel.Stopper.
func (g *Guard) Stop(context.Context) error {
	g.cancel()
	g.running.Wait()
	return nil
}

// RefuseParts implements kernel.PartGuard.
func (g *Guard) RefuseParts(parts []uint64) bool { return g.refusals.Load().Refuse(parts) }

// TryRequest implements kernel.PartGuard.
func (g *Guard) TryRequest(now time.Time, parts []uint64) bool {
	if !g.refusals.Load().TrialDue(now, parts) {
		return false
	}
	whole := parts[len(parts)-1]
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.owns(whole) || !g.owned.Settled(now, whole) || !g.ledger.Refusals(now).TrialDue(now, parts) {
		return false
	}
	g.ledger.Tried(now, whole)
	g.updateRefusals(now)
	g.host.Counter("crash_trials").Inc(1)
	g.host.Logger.Info("trying a refused request", "fingerprint", whole)
	return true
}

// owns reports whether this instance is the one that tries a refused request.
func (g *Guard) owns(whole uint64) bool {
	fleet := g.host.Fleet
	return fleet == nil || fleet.Confirmed() && partOwner(whole, fleet.Members()) == g.host.ID()
}

// partOwner returns the ID of the member that tries requests that are refused because of a
// part.
func partOwner(part uint64, members []kernel.FleetMember) string {
	everyone := func(kernel.FleetMember) bool { return true }
	return kernel.FleetOwner(strconv.FormatUint(part, 16), members, everyone).ID
}

// PartsCrashed implements kernel.PartGuard.
func (g *Guard) PartsCrashed(now, sent time.Time, parts []uint64, server string) {
	g.mu.Lock()
	g.ledger.Crashed(now, sent, parts, xxhash.Sum64String(server))
	g.mu.Unlock()
	g.host.Counter("crash_part_charges").Inc(int64(len(parts)))
	g.host.Logger.Info("server crashed while it ran a request", "server", server, "parts", parts)
	g.update(now)
}

// PartsSucceeded implements kernel.PartGuard.
func (g *Guard) PartsSucceeded(now time.Time, parts []uint64) {
	g.mu.Lock()
	report := g.ledger.Succeeded(now, parts)
	g.mu.Unlock()
	if report {
		g.update(now)
	}
}

// update replaces the refusals and publishes the report if it has changed.
func (g *Guard) update(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.updateRefusals(now)
	report := encodeReport(g.ledger.Report(now))
	if g.host.SharedState == nil || string(report) == string(g.published) {
		return
	}
	g.published = report
	g.host.SharedState.PublishState(stateKind, report)
}

// updateRefusals replaces the refusals. The caller holds mu.
func (g *Guard) updateRefusals(now time.Time) {
	refusals := g.ledger.Refusals(now)
	suspects := refusals.Parts()
	if !slices.Equal(suspects, g.suspects) {
		g.host.Logger.Warn("refused parts of requests changed: servers crashed when they ran them", "parts", suspects, "before", g.suspects)
		g.host.Gauge("crash_parts_refused").Update(int64(len(suspects)))
	}
	g.suspects = suspects
	g.owned = g.owned.Next(now, slices.DeleteFunc(slices.Clone(suspects), func(part uint64) bool { return !g.owns(part) }))
	g.refusals.Store(&refusals)
}

// merge adds the report of an instance to the ledger.
func (g *Guard) merge(instance string, state []byte) {
	report, err := decodeReport(state)
	if err != nil {
		g.host.Counter(`shared_state_errors{kind="` + stateKind + `"}`).Inc(1)
		g.host.Logger.Warn("invalid report of crashes", "from", instance, "error", err)
		return
	}
	now := time.Now()
	g.mu.Lock()
	reply := g.ledger.Merge(now, report, instance == g.host.ID())
	g.updateRefusals(now)
	g.mu.Unlock()
	if reply {
		time.AfterFunc(rand.N(replyDelay), func() { g.update(time.Now()) })
	}
}

// Dump implements kernel.Dumper.
func (g *Guard) Dump() any {
	g.mu.Lock()
	defer g.mu.Unlock()
	return struct {
		Suspects []uint64          `json:"suspects"`
		Report   policy.PartReport `json:"report"`
	}{g.suspects, g.ledger.Report(time.Now())}
}

// wireReport is a policy.PartReport as published. Times are Unix milliseconds.
type wireReport struct {
	Charges   []wireCharge  `cbor:"1,keyasint,omitempty"`
	Successes []wireSuccess `cbor:"2,keyasint,omitempty"`
}

type wireCharge struct {
	Part        uint64 `cbor:"1,keyasint"`
	Server      uint64 `cbor:"2,keyasint"`
	AtUnixMilli int64  `cbor:"3,keyasint"`
	Independent bool   `cbor:"4,keyasint,omitempty"`
	Repeat      int    `cbor:"5,keyasint,omitempty"`
}

type wireSuccess struct {
	Part        uint64 `cbor:"1,keyasint"`
	AtUnixMilli int64  `cbor:"2,keyasint"`
}

func encodeReport(r policy.PartReport) []byte {
	var w wireReport
	for _, record := range r.Charges {
		for _, c := range record.Charges {
			w.Charges = append(w.Charges, wireCharge{record.Fingerprint, c.Server, c.At.UnixMilli(), c.Independent, c.Repeat})
		}
	}
	for _, s := range r.Successes {
		w.Successes = append(w.Successes, wireSuccess{s.Part, s.At.UnixMilli()})
	}
	body, err := cbor.Marshal(w)
	if err != nil {
		panic("partguard: report: " + err.Error())
	}
	return body
}

// maxWireCharges bounds the charges in a report.
const maxWireCharges = policy.MaxPartReports * policy.MaxPartCharges

// decodeReport decodes a report. Each charge becomes a record of its own.
func decodeReport(body []byte) (policy.PartReport, error) {
	var w wireReport
	if err := cbor.Unmarshal(body, &w); err != nil {
		return policy.PartReport{}, errors.Wrap(err, "decode report")
	}
	if len(w.Charges) > maxWireCharges || len(w.Successes) > policy.MaxPartReports {
		return policy.PartReport{}, errors.Errorf("report with %d charges and %d successes", len(w.Charges), len(w.Successes))
	}
	var r policy.PartReport
	for _, c := range w.Charges {
		r.Charges = append(r.Charges, policy.CrashRecord{Fingerprint: c.Part, Charges: []policy.CrashCharge{{Server: c.Server, At: time.UnixMilli(c.AtUnixMilli), Independent: c.Independent, Repeat: c.Repeat}}})
	}
	for _, s := range w.Successes {
		r.Successes = append(r.Successes, policy.PartSuccess{Part: s.Part, At: time.UnixMilli(s.AtUnixMilli)})
	}
	return r, nil
}
