package claims

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/savoryfold/savoryfold/internal/backoff"
	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/policy/claim"
)

// Times of claims.
const (
	// replyMargin is the part of a waiting retry's deadline that is reserved for
	// responding to its caller.
	replyMargin = 25 * time.Millisecond
	// pollInterval is the time between two checks of the log for an outcome that
	// another instance appends.
	pollInterval             = 500 * time.Millisecond
	retryAfterInProgress     = time.Second
	retryAfterLogUnavailable = 2 * time.Second
)

// request is a ClaimRequest in the terms of package claim, with its shard.
type request struct {
	id    claim.ID
	body  claim.Hash
	shard int
}

// Claim implements kernel.Claims.
func (m *Log) Claim(ctx context.Context, r kernel.ClaimRequest) kernel.ClaimGrant {
	start := time.Now()
	grant := m.grant(ctx, r, start)
	m.host.Histogram("claim_seconds").Update(int64(time.Since(start)))
	result := "granted"
	if grant.Claim == nil {
		out := grant.Result.Outcome
		result = string(out.Kind)
		if out.Reason != kernel.ReasonNone {
			result += " " + string(out.Reason)
		}
	}
	m.count("claims", "result", result)
	return grant
}

func (m *Log) grant(ctx context.Context, r kernel.ClaimRequest, now time.Time) kernel.ClaimGrant {
	key, keyTime, err := claim.ParseKey(r.Key)
	switch {
	case err != nil:
		return refuse(kernel.Rejected, kernel.ReasonKeyInvalidOrExpired, "the header Idempotency-Key has to be a UUIDv7")
	case now.Sub(keyTime) > m.rules.Window || keyTime.Sub(now) > m.rules.Skew:
		return refuseKeyTime()
	}
	req := request{id: claim.ID{Account: r.Account, Route: r.Route, Key: key}, body: r.BodyHash}
	req.shard = m.rules.ShardOf(req.id)
	if m.abandoned.has(req.id) {
		return refuse(kernel.Unknown, kernel.ReasonClaimUnknown, "an earlier claim of this key is not settled with the log yet")
	}
	if !m.begin() {
		return refuse(kernel.NotRun, kernel.ReasonLeaving, "this instance is leaving")
	}
	defer m.inFlight.Done()
	return m.acquire(ctx, req, r.Deadline)
}

// acquire claims the key. It tries again when the holder releases the key, and
// returns when the claim has won, the request has another result, or the context
// has ended.
func (m *Log) acquire(ctx context.Context, req request, deadline time.Time) kernel.ClaimGrant {
	for {
		attempt := claim.Attempt(uuid.New())
		f, unconfirmed, err := m.appendEntries(ctx, req.shard, claim.Entry{
			Kind: claim.KindClaim, ID: req.id, Attempt: attempt,
			Origin: &claim.Origin{BodyHash: req.body, Holder: m.host.ID(), Boot: m.boot},
		})
		if err != nil {
			return m.refuseUndecided(req, attempt, err)
		}
		if f.Verdict == claim.Won && m.begin() {
			return kernel.ClaimGrant{Claim: newHeldClaim(m, req, attempt, deadline)}
		}
		if f.Verdict == claim.Won || f.Verdict == claim.Uncovered {
			m.abandonAttempt(req, attempt)
			return refuseLogUnavailable("the log does not reach back far enough to tell whether this request ran")
		}
		if unconfirmed {
			m.revokeAttempt(req, attempt)
		}
		if f.Verdict == claim.Taken && f.Slot.State == claim.Held {
			f = m.await(ctx, req)
		}
		if f.Verdict != claim.Available && f.Verdict != claim.AttemptUsed {
			return m.refuseFinding(f)
		}
		if ctx.Err() != nil {
			return refuse(kernel.NotRun, kernel.ReasonDeadline, "the deadline passed before the claim")
		}
	}
}

