package policy

import (
	"math"
	"sync"
	"time"
)

const (
	// usageHalfLife is the half-life of the exponential decay of an account's
	// usage.
	usageHalfLife = 2 * time.Second
	// idleUsage is the usage, in cost units, below which an account is idle and
	// its state is removed.
	idleUsage = 0.01
	// sweepInterval is the time between two removals of idle accounts.
	sweepInterval = 10 * time.Second
	// minRetryAfter and maxRetryAfter bound AdmissionDecision.RetryAfter.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 10 * time.Second
	// maxDeadlineFraction is the fraction of the time to the deadline that the
	// predicted duration may take.
	maxDeadlineFraction = 0.75
	// weightSumInterval is the time between two computations of the sum of the
	// active accounts' weights.
	weightSumInterval = 100 * time.Millisecond
	// probeInterval is the time between two probes. A probe is a request that is
	// admitted although it is predicted to be late, while no call waits. It
	// corrects outdated estimates of the stages' durations, which would
	// otherwise refuse every request.
	probeInterval = 500 * time.Millisecond
	// An account's waitFactor is multiplied by waitFactorIncrease after a late
	// request and by waitFactorDecay after a served one, and is at most
	// maxWaitFactor. It rises at most once in waitFactorIncreaseInterval, since
	// the late requests of one queue were admitted with the same forecast.
	waitFactorIncrease         = 2.0
	waitFactorDecay            = 0.995
	maxWaitFactor              = 16
	waitFactorIncreaseInterval = 200 * time.Millisecond
	// waitFactorHalfLife is the half-life of the decay of waitFactor towards 1.
	waitFactorHalfLife = 30 * time.Second
	// pressureThreshold is the fraction of a request's spare time that the queue
	// wait may take before fair shares are enforced.
	pressureThreshold = 0.25
)

// Reasons of StandardAdmission.
const (
	reasonInTime        Reason = "in-time"
	reasonPredictedLate Reason = "predicted-late"
	reasonOverFairShare Reason = "over-fair-share"
	reasonProbe         Reason = "probe"
)

// StandardAdmission refuses requests that are predicted to miss their deadline.
// While queues grow, it also refuses requests of accounts that use more than
// their weighted fair share.
type StandardAdmission struct {
	mu          sync.Mutex
	accounts    map[string]*accountUsage // guarded by mu
	totalUsage  float64                  // usage of all accounts at time updated; guarded by mu
	updated     time.Time                // guarded by mu
	weightSum   float64                  // sum over active accounts at time weightSumAt; guarded by mu
	weightSumAt time.Time                // guarded by mu
	lastSweep   time.Time                // guarded by mu
	lastProbe   time.Time                // guarded by mu
}

// accountUsage is the recent work of one client account, in cost units. Work
// counts from the admission of its request and decays with usageHalfLife.
type accountUsage struct {
	usage   float64
	weight  float64
	updated time.Time
	// waitFactor multiplies the predicted queue wait of the account's requests,
	// because calls of other accounts that arrive later may be served first.
	waitFactor       float64
	waitFactorRaised int64 // Unix nanoseconds of the last increase
}

// NewStandardAdmission returns a StandardAdmission without recorded usage.
func NewStandardAdmission() *StandardAdmission {
	return &StandardAdmission{accounts: make(map[string]*accountUsage)}
}

// Admit implements Admission.
func (a *StandardAdmission) Admit(now time.Time, r Request, stages []StageForecast) AdmissionDecision {
	a.mu.Lock()
	defer a.mu.Unlock()
	account := a.account(now, r)
	p := predict(stages)
	p.wait = time.Duration(float64(p.wait) * account.waitFactor)
	available := time.Duration(maxDeadlineFraction * float64(r.Deadline.Sub(now)))
	d := AdmissionDecision{Admit: true, Reason: reasonInTime, Predicted: p.total(), Slowest: p.slowest}
	switch {
	case d.Predicted > available && p.wait == 0 && now.Sub(a.lastProbe) >= probeInterval:
		a.lastProbe = now
		d.Reason = reasonProbe
	case d.Predicted > available:
		return refuse(d, reasonPredictedLate, d.Predicted-available)
	case a.overFairShare(account, pressure(p, available)):
		return refuse(d, reasonOverFairShare, p.wait)
	}
	a.add(account, max(r.Cost, minCost))
	return d
}

