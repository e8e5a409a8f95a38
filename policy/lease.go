package policy

import (
	"time"
)

// LeaseTimes are the time limits of a lease.
type LeaseTimes struct {
	// Term is the time without a record of the holder after which another instance takes the
	// lease, and the minimum time between the calls of two holders.
	Term time.Duration
	// Renew is the time from one record of the holder to the next.
	Renew time.Duration
	// TakeoverDelay is how much longer each candidate waits than the one ranked before it.
	TakeoverDelay time.Duration
	// CallBegin bounds the time from sending a record until a call that relies on it begins,
	// CallEnd the duration of the call.
	CallBegin, CallEnd time.Duration
	// Confirmed bounds the time from the store's confirmation of a record until a call that
	// relies on it begins. A process that was frozen between them makes its call within this
	// time after its thaw, whatever its clocks say.
	Confirmed time.Duration
	// Undelivered bounds the time from sending a call until the platform's machine has it. A
	// call that takes longer is dropped.
	Undelivered time.Duration
}

// Parts of the lease's term.
const (
	renewPart         = 0.4
	takeoverDelayPart = 1. / 6
	callBeginPart     = 1. / 3
	callEndPart       = 1. / 2
	// confirmedPart is the part of the time after a thaw, in which calls are excused.
	confirmedPart = 0.5
)

// NewLeaseTimes returns the time limits for a term, and for the time after the thaw of a frozen
// process within which its late calls are excused.
func NewLeaseTimes(term, thaw time.Duration) LeaseTimes {
	part := func(share float64, of time.Duration) time.Duration { return time.Duration(share * float64(of)) }
	confirmed := min(part(confirmedPart, thaw), part(callBeginPart, term))
	return LeaseTimes{
		Term: term, Renew: part(renewPart, term), TakeoverDelay: part(takeoverDelayPart, term),
		CallBegin: part(callBeginPart, term), CallEnd: part(callEndPart, term), Confirmed: confirmed, Undelivered: max(thaw-confirmed, time.Millisecond),
	}
}

// LeaseRecord is a record of the lease's log. The latest one states who holds the lease.
type LeaseRecord struct {
	Instance, Address string
	// Incarnation differs for every process, also for two of the same name.
	Incarnation string
	// Token rises with each acquisition.
	Token uint64
	// Era is the store's era in which the record was written. A record of another era states
	// nothing about the present holder.
	Era uint64
	// Renewal counts the records of a holder.
	Renewal  uint64
	Released bool
}

// LeaseStep is what an instance does next for the lease.
type LeaseStep int

// The steps.
const (
	// LeaseIdle: nothing until the next check.
	LeaseIdle LeaseStep = iota
	// LeaseList: read the newest records.
	LeaseList
	// LeaseFollow: wait for the next record.
	LeaseFollow
	// LeaseAppend: append the next record at the end of the log.
	LeaseAppend
)

// MaxLeaseToken is the largest token that a JSON number holds exactly.
const MaxLeaseToken = 1<<53 - 1

// eraShift is the number of bits of the tokens of one era.
const eraShift = 32

// Lease is one instance's view of a lease that is kept in a log whose appends are conditional
// on its end. It performs no I/O and has no clock. It is not safe for concurrent use.
//
// The log orders holders, not clocks. A holder calls only after a record of its own was
// appended at the end that it knows, within LeaseTimes.CallBegin of sending the record, and
// each call ends within CallEnd. Together they are shorter than Term. A successor appends a
// record, too, and calls once Term has passed since it received the last record of its
// predecessor, which then can no longer append. So no call of a holder comes after one of its
// successor, and if the predecessor follows again, its calls are Term apart: it waits as well.
type Lease struct {
	self  LeaseRecord
	times LeaseTimes

	// known is true while end is the end of the log as far as this instance knows.
	known bool
	era   uint64
	end   uint64
	// last is the latest record; its incarnation is empty if there is none.
	last LeaseRecord
	// seen is when last was received.
	seen time.Time
	// highest is the highest token that is known.
	highest uint64
	// notBefore is when this instance may make its first call: Term after it has received the
	// latest record of another incarnation.
	notBefore time.Time
	// sent and confirmed are when this incarnation's last appended record was sent, and when
	// the store's confirmation arrived.
	sent, confirmed time.Time
}

// NewLease returns a lease that is not held. self names the instance, its address and its
// incarnation.
func NewLease(self LeaseRecord, times LeaseTimes) *Lease { return &Lease{self: self, times: times} }

// Listed sets the view to the newest record, nil if the log is empty, and the end of the log.
func (l *Lease) Listed(now time.Time, era, end uint64, newest *LeaseRecord) {
	l.known, l.era, l.end = true, era, end
	if newest == nil {
		l.last, l.seen = LeaseRecord{}, now
		l.waitTerm(now)
		return
	}
	l.observe(now, *newest)
}

// Followed records the record at the end of the log.
func (l *Lease) Followed(now time.Time, r LeaseRecord) {
	l.end++
	l.observe(now, r)
}

