package claims

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/policy/claim"
)

// ErrNotInDoubt is returned for a claim that cannot be settled: it has ended, or
// its holder may still be running the request.
var ErrNotInDoubt = errors.New("the claim is not in doubt")

// operatorTimeout limits one call to a shard's owner for an operator.
const operatorTimeout = 10 * time.Second

const whyHolderGone = "the instance that held the claim is gone"

// InDoubt implements kernel.ClaimsOperator. It queries the owners of all shards.
func (m *Log) InDoubt(ctx context.Context) ([]kernel.ClaimInfo, error) {
	var out []kernel.ClaimInfo
	for n := range m.shards {
		slots, err := m.unfinished(ctx, n)
		if err != nil {
			return nil, errors.Wrap(err, "claims in doubt")
		}
		for _, slot := range slots {
			if m.inDoubt(slot) {
				out = append(out, claimInfo(n, slot))
			}
		}
	}
	return out, nil
}

// unfinished returns the unfinished claims of a shard from its owner or, if the
// owner cannot be called, from this instance's shard state.
func (m *Log) unfinished(ctx context.Context, shard int) ([]claim.Slot, error) {
	if owner, ok := m.remoteOwner(shard); ok {
		r, err := m.callOwner(ctx, owner, methodUnfinished, operatorTimeout, unfinishedCall{Shard: shard})
		if err == nil && r.Code == codeOK {
			return r.Unfinished, nil
		}
	}
	return m.unfinishedLocal(ctx, shard)
}

func (m *Log) unfinishedLocal(ctx context.Context, shard int) ([]claim.Slot, error) {
	s := m.shards[shard]
	if err := s.catchUp(ctx); err != nil {
		return nil, err
	}
	return s.unfinished(), nil
}

// inDoubt reports whether only an operator can end the claim.
func (m *Log) inDoubt(slot claim.Slot) bool {
	return slot.State == claim.InDoubt || (slot.State == claim.Held && !m.alive(slot.Origin.Boot))
}

func claimInfo(shard int, slot claim.Slot) kernel.ClaimInfo {
	why := slot.Why
	if why == "" {
		why = whyHolderGone
	}
	return kernel.ClaimInfo{
		Shard: shard, Account: slot.ID.Account, Route: slot.ID.Route, Key: slot.ID.Key,
		Attempt: slot.Attempt.String(), Holder: slot.Origin.Holder, Claimed: slot.Claimed.In(time.UTC), Why: why,
	}
}

// Settle implements kernel.ClaimsOperator.
func (m *Log) Settle(ctx context.Context, c kernel.ClaimInfo, v kernel.Verdict, operator string) error {
	if v != kernel.VerdictRan && v != kernel.VerdictNotRun {
		return errors.Errorf("verdict %q: want %s or %s", v, kernel.VerdictRan, kernel.VerdictNotRun)
	}
	req := request{id: claim.ID{Account: c.Account, Route: c.Route, Key: c.Key}}
	req.shard = m.rules.ShardOf(req.id)
	slots, err := m.unfinished(ctx, req.shard)
	if err != nil {
		return errors.Wrap(err, "settle")
	}
	i := slices.IndexFunc(slots, func(s claim.Slot) bool {
		return s.ID == req.id && (c.Attempt == "" || c.Attempt == s.Attempt.String())
	})
	if i < 0 || !m.inDoubt(slots[i]) {
		return ErrNotInDoubt
	}
	req.body = slots[i].Origin.BodyHash
	return m.settle(ctx, req, slots[i].Attempt, claim.Settlement{Ran: v == kernel.VerdictRan, Operator: operator})
}

// settle appends a settlement and checks that it took effect.
func (m *Log) settle(ctx context.Context, req request, a claim.Attempt, v claim.Settlement) error {
	_, _, err := m.appendEntries(ctx, req.shard, claim.Entry{Kind: claim.KindSettle, ID: req.id, Attempt: a, Settlement: &v})
	if err != nil {
		return errors.Wrap(err, "settle")
	}
	f, err := m.readState(ctx, req, 0)
	if err != nil {
		return errors.Wrap(err, "settle")
	}
	if f.Slot.State != claim.Settled || f.Slot.Settlement != v {
		return ErrNotInDoubt
	}
	m.host.Logger.Info("claim settled", "key", req.id.Key, "route", req.id.Route, "ran", v.Ran, "operator", v.Operator)
	return nil
}
