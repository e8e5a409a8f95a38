package claims

import (
	"context"
	"sync"
	"time"

	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/policy/claim"
)

// heldClaim implements kernel.Claim for an attempt that won its key.
type heldClaim struct {
	module   *Log
	req      request
	attempt  claim.Attempt
	deadline time.Time

	mu    sync.Mutex
	ended bool // guarded by mu
}

// newHeldClaim makes the permit of an attempt. The module was entered for it.
func newHeldClaim(m *Log, req request, attempt claim.Attempt, deadline time.Time) *heldClaim {
	return &heldClaim{module: m, req: req, attempt: attempt, deadline: deadline}
}

// MayDispatch implements kernel.Claim. It refuses once the claim has ended, and
// past the deadline by the monotonic or the wall clock, of which one may stand
// still while the process or its machine is suspended.
func (p *heldClaim) MayDispatch(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	late := now.After(p.deadline) || now.Round(0).After(p.deadline.Round(0))
	if p.ended || late {
		p.module.count("claim_dispatch_refused", "late", boolText(late))
		return false
	}
	return true
}

func boolText(b bool) string {
	if b {
		return "true"
	}
	return "false"
}

// end marks the permit as ended and reports whether it was not before.
func (p *heldClaim) end() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	first := !p.ended
	p.ended = true
	return first
}

// Release implements kernel.Claim.
func (p *heldClaim) Release() {
	p.finish(claim.Entry{Kind: claim.KindRelease})
}

// Doubt implements kernel.Claim.
func (p *heldClaim) Doubt() {
	p.finish(claim.Entry{Kind: claim.KindDoubt, Why: "the call was sent and its answer did not arrive"})
}

// Complete implements kernel.Claim.
func (p *heldClaim) Complete(ctx context.Context, a kernel.Answer) {
	kept := &claim.Answer{ContentType: a.ContentType, Body: a.Body}
	if len(a.Body)+len(a.ContentType) > p.module.maxAnswer {
		kept = &claim.Answer{Dropped: true}
		p.module.host.Counter("claim_answers_dropped").Inc(1)
	}
	select {
	case <-p.finish(claim.Entry{Kind: claim.KindOutcome, Answer: kept}):
	case <-ctx.Done():
	}
}

// finish has the entry that ends the claim appended. The channel is closed once
// it is on the log.
func (p *heldClaim) finish(e claim.Entry) <-chan struct{} {
	landed := make(chan struct{})
	if !p.end() {
		close(landed)
		return landed
	}
	e.ID, e.Attempt = p.req.id, p.attempt
	p.module.appendUntilConfirmed(p.req.shard, e, func() { close(landed) })
	p.module.inFlight.Done()
	return landed
}
