package claims

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/policy/claim"
)

// ErrNotInDoubt says that a claim cannot be settled: it has ended, or its
// holder is still at work on it.
var ErrNotInDoubt = errors.New("the claim is not in doubt")

const whyHolderGone = "the instance that held the claim is gone"

// InDoubt implements kernel.ClaimsOperator. It reads all shards.
func (m *Log) InDoubt(ctx context.Context) ([]kernel.ClaimInfo, error) {
	var out []kernel.ClaimInfo
	for _, s := range m.shards {
		if err := s.catchUp(ctx); err != nil {
			return nil, errors.Wrap(err, "claims in doubt")
		}
		for _, slot := range s.unfinished() {
			if m.inDoubt(slot) {
				out = append(out, s.info(slot))
			}
		}
	}
	return out, nil
}

// inDoubt reports whether only an operator can end the claim.
func (m *Log) inDoubt(slot claim.Slot) bool {
	return slot.State == claim.InDoubt || (slot.State == claim.Held && !m.alive(slot.Origin.Boot))
}

func (s *shardLog) info(slot claim.Slot) kernel.ClaimInfo {
	why := slot.Why
	if why == "" {
		why = whyHolderGone
	}
	return kernel.ClaimInfo{
		Shard: s.number, Account: slot.ID.Account, Route: slot.ID.Route, Key: slot.ID.Key,
		Attempt: slot.Attempt.String(), Holder: slot.Origin.Holder, Claimed: slot.Claimed.In(time.UTC), Why: why,
	}
}

// Settle implements kernel.ClaimsOperator.
func (m *Log) Settle(ctx context.Context, c kernel.ClaimInfo, v kernel.Verdict, operator string) error {
	if v != kernel.VerdictRan && v != kernel.VerdictNotRun {
		return errors.Errorf("verdict %q: want %s or %s", v, kernel.VerdictRan, kernel.VerdictNotRun)
	}
	id := claim.ID{Account: c.Account, Route: c.Route, Key: c.Key}
	s := m.shards[m.rules.ShardOf(id)]
	if err := s.catchUp(ctx); err != nil {
		return errors.Wrap(err, "settle")
	}
	slot, ok := s.slotInDoubt(id, c.Attempt)
	if !ok || !m.inDoubt(slot) {
		return ErrNotInDoubt
	}
	settlement := claim.Settlement{Ran: v == kernel.VerdictRan, Operator: operator}
	err := s.submit(ctx, claim.Entry{Kind: claim.KindSettle, ID: id, Attempt: slot.Attempt, Settlement: &settlement})
	if err != nil {
		return errors.Wrap(err, "settle")
	}
	f, _ := s.find(id, claim.Attempt{}, slot.Origin.BodyHash)
	if f.Slot.State != claim.Settled || f.Slot.Verdict != settlement {
		return ErrNotInDoubt
	}
	m.host.Logger.Info("claim settled", "key", id.Key, "route", id.Route, "verdict", string(v), "operator", operator)
	return nil
}

// slotInDoubt returns the unfinished claim of a key. An empty attempt stands
// for any.
func (s *shardLog) slotInDoubt(id claim.ID, attempt string) (claim.Slot, bool) {
	for _, slot := range s.unfinished() {
		if slot.ID == id && (attempt == "" || attempt == slot.Attempt.String()) {
			return slot, true
		}
	}
	return claim.Slot{}, false
}
