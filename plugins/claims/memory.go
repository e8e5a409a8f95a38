// Package claims ensures that a request with an idempotency key runs at most once.
//
// The module "claims.log" decides by the order of the records on the platform's
// log service. The module "claims.memory" is the baseline: each instance remembers
// only the keys that it has run itself.
package claims

import (
	"context"
	"sync"
	"time"

	"github.com/savoryfold/savoryfold/kernel"
)

func init() {
	kernel.Register(kernel.ModuleInfo{
		ID:    "claims.memory",
		Phase: kernel.PhaseRequest,
		New:   func() kernel.Module { return &Memory{entries: make(map[string]*memoryClaim)} },
	})
}

// Memory implements kernel.Claims within one process.
type Memory struct {
	mu      sync.Mutex
	entries map[string]*memoryClaim // guarded by mu
}

type memoryClaim struct {
	module  *Memory
	key     string
	hash    [32]byte
	done    bool
	inDoubt bool
	answer  kernel.Answer
}

// Claim implements kernel.Claims.
func (m *Memory) Claim(_ context.Context, r kernel.ClaimRequest) kernel.ClaimGrant {
	key := r.Account + "\x00" + r.Route + "\x00" + r.Key
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.entries[key]
	if c == nil {
		c = &memoryClaim{module: m, key: key, hash: r.BodyHash}
		m.entries[key] = c
		return kernel.ClaimGrant{Claim: c}
	}
	return kernel.ClaimGrant{Result: c.retryResult(r)}
}

// retryResult returns the result of another request with the same key.
func (c *memoryClaim) retryResult(r kernel.ClaimRequest) kernel.Result {
	switch {
	case c.hash != r.BodyHash:
		return kernel.Result{Outcome: kernel.Outcome{Kind: kernel.Rejected, Reason: kernel.ReasonKeyReused, Detail: "the key was used with another body"}}
	case c.done:
		return kernel.Result{Outcome: kernel.Outcome{Kind: kernel.Served}, Answer: c.answer, Replayed: true}
	case c.inDoubt:
		return kernel.Result{Outcome: kernel.Outcome{Kind: kernel.Unknown, Reason: kernel.ReasonInDoubt}}
	}
	return kernel.Result{Outcome: kernel.Outcome{Kind: kernel.Unknown, Reason: kernel.ReasonInProgress, RetryAfter: time.Second}}
}

// MayDispatch implements kernel.Claim.
func (c *memoryClaim) MayDispatch(time.Time) bool { return true }

// Release implements kernel.Claim.
func (c *memoryClaim) Release() {
	c.module.mu.Lock()
	defer c.module.mu.Unlock()
	delete(c.module.entries, c.key)
}

// Complete implements kernel.Claim.
func (c *memoryClaim) Complete(_ context.Context, a kernel.Answer) {
	c.module.mu.Lock()
	defer c.module.mu.Unlock()
	c.done = true
	c.answer = a
}

// MarkInDoubt implements kernel.Claim.
func (c *memoryClaim) MarkInDoubt() {
	c.module.mu.Lock()
	defer c.module.mu.Unlock()
	c.inDoubt = true
}
