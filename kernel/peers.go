package kernel

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// PeerHandler handles a request from another instance and returns the response.
type PeerHandler func(ctx context.Context, from string, body []byte) ([]byte, error)

// Errors of requests between instances. An error that the handler returned is
// reported as a *PeerError.
var (
	// ErrPeerNotDelivered: no handler ran and none will.
	ErrPeerNotDelivered = errors.New("request was not delivered to the other instance")
	// ErrPeerResultUnknown: the handler may have run.
	ErrPeerResultUnknown = errors.New("request was sent to the other instance, its result is not known")
)

// PeerError is the error that a handler at another instance returned.
type PeerError struct {
	Member, Method, Message string
}

// Error implements error.
func (e *PeerError) Error() string { return e.Method + " at " + e.Member + ": " + e.Message }

// Peers carries requests between instances over authenticated streams.
type Peers interface {
	// Handle registers the handler for requests with the method. It must be
	// called during provisioning only.
	Handle(method string, h PeerHandler)
	// Call sends a request and waits for the response. The context's deadline is
	// passed on to the handler. The error is, or wraps, ErrPeerNotDelivered,
	// ErrPeerResultUnknown or a *PeerError.
	Call(ctx context.Context, member Member, method string, body []byte) ([]byte, error)
}

// Digests distributes small pieces of state between instances in the heartbeats.
// A digest is the complete state of one kind at one instance; a newer digest
// replaces an older one.
type Digests interface {
	// Source registers the function that returns this instance's digest. The
	// function is called in every gossip round.
	Source(kind string, f func() []byte)
	// Sink registers the function that receives the digests of other instances.
	Sink(kind string, f func(Digest))
}

// Digest is one digest as received.
type Digest struct {
	// From is the instance whose state it is.
	From Member
	// Age is the time since that instance created it.
	Age     time.Duration
	Payload []byte
}
