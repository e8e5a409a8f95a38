package kernel

import (
	"context"
	"time"

	"github.com/savoryfold/savoryfold/config"
	"github.com/savoryfold/savoryfold/policy"
)

// CallResult is how one stage call ended.
type CallResult int

// The results of stage calls.
const (
	// CallOK: the complete answer to this call arrived.
	CallOK CallResult = iota
	// CallNotSent: no byte of the call left the instance.
	CallNotSent
	// CallRefused: the server responded that it did not run the call.
	CallRefused
	// CallRejected: the server responded that the request itself is invalid and
	// that it did not run.
	CallRejected
	// CallFailed: the server responded with an error or an invalid answer.
	CallFailed
	// CallSilent: no byte of the response arrived within the call's
	// FirstByteTimeout, or no further byte within the pool's ReadGapTimeout.
	CallSilent
	// CallBroken: the connection broke before the end of the answer.
	CallBroken
	// CallDeadline: the request's deadline passed.
	CallDeadline
	// CallCancelled: the caller disconnected.
	CallCancelled
)

var callResultNames = [...]string{"ok", "not-sent", "refused", "rejected", "failed", "silent", "broken", "deadline", "cancelled"}

// String returns the result's name, as used in metrics.
func (r CallResult) String() string { return callResultNames[r] }

// Sent reports whether the call may have run on the server. It is false also for
// CallRefused and CallRejected: these calls were sent, but did not run.
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
	// FirstByteTimeout is the time limit for the first byte of the response.
	FirstByteTimeout time.Duration
	// Events receives the events of a streaming stage; nil for other stages.
	Events *EventCollector
}

// StageAnswer is the result of one stage call.
type StageAnswer struct {
	Result CallResult
	Answer Answer
	// EngineMS and Tokens are the work reported by the server: milliseconds and
	// number of tokens.
	EngineMS float64
	Tokens   int
	// Err explains a result other than CallOK.
	Err error
	// Load is the load report that came with the response, or nil.
	Load *policy.LoadReport
	// RetryAfter is the delay that the server asked for in an error response.
	RetryAfter time.Duration
}

// Transport calls backend servers.
type Transport interface {
	Call(ctx context.Context, c *StageCall) StageAnswer
	// Reconnect makes further calls to a server use new connections, after an old
	// one became unresponsive. It reports whether the server responds on a new
	// connection, to distinguish a dead connection from a dead server.
	Reconnect(ctx context.Context, s config.Server) bool
}
