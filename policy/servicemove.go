package policy

import (
	"math"
	"time"
)

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
	trialExposureFraction = 0.75
	// fullShareProgress is the fraction of the duration after which the new version
	// gets all requests. completeProgress is the fraction after which the rollout
	// may be reported as completed. The requests in between show faults under full
	// load. If the permitted exposure is at least 0.1, it also covers all requests
	// from fullShareProgress to the end of the duration.
	fullShareProgress = 0.975
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
		return MoveStep{Share: TrialShare(exposure)}
	}
	return MoveStep{Share: 1, Complete: progress >= completeProgress}
}

// TrialShare returns the fraction of the requests that the new version gets during
// its trial.
func TrialShare(exposure float64) float64 { return trialExposureFraction * exposure }

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
	minBadRate      = 0.1
	minBadRateRatio = 2.5
	// maxChance is the largest probability with which a version like the old one may
	// have as many bad responses as one that is rolled back, and maxSuspectChance as
	// one that is not completed yet.
	maxChance        = 1e-3
	maxSuspectChance = 2e-2
	// assumedResponses is the number of responses, one of them bad, that are added to
	// those of the old version to estimate its failure rate.
	assumedResponses = 10
)

// Verdict is what the responses of a new version say of it.
type Verdict int

// The verdicts, from best to worst. A version that is untested, since it has too few
// responses to show a fault, or suspect stays on trial.
const (
	VersionGood Verdict = iota
	VersionUntested
	VersionSuspect
	VersionBad
)

var verdictNames = [...]string{"good", "untested", "suspect", "bad"}

// String returns the verdict's name, for logs.
func (v Verdict) String() string { return verdictNames[v] }

// JudgeVersion compares the new version's responses with those of the old one, and
// looks for a fault that the old version does not have.
func JudgeVersion(old, newer VersionCount) Verdict {
	if newer.Bad == 0 {
		return VersionGood
	}
	rate := float64(newer.Bad) / float64(newer.Responses)
	baseline := 0.0
	if old.Responses > 0 {
		baseline = float64(old.Bad) / float64(old.Responses)
	}
	if rate < minBadRate || rate < minBadRateRatio*baseline {
		return VersionGood
	}
	expected := float64(old.Bad+1) / float64(old.Responses+assumedResponses)
	chance := binomialTail(newer.Responses, newer.Bad, expected)
	switch {
	case newer.Bad >= minBadResponses && chance <= maxChance:
		return VersionBad
	case chance <= maxSuspectChance:
		return VersionSuspect
	}
	return VersionGood
}

// binomialTail returns the probability of k or more successes in n trials that
// succeed with probability p each.
func binomialTail(n, k int, p float64) float64 {
	if p >= 1 {
		return 1
	}
	const negligible = 1e-9 // relative to the sum
	sum := 0.0
	for i := k; i <= n; i++ {
		term := math.Exp(logChoose(n, i) + float64(i)*math.Log(p) + float64(n-i)*math.Log1p(-p))
		sum += term
		if float64(i) > float64(n)*p && term < negligible*sum {
			break
		}
	}
	return min(1, sum)
}

// logChoose returns the logarithm of the binomial coefficient.
func logChoose(n, k int) float64 {
	a, _ := math.Lgamma(float64(n + 1))
	b, _ := math.Lgamma(float64(k + 1))
	c, _ := math.Lgamma(float64(n - k + 1))
	return a - b - c
}

// RouteCounts counts the requests that were sent to a service on one route, those of them
// that were sent to the new version, and the responses of the old and the new version.
type RouteCounts struct {
	Old, New      VersionCount
	Sent, SentNew int
}

// Add returns the sum of two counts.
func (c RouteCounts) Add(o RouteCounts) RouteCounts {
	return RouteCounts{
		Old:  VersionCount{c.Old.Responses + o.Old.Responses, c.Old.Bad + o.Old.Bad},
		New:  VersionCount{c.New.Responses + o.New.Responses, c.New.Bad + o.New.Bad},
		Sent: c.Sent + o.Sent, SentNew: c.SentNew + o.SentNew,
	}
}

// Valid reports whether the counts are possible: no negative ones, not more bad responses
// than responses, and not more requests to the new version than requests.
func (c RouteCounts) Valid() bool {
	return c.SentNew >= 0 && c.SentNew <= c.Sent && c.Old.Bad >= 0 && c.Old.Bad <= c.Old.Responses && c.New.Bad >= 0 && c.New.Bad <= c.New.Responses
}

// JudgeRoutes returns the worst verdict on the counts of all routes together and of
// each route, and the route that it is about: empty for all together.
func JudgeRoutes(routes map[string]RouteCounts) (worst Verdict, on string) {
	var all RouteCounts
	for _, c := range routes {
		all = all.Add(c)
	}
	worst = JudgeVersion(all.Old, all.New)
	for route, c := range routes {
		if v := JudgeVersion(c.Old, c.New); v > worst {
			worst, on = v, route
		}
	}
	return worst, on
}
