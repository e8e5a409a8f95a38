package policy

import (
	"math"
	"time"
)

const (
	// warmEnough is the reported warmth from which a server counts as warm.
	warmEnough = 0.95
	// coldEvidence is the number of successes at the limit that show a server
	// to be warm which says nothing of its warmth; silentEvidence the number
	// for one whose reports never named a warmth above 0.
	coldEvidence   = 8
	silentEvidence = 64
	// failureRun is the number of failures in a row after which a server is
	// taken for one that fell over.
	failureRun = 4
	// latencyCut and failureCut are the factors of a decrease.
	latencyCut = 0.8
	failureCut = 0.7
	// minCutInterval is the least time between two decreases, so that the calls
	// in flight at the first do not cause a second.
	minCutInterval = 100 * time.Millisecond
	// reportInterval is the least time between two increases by load reports.
	reportInterval = 200 * time.Millisecond
	// reportGrowth is the factor by which load reports raise a limit in one
	// reportInterval, reportGrowthMost that of one report, however late it comes.
	reportGrowth     = 1.25
	reportGrowthMost = 4
	// followPause is the time after a decrease in which reports of other
	// instances' calls do not raise the limit.
	followPause = 5 * time.Second
	// quietTime is the time without calls of its own from which an instance lets
	// a warm server's limit grow by its reports alone, suspectTime that after
	// which it forgets a jump of latency.
	quietTime   = 2 * time.Second
	suspectTime = 10 * time.Second
	// awayPart is the part of a server's limit that belongs to the instances of
	// other availability zones, if its own zone has any.
	awayPart = 0.25
	// busyPart is the part of the limit that counts as using it.
	busyPart = 0.75
	// additiveStep is the part of the largest limit by which a limit grows in
	// one round of calls.
	additiveStep = 1.0 / 32
)

// AdaptiveLimits is the standard implementation of Limits: additive increase
// and multiplicative decrease on latency, from a cold limit up.
type AdaptiveLimits struct{}

// New implements Limits.
func (AdaptiveLimits) New(now time.Time, c LimitConfig) ServerLimit {
	l := &adaptiveLimit{}
	l.Configure(c)
	l.chill(now, false)
	return l
}

// Share implements Limits. The instances of the server's zone divide all but
// awayPart of the limit, the others that part, so that a zone that is cut off
// can use most of its own servers. The shares of all ranks add up to the limit.
// A member more, or a higher rank in the same part, never makes a share larger;
// so while some instances know of one member more than others do, the sum is
// above the limit by at most the share of that member.
func (AdaptiveLimits) Share(limit, rank int, among Sharers) int {
	if rank < 0 || rank >= among.Members || limit <= 0 {
		return 0
	}
	if among.Home == 0 || among.Home == among.Members {
		return divide(limit, rank, among.Members)
	}
	away := int(float64(limit) * awayPart)
	if rank < among.Home {
		return divide(limit-away, rank, among.Home)
	}
	return divide(away, rank-among.Home, among.Members-among.Home)
}

// divide is the part of a whole that belongs to a rank among equals.
func divide(whole, rank, members int) int {
	share := whole / members
	if rank < whole%members {
		share++
	}
	return share
}

// adaptiveLimit is the limit of one server.
type adaptiveLimit struct {
	low, high float64 // the limit while cold, and the largest one
	limit     float64
	lastCut   time.Time
	lastGrown time.Time // last increase by a load report
	// lastSample is the time of the last call that ended.
	lastSample time.Time
	boot       string
	version    string
	warmth     float64
	classes    [sizeClasses]classLatency
	evidence   int32 // successes at the limit since the server became cold
	failures   int32 // in a row
	cold       bool
	// ramping is true from the end of cold to the first decrease.
	ramping bool
	// suspect is true after a jump of latency until a call was fast again; no
	// load report makes such a server warm.
	suspect  bool
	reported bool
	// tellsWarmth is true once a report named a warmth above 0.
	tellsWarmth bool
}

// Configure implements ServerLimit.
func (l *adaptiveLimit) Configure(c LimitConfig) {
	l.high = float64(max(1, c.Max))
	l.low = min(float64(max(1, c.Cold)), l.high)
	l.limit = min(l.limit, l.high)
	if l.cold {
		l.limit = min(l.limit, l.low)
	}
}

// Limit implements ServerLimit.
func (l *adaptiveLimit) Limit(time.Time) int { return int(l.limit) }

// Cold implements ServerLimit.
func (l *adaptiveLimit) Cold(time.Time) bool { return l.cold }

