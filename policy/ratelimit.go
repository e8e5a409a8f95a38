package policy

import (
	"cmp"
	"slices"
	"time"
)

// RateStatement is what one response of a server says about the rate of requests
// that the server accepts.
type RateStatement struct {
	// Rate is the number of requests per second that the server accepts from all
	// instances together; 0 if the response states no limit.
	Rate float64
	// Sent is when the request was sent, Received when the head of its response
	// arrived. The server made the statement in between.
	Sent, Received time.Time
}

// The bounds of a limit, in requests per second. A server that accepts nothing would
// never be asked again, and so could not lift its limit. A limit above the upper bound
// limits nothing.
const (
	minRateLimit = 0.1
	MaxRateLimit = 1e6
)

// RateObservation is a response of a server, as evidence of its rate limit.
type RateObservation struct {
	// Rate is the limit in requests per second that the response states. It is valid
	// if Stated is true. Err is set if the response states a limit that cannot be
	// used.
	Rate   float64
	Stated bool
	Err    error
	// Ran is false if the server refused the request.
	Ran bool
	// Sent is when the request was sent, Received when the head of its response
	// arrived.
	Sent, Received time.Time
}

// Statement returns what the response states, and whether it states anything. Only a
// response of a server that ran the request shows that there is no limit. A rate out
// of bounds is replaced by the nearest bound.
func (o RateObservation) Statement() (RateStatement, bool) {
	s := RateStatement{Sent: o.Sent, Received: o.Received}
	if o.Stated {
		s.Rate = min(max(o.Rate, minRateLimit), MaxRateLimit)
	}
	return s, o.Stated || o.Ran && o.Err == nil
}

// maxRateStatements bounds the statements that a RateLimit keeps.
const maxRateStatements = 8

// RateLimit is the rate limit that a server states. Responses may arrive in another
// order than that in which they were made, so it keeps every statement that may be the
// newest, one for each rate. The lowest of their limits is in force. The zero value
// states no limit and is older than any statement.
type RateLimit struct{ statements []RateStatement }

// Known reports whether a statement has been observed.
func (l *RateLimit) Known() bool { return len(l.statements) > 0 }

// Rate returns the limit in requests per second, 0 if there is none.
func (l *RateLimit) Rate() float64 { return l.InForce().Rate }

// InForce returns the statement of the limit, or that of no limit.
func (l *RateLimit) InForce() RateStatement {
	var lowest RateStatement
	for i, s := range l.statements {
		if i == 0 || s.Rate > 0 && (lowest.Rate == 0 || s.Rate < lowest.Rate) {
			lowest = s
		}
	}
	return lowest
}

// Observe applies a statement and reports whether the limit has changed. It replaces
// the statements that were received before its request was sent.
func (l *RateLimit) Observe(s RateStatement) (changed bool) {
	before := l.Rate()
	kept := l.statements[:0:0]
	for _, old := range l.statements {
		switch {
		case s.Received.Before(old.Sent):
			return false // s is older
		case old.Rate == s.Rate:
			s.Sent, s.Received = later(s.Sent, old.Sent), later(s.Received, old.Received)
		case s.Sent.Before(old.Received):
			kept = append(kept, old)
		}
	}
	l.statements = append(kept, s)
	if len(l.statements) > maxRateStatements {
		l.dropHighest()
	}
	return l.Rate() != before
}

// dropHighest drops the statement that limits least.
func (l *RateLimit) dropHighest() {
	limitsLess := func(a, b RateStatement) int {
		if a.Rate == 0 || b.Rate == 0 {
			return cmp.Compare(b.Rate, a.Rate)
		}
		return cmp.Compare(a.Rate, b.Rate)
	}
	slices.SortStableFunc(l.statements, limitsLess)
	l.statements = l.statements[:maxRateStatements]
}
