package policy

import (
	"maps"
	"math"
	"time"
)

// Parameters of the trial of a new version.
const (
	// detectableExcess is the failure rate beyond that of the old version that the
	// responses of a trial have to be able to show.
	detectableExcess = 0.3
	// maxMissChance and maxRouteMissChance are the largest probabilities with which a
	// version with that failure rate may have as few bad responses as the one on trial:
	// on all routes together, and on one route within the duration. A rollout that is late
	// does not gain time by less evidence.
	maxMissChance      = 0.02
	maxRouteMissChance = 0.2
	// minRouteFraction is the fraction of the service's requests from which on a route is
	// judged by itself. The routes with fewer requests are judged together.
	minRouteFraction = 0.1
	// trialResponses is the number of responses of the new version, spread over the duration,
	// that show a fault which begins during the trial.
	trialResponses = 30
	// suspectResponses is the number of further responses that a suspect version gets on
	// the route concerned.
	suspectResponses = 5
	// trialSlackFraction is the fraction of the exposure slack that a trial uses.
	trialSlackFraction = 0.8
	// maxTrialShare bounds the share of a version on trial.
	maxTrialShare = 0.75
	// evidenceProgress is the fraction of the rollout's duration by which the trial should
	// have enough responses, and minEvidenceTime the least time in which it tries to get
	// those that are missing.
	evidenceProgress = 0.6
	minEvidenceTime  = 2 * time.Second
	// trialStartTime and trialStartProgress bound the first part of a trial, in which the
	// request rates of the routes are not known yet.
	trialStartTime     = time.Second
	trialStartProgress = 0.1
	// ownSlackFactor bounds the part of the slack that one instance uses, as a multiple of
	// an equal part.
	ownSlackFactor = 4
)

// Trial is the trial of a new version at one point in time.
type Trial struct {
	// Age is the time since the rollout was requested, Duration the time within which it
	// has to be completed.
	Age, Duration time.Duration
	// Exposure is the fraction of all requests until the end of the duration that a bad
	// version may get, and Slack the number of requests that it may get beyond that.
	Exposure float64
	Slack    int
	// Instances is the number of instances that use the slack.
	Instances int
}

// TrialPlan is what the responses of a version on trial say of it, and the share of the
// requests that it gets next.
type TrialPlan struct {
	Verdict Verdict
	// Route is the route that the verdict is about, empty for all routes together.
	Route string

	shares map[string]float64
	other  float64
}

// Share returns the fraction of the requests on a route that the new version gets, from 0
// to 1.
func (p TrialPlan) Share(route string) float64 {
	if share, ok := p.shares[route]; ok {
		return share
	}
	return p.other
}

// trialGroup is the routes that are judged together.
type trialGroup struct {
	routes []string
	counts RouteCounts
}

// Plan judges a version by the responses on the routes that its service has now. counts
// are those of all instances, own those of this instance alone.
//
// A version whose service gets few requests would have too few responses at the share of a
// trial. It then gets a larger one, within the slack. Until its responses could have shown
// a fault, it is untested, also after the end of the duration.
func (t Trial) Plan(counts, own map[string]RouteCounts) TrialPlan {
	var all, mine RouteCounts
	for _, c := range counts {
		all = all.Add(c)
	}
	for _, c := range own {
		mine = mine.Add(c)
	}
	groups := trialGroups(counts, all)
	base := TrialShare(t.Exposure)
	plan := TrialPlan{shares: make(map[string]float64, len(counts)), other: base}
	plan.Verdict, plan.Route = JudgeRoutes(counts)
	if plan.Verdict == VersionGood {
		plan.Verdict, plan.Route = t.tested(all, groups)
	}
	if plan.Verdict == VersionBad || !t.mayUseSlack(base, all, mine) {
		return plan
	}
	if all.Sent == 0 {
		plan.other = maxTrialShare / 3 // the rate of a route that comes into use is not known
		return plan
	}
	steady := max(base, min(maxTrialShare, trialResponses/t.Duration.Seconds()/t.rate(all)))
	plan.other = steady
	for _, g := range groups {
		wanted := responsesToTest(g.counts, maxMissChance)
		if plan.Verdict == VersionSuspect {
			wanted = max(wanted, g.counts.New.Responses+suspectResponses)
		}
		share := t.shareFor(wanted-g.counts.New.Responses, g.counts)
		for _, route := range g.routes {
			plan.shares[route] = max(steady, share)
		}
	}
	return plan
}

