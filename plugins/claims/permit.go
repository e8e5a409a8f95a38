package claims

import (
	"context"
	"sync"
	"time"

	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/policy/claim"
)

// heldClaim implements kernel.Claim for an attempt that holds the claim on its
// key.
type heldClaim struct {
	module   *Log
	req      request
	attempt  claim.Attempt
	deadline time.Time

	mu    sync.Mutex
	ended bool // guarded by mu
}

// newHeldClaim returns the claim of an attempt. The caller must have called
// Log.begin for it.
func newHeldClaim(m *Log, req request, attempt claim.Attempt, deadline time.Time) *heldClaim {
	return &heldClaim{module: m, req: req, attempt: attempt, deadline: deadline}
}

// MayDispatch implements kernel.Claim. It returns false once the claim has ended,
// and after the deadline by either the monotonic or the wall clock, since one of
// them may stop while the process or its machine is suspended.
func (c *heldClaim) MayDispatch(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	late := now.After(c.deadline) || now.Round(0).After(c.deadline.Round(0))
	if c.ended || late {
		c.module.count("claim_dispatch_refused", "late", boolText(late))
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

// end marks the claim as ended and returns true on the first call.
func (c *heldClaim) end() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	first := !c.ended
	c.ended = true
	return first
}

// Release implements kernel.Claim.
func (c *heldClaim) Release() {
	c.finish(claim.Entry{Kind: claim.KindRelease})
}

// MarkInDoubt implements kernel.Claim.
func (c *heldClaim) MarkInDoubt() {
	c.finish(claim.Entry{Kind: claim.KindDoubt, Why: "the call was sent and its answer did not arrive"})
}

// Complete implements kernel.Claim.
func (c *heldClaim) Complete(ctx context.Context, a kernel.Answer) {
	stored := &claim.Answer{ContentType: a.ContentType, Body: a.Body}
	if len(a.Body)+len(a.ContentType) > c.module.maxAnswer {
		stored = &claim.Answer{Dropped: true}
		c.module.host.Counter("claim_answers_dropped").Inc(1)
	}
	select {
	case <-c.finish(claim.Entry{Kind: claim.KindOutcome, Answer: stored}):
	case <-ctx.Done():
	}
}

// finish ends the claim and appends its entry in the background. The channel is
// closed once the entry is on the log, or at once if the claim had already ended.
// It is never closed if the module stops before.
func (c *heldClaim) finish(e claim.Entry) <-chan struct{} {
	confirmed := make(chan struct{})
	if !c.end() {
		close(confirmed)
		return confirmed
	}
	e.ID, e.Attempt = c.req.id, c.attempt
	c.module.appendUntilConfirmed(c.req.shard, e, func() { close(confirmed) })
	c.module.inFlight.Done()
	return confirmed
}
