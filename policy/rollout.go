package policy

import "time"

// Move is a planned rollout. It moves a route's traffic from one version to
// another between Start and By.
type Move struct {
	Route    string
	From, To string
	Start    time.Time
	By       time.Time
	// Retryable is true if every stage of the route is idempotent.
	Retryable bool
	// Deferred is true while this route waits for another route to validate the
	// same version. The traffic of that route is cheaper or safer to retry.
	Deferred bool
}

// progress returns the fraction of the move's time that has passed. It is
// negative before the start and above 1 after the end. It is always 1 if By is not
// after Start.
func (m Move) progress(now time.Time) float64 {
	length := m.By.Sub(m.Start)
	if length <= 0 {
		return 1
	}
	return float64(now.Sub(m.Start)) / float64(length)
}

// VersionEvidence counts the observed calls of one version on one route.
type VersionEvidence struct {
	Calls    int64 `cbor:"1,keyasint,omitempty" json:"calls"`
	Failures int64 `cbor:"2,keyasint,omitempty" json:"failures"`
	// Slow counts calls that took much longer than the high quantile of the old
	// version's latency at the same load.
	Slow int64 `cbor:"3,keyasint,omitempty" json:"slow"`
	// The loaded counts cover the calls sent while more than half of the server's
	// limit was in use. The counts above include them.
	LoadedCalls    int64 `cbor:"4,keyasint,omitempty" json:"loaded_calls"`
	LoadedFailures int64 `cbor:"5,keyasint,omitempty" json:"loaded_failures"`
	LoadedSlow     int64 `cbor:"6,keyasint,omitempty" json:"loaded_slow"`
}

// Plus returns the sum of e and o.
func (e VersionEvidence) Plus(o VersionEvidence) VersionEvidence {
	return VersionEvidence{
		Calls: e.Calls + o.Calls, Failures: e.Failures + o.Failures, Slow: e.Slow + o.Slow,
		LoadedCalls: e.LoadedCalls + o.LoadedCalls, LoadedFailures: e.LoadedFailures + o.LoadedFailures,
		LoadedSlow: e.LoadedSlow + o.LoadedSlow,
	}
}

// MoveEvidence holds the observations by which a rollout advances or is rolled
// back. The evidence of several instances is added up.
type MoveEvidence struct {
	// Old and New count since the move's start.
	Old VersionEvidence `cbor:"1,keyasint" json:"old"`
	New VersionEvidence `cbor:"2,keyasint" json:"new"`
	// RecentOld and RecentNew count the calls of about the last 20 s.
	RecentOld VersionEvidence `cbor:"3,keyasint" json:"recent_old"`
	RecentNew VersionEvidence `cbor:"4,keyasint" json:"recent_new"`
	// LastOld and LastNew count the calls of about the last 4 s, in which a fault
	// that has just begun shows first.
	LastOld VersionEvidence `cbor:"7,keyasint" json:"last_old"`
	LastNew VersionEvidence `cbor:"8,keyasint" json:"last_new"`
	// Step is the highest rollout step that the evidence of any instance allowed.
	Step int `cbor:"5,keyasint,omitempty" json:"step"`
	// RolledBack is true once any instance has detected a fault of the new version.
	RolledBack bool `cbor:"6,keyasint,omitempty" json:"rolledBack"`
}

// Plus returns the combined evidence of two disjoint sets of instances.
func (e MoveEvidence) Plus(o MoveEvidence) MoveEvidence {
	return MoveEvidence{
		Old: e.Old.Plus(o.Old), New: e.New.Plus(o.New),
		RecentOld: e.RecentOld.Plus(o.RecentOld), RecentNew: e.RecentNew.Plus(o.RecentNew),
		LastOld: e.LastOld.Plus(o.LastOld), LastNew: e.LastNew.Plus(o.LastNew),
		Step: max(e.Step, o.Step), RolledBack: e.RolledBack || o.RolledBack,
	}
}

// Rollout decides which share of a route's traffic the new version gets.
// Implementations are pure functions, so that instances with the same evidence
// agree without coordination.
type Rollout interface {
	// Share returns the new version's share, from 0 to 1.
	Share(now time.Time, m Move, e MoveEvidence) float64
	// AllowedStep returns the index of the highest rollout step that the evidence
	// allows, from 0.
	AllowedStep(m Move, e MoveEvidence) int
	// RollBack reports whether the evidence shows a fault of the new version.
	RollBack(now time.Time, m Move, e MoveEvidence) (Reason, bool)
}

// LinearRollout is the baseline. The share grows linearly with time, regardless
// of the evidence.
type LinearRollout struct{}

// Share implements Rollout.
func (LinearRollout) Share(now time.Time, m Move, _ MoveEvidence) float64 {
	return min(1, max(0, m.progress(now)))
}

// AllowedStep implements Rollout.
func (LinearRollout) AllowedStep(Move, MoveEvidence) int { return 0 }

// RollBack implements Rollout.
func (LinearRollout) RollBack(time.Time, Move, MoveEvidence) (Reason, bool) { return "", false }
