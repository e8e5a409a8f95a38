package policy

import (
	"math"
	"time"
)

// rolloutStep is one step of a version rollout.
type rolloutStep struct {
	share float64
	// minProgress is the fraction of the move's time after which the step may
	// begin.
	minProgress float64
	// minGoodCalls is the number of good calls of the new version that the step
	// requires.
	minGoodCalls int64
}

// rolloutSteps starts with a share below 5%, the bound for a version without
// evidence, so that random variation does not exceed the bound.
var rolloutSteps = []rolloutStep{
	{share: 0.03},
	{share: 0.10, minProgress: 0.10, minGoodCalls: 20},
	{share: 0.20, minProgress: 0.20, minGoodCalls: 40},
	{share: 0.40, minProgress: 0.35, minGoodCalls: 80},
	{share: 0.70, minProgress: 0.50, minGoodCalls: 120},
	{share: 1.00, minProgress: 0.70, minGoodCalls: 160},
}

// Bounds of a rollout without evidence under load, while the old version has such
// evidence.
const (
	maxUnloadedShare = 0.40
	// unloadedUntil is the fraction of the move's time during which the share
	// stays at or below maxUnloadedShare until there is evidence under load.
	unloadedUntil = 0.80
	// minLoadedCalls is the minimum number of calls that counts as evidence under
	// load.
	minLoadedCalls = 20
)

// deferredUntil is the fraction of the move's time during which a route waits for
// another one with cheaper traffic.
const deferredUntil = 0.15

// Tolerances of the comparison with the old version, as fractions of the calls.
const (
	failureTolerance = 0.02
	slowTolerance    = 0.15
)

// Bounds of the fault detection.
const (
	// faultThreshold is the log-likelihood ratio at which a difference from the
	// old version counts as a fault. Without a fault, it is reached by chance in
	// about 1 of 1,000 cases.
	faultThreshold = 7
	// minFailures and minSlow are the minimum numbers of failed and of slow calls
	// that count as a fault.
	minFailures = 2
	minSlow     = 5
	// minRateCalls is the minimum number of calls of a version for a known rate of
	// failed or slow calls. With fewer calls the rate counts as 0.
	minRateCalls = 20
)

// The reasons for which a version is rolled back.
const (
	ReasonVersionFails      Reason = "failures"
	ReasonVersionFailsLoad  Reason = "failures-under-load"
	ReasonVersionSlow       Reason = "slow"
	ReasonVersionSlowLoaded Reason = "slow-under-load"
)

// StandardRollout raises the share in steps. Each step requires a minimum progress
// and a number of good calls of the new version on the route. For most of the time
// the share is also bounded until there is evidence under load. The version is
// rolled back as soon as it is significantly worse than the old one.
type StandardRollout struct{}

// Share implements Rollout.
func (r StandardRollout) Share(now time.Time, m Move, e MoveEvidence) float64 {
	progress := m.progress(now)
	if e.RolledBack || progress < 0 || r.deferred(m, progress) {
		return 0
	}
	allowed := max(e.Step, r.AllowedStep(m, e))
	share := 0.0
	for i, step := range rolloutSteps {
		if i <= allowed && progress >= step.minProgress {
			share = step.share
		}
	}
	if progress < unloadedUntil && e.New.LoadedCalls < minLoadedCalls && e.Old.LoadedCalls >= minLoadedCalls {
		share = min(share, maxUnloadedShare)
	}
	return share
}

// deferred reports whether a route still waits for another one to validate the
// version. A route whose requests must not be retried may wait for the whole time
// of its move.
func (StandardRollout) deferred(m Move, progress float64) bool {
	if !m.Deferred {
		return false
	}
	if !m.Retryable {
		return progress < 1
	}
	return progress < deferredUntil
}

// AllowedStep implements Rollout.
func (StandardRollout) AllowedStep(_ Move, e MoveEvidence) int {
	if e.RolledBack || rate(e.New.Failures, e.New.Calls) > rate(e.Old.Failures, e.Old.Calls)+failureTolerance {
		return 0
	}
	good := e.New.Calls - e.New.Failures - e.New.Slow
	allowed := 0
	for i, step := range rolloutSteps {
		if good >= step.minGoodCalls {
			allowed = i
		}
	}
	return allowed
}

// RollBack implements Rollout. After the end of the move, a version is watched for
// another duration of the move.
func (StandardRollout) RollBack(now time.Time, m Move, e MoveEvidence) (Reason, bool) {
	if m.progress(now) > 2 {
		return "", false
	}
	for _, pair := range [...]struct{ old, new VersionEvidence }{{e.LastOld, e.LastNew}, {e.RecentOld, e.RecentNew}, {e.Old, e.New}} {
		if reason, ok := findFault(e.Old, pair.old, pair.new); ok {
			return reason, true
		}
	}
	return "", false
}

// findFault compares the calls of the new version with those of the old one in one
// span of time. The old version's rate is the higher one of that span and of the
// whole move.
func findFault(total, old, newer VersionEvidence) (Reason, bool) {
	tests := [...]struct {
		reason               Reason
		bad, calls           int64
		minBad               int64
		oldBad, oldCalls     int64
		totalBad, totalCalls int64
		tolerance            float64
	}{
		{ReasonVersionFails, newer.Failures, newer.Calls, minFailures, old.Failures, old.Calls, total.Failures, total.Calls, failureTolerance},
		{ReasonVersionFailsLoad, newer.LoadedFailures, newer.LoadedCalls, minFailures, old.LoadedFailures, old.LoadedCalls, total.LoadedFailures, total.LoadedCalls, failureTolerance},
		{ReasonVersionSlow, newer.Slow, newer.Calls, minSlow, old.Slow, old.Calls, total.Slow, total.Calls, slowTolerance},
		{ReasonVersionSlowLoaded, newer.LoadedSlow, newer.LoadedCalls, minSlow, old.LoadedSlow, old.LoadedCalls, total.LoadedSlow, total.LoadedCalls, slowTolerance},
	}
	for _, t := range tests {
		expected := max(rate(t.oldBad, t.oldCalls), rate(t.totalBad, t.totalCalls)) + t.tolerance
		if t.bad >= t.minBad && exceeds(t.bad, t.calls, expected) {
			return t.reason, true
		}
	}
	return "", false
}

// rate returns the fraction of bad calls, or 0 if there are fewer calls than
// minRateCalls.
func rate(bad, calls int64) float64 {
	if calls < minRateCalls {
		return 0
	}
	return float64(bad) / float64(calls)
}

// exceeds reports whether the rate of bad calls is significantly above the expected
// rate, by the log-likelihood ratio of the observed rate against the expected one.
func exceeds(bad, calls int64, expected float64) bool {
	expected = min(expected, 0.95)
	observed := float64(bad) / float64(calls)
	if observed <= expected {
		return false
	}
	divergence := observed * math.Log(observed/expected)
	if observed < 1 {
		divergence += (1 - observed) * math.Log((1-observed)/(1-expected))
	}
	return float64(calls)*divergence >= faultThreshold
}