// Finish implements Admission.
func (a *StandardAdmission) Finish(now time.Time, r Request, f Finish) {
	a.mu.Lock()
	defer a.mu.Unlock()
	account := a.account(now, r)
	a.add(account, max(f.Cost-max(r.Cost, minCost), -account.usage))
	switch {
	case f.Late && now.UnixNano()-account.waitFactorRaised >= int64(waitFactorIncreaseInterval):
		account.waitFactorRaised = now.UnixNano()
		account.waitFactor = min(account.waitFactor*waitFactorIncrease, maxWaitFactor)
	case f.Served:
		account.waitFactor = max(account.waitFactor*waitFactorDecay, 1)
	}
	a.sweep(now)
}

func refuse(d AdmissionDecision, reason Reason, after time.Duration) AdmissionDecision {
	d.Admit = false
	d.Reason = reason
	d.RetryAfter = min(max(after, minRetryAfter), maxRetryAfter)
	return d
}

// prediction is the predicted duration of a request.
type prediction struct {
	wait    time.Duration // queue wait
	service time.Duration // high quantile of the sum of the calls' durations
	slowest int           // index of the stage with the longest wait and call
}

func (p prediction) total() time.Duration { return p.wait + p.service }

// predict adds up the stages. It does not add up the high quantiles: the spread
// of a sum of independent durations is the root of the sum of the squared
// spreads.
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

// queueWait returns the expected time until a call that joins the queue now
// gets a call slot.
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

// pressure returns the fraction of a request's spare time that its predicted
// queue wait takes.
func pressure(p prediction, available time.Duration) float64 {
	spare := available - p.service
	if spare <= 0 {
		return 1
	}
	return float64(p.wait) / float64(spare)
}

// overFairShare reports whether an account exceeds its fair share at the given
// pressure. The queue wait may take a fraction of the spare time that is
// inversely proportional to the account's usage: all of it for an account at
// its share, half of it for one at twice its share.
func (a *StandardAdmission) overFairShare(account *accountUsage, pressure float64) bool {
	if pressure <= pressureThreshold {
		return false
	}
	weights := a.activeWeightSum()
	if a.totalUsage <= 0 || weights <= account.weight {
		return false
	}
	fair := a.totalUsage * account.weight / weights
	return account.usage*pressure > fair
}

// activeWeightSum returns the sum of the weights of accounts that are not idle.
// It is recomputed at most once per weightSumInterval.
func (a *StandardAdmission) activeWeightSum() float64 {
	if a.updated.Sub(a.weightSumAt) < weightSumInterval {
		return a.weightSum
	}
	a.weightSumAt = a.updated
	a.weightSum = 0
	for _, u := range a.accounts {
		if a.decayedUsage(u) >= idleUsage {
			a.weightSum += u.weight
		}
	}
	return a.weightSum
}

// decayedUsage returns an account's usage as of the last update of totalUsage.
func (a *StandardAdmission) decayedUsage(u *accountUsage) float64 {
	return u.usage * decay(a.updated.Sub(u.updated), usageHalfLife)
}

// account returns an account's usage. It decays the account's usage and
// totalUsage up to now.
func (a *StandardAdmission) account(now time.Time, r Request) *accountUsage {
	if now.After(a.updated) {
		a.totalUsage *= decay(now.Sub(a.updated), usageHalfLife)
		a.updated = now
	}
	u := a.accounts[r.Account]
	if u == nil {
		u = &accountUsage{updated: a.updated, waitFactor: 1}
		a.accounts[r.Account] = u
	}
	u.weight = max(r.Weight, minWeight)
	u.waitFactor = 1 + (u.waitFactor-1)*decay(a.updated.Sub(u.updated), waitFactorHalfLife)
	u.usage = a.decayedUsage(u)
	u.updated = a.updated
	return u
}

func (a *StandardAdmission) add(u *accountUsage, cost float64) {
	u.usage += cost
	a.totalUsage += cost
}

// decay returns the fraction that remains after d of a quantity that decays
// exponentially with the given half-life.
func decay(d, halfLife time.Duration) float64 {
	return math.Exp2(-float64(d) / float64(halfLife))
}

// sweep removes idle accounts, at most once per sweepInterval.
func (a *StandardAdmission) sweep(now time.Time) {
	if now.Sub(a.lastSweep) < sweepInterval {
		return
	}
	a.lastSweep = now
	for name, u := range a.accounts {
		if a.decayedUsage(u) < idleUsage {
			delete(a.accounts, name)
		}
	}
}

// AccountShare is an account's recent usage in the state dump.
type AccountShare struct {
	Usage      float64 `json:"use"`
	Weight     float64 `json:"weight"`
	WaitFactor float64 `json:"stretch"`
}

// Dump returns the recent usage by account.
func (a *StandardAdmission) Dump() any {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make(map[string]AccountShare, len(a.accounts))
	for name, u := range a.accounts {
		out[name] = AccountShare{a.decayedUsage(u), u.weight, u.waitFactor}
	}
	return out
}
