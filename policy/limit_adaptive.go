package policy

import (
	"math"
	"time"
)

const (
	// warmThreshold is the reported warmth at which a server is considered warm.
	warmThreshold = 0.95
	// warmUpSuccesses is the number of successful calls at the limit that end the
	// cold state of a server that sends no reports, or of a suspect server that
	// reports itself as warm. warmUpSuccessesUnreported is the number for a server
	// whose reports never contained a warmth above 0.
	warmUpSuccesses           = 8
	warmUpSuccessesUnreported = 64
	// failureThreshold is the number of consecutive failures after which a server
	// is treated as crashed or overloaded and falls back to its cold limit.
	failureThreshold = 4
	// latencyDecreaseFactor and failureDecreaseFactor multiply the limit on high
	// latency and on a failure.
	latencyDecreaseFactor = 0.8
	failureDecreaseFactor = 0.7
	// minDecreaseInterval is the minimum time between two decreases. Calls that
	// were in flight at a decrease must not cause another one.
	minDecreaseInterval = 100 * time.Millisecond
	// reportIncreaseInterval is the minimum time between two increases by load
	// reports.
	reportIncreaseInterval = 200 * time.Millisecond
	// reportIncreaseFactor is the factor by which load reports raise the limit in
	// each reportIncreaseInterval. maxReportIncreaseFactor bounds the increase by
	// a single report that arrives after several intervals.
	reportIncreaseFactor    = 1.25
	maxReportIncreaseFactor = 4
	// reportIncreaseHoldOff is the time after a decrease during which load reports
	// do not raise the limit.
	reportIncreaseHoldOff = 5 * time.Second
	// idleAfter is the time without calls of its own after which an instance
	// raises a warm server's limit by its load reports alone. suspicionTimeout is
	// the time without calls after which the instance no longer suspects the
	// server because of a latency jump.
	idleAfter        = 2 * time.Second
	suspicionTimeout = 10 * time.Second
	// remoteZoneFraction is the fraction of a server's limit that belongs to the
	// members that do not prefer the server, if other members prefer it.
	remoteZoneFraction = 0.25
	// busyFraction is the fraction of the limit that has to be in use for load
	// reports to raise it during slow start, unless this instance has no calls of
	// its own.
	busyFraction = 0.75
	// additiveIncreaseFraction is the fraction of the largest limit by which a
	// limit grows per round, that is, after as many calls as the instance's share.
	additiveIncreaseFraction = 1.0 / 32
)

// AdaptiveLimits is the standard implementation of Limits. A limit starts at the
// cold limit and follows the latency by additive increase and multiplicative
// decrease (AIMD).
type AdaptiveLimits struct{}

// New implements Limits.
func (AdaptiveLimits) New(now time.Time, c LimitConfig) ServerLimit {
	l := &adaptiveLimit{}
	l.Configure(c)
	l.resetToCold(now, false)
	return l
}

// Share implements Limits. The members that prefer the server (see Sharers.Home)
// divide the limit less remoteZoneFraction, and the other members divide that
// fraction. If all members prefer the server, or none does, they divide the whole
// limit. The instances of a zone prefer the servers of their zone, so a zone that
// is partitioned from the others can use most of its own servers' capacity.
//
// The shares of all ranks add up to the limit. An additional member, or a higher
// rank in the same group, never makes a share larger. While only some instances
// know of a new member, the sum therefore exceeds the limit by at most the share
// of that member.
func (AdaptiveLimits) Share(limit, rank int, among Sharers) int {
	if rank < 0 || rank >= among.Members || limit <= 0 {
		return 0
	}
	if among.Home == 0 || among.Home == among.Members {
		return divide(limit, rank, among.Members)
	}
	remote := int(float64(limit) * remoteZoneFraction)
	if rank < among.Home {
		return divide(limit-remote, rank, among.Home)
	}
	return divide(remote, rank-among.Home, among.Members-among.Home)
}

// divide returns the share of one rank if total is divided equally among members.
// The lowest ranks get the remainder, one each.
func divide(total, rank, members int) int {
	share := total / members
	if rank < total%members {
		share++
	}
	return share
}

// adaptiveLimit is the adaptive limit of one server. It is at least 1 and at most
// maxLimit, and at most coldLimit while the server is cold.
type adaptiveLimit struct {
	coldLimit, maxLimit float64 // upper bounds while cold, and while warm
	limit               float64
	lastDecrease        time.Time
	lastReportIncrease  time.Time // last increase by a load report
	// lastSample is the time at which the instance's last call ended.
	lastSample          time.Time
	boot                string
	version             string
	warmth              float64
	classes             [sizeClasses]classLatency
	successes           int32 // successes at the limit since the server became cold
	consecutiveFailures int32
	cold                bool
	// slowStart is true from the end of the cold state until the first decrease.
	// Meanwhile the limit roughly doubles with each round of calls.
	slowStart bool
	// suspect is true after a latency jump, a stall, a broken connection or
	// consecutive failures, until a call has normal latency again or
	// suspicionTimeout has passed. Load reports do not end the cold state of a
	// suspect server.
	suspect  bool
	reported bool // a load report has arrived
	// reportsWarmth is true once a report contained a warmth above 0.
	reportsWarmth bool
}

