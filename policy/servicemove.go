package policy

import "time"

// MoveStep is what a service's move to a version asks for at a moment.
type MoveStep struct {
	// Share is the part of the requests that the new version gets.
	Share float64
	// Complete is true once the move can be told as completed.
	Complete bool
}

// Parameters of a service's move, as parts of its time or of the permitted
// exposure.
const (
	// trialShare is the part of the permitted exposure that the new version
	// gets while it is on trial.
	trialShare = 0.5
	// moveEnd is the part of the time after which all requests move, and
	// moveComplete that after which the move can be told as completed: what is
	// sent in between shows faults under full load and still fits the permitted
	// exposure.
	moveEnd      = 0.96
	moveComplete = 0.985
)

// ServiceMove returns the step of a move that was ordered some time ago and has
// to be done within a duration. Exposure is the part of all requests that a bad
// version may get until then. The step is a pure function of time, so that
// instances agree without a message.
func ServiceMove(age, duration time.Duration, exposure float64) MoveStep {
	progress := 1.0
	if duration > 0 {
		progress = float64(age) / float64(duration)
	}
	switch {
	case progress < 0:
		return MoveStep{}
	case progress < moveEnd:
		return MoveStep{Share: trialShare * exposure}
	}
	return MoveStep{Share: 1, Complete: progress >= moveComplete}
}

// VersionCount counts answers of one version.
type VersionCount struct {
	Answers, Bad int
}

// Parameters of the test for a bad version. A good one fails a little more often
// than the old one by chance; a bad one fails a good part of its requests.
const (
	// badAnswers is the least number of bad answers that shows a fault.
	badAnswers = 3
	// badRate is the least part of the answers, and badTimes how many times the
	// old version's part it must be.
	badRate  = 0.15
	badTimes = 2.5
)

// BadVersion reports whether the new version's answers show a fault that the
// old version does not have.
func BadVersion(old, fresh VersionCount) bool {
	if fresh.Bad < badAnswers {
		return false
	}
	rate := float64(fresh.Bad) / float64(fresh.Answers)
	usual := 0.0
	if old.Answers > 0 {
		usual = float64(old.Bad) / float64(old.Answers)
	}
	return rate >= badRate && rate >= badTimes*usual
}
