package policy

import "time"

// MoveStep is the state of a service's rollout of a version at one point in time.
type MoveStep struct {
	// Share is the fraction of the requests that the new version gets, from 0 to 1.
	Share float64
	// Complete is true once the rollout may be reported as completed.
	Complete bool
}

// Parameters of a service's rollout, as fractions of its duration or of the
// permitted exposure.
const (
	// trialExposureFraction is the fraction of the permitted exposure that the new
	// version gets during its trial.
	trialExposureFraction = 0.5
	// fullShareProgress is the fraction of the duration after which the new version
	// gets all requests. completeProgress is the fraction after which the rollout
	// may be reported as completed. The requests in between show faults under full
	// load. If the permitted exposure is at least 0.08, it also covers all requests
	// from fullShareProgress to the end of the duration.
	fullShareProgress = 0.96
	completeProgress  = 0.985
)

// ServiceMove returns the state of a rollout that was requested age ago and has to
// be completed within duration. exposure is the fraction of all requests in that
// time that a bad version may get. The result is a pure function of time, so that
// instances agree without coordination.
func ServiceMove(age, duration time.Duration, exposure float64) MoveStep {
	progress := 1.0
	if duration > 0 {
		progress = float64(age) / float64(duration)
	}
	switch {
	case progress < 0:
		return MoveStep{}
	case progress < fullShareProgress:
		return MoveStep{Share: trialExposureFraction * exposure}
	}
	return MoveStep{Share: 1, Complete: progress >= completeProgress}
}

// VersionCount counts the responses of one version.
type VersionCount struct {
	Responses, Bad int
}

// Parameters of the detection of a bad version. A good version may by chance fail
// slightly more often than the old one. A bad one fails a considerable fraction of
// its requests.
const (
	// minBadResponses is the minimum number of bad responses that shows a fault.
	minBadResponses = 3
	// minBadRate is the minimum fraction of bad responses that shows a fault, and
	// minBadRateRatio the minimum ratio of that fraction to the old version's.
	minBadRate      = 0.15
	minBadRateRatio = 2.5
)

// BadVersion reports whether the new version's responses show a fault that the old
// version does not have.
func BadVersion(old, newer VersionCount) bool {
	if newer.Bad < minBadResponses {
		return false
	}
	rate := float64(newer.Bad) / float64(newer.Responses)
	baseline := 0.0
	if old.Responses > 0 {
		baseline = float64(old.Bad) / float64(old.Responses)
	}
	return rate >= minBadRate && rate >= minBadRateRatio*baseline
}