// refuseUndecided returns the result for an attempt whose claim got no verdict.
// The attempt never runs.
func (m *Log) refuseUndecided(req request, attempt claim.Attempt, err error) kernel.ClaimGrant {
	if !errors.Is(err, kernel.ErrLogUnavailable) {
		m.abandonAttempt(req, attempt)
	}
	return refuseLogUnavailable("the log that decides on this request is out of reach")
}

// revokeAttempt releases an attempt whose claim may still reach the log, so that
// the claim cannot win later.
func (m *Log) revokeAttempt(req request, attempt claim.Attempt) {
	m.appendUntilConfirmed(req.shard, claim.Entry{Kind: claim.KindRelease, ID: req.id, Attempt: attempt}, func() {})
}

// abandonAttempt releases an attempt. Until the release is on the log, the key
// counts as abandoned at this instance.
func (m *Log) abandonAttempt(req request, attempt claim.Attempt) {
	m.abandoned.add(req.id)
	m.appendUntilConfirmed(req.shard, claim.Entry{Kind: claim.KindRelease, ID: req.id, Attempt: attempt}, func() {
		m.abandoned.remove(req.id)
	})
}

// alive reports whether the process with this boot ID is still a member.
func (m *Log) alive(boot string) bool {
	if boot == m.boot {
		return true
	}
	if m.host.Membership == nil || m.host.Membership.View() == nil {
		return false
	}
	for _, member := range m.host.Membership.View().Members {
		if member.Boot == boot {
			return member.State != kernel.MemberGone
		}
	}
	return false
}

// await waits until the claim that holds the key has ended, its holder is no
// longer a member, or the deadline is near. It returns the state of the key, and
// at the deadline a Finding for a claim in progress.
func (m *Log) await(ctx context.Context, req request) claim.Finding {
	for {
		wait := pollInterval
		if deadline, ok := ctx.Deadline(); ok {
			wait = min(wait, time.Until(deadline)-replyMargin)
		}
		f, err := m.readState(ctx, req, max(0, wait))
		held := err == nil && f.Verdict == claim.Taken && f.Slot.State == claim.Held
		if err == nil && (!held || !m.alive(f.Slot.Origin.Boot)) {
			return f
		}
		if wait <= 0 || ctx.Err() != nil {
			return claim.Finding{Verdict: claim.Taken, Slot: claim.Slot{State: claim.Held, Origin: claim.Origin{Boot: m.boot}}}
		}
		if err != nil {
			backoff.Sleep(ctx, min(wait, backoff.Jitter(pollInterval)))
		}
	}
}

// readState reads the state of a key from the shard's owner, or from the log if
// the owner does not respond. It waits up to the given time while the key is held.
func (m *Log) readState(ctx context.Context, req request, wait time.Duration) (claim.Finding, error) {
	c := readCall{Shard: req.shard, ID: req.id, Body: req.body, WaitMS: wait.Milliseconds()}
	if owner, ok := m.remoteOwner(req.shard); ok {
		r, err := m.callOwner(ctx, owner, methodRead, wait+ownerTimeout, c)
		if err == nil && r.Code == codeOK {
			return r.result()
		}
	}
	return m.readLocal(ctx, c, wait)
}

// readLocal reads the state of a key from this instance's shard state. It waits
// up to the given time while the key is held.
func (m *Log) readLocal(ctx context.Context, c readCall, wait time.Duration) (claim.Finding, error) {
	s := m.shards[c.Shard]
	timer := time.NewTimer(wait)
	defer timer.Stop()
	if !m.circuit.open(time.Now()) {
		_ = s.catchUp(ctx)
	}
	for {
		changed := s.change()
		f, known := s.find(c.ID, claim.Attempt{}, c.Body)
		switch {
		case !known:
			return f, kernel.ErrLogUnavailable
		case f.Verdict != claim.Taken || f.Slot.State != claim.Held:
			return s.fetchEvicted(ctx, f), nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return f, nil
		case <-ctx.Done():
			return f, nil
		}
	}
}
