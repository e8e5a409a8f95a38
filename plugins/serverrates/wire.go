package serverrates

import (
	"time"

	"github.com/savoryfold/savoryfold/policy"
)

const (
	turnsPath = "/server-turns"
	// maxTurnRequestBytes bounds the body of a request for a turn.
	maxTurnRequestBytes = 4 << 10
)

// turnRequest asks a grantor for a turn to send a request to a server, and tells it
// what the server has stated.
type turnRequest struct {
	Server string `cbor:"1,keyasint"`
	// Start is the start time of the server, in Unix milliseconds.
	Start    int64  `cbor:"2,keyasint"`
	Instance string `cbor:"3,keyasint"`
	// Turn is false if only the statement is reported.
	Turn      bool          `cbor:"4,keyasint,omitempty"`
	Cold      bool          `cbor:"5,keyasint,omitempty"`
	Priority  int           `cbor:"6,keyasint,omitempty"`
	Statement wireStatement `cbor:"7,keyasint,omitempty"`
}

// turnResponse is the response of a grantor.
type turnResponse struct {
	Granted bool          `cbor:"1,keyasint,omitempty"`
	RetryIn time.Duration `cbor:"2,keyasint,omitempty"`
	// Refused is true if the instance is no grantor of the server or does not know it.
	Refused   bool          `cbor:"3,keyasint,omitempty"`
	Statement wireStatement `cbor:"4,keyasint,omitempty"`
}

func (r turnResponse) turn() policy.Turn { return policy.Turn{Granted: r.Granted, RetryIn: r.RetryIn} }

// wireStatement is a policy.RateStatement. Instances have different clocks, so it holds
// ages instead of times.
type wireStatement struct {
	Known       bool          `cbor:"1,keyasint,omitempty"`
	Rate        float64       `cbor:"2,keyasint,omitempty"`
	SentAge     time.Duration `cbor:"3,keyasint,omitempty"`
	ReceivedAge time.Duration `cbor:"4,keyasint,omitempty"`
}

func encodeStatement(now time.Time, s policy.RateStatement) wireStatement {
	return wireStatement{Known: true, Rate: s.Rate, SentAge: now.Sub(s.Sent), ReceivedAge: now.Sub(s.Received)}
}

// decode returns the statement, and whether there is a valid one. transit is the longest
// time that the message may have taken: the server may have made the statement so much
// earlier.
func (w wireStatement) decode(now time.Time, transit time.Duration) (policy.RateStatement, bool) {
	valid := w.Known && w.Rate >= 0 && w.Rate <= policy.MaxRateLimit && w.ReceivedAge >= 0 && w.SentAge >= w.ReceivedAge && w.SentAge <= 2*limitTTL
	return policy.RateStatement{Rate: w.Rate, Sent: now.Add(-w.SentAge - transit), Received: now.Add(-w.ReceivedAge)}, valid
}
