package policy

import (
	"math"
	"sync"
	"time"
)

const (
	// usageHalfLife is the time after which work counts half in an account's use.
	usageHalfLife = 2 * time.Second
	// usageForgotten is the use, in cost units, below which an idle account is
	// forgotten.
	usageForgotten = 0.01
	// sweepInterval is the time between two searches for idle accounts.
	sweepInterval = 10 * time.Second
	// minRetryAfter and maxRetryAfter bound what callers are told.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 10 * time.Second
	// slackPart is the part of the time to the deadline that a prediction may
	// use up.
	slackPart = 0.75
	// weighInterval is the time between two sums of the active accounts' weights.
	weighInterval = 100 * time.Millisecond
	// probeInterval is the time between two requests that are admitted although
	// their stages seem too slow while nothing waits, so that a view of the
	// stages that is out of date is found out.
	probeInterval = 500 * time.Millisecond
	// stretchLate and stretchServed change an account's stretch with each request
	// that was late or served; maxStretch bounds it. Late requests count once in stretchInterval, since
	// those of one queue were admitted by the same view.
	stretchLate     = 2.0
	stretchServed   = 0.995
	maxStretch      = 16
	stretchInterval = 200 * time.Millisecond
	// stretchHalfLife is the time after which a stretch has gone half the way
	// back.
	stretchHalfLife = 30 * time.Second
	// pressureFree is the part of the spare time that queues may take before
	// accounts are held to their shares.
	pressureFree = 0.25
)

// Reasons of StandardAdmission.
const (
	reasonInTime   Reason = "in-time"
	reasonTooLate  Reason = "predicted-late"
	reasonOverFair Reason = "over-fair-share"
	reasonProbe    Reason = "probe"
)

// StandardAdmission refuses a request that is predicted to miss its deadline
// and, while queues grow, one whose account uses more than its weighted share.
type StandardAdmission struct {
	mu       sync.Mutex
	accounts map[string]*accountUse // guarded by mu
	total    float64                // use of all accounts at time updated; guarded by mu
	updated  time.Time              // guarded by mu
	weights  float64                // sum over active accounts at time weighed; guarded by mu
	weighed  time.Time              // guarded by mu
	swept    time.Time              // guarded by mu
	probed   time.Time              // guarded by mu
}

// accountUse is the recent work of one client account, in cost units. Work
// counts from its admission and fades with usageHalfLife.
type accountUse struct {
	use     float64
	weight  float64
	updated time.Time
	// stretch is how many times longer than predicted the account is taken to
	// wait: calls of other accounts that come later may go first.
	stretch   float64
	stretched int64 // Unix nanoseconds of the last increase
}

// NewStandardAdmission returns an admission that knows no account yet.
func NewStandardAdmission() *StandardAdmission {
	return &StandardAdmission{accounts: make(map[string]*accountUse)}
}

// Admit implements Admission.
func (a *StandardAdmission) Admit(now time.Time, r Request, stages []StageForecast) AdmissionDecision {
	a.mu.Lock()
	defer a.mu.Unlock()
	use := a.account(now, r)
	p := predict(stages)
	p.wait = time.Duration(float64(p.wait) * use.stretch)
	left := time.Duration(slackPart * float64(r.Deadline.Sub(now)))
	d := AdmissionDecision{Admit: true, Reason: reasonInTime, Predicted: p.total(), Slowest: p.slowest}
	switch {
	case d.Predicted > left && p.wait == 0 && now.Sub(a.probed) >= probeInterval:
		a.probed = now
		d.Reason = reasonProbe
	case d.Predicted > left:
		return refuse(d, reasonTooLate, d.Predicted-left)
	case a.overShare(use, pressure(p, left)):
		return refuse(d, reasonOverFair, p.wait)
	}
	a.add(use, max(r.Cost, minCost))
	return d
}

// Finish implements Admission.
func (a *StandardAdmission) Finish(now time.Time, r Request, f Finish) {
	a.mu.Lock()
	defer a.mu.Unlock()
	use := a.account(now, r)
	a.add(use, max(f.Cost-max(r.Cost, minCost), -use.use))
	switch {
	case f.Late && now.UnixNano()-use.stretched >= int64(stretchInterval):
		use.stretched = now.UnixNano()
		use.stretch = min(use.stretch*stretchLate, maxStretch)
	case f.Served:
		use.stretch = max(use.stretch*stretchServed, 1)
	}
	a.sweep(now)
}

