package policy

import "time"

// LimitConfig is the configuration of a server's concurrency limit, from the
// table of pools.
type LimitConfig struct {
	// Cold and Max are the largest numbers of concurrent calls on a cold and on
	// a warm server. They count the calls of all instances together.
	Cold, Max int
}

// CallSample is the result of one call to a backend server.
type CallSample struct {
	// Latency is the time from dispatch to the end of the response.
	Latency time.Duration
	// Class is the request's size class. Latencies are compared only within a
	// class.
	Class string
	OK    bool
	// DeadlineExceeded is true if the request's deadline ended the call. Latency is
	// then a lower bound of the time that the call would have taken.
	DeadlineExceeded bool
	// Broken is true if the connection broke during the call, for example because
	// the server restarted.
	Broken bool
	// Refused is true if the server responded that it did not run the call.
	Refused bool
	// Unresponsive is true if the server responded neither on the call's connection
	// nor on a new one.
	Unresponsive bool
	// InFlight is the number of this instance's calls on the server when the call
	// was sent. Allowance is the instance's share of the limit.
	InFlight, Allowance int
}

// LoadReport is the load that a backend server reports.
type LoadReport struct {
	// Running and Waiting are the numbers of the server's running and queued calls,
	// from 0 to maxReportedCalls.
	Running int `cbor:"1,keyasint" json:"running"`
	Waiting int `cbor:"2,keyasint" json:"waiting"`
	// Warm is the server's warmth, from 0 (just started) to 1 (fully warm).
	Warm float64 `cbor:"3,keyasint" json:"warm"`
	// Boot changes with every restart of the server.
	Boot string `cbor:"4,keyasint" json:"boot"`
	// Version is the model version that the server runs.
	Version string `cbor:"5,keyasint" json:"version"`
	// At is the time at which the server made the report.
	At time.Time `cbor:"6,keyasint" json:"at"`
}

// maxReportedCalls bounds the counts of a load report.
const maxReportedCalls = 1 << 20

// Valid reports whether the numeric values are within their ranges.
func (r LoadReport) Valid() bool {
	calls := r.Running >= 0 && r.Running <= maxReportedCalls && r.Waiting >= 0 && r.Waiting <= maxReportedCalls
	return calls && r.Warm >= 0 && r.Warm <= 1
}

// ServerLimit is the state machine of one backend server's concurrency limit.
// It is not safe for concurrent use.
type ServerLimit interface {
	// Configure applies a changed configuration.
	Configure(c LimitConfig)
	// Limit returns the number of concurrent calls permitted to all instances
	// together.
	Limit(now time.Time) int
	// Cold reports whether the server is considered cold.
	Cold(now time.Time) bool
	// Observe records the result of a call.
	Observe(now time.Time, s CallSample)
	// Report records a load report.
	Report(now time.Time, r LoadReport)
	// Stalled records that the server was found stalled. It is no predicate; the
	// function Stalled decides whether a server is stalled.
	Stalled(now time.Time)
}

// Limits creates the limits of servers.
type Limits interface {
	New(now time.Time, c LimitConfig) ServerLimit
	// Share returns the part of a server's limit, in concurrent calls, that the
	// instance with the given rank may use. Ranks count from 0. An instance that
	// must not use a share yet has the rank Sharers.Members.
	Share(limit, rank int, among Sharers) int
}

// Sharers counts the instances among which a server's limit is divided.
type Sharers struct {
	Members int
	// Home is the number of members that prefer the server: those in its
	// availability zone, and those in zones without a usable server of the pool.
	// They have the lowest ranks.
	Home int
}

// Stalled reports whether a server with running calls is stalled, that is,
// whether no call has ended for longer than latencyJumpRatio times highLatency.
// sinceLast is the time since a call last ended, or started on the idle server.
// highLatency is a high quantile of a call's duration. Stalled returns false if
// highLatency is 0, that is, unknown.
func Stalled(sinceLast, highLatency time.Duration) bool {
	return highLatency > 0 && sinceLast > time.Duration(latencyJumpRatio*float64(highLatency))
}

// FixedLimits is the baseline, the simple policy with which others are compared.
// Each instance uses the full limit of a warm server, regardless of the server's
// state and of other instances.
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
