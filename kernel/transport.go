package kernel

import (
	"context"
	"time"

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
