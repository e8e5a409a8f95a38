package policy

import "time"

// Move is a planned move of a route's traffic from one version to another.
type Move struct {
	Route    string
	From, To string
	Start    time.Time
	By       time.Time
	// Repeatable is true if every stage of the route is idempotent.
	Repeatable bool
	// Behind is true while another route, with cheaper or more repeatable
	// traffic, moves to the same version and has not proved it yet.
	Behind bool
}

// progress is the part of the move's time that has passed, not limited to 1.
func (m Move) progress(now time.Time) float64 {
	length := m.By.Sub(m.Start)
	if length <= 0 {
		return 1
	}
	return float64(now.Sub(m.Start)) / float64(length)
}

// VersionEvidence counts what was seen of one version on one route.
type VersionEvidence struct {
	Calls    int64 `cbor:"1,keyasint,omitempty" json:"calls"`
	Failures int64 `cbor:"2,keyasint,omitempty" json:"failures"`
	// Slow counts calls that took much longer than the old version's high
	// quantile at the same load.
	Slow int64 `cbor:"3,keyasint,omitempty" json:"slow"`
	// The loaded counts are of calls made while the server was more than half
	// full. They are part of the counts above.
	LoadedCalls    int64 `cbor:"4,keyasint,omitempty" json:"loaded_calls"`
	LoadedFailures int64 `cbor:"5,keyasint,omitempty" json:"loaded_failures"`
	LoadedSlow     int64 `cbor:"6,keyasint,omitempty" json:"loaded_slow"`
}

// Plus returns the sum of two counts.
func (e VersionEvidence) Plus(o VersionEvidence) VersionEvidence {
	return VersionEvidence{
		Calls: e.Calls + o.Calls, Failures: e.Failures + o.Failures, Slow: e.Slow + o.Slow,
		LoadedCalls: e.LoadedCalls + o.LoadedCalls, LoadedFailures: e.LoadedFailures + o.LoadedFailures,
		LoadedSlow: e.LoadedSlow + o.LoadedSlow,
	}
}

// MoveEvidence is what a move is judged by. Evidence of several instances is
// added up.
type MoveEvidence struct {
	// Old and New count since the move's start.
	Old VersionEvidence `cbor:"1,keyasint" json:"old"`
	New VersionEvidence `cbor:"2,keyasint" json:"new"`
	// RecentOld and RecentNew count the last seconds.
	RecentOld VersionEvidence `cbor:"3,keyasint" json:"recent_old"`
	RecentNew VersionEvidence `cbor:"4,keyasint" json:"recent_new"`
	// LastOld and LastNew count the last few of these seconds, which show a
	// fault that has just begun.
	LastOld VersionEvidence `cbor:"7,keyasint" json:"last_old"`
	LastNew VersionEvidence `cbor:"8,keyasint" json:"last_new"`
	// Step is the furthest step that any instance found proved.
	Step int `cbor:"5,keyasint,omitempty" json:"step"`
	// RolledBack is true once any instance has seen the new version's fault.
	RolledBack bool `cbor:"6,keyasint,omitempty" json:"rolledBack"`
}

// Plus returns the evidence of two sets of instances together.
func (e MoveEvidence) Plus(o MoveEvidence) MoveEvidence {
	return MoveEvidence{
		Old: e.Old.Plus(o.Old), New: e.New.Plus(o.New),
		RecentOld: e.RecentOld.Plus(o.RecentOld), RecentNew: e.RecentNew.Plus(o.RecentNew),
		LastOld: e.LastOld.Plus(o.LastOld), LastNew: e.LastNew.Plus(o.LastNew),
		Step: max(e.Step, o.Step), RolledBack: e.RolledBack || o.RolledBack,
	}
}

// Rollout decides the share of a route's traffic that the new version gets.
// It is a pure function, so that it advances without any message.
type Rollout interface {
	// Share is from 0 to 1.
	Share(now time.Time, m Move, e MoveEvidence) float64
	// Proved is the number of steps that the evidence allows.
	Proved(m Move, e MoveEvidence) int
	// RollBack reports whether the evidence shows a fault of the new version.
	RollBack(now time.Time, m Move, e MoveEvidence) (Reason, bool)
}

// LinearRollout is the baseline: the share grows with time, whatever is seen.
type LinearRollout struct{}

// Share implements Rollout.
func (LinearRollout) Share(now time.Time, m Move, _ MoveEvidence) float64 {
	return min(1, max(0, m.progress(now)))
}

// Proved implements Rollout.
func (LinearRollout) Proved(Move, MoveEvidence) int { return 0 }

// RollBack implements Rollout.
func (LinearRollout) RollBack(time.Time, Move, MoveEvidence) (Reason, bool) { return "", false }
