package policy

import "time"

// LimitConfig is what the table of pools says of a server's limit.
type LimitConfig struct {
	// Cold is the largest number of calls on a cold server, Max on a warm one,
	// over all instances together.
	Cold, Max int
}

// CallSample is the result of one call, as the limit of its server sees it.
type CallSample struct {
	// Latency is the time from dispatch to the end of the answer.
	Latency time.Duration
	// Class is the request's size class, whose latencies are compared.
	Class string
	OK    bool
	// Cut is true if the request's deadline ended the call, so that Latency is
	// less than the call would have taken.
	Cut bool
	// Broken is true if the connection broke during the call, as it does when the
	// server starts anew.
	Broken bool
	// Refused is true if the server answered that it did not run the call.
	Refused bool
	// Dead is true if the server was silent and did not answer on a new
	// connection either.
	Dead bool
	// InFlight counts this instance's calls when the call was sent, Allowance is
	// its share of the limit.
	InFlight, Allowance int
}

// LoadReport is what a backend server says of itself.
type LoadReport struct {
	// Running and Waiting count the server's calls.
	Running int `cbor:"1,keyasint" json:"running"`
	Waiting int `cbor:"2,keyasint" json:"waiting"`
	// Warm is from 0, just started, to 1.
	Warm float64 `cbor:"3,keyasint" json:"warm"`
	// Boot changes whenever the server starts anew.
	Boot string `cbor:"4,keyasint" json:"boot"`
	// Version is the model version that the server runs.
	Version string `cbor:"5,keyasint" json:"version"`
	// At is when the server made the report.
	At time.Time `cbor:"6,keyasint" json:"at"`
}

// maxReportedCalls bounds the counts of a load report.
const maxReportedCalls = 1 << 20

// Valid reports whether the values are within their ranges.
func (r LoadReport) Valid() bool {
	calls := r.Running >= 0 && r.Running <= maxReportedCalls && r.Waiting >= 0 && r.Waiting <= maxReportedCalls
	return calls && r.Warm >= 0 && r.Warm <= 1
}

// ServerLimit is the state machine of one backend server's limit.
// It is not safe for concurrent use.
type ServerLimit interface {
	// Configure takes what the table of pools says now.
	Configure(c LimitConfig)
	// Limit is the number of calls that all instances together may have.
	Limit(now time.Time) int
	// Cold reports whether the server is regarded as cold.
	Cold(now time.Time) bool
	// Observe takes the result of a call.
	Observe(now time.Time, s CallSample)
	// Report takes a load report.
	Report(now time.Time, r LoadReport)
	// Stalled says that calls run and none ended for far longer than usual.
	Stalled(now time.Time)
}

// Limits makes the limits of servers.
type Limits interface {
	New(now time.Time, c LimitConfig) ServerLimit
	// Share is the part of a server's limit that belongs to the instance with
	// the rank among the sharers, from 0. An instance that must not use a share
	// yet has the rank Sharers.Members.
	Share(limit, rank int, among Sharers) int
}

// Sharers counts the instances among which a server's limit is divided.
type Sharers struct {
	Members int
	// Home counts those of the server's availability zone, whose ranks come first.
	Home int
}

// Stalled reports whether a server with running calls is stalled, given the time
// since a call ended and a high quantile of the time of a call.
func Stalled(since, usual time.Duration) bool {
	return usual > 0 && since > time.Duration(jumpRatio*float64(usual))
}

// FixedLimits is the baseline: each instance uses the full limit of a warm
// server, whatever the server's state and the other instances do.
type FixedLimits struct{}

// New implements Limits.
func (FixedLimits) New(_ time.Time, c LimitConfig) ServerLimit { return &fixedLimit{c.Max} }

// Share implements Limits.
func (FixedLimits) Share(limit, _ int, _ Sharers) int { return limit }

type fixedLimit struct{ max int }

func (l *fixedLimit) Configure(c LimitConfig)     { l.max = c.Max }
func (l *fixedLimit) Limit(time.Time) int         { return l.max }
func (*fixedLimit) Cold(time.Time) bool           { return false }
func (*fixedLimit) Observe(time.Time, CallSample) {}
func (*fixedLimit) Report(time.Time, LoadReport)  {}
func (*fixedLimit) Stalled(time.Time)             {}