// Observe implements ServerLimit.
func (l *adaptiveLimit) Observe(now time.Time, s CallSample) {
	l.lastSample = now
	class := &l.classes[classIndex(s.Class)]
	if s.Broken {
		l.chill(now, true)
		return
	}
	if s.Cut {
		if class.cut(s.Latency) {
			l.chill(now, true)
		}
		return
	}
	if !s.OK {
		l.failed(now)
		return
	}
	l.failures = 0
	switch class.add(now, s.Latency) {
	case latencyJump:
		l.chill(now, true)
	case latencyHigh:
		l.cut(now, latencyCut, time.Duration(class.smoothed))
	case latencyNormal:
		l.suspect = false
		l.succeeded(now, s)
	}
}

// succeeded takes a call of normal latency.
func (l *adaptiveLimit) succeeded(now time.Time, s CallSample) {
	if s.Allowance <= 0 || s.InFlight < s.Allowance {
		return
	}
	if l.cold {
		l.evidence++
		if l.evidence >= l.evidenceNeeded() {
			l.warmUp(now)
		}
		return
	}
	round := float64(s.Allowance)
	if l.ramping {
		l.grow(l.limit / round)
		return
	}
	l.grow(max(1, l.high*additiveStep) / round)
}

// evidenceNeeded is the number of successes that end the cold state.
func (l *adaptiveLimit) evidenceNeeded() int32 {
	switch {
	case !l.reported:
		return coldEvidence
	case l.tellsWarmth && l.warmth < warmEnough:
		return l.evidence + 1 // only a report can end it
	case l.tellsWarmth:
		return coldEvidence
	}
	return silentEvidence
}

func (l *adaptiveLimit) grow(by float64) { l.limit = min(l.high, l.limit+by) }

func (l *adaptiveLimit) warmUp(now time.Time) {
	l.cold = false
	l.ramping = true
	l.lastGrown = now
	l.evidence = 0
}

// cut lowers the limit unless it was just lowered.
func (l *adaptiveLimit) cut(now time.Time, factor float64, pause time.Duration) {
	l.ramping = false
	if now.Sub(l.lastCut) < max(minCutInterval, pause) {
		return
	}
	l.lastCut = now
	l.limit = max(1, l.limit*factor)
}

func (l *adaptiveLimit) failed(now time.Time) {
	l.failures++
	if l.failures < failureRun {
		l.cut(now, failureCut, 0)
		return
	}
	l.failures = 0
	l.chill(now, true)
}

// chill puts the server back to its cold limit, or leaves it below that if the
// server fell over there.
func (l *adaptiveLimit) chill(now time.Time, suspect bool) {
	if !suspect || l.limit > l.low {
		l.limit = l.low
	}
	l.cold = true
	l.ramping = false
	l.suspect = suspect
	l.evidence = 0
	l.lastCut = now
}

// Stalled implements ServerLimit. Calls that hang say nothing until they end,
// and each call sent meanwhile would hang too.
func (l *adaptiveLimit) Stalled(now time.Time) {
	if !l.cold {
		l.chill(now, true)
	}
}

// Report implements ServerLimit.
func (l *adaptiveLimit) Report(now time.Time, r LoadReport) {
	rebooted := l.reported && r.Boot != l.boot
	if l.reported && r.Version != l.version {
		l.classes = [sizeClasses]classLatency{}
	}
	if rebooted {
		l.forgetLatency()
		l.tellsWarmth = false
	}
	l.reported = true
	l.boot, l.version, l.warmth = r.Boot, r.Version, r.Warm
	l.tellsWarmth = l.tellsWarmth || r.Warm > 0
	if rebooted || (r.Warm < warmEnough && l.tellsWarmth && !l.cold) {
		l.chill(now, false)
	}
	quiet := now.Sub(l.lastSample)
	l.suspect = l.suspect && quiet < suspectTime
	if r.Warm < warmEnough || l.suspect {
		return
	}
	if l.cold {
		l.warmUp(now)
	}
	l.follow(now, r)
}

// follow raises the limit of a warm server that carries the calls of other
// instances well. An instance whose share is 0 has no calls of its own and would
// learn nothing else; the server's own word that it is warm has to do for it, as
// the others use no more than their shares.
func (l *adaptiveLimit) follow(now time.Time, r LoadReport) {
	if r.Waiting > 0 || now.Sub(l.lastGrown) < reportInterval {
		return
	}
	running := float64(r.Running)
	quiet := now.Sub(l.lastSample) >= quietTime
	switch {
	case !l.ramping && now.Sub(l.lastCut) < followPause:
		return
	case !l.ramping && !quiet:
		l.limit = min(l.high, max(running, l.limit))
		return
	case !quiet && running < busyPart*l.limit:
		return
	}
	steps := float64(now.Sub(l.lastGrown)) / float64(reportInterval)
	l.lastGrown = now
	growth := min(math.Pow(reportGrowth, steps), reportGrowthMost)
	l.limit = min(l.high, max(running, l.limit*growth))
}

func (l *adaptiveLimit) forgetLatency() {
	for i := range l.classes {
		l.classes[i].restart()
	}
}
