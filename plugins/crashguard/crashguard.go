// Package crashguard refuses requests that crash the servers that run them. It
// shares the evidence with other instances, so that a caller cannot have such a
// request run by sending it to another instance.
package crashguard

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/policy"
)

// digestKind is the kind of the digest that carries crash charges to other
// instances.
const digestKind = "crash"

// maxDigestRecords limits the number of requests in one digest.
const maxDigestRecords = 8

func init() {
	kernel.Register(kernel.ModuleInfo{
		ID:    "crashguard",
		Phase: kernel.PhaseRequest,
		New:   func() kernel.Module { return &Guard{ledger: policy.NewCrashLedger()} },
	})
}

// Guard implements kernel.CrashGuard. It is safe for concurrent use.
type Guard struct {
	host   *kernel.Host
	mu     sync.Mutex
	ledger *policy.CrashLedger // guarded by mu
}

// Provision implements kernel.Provisioner.
func (g *Guard) Provision(h *kernel.Host) error {
	g.host = h
	if h.Digests != nil {
		h.Digests.Source(digestKind, g.digest)
		h.Digests.Sink(digestKind, g.merge)
	}
	return nil
}

// Refuse implements kernel.CrashGuard.
func (g *Guard) Refuse(now time.Time, fingerprint uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ledger.Refuse(now, fingerprint)
}

// Suspect implements kernel.CrashGuard.
func (g *Guard) Suspect(now time.Time, fingerprint uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ledger.Suspect(now, fingerprint)
}

// ConnectionBroken implements kernel.CrashGuard.
func (g *Guard) ConnectionBroken(now, sent time.Time, fingerprint uint64, server string) {
	g.mu.Lock()
	g.ledger.ConnectionBroken(now, sent, fingerprint, xxhash.Sum64String(server))
	refused := g.ledger.Refuse(now, fingerprint)
	g.mu.Unlock()
	g.host.Counter("crash_charges").Inc(1)
	if refused {
		g.host.Logger.Warn("refusing request from now on: servers crashed while they ran it", "fingerprint", fingerprint, "server", server)
	}
}

// Succeeded implements kernel.CrashGuard.
func (g *Guard) Succeeded(now time.Time, fingerprint uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.Succeeded(now, fingerprint)
}

// digest encodes the newest charges for other instances, or returns nil if there
// are none.
func (g *Guard) digest() []byte {
	g.mu.Lock()
	records := g.ledger.Records(time.Now(), maxDigestRecords)
	g.mu.Unlock()
	if len(records) == 0 {
		return nil
	}
	payload, err := cbor.Marshal(records)
	if err != nil {
		panic("crashguard: digest: " + err.Error())
	}
	return payload
}

// merge adds the charges from another instance's digest to the ledger.
func (g *Guard) merge(d kernel.Digest) {
	var records []policy.CrashRecord
	if err := cbor.Unmarshal(d.Payload, &records); err != nil || len(records) > maxDigestRecords {
		g.host.Counter(`digest_errors{kind="crash"}`).Inc(1)
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.Merge(time.Now(), records)
}

// Dump implements kernel.Dumper.
func (g *Guard) Dump() any {
	g.mu.Lock()
	defer g.mu.Unlock()
	return struct {
		Requests int                  `json:"requests"`
		Newest   []policy.CrashRecord `json:"newest"`
	}{g.ledger.Len(), g.ledger.Records(time.Now(), maxDigestRecords)}
}