// observe records the latest record. now is when it was received, which is not before it was
// appended.
func (l *Lease) observe(now time.Time, r LeaseRecord) {
	l.last, l.seen = r, now
	l.highest = max(l.highest, min(r.Token, MaxLeaseToken))
	if r.Era != l.era || r.Incarnation != l.self.Incarnation {
		l.waitTerm(now)
	}
}

// waitTerm lets this instance make no call until Term has passed.
func (l *Lease) waitTerm(now time.Time) {
	if t := now.Add(l.times.Term); t.After(l.notBefore) {
		l.notBefore = t
	}
}

// LearnToken records a token that another instance knows. If it is higher than that of this
// instance's lease, another one has held it since: the store was restored, and the log does not
// show that.
func (l *Lease) LearnToken(now time.Time, token uint64) {
	if token <= l.highest || token > MaxLeaseToken {
		return
	}
	l.highest = token
	l.waitTerm(now)
}

// Forget drops the view, so that the log is listed: an append has failed or its result is
// unknown, or the log no longer has the records after the end that this instance knows.
func (l *Lease) Forget() { l.known = false }

// Known reports whether the view is the log's as far as this instance knows, so that an append
// may succeed.
func (l *Lease) Known() bool { return l.known }

// Mine reports whether the latest record is this incarnation's and it has not released the
// lease.
func (l *Lease) Mine() bool {
	return l.last.Incarnation == l.self.Incarnation && !l.last.Released && l.last.Era == l.era && l.last.Token == l.highest
}

// Holds reports whether this instance holds the lease, as far as it knows, and its term has not
// passed since its last record.
func (l *Lease) Holds(now time.Time) bool {
	return l.known && l.Mine() && !now.Before(l.notBefore) && elapsed(l.sent, now) < l.times.Term
}

// HeldLately reports whether this incarnation has held the lease within its term, as far as it
// knows, so that no other one can have made a call since.
func (l *Lease) HeldLately(now time.Time) bool {
	return l.Mine() && elapsed(l.sent, now) < l.times.Term
}

// MayCall reports whether a call may begin now.
func (l *Lease) MayCall(now time.Time) bool {
	return l.known && l.Mine() && !now.Before(l.notBefore) && elapsed(l.sent, now) <= l.times.CallBegin && elapsed(l.confirmed, now) <= l.times.Confirmed
}

// elapsed returns the time between two readings of the clocks: by the monotonic or the wall
// clock, whichever shows more. One of them may stop while the process or its machine is
// suspended.
func elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

// Latest returns the latest known record of the log.
func (l *Lease) Latest() LeaseRecord { return l.last }

// Highest returns the highest known token.
func (l *Lease) Highest() uint64 { return l.highest }

// NotBefore returns the time from which on this instance may make calls, if it holds the lease.
func (l *Lease) NotBefore() time.Time { return l.notBefore }

// Next returns the next step. rank is the position of this instance among the candidates for
// the lease, negative if it is none. A holder that is no candidate any more keeps the lease.
func (l *Lease) Next(now time.Time, rank int) LeaseStep {
	switch {
	case rank < 0 && !l.Mine():
		return LeaseIdle
	case !l.known:
		return LeaseList
	case l.Mine():
		if now.Sub(l.sent) >= l.times.Renew {
			return LeaseAppend
		}
		return LeaseIdle
	case now.Sub(l.seen) >= l.takeover(rank):
		return LeaseAppend
	}
	return LeaseFollow
}

// takeover returns the time without a record after which this instance takes the lease.
func (l *Lease) takeover(rank int) time.Duration {
	delay := time.Duration(rank) * l.times.TakeoverDelay
	if l.last.Incarnation == "" || l.last.Released || l.last.Era != l.era || l.last.Incarnation == l.self.Incarnation {
		return delay
	}
	return l.times.Term + delay
}

// Wait returns how long a LeaseFollow may wait for a record.
func (l *Lease) Wait(now time.Time, rank int) time.Duration {
	return max(0, l.takeover(rank)-now.Sub(l.seen))
}

// Record returns the next record of this instance, and the offset at which it has to be
// appended: a renewal if the lease is its own, else an acquisition.
func (l *Lease) Record() (r LeaseRecord, at uint64) {
	r = l.self
	r.Era = l.era
	if l.Mine() {
		r.Token, r.Renewal = l.last.Token, l.last.Renewal+1
	} else {
		r.Token = max(l.era<<eraShift+l.end+1, l.highest+1)
	}
	return r, l.end
}

// Appended records that the store has appended a record of this instance at the end of the log,
// which belonged to the given era.
func (l *Lease) Appended(sent, now time.Time, era uint64, r LeaseRecord) {
	if era != l.era || r.Era != era {
		l.known = false // the store was restored, and the offset has come again
		return
	}
	l.end++
	l.last, l.seen, l.sent, l.confirmed = r, now, sent, now
	l.highest = max(l.highest, r.Token)
}
