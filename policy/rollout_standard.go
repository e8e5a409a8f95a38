package policy

import (
	"math"
	"time"
)

// rolloutStep is one step of a version move.
type rolloutStep struct {
	share float64
	// after is the part of the move's time after which the step may begin.
	after float64
	// calls is the number of the new version's calls that prove it good enough
	// for the step.
	calls int64
}

// rolloutSteps begin below the 5% that a version without evidence may get, so
// that chance does not bring it above.
var rolloutSteps = []rolloutStep{
	{share: 0.03},
	{share: 0.10, after: 0.10, calls: 20},
	{share: 0.20, after: 0.20, calls: 40},
	{share: 0.40, after: 0.35, calls: 80},
	{share: 0.70, after: 0.50, calls: 120},
	{share: 1.00, after: 0.70, calls: 160},
}

// Bounds of a move without evidence under load, while the old version has some.
const (
	unloadedShare = 0.40
	// unloadedUntil is the part of the move's time for which the share waits
	// for evidence under load.
	unloadedUntil = 0.80
	loadedCalls   = 20
)

// behindUntil is the part of the move's time for which a route waits for
// another with cheaper traffic.
const behindUntil = 0.15

// Tolerances of the comparison with the old version, as parts of the calls.
const (
	failureTolerance = 0.02
	slowTolerance    = 0.15
)

// Bounds of the test for a fault.
const (
	// faultEvidence is the log-likelihood ratio at which a difference from the
	// old version counts as a fault: about 1 in 1,000 by chance.
	faultEvidence = 7
	minFailures   = 2
	minSlow       = 5
	// enoughCalls of the old version give its own rate.
	enoughCalls = 20
)

// The reasons for which a version is taken back.
const (
	ReasonVersionFails      Reason = "failures"
	ReasonVersionFailsLoad  Reason = "failures-under-load"
	ReasonVersionSlow       Reason = "slow"
	ReasonVersionSlowLoaded Reason = "slow-under-load"
)

// StandardRollout lets the share grow in steps, each after its time and after
// the new version has proved itself on the route and under load. It takes the
// version back as soon as it is worse than the old one.
type StandardRollout struct{}

// Share implements Rollout.
func (r StandardRollout) Share(now time.Time, m Move, e MoveEvidence) float64 {
	progress := m.progress(now)
	if e.RolledBack || progress < 0 || r.waits(m, progress) {
		return 0
	}
	proved := max(e.Step, r.Proved(m, e))
	share := 0.0
	for i, step := range rolloutSteps {
		if i <= proved && progress >= step.after {
			share = step.share
		}
	}
	if progress < unloadedUntil && e.New.LoadedCalls < loadedCalls && e.Old.LoadedCalls >= loadedCalls {
		share = min(share, unloadedShare)
	}
	return share
}

// waits reports whether a route leaves the start to another one. One whose
// requests may not be repeated waits for its whole time.
func (StandardRollout) waits(m Move, progress float64) bool {
	if !m.Behind {
		return false
	}
	if !m.Repeatable {
		return progress < 1
	}
	return progress < behindUntil
}

// Proved implements Rollout.
func (StandardRollout) Proved(_ Move, e MoveEvidence) int {
	if e.RolledBack || rate(e.New.Failures, e.New.Calls) > rate(e.Old.Failures, e.Old.Calls)+failureTolerance {
		return 0
	}
	good := e.New.Calls - e.New.Failures - e.New.Slow
	proved := 0
	for i, step := range rolloutSteps {
		if good >= step.calls {
			proved = i
		}
	}
	return proved
}

// RollBack implements Rollout. A version is watched for as long after the set
// time as the move took.
func (StandardRollout) RollBack(now time.Time, m Move, e MoveEvidence) (Reason, bool) {
	if m.progress(now) > 2 {
		return "", false
	}
	for _, pair := range [...]struct{ old, new VersionEvidence }{{e.LastOld, e.LastNew}, {e.RecentOld, e.RecentNew}, {e.Old, e.New}} {
		if reason, ok := compare(e.Old, pair.old, pair.new); ok {
			return reason, true
		}
	}
	return "", false
}

// compare looks for a fault of the new version in one span of time. The old
// version's rate is the higher one of that span and of the whole move.
func compare(whole, old, fresh VersionEvidence) (Reason, bool) {
	tests := [...]struct {
		reason            Reason
		bad, calls        int64
		minBad            int64
		oldBad, oldCalls  int64
		longBad, longCall int64
		tolerance         float64
	}{
		{ReasonVersionFails, fresh.Failures, fresh.Calls, minFailures, old.Failures, old.Calls, whole.Failures, whole.Calls, failureTolerance},
		{ReasonVersionFailsLoad, fresh.LoadedFailures, fresh.LoadedCalls, minFailures, old.LoadedFailures, old.LoadedCalls, whole.LoadedFailures, whole.LoadedCalls, failureTolerance},
		{ReasonVersionSlow, fresh.Slow, fresh.Calls, minSlow, old.Slow, old.Calls, whole.Slow, whole.Calls, slowTolerance},
		{ReasonVersionSlowLoaded, fresh.LoadedSlow, fresh.LoadedCalls, minSlow, old.LoadedSlow, old.LoadedCalls, whole.LoadedSlow, whole.LoadedCalls, slowTolerance},
	}
	for _, t := range tests {
		expected := max(rate(t.oldBad, t.oldCalls), rate(t.longBad, t.longCall)) + t.tolerance
		if t.bad >= t.minBad && exceeds(t.bad, t.calls, expected) {
			return t.reason, true
		}
	}
	return "", false
}

// rate is a part of calls, 0 if there are too few to tell.
func rate(bad, calls int64) float64 {
	if calls < enoughCalls {
		return 0
	}
	return float64(bad) / float64(calls)
}

// exceeds reports whether bad of calls is too many for the expected rate, by
// the log-likelihood ratio of the rate seen against the expected one.
func exceeds(bad, calls int64, expected float64) bool {
	expected = min(expected, 0.95)
	seen := float64(bad) / float64(calls)
	if seen <= expected {
		return false
	}
	divergence := seen * math.Log(seen/expected)
	if seen < 1 {
		divergence += (1 - seen) * math.Log((1-seen)/(1-expected))
	}
	return float64(calls)*divergence >= faultEvidence
}
