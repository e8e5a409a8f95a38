package kernel

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/savoryfold/savoryfold/config"
	"github.com/savoryfold/savoryfold/policy"
)

// CallResult says how one stage call ended.
type CallResult int

// The results of stage calls.
const (
	// CallOK: the whole answer to this call arrived.
	CallOK CallResult = iota
	// CallNotSent: no byte of the call left the instance.
	CallNotSent
	// CallRefused: the server answered that it did not run the call.
	CallRefused
	// CallRejected: the server answered that the request itself is at fault and
	// that it did not run.
	CallRejected
	// CallFailed: the server answered with an error, or with a wrong answer.
	CallFailed
	// CallSilent: a progress deadline passed without a byte.
	CallSilent
	// CallBroken: the connection broke before the end of the answer.
	CallBroken
	// CallDeadline: the request's deadline passed.
	CallDeadline
	// CallCancelled: the caller went away.
	CallCancelled
)

var callResultNames = [...]string{"ok", "not-sent", "refused", "rejected", "failed", "silent", "broken", "deadline", "cancelled"}

// String returns the result's name, for counters.
func (r CallResult) String() string { return callResultNames[r] }

// Sent reports whether the call may have run on the server.
func (r CallResult) Sent() bool {
	return r != CallNotSent && r != CallRefused && r != CallRejected
}

// StageCall is one call of a stage on one backend server.
type StageCall struct {
	// ID is unique; the server echoes it.
	ID     string
	Server config.Server
	Pool   *config.Pool
	Stage  config.Stage
	// Key is passed on as the idempotency key of non-idempotent stages.
	Key         string
	ContentType string
	Body        []byte
	Deadline    time.Time
	Priority    int
	// FirstByte bounds the wait for the first byte of the answer.
	FirstByte time.Duration
	// Events receives the events of a stage that streams; nil for others.
	Events *EventCollector
}

// StageAnswer is the result of one stage call.
type StageAnswer struct {
	Result CallResult
	Answer Answer
	// EngineMS and Tokens are the server's account of the work.
	EngineMS float64
	Tokens   int
	// Err explains a result other than CallOK.
	Err error
	// Load is the report that came with the answer, or nil.
	Load *policy.LoadReport
	// RetryAfter is the server's wish after a refusal.
	RetryAfter time.Duration
}

// Transport calls backend servers.
type Transport interface {
	Call(ctx context.Context, c *StageCall) StageAnswer
	// Renew makes further calls of a server use new connections, after silence
	// was seen on an old one. It reports whether the server answers on a new
	// connection, so that a dead connection can be told from a dead server.
	Renew(ctx context.Context, s config.Server) bool
}

// Log is the platform's append-only log service.
type Log interface {
	// Append adds one record to a stream and returns its offset. The error is
	// ErrLogUnavailable if the record was surely not added, and
	// ErrAppendUnknown if that is not known.
	Append(ctx context.Context, stream string, record []byte) (uint64, error)
	// Read returns records from an offset on, waiting up to wait for the first.
	Read(ctx context.Context, stream string, from uint64, wait time.Duration) (LogBatch, error)
}

// LogRecord is one record of a stream.
type LogRecord struct {
	Offset uint64 `json:"offset"`
	// Time is the log service's time of the append. It never decreases within
	// a stream.
	Time time.Time `json:"time"`
	Data []byte    `json:"data"`
}

// LogBatch is the result of a read.
type LogBatch struct {
	Records []LogRecord `json:"records"`
	// First is the oldest offset that the log keeps: a reader that asked for an
	// older one has missed records.
	First uint64 `json:"first"`
	// FirstTime is the time of the record at First, zero if there is none.
	FirstTime time.Time `json:"first_time"`
	// Next is the offset that the stream's next record will get. Offsets begin
	// at 1.
	Next uint64 `json:"next"`
}

// Errors of the log service.
var (
	ErrLogUnavailable = errors.New("log service unavailable")
	ErrAppendUnknown  = errors.New("append was sent, its result is not known")
)

// ConfigSource puts tables in force by Host.SetTables.
type ConfigSource interface {
	// Edit submits an edit and waits for the verdict.
	Edit(ctx context.Context, e config.Edit) (config.EditResult, error)
}

