package kernel

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

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
