package policy

import "time"

// Move is a planned move of a route's traffic from one version to another.
type Move struct {
	Route    string
	From, To string
	Start    time.Time
	By       time.Time
}

// VersionEvidence counts what was seen of one version on one route.
type VersionEvidence struct {
	Calls, Failures int64
	// Slow counts calls that took longer than the old version's high quantile.
	Slow int64
	// LoadedCalls and LoadedFailures count the calls made while the server was
	// more than half full.
	LoadedCalls, LoadedFailures int64
}

// MoveEvidence is what a move is judged by.
type MoveEvidence struct {
	Old, New VersionEvidence
	// Braked is true once any instance has seen the new version's fault.
	Braked bool
}

// Rollout decides the share of a route's traffic that the new version gets.
// It is a pure function, so that it advances without any message.
type Rollout interface {
	// Share is from 0 to 1.
	Share(now time.Time, m Move, e MoveEvidence) float64
	// Brake reports whether the evidence shows a fault of the new version.
	Brake(m Move, e MoveEvidence) (Reason, bool)
}

// LinearRollout is the baseline: the share grows with time, whatever is seen.
type LinearRollout struct{}

// Share implements Rollout.
func (LinearRollout) Share(now time.Time, m Move, _ MoveEvidence) float64 {
	if !now.After(m.Start) {
		return 0
	}
	if !now.Before(m.By) {
		return 1
	}
	return float64(now.Sub(m.Start)) / float64(m.By.Sub(m.Start))
}

// Brake implements Rollout.
func (LinearRollout) Brake(Move, MoveEvidence) (Reason, bool) { return "", false }
