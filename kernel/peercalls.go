package kernel

import (
	"context"
	"net/http"

	"github.com/pkg/errors"
)

// ErrPeerRefused means that an instance responded to a call with an error.
var ErrPeerRefused = errors.New("the instance refused the call")

// PeerCalls sends HTTP calls between the instances of a fleet.
type PeerCalls interface {
	// HandlePeer registers a handler for calls of other instances. It must be
	// called during provisioning only.
	HandlePeer(path string, h http.HandlerFunc)
	// CallPeer calls another instance once and returns the body of the response.
	// An error means that the instance did not respond or, if it is an
	// ErrPeerRefused, that it responded with an error.
	CallPeer(ctx context.Context, address, path string, body []byte) ([]byte, error)
}