// mayUseSlack reports whether the new version may get more than the share base: the rates of
// the routes are known, and the slack is not used up. After the duration the number of
// requests is not bounded any more.
func (t Trial) mayUseSlack(base float64, all, own RouteCounts) bool {
	if t.Age < min(trialStartTime, time.Duration(trialStartProgress*float64(t.Duration))) {
		return false
	}
	budget := trialSlackFraction * float64(t.Slack)
	if budget <= 0 {
		return false
	}
	if t.Age >= t.Duration {
		return true
	}
	extra := func(c RouteCounts) float64 { return float64(c.SentNew) - base*float64(c.Sent) }
	return extra(all) < budget && extra(own) < ownSlackFactor*budget/float64(max(1, t.Instances))+1
}

// shareFor returns the share with which routes that got the counted requests so far give
// the new version the missing responses in time.
func (t Trial) shareFor(missing int, sent RouteCounts) float64 {
	if missing <= 0 || sent.Sent == 0 {
		return 0
	}
	left := max(time.Duration(evidenceProgress*float64(t.Duration))-t.Age, minEvidenceTime)
	return min(maxTrialShare, float64(missing)/(t.rate(sent)*left.Seconds()))
}

// rate returns the requests per second since the trial began.
func (t Trial) rate(c RouteCounts) float64 { return float64(c.Sent) / t.Age.Seconds() }

// trialGroups divides the routes into those that are judged by themselves and the others.
func trialGroups(counts map[string]RouteCounts, all RouteCounts) []trialGroup {
	var groups []trialGroup
	var others trialGroup
	for route, c := range counts {
		if float64(c.Sent) >= minRouteFraction*float64(all.Sent) {
			groups = append(groups, trialGroup{[]string{route}, c})
			continue
		}
		others.routes = append(others.routes, route)
		others.counts = others.counts.Add(c)
	}
	if len(others.routes) > 0 {
		groups = append(groups, others)
	}
	return groups
}

// tested returns VersionUntested if the responses could not have shown a fault, and the
// route with too few of them, empty for all together.
func (t Trial) tested(all RouteCounts, groups []trialGroup) (Verdict, string) {
	routeChance := maxRouteMissChance
	if t.Age > t.Duration {
		routeChance = maxMissChance
	}
	if all.New.Responses < responsesToTest(all, maxMissChance) {
		return VersionUntested, ""
	}
	for _, g := range groups {
		considerable := float64(g.counts.Sent) >= minRouteFraction*float64(all.Sent)
		if considerable && g.counts.New.Responses < responsesToTest(g.counts, routeChance) {
			return VersionUntested, g.routes[0]
		}
	}
	return VersionGood, ""
}

// responsesToTest returns the least number of responses with which a version that fails
// considerably more often than the old one has as few bad responses as the new one has now
// with a probability of at most chance.
func responsesToTest(c RouteCounts, chance float64) int {
	rate := detectableExcess
	if c.Old.Responses > 0 {
		rate += float64(c.Old.Bad) / float64(c.Old.Responses)
	}
	if rate >= 1 {
		return 1 // no fault can be distinguished from those of the old version
	}
	n := max(c.New.Bad, int(math.Ceil(math.Log(chance)/math.Log1p(-rate))))
	for atMost(n, c.New.Bad, rate) > chance {
		n++
	}
	return n
}

// atMost returns the probability of at most k successes in n trials that succeed with
// probability p each. p is less than 1.
func atMost(n, k int, p float64) float64 {
	term := math.Pow(1-p, float64(n))
	sum := term
	for i := range min(k, n) {
		term *= float64(n-i) / float64(i+1) * p / (1 - p)
		sum += term
	}
	return sum
}

// OnRoutes returns the counts of those routes for which current is true, or all counts if
// it is true for none.
func OnRoutes(counts map[string]RouteCounts, current func(route string) bool) map[string]RouteCounts {
	kept := maps.Clone(counts)
	maps.DeleteFunc(kept, func(route string, _ RouteCounts) bool { return !current(route) })
	if len(kept) == 0 {
		return counts
	}
	return kept
}