// MemberState is the state of an instance in the eyes of another.
type MemberState string

// The states of a member.
const (
	MemberStarting MemberState = "starting"
	MemberReady    MemberState = "ready"
	MemberLeaving  MemberState = "leaving"
	MemberSuspect  MemberState = "suspect"
	MemberGone     MemberState = "gone"
)

// Member is one instance.
type Member struct {
	ID string `json:"id"`
	// Boot changes with every start of the process.
	Boot        string      `json:"boot"`
	Zone        string      `json:"zone"`
	State       MemberState `json:"state"`
	Incarnation uint64      `json:"incarnation"`
	// GossipAddress takes heartbeats (UDP), PeerAddress requests (QUIC).
	GossipAddress string `json:"gossip_address"`
	PeerAddress   string `json:"peer_address"`
	// ConfigRevision is the revision of the tables in force there.
	ConfigRevision uint64    `json:"config_revision"`
	LastSeen       time.Time `json:"last_seen"`
}

// MemberView is an immutable view of all members, sorted by ID. It holds at
// least the instance itself.
type MemberView struct {
	Self    Member
	Members []Member
}

// Live returns the members that may carry requests: ready or suspect.
func (v *MemberView) Live() []Member {
	var out []Member
	for _, m := range v.Members {
		if m.State == MemberReady || m.State == MemberSuspect {
			out = append(out, m)
		}
	}
	return out
}

// Membership knows the other instances.
type Membership interface {
	View() *MemberView
	// Subscribe calls f after every change of the view.
	Subscribe(f func(*MemberView))
	// SetState announces the instance's own state.
	SetState(s MemberState)
}

// PeerHandler answers a request of another instance.
type PeerHandler func(ctx context.Context, from string, body []byte) ([]byte, error)

// Errors of requests between instances. A handler's own error comes back as a
// *PeerError.
var (
	// ErrPeerNotDelivered: no handler ran and none will.
	ErrPeerNotDelivered = errors.New("request was not delivered to the other instance")
	// ErrPeerUnknown: the handler may have run.
	ErrPeerUnknown = errors.New("request was sent to the other instance, its result is not known")
)

// PeerError is the error that a handler at another instance returned.
type PeerError struct {
	Member, Method, Message string
}

// Error implements error.
func (e *PeerError) Error() string { return e.Method + " at " + e.Member + ": " + e.Message }

// Peers carries requests between instances over authenticated streams.
type Peers interface {
	// Handle registers who answers requests with the method. It is called
	// during provisioning.
	Handle(method string, h PeerHandler)
	// Call sends a request and waits for the answer. The context's deadline is
	// passed on. The error is, or wraps, ErrPeerNotDelivered, ErrPeerUnknown or
	// a *PeerError.
	Call(ctx context.Context, member Member, method string, body []byte) ([]byte, error)
}

// Digests spreads small facts between instances with the heartbeats. A digest
// is the whole state of one kind at one instance; the newest one counts.
type Digests interface {
	// Source registers what this instance says. It is called for every round.
	Source(kind string, f func() []byte)
	// Sink registers who receives the digests of other instances.
	Sink(kind string, f func(Digest))
}

// Digest is one digest as received.
type Digest struct {
	// From is the instance that it is about.
	From Member
	// Age is how long ago that instance made it.
	Age     time.Duration
	Payload []byte
}

// SlotBorrower takes call slots of other instances, for an instance whose own
// share of the servers' limits is used up or 0.
type SlotBorrower interface {
	// Borrow takes a slot on a server, named "pool/name". It returns false at
	// once if no instance is known to have an idle one. The release function
	// gives the slot back, does not block and is called exactly once.
	Borrow(ctx context.Context, server string) (release func(), ok bool)
}

// CacheHints knows what backend servers are believed to hold in their caches.
type CacheHints interface {
	// CacheHint is the part of a prompt prefix, given by its hash, that a
	// server, named "pool/name", is believed to hold: from 0 to 1, less with
	// the age of the belief. It is safe for concurrent use and does not
	// allocate.
	CacheHint(now time.Time, server string, prefix uint64) float64
}

