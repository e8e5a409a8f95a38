package policy

import (
	"slices"
	"time"
)

// Some servers state the rate of requests that they accept from all instances
// together: a limit of their own, or a rate while they are cold. One instance, the
// server's grantor, grants each request its turn: the right to be sent. A fixed share for each instance would
// waste the shares of those without requests, and below one request per second and
// instance the first requests alone would exceed the rate.

const (
	// grantedFraction is the fraction of a server's rate that its grantor grants. The
	// rest is for requests of instances that do not know of the limit yet.
	grantedFraction = 0.9
	// reducedFraction is the fraction of that for an instance that others may not
	// regard as the grantor. While views differ, up to two such instances may grant
	// beside the grantor.
	reducedFraction = 1.0 / 3
	// burstTime is the time for which unused turns accumulate, beyond the next one.
	// grantorBurst is the number of further turns that accumulate at the grantor, for
	// the time until a waiting instance comes back.
	burstTime    = 50 * time.Millisecond
	grantorBurst = 1
	// oversubscription is the number of instances that are asked to come back for
	// each turn, since not every one will have a request then.
	oversubscription = 2
	// minTurnWait and maxTurnWait bound the wait of a denied instance. The upper bound
	// limits how long a turn may stay unused after the others have lost interest.
	minTurnWait = 20 * time.Millisecond
	maxTurnWait = 3 * time.Second
	// returnSlack is the time after its wait for which a denied instance keeps its
	// precedence.
	returnSlack = 50 * time.Millisecond
	// maxWaiters bounds the denied instances that a grantor remembers.
	maxWaiters = 1024
)

// GrantorRole is the role of an instance in the division of a server's rate.
type GrantorRole struct {
	// Rank is the position, from 0, of the instance in the order of the server's
	// grantors.
	Rank int
	// Settled is true if the instance has had its rank for so long that all others
	// know it, and the others still count it as a member.
	Settled bool
}

// TurnRate is how many turns an instance may grant.
type TurnRate struct {
	// PerSecond is the rate of turns.
	PerSecond float64
	// Burst is the largest number of turns that accumulate.
	Burst float64
}

// GrantableRate returns the rate at which an instance may grant turns to send to a
// server. rate is the number of requests per second that the server accepts. The grantor
// has rank 0. The instance with rank 1 grants turns to those that cannot reach it.
func GrantableRate(rate float64, role GrantorRole) TurnRate {
	rate *= grantedFraction
	settled := role.Rank == 0 && role.Settled
	if role.Rank < 0 || role.Rank > 1 {
		return TurnRate{}
	}
	if !settled {
		rate *= reducedFraction
	}
	burst := 1 + rate*burstTime.Seconds()
	if settled {
		burst += grantorBurst
	}
	return TurnRate{PerSecond: rate, Burst: burst}
}

// Turn is the answer to a request for a turn to send.
type Turn struct {
	Granted bool
	// RetryIn is the time after which the instance should ask again if the turn is not
	// granted.
	RetryIn time.Duration
}

// RateDivision grants turns to send to one server. The zero value is ready to use and
// starts without a turn, so that a restart brings none. It is not safe for concurrent
// use.
type RateDivision struct {
	turns   float64 // turns that may be granted, at updated
	updated time.Time
	waiters []turnWaiter
}

// turnWaiter is an instance that was denied a turn. Until it expires, the next turns
// are kept for it against less urgent requests.
type turnWaiter struct {
	instance string
	priority int
	expires  time.Time
}

// Take asks for a turn for an instance. priority is that of the instance's request; 0 is
// the most urgent.
func (d *RateDivision) Take(now time.Time, rate TurnRate, instance string, priority int) Turn {
	if rate.PerSecond <= 0 {
		return Turn{RetryIn: maxTurnWait}
	}
	d.refill(now, rate)
	d.waiters = slices.DeleteFunc(d.waiters, func(w turnWaiter) bool { return w.instance == instance || !now.Before(w.expires) })
	moreUrgent, ahead := 0, 0
	for _, w := range d.waiters {
		if w.priority < priority {
			moreUrgent++
		}
		if w.priority <= priority {
			ahead++
		}
	}
	if d.turns >= float64(1+moreUrgent) {
		d.turns--
		return Turn{Granted: true}
	}
	missing := 1 + float64(ahead) - d.turns
	wait := time.Duration(missing / (oversubscription * rate.PerSecond) * float64(time.Second))
	// The next turn cannot come sooner, however few instances wait.
	wait = max(wait, time.Duration((1-d.turns)/rate.PerSecond*float64(time.Second)))
	wait = min(max(wait, minTurnWait), maxTurnWait)
	if len(d.waiters) < maxWaiters {
		d.waiters = append(d.waiters, turnWaiter{instance, priority, now.Add(wait + returnSlack)})
	}
	return Turn{RetryIn: wait}
}

func (d *RateDivision) refill(now time.Time, rate TurnRate) {
	if d.updated.IsZero() {
		d.updated = now
	}
	if elapsed := now.Sub(d.updated); elapsed > 0 {
		d.turns = min(d.turns+rate.PerSecond*elapsed.Seconds(), rate.Burst)
		d.updated = now
	}
}

// TurnWait is the time for which an instance asks for no turn to send to one server,
// after it was denied one. The zero value is no wait.
type TurnWait struct {
	until    time.Time
	priority int
}

// Denied records that a request of the given priority was denied a turn.
func (w *TurnWait) Denied(now time.Time, retryIn time.Duration, priority int) {
	w.until, w.priority = now.Add(retryIn), priority
}

// Remaining returns how long a request of the given priority has to wait. A more
// urgent request than the one that was denied may ask at once.
func (w *TurnWait) Remaining(now time.Time, priority int) time.Duration {
	if priority < w.priority {
		return 0
	}
	return max(0, w.until.Sub(now))
}