// Configure implements ServerLimit.
func (l *adaptiveLimit) Configure(c LimitConfig) {
	l.maxLimit = float64(max(1, c.Max))
	l.coldLimit = min(float64(max(1, c.Cold)), l.maxLimit)
	l.limit = min(l.limit, l.maxLimit)
	if l.cold {
		l.limit = min(l.limit, l.coldLimit)
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
		l.resetToCold(now, true)
		return
	}
	if s.DeadlineExceeded {
		if class.addDeadlineExceeded(s.Latency) {
			l.resetToCold(now, true)
		}
		return
	}
	if !s.OK {
		l.observeFailure(now)
		return
	}
	l.consecutiveFailures = 0
	switch class.add(now, s.Latency) {
	case latencyJump:
		l.resetToCold(now, true)
	case latencyHigh:
		l.decrease(now, latencyDecreaseFactor, time.Duration(class.smoothed))
	case latencyNormal:
		l.suspect = false
		l.observeSuccess(now, s)
	}
}

// observeSuccess records a successful call of normal latency. Only a call that
// used the instance's full share is evidence that the server sustains more.
func (l *adaptiveLimit) observeSuccess(now time.Time, s CallSample) {
	if s.Allowance <= 0 || s.InFlight < s.Allowance {
		return
	}
	if l.cold {
		l.successes++
		if l.successes >= l.successesNeeded() {
			l.endCold(now)
		}
		return
	}
	round := float64(s.Allowance)
	if l.slowStart {
		l.increase(l.limit / round)
		return
	}
	l.increase(max(1, l.maxLimit*additiveIncreaseFraction) / round)
}

// successesNeeded returns the number of successes that end the cold state.
func (l *adaptiveLimit) successesNeeded() int32 {
	switch {
	case !l.reported:
		return warmUpSuccesses
	case l.reportsWarmth && l.warmth < warmThreshold:
		return l.successes + 1 // only a report can end it
	case l.reportsWarmth:
		return warmUpSuccesses
	}
	return warmUpSuccessesUnreported
}

func (l *adaptiveLimit) increase(by float64) { l.limit = min(l.maxLimit, l.limit+by) }

func (l *adaptiveLimit) endCold(now time.Time) {
	l.cold = false
	l.slowStart = true
	l.lastReportIncrease = now
	l.successes = 0
}

// decrease multiplies the limit by factor, unless the last decrease was less than
// pause or minDecreaseInterval ago.
func (l *adaptiveLimit) decrease(now time.Time, factor float64, pause time.Duration) {
	l.slowStart = false
	if now.Sub(l.lastDecrease) < max(minDecreaseInterval, pause) {
		return
	}
	l.lastDecrease = now
	l.limit = max(1, l.limit*factor)
}

func (l *adaptiveLimit) observeFailure(now time.Time) {
	l.consecutiveFailures++
	if l.consecutiveFailures < failureThreshold {
		l.decrease(now, failureDecreaseFactor, 0)
		return
	}
	l.consecutiveFailures = 0
	l.resetToCold(now, true)
}

// resetToCold marks the server as cold and sets its cold limit. For a suspect
// server a limit that is already lower stays, since the server failed at it.
func (l *adaptiveLimit) resetToCold(now time.Time, suspect bool) {
	if !suspect || l.limit > l.coldLimit {
		l.limit = l.coldLimit
	}
	l.cold = true
	l.slowStart = false
	l.suspect = suspect
	l.successes = 0
	l.lastDecrease = now
}

// Stalled implements ServerLimit. It does not wait for results, because calls
// that hang give no sample until they end, and further calls would hang too.
func (l *adaptiveLimit) Stalled(now time.Time) {
	if !l.cold {
		l.resetToCold(now, true)
	}
}

// Report implements ServerLimit.
func (l *adaptiveLimit) Report(now time.Time, r LoadReport) {
	restarted := l.reported && r.Boot != l.boot
	if l.reported && r.Version != l.version {
		l.classes = [sizeClasses]classLatency{}
	}
	if restarted {
		l.resetLatency()
		l.reportsWarmth = false
	}
	l.reported = true
	l.boot, l.version, l.warmth = r.Boot, r.Version, r.Warm
	l.reportsWarmth = l.reportsWarmth || r.Warm > 0
	if restarted || (r.Warm < warmThreshold && l.reportsWarmth && !l.cold) {
		l.resetToCold(now, false)
	}
	idleTime := now.Sub(l.lastSample)
	l.suspect = l.suspect && idleTime < suspicionTimeout
	if r.Warm < warmThreshold || l.suspect {
		return
	}
	if l.cold {
		l.endCold(now)
	}
	l.increaseByReport(now, r)
}

// increaseByReport raises the limit of a warm server that runs the calls of other
// instances without queueing. An instance whose share is 0 gets no samples of its
// own. It relies on the reported warmth alone, since the other instances use no
// more than their shares and so may never reach the limit.
func (l *adaptiveLimit) increaseByReport(now time.Time, r LoadReport) {
	if r.Waiting > 0 || now.Sub(l.lastReportIncrease) < reportIncreaseInterval {
		return
	}
	running := float64(r.Running)
	idle := now.Sub(l.lastSample) >= idleAfter
	switch {
	case !l.slowStart && now.Sub(l.lastDecrease) < reportIncreaseHoldOff:
		return
	case !l.slowStart && !idle:
		l.limit = min(l.maxLimit, max(running, l.limit))
		return
	case !idle && running < busyFraction*l.limit:
		return
	}
	steps := float64(now.Sub(l.lastReportIncrease)) / float64(reportIncreaseInterval)
	l.lastReportIncrease = now
	factor := min(math.Pow(reportIncreaseFactor, steps), maxReportIncreaseFactor)
	l.limit = min(l.maxLimit, max(running, l.limit*factor))
}

func (l *adaptiveLimit) resetLatency() {
	for i := range l.classes {
		l.classes[i].resetSmoothed()
	}
}