// ClaimRequest asks for the right to run a request that may run at most once.
type ClaimRequest struct {
	Account, Route, Key string
	// BodyHash tells a repeat from another request with the same key.
	BodyHash [32]byte
	Deadline time.Time
}

// ClaimGrant is the answer to a ClaimRequest: a Claim, or else the Result that
// the caller gets.
type ClaimGrant struct {
	Claim  Claim
	Result Result
}

// Claim is the right to run one request once. Exactly one of Release, Complete
// and Doubt ends it.
type Claim interface {
	// MayDispatch reports whether a non-idempotent call may be sent now. After
	// it returned true, Release is allowed only if every call since then surely
	// did not run. After Release it returns false.
	MayDispatch(now time.Time) bool
	// Release gives the claim back: nothing was sent and nothing will be.
	Release()
	// Complete keeps the answer for repeats. It returns once the answer is on
	// the log or the context ends.
	Complete(ctx context.Context, a Answer)
	// Doubt records that the request may have run.
	Doubt()
}

// Claims decides which instance may run a request that may run at most once.
type Claims interface {
	Claim(ctx context.Context, r ClaimRequest) ClaimGrant
}

// Versions chooses the version that a request's stages use.
type Versions interface {
	// Pick returns the version for a request, or "" for any. The number is
	// drawn at random once for the request.
	Pick(now time.Time, route *config.Route, random uint64) string
	// Observe takes the result of a stage call on a versioned pool. The module
	// sets New of the call itself.
	Observe(now time.Time, route, version string, call policy.MoveCall)
}

// CrashGuard recognises requests that crash the servers that run them. A
// fingerprint identifies a request over repeats.
type CrashGuard interface {
	// Refuse reports whether a request is refused for now.
	Refuse(now time.Time, fingerprint uint64) bool
	// Suspect reports whether a request must not share a server with another
	// suspect.
	Suspect(now time.Time, fingerprint uint64) bool
	// Broken notes that the connection to a server broke while it ran the
	// request.
	Broken(now time.Time, fingerprint uint64, server string)
	// Succeeded notes that a server ran the request without harm.
	Succeeded(now time.Time, fingerprint uint64)
}

// ClaimInfo describes a claim to operators.
type ClaimInfo struct {
	Shard   int       `json:"shard"`
	Account string    `json:"account"`
	Route   string    `json:"route"`
	Key     string    `json:"key"`
	Attempt string    `json:"attempt"`
	Holder  string    `json:"holder"`
	Claimed time.Time `json:"claimed"`
	// Why says why the claim is in doubt.
	Why string `json:"why"`
}

// Verdict is an operator's finding on a claim in doubt.
type Verdict string

// The verdicts.
const (
	VerdictRan    Verdict = "ran"     // it ran; repeats are told so
	VerdictNotRun Verdict = "not-run" // it did not run; the key stays closed
)

// ClaimsOperator lets operators see and settle claims in doubt.
type ClaimsOperator interface {
	InDoubt(ctx context.Context) ([]ClaimInfo, error)
	// Settle ends a claim in doubt. The record on the log names the operator.
	Settle(ctx context.Context, c ClaimInfo, v Verdict, operator string) error
}

// MoveState is the state of a move of a version or an availability zone.
type MoveState string

// The states of a move.
const (
	MoveRunning   MoveState = "running"
	MoveDone      MoveState = "done"
	MoveTakenBack MoveState = "taken-back"
)

// MoveStatus tells operators how a move stands.
type MoveStatus struct {
	// Kind is "version" or "zone".
	Kind string `json:"kind"`
	// Name is the route or the availability zone.
	Name  string    `json:"name"`
	From  string    `json:"from,omitempty"`
	To    string    `json:"to,omitempty"`
	State MoveState `json:"state"`
	// Share is the part of the traffic that the new version gets.
	Share    float64   `json:"share"`
	Why      string    `json:"why,omitempty"`
	Revision uint64    `json:"revision"`
	By       time.Time `json:"by,omitzero"`
	At       time.Time `json:"at,omitzero"`
}

// Moves tells operators how moves stand.
type Moves interface {
	Moves() []MoveStatus
}