func refuse(d AdmissionDecision, reason Reason, after time.Duration) AdmissionDecision {
	d.Admit = false
	d.Reason = reason
	d.RetryAfter = min(max(after, minRetryAfter), maxRetryAfter)
	return d
}

// prediction is the time that a request will take.
type prediction struct {
	wait    time.Duration // in queues
	service time.Duration // in calls, a high quantile of their sum
	slowest int           // index of the stage with the longest time
}

func (p prediction) total() time.Duration { return p.wait + p.service }

// predict adds up the stages. The spread of the sum of independent times grows
// with the root of the sum of squares, not with the sum of the high quantiles.
func predict(stages []StageForecast) prediction {
	var p prediction
	var spread float64
	var longest time.Duration
	for i := range stages {
		s := &stages[i]
		wait := queueWait(s)
		if wait+s.ServiceHigh > longest {
			longest, p.slowest = wait+s.ServiceHigh, i
		}
		p.wait += wait
		p.service += s.Service
		above := float64(max(0, s.ServiceHigh-s.Service))
		spread += above * above
	}
	p.service += time.Duration(math.Sqrt(spread))
	return p
}

// queueWait is the expected time until a call that joins the queue now has its
// call slot.
func queueWait(s *StageForecast) time.Duration {
	if s.Capacity <= 0 {
		return 0
	}
	work := s.Ahead
	if s.InFlight >= s.Capacity {
		work += s.Hold
	}
	return work / time.Duration(s.Capacity)
}

// pressure is the part of a request's spare time that queues will take.
func pressure(p prediction, left time.Duration) float64 {
	spare := left - p.service
	if spare <= 0 {
		return 1
	}
	return float64(p.wait) / float64(spare)
}

// overShare reports whether an account is to wait for the others. The account
// may use the more of the spare time for queues, the less it uses of the work:
// one at its share all, one at twice its share half of it.
func (a *StandardAdmission) overShare(use *accountUse, pressure float64) bool {
	if pressure <= pressureFree {
		return false
	}
	weights := a.activeWeights()
	if a.total <= 0 || weights <= use.weight {
		return false
	}
	fair := a.total * use.weight / weights
	return use.use*pressure > fair
}

// activeWeights is the sum of the weights of accounts in use.
func (a *StandardAdmission) activeWeights() float64 {
	if a.updated.Sub(a.weighed) < weighInterval {
		return a.weights
	}
	a.weighed = a.updated
	a.weights = 0
	for _, u := range a.accounts {
		if a.fresh(u) >= usageForgotten {
			a.weights += u.weight
		}
	}
	return a.weights
}

// fresh is an account's use at the time of the last update of the total.
func (a *StandardAdmission) fresh(u *accountUse) float64 {
	return u.use * fade(a.updated.Sub(u.updated), usageHalfLife)
}

// account returns an account's use, brought up to now together with the total.
func (a *StandardAdmission) account(now time.Time, r Request) *accountUse {
	if now.After(a.updated) {
		a.total *= fade(now.Sub(a.updated), usageHalfLife)
		a.updated = now
	}
	u := a.accounts[r.Account]
	if u == nil {
		u = &accountUse{updated: a.updated, stretch: 1}
		a.accounts[r.Account] = u
	}
	u.weight = max(r.Weight, minWeight)
	u.stretch = 1 + (u.stretch-1)*fade(a.updated.Sub(u.updated), stretchHalfLife)
	u.use = a.fresh(u)
	u.updated = a.updated
	return u
}

func (a *StandardAdmission) add(u *accountUse, cost float64) {
	u.use += cost
	a.total += cost
}

// fade is the part that is left after a time.
func fade(d, halfLife time.Duration) float64 {
	return math.Exp2(-float64(d) / float64(halfLife))
}

// sweep forgets idle accounts.
func (a *StandardAdmission) sweep(now time.Time) {
	if now.Sub(a.swept) < sweepInterval {
		return
	}
	a.swept = now
	for name, u := range a.accounts {
		if a.fresh(u) < usageForgotten {
			delete(a.accounts, name)
		}
	}
}

// AccountShare is an account's recent use, for the dump.
type AccountShare struct {
	Use     float64 `json:"use"`
	Weight  float64 `json:"weight"`
	Stretch float64 `json:"stretch"`
}

// Dump returns the recent use by account.
func (a *StandardAdmission) Dump() any {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make(map[string]AccountShare, len(a.accounts))
	for name, u := range a.accounts {
		out[name] = AccountShare{a.fresh(u), u.weight, u.stretch}
	}
	return out
}
