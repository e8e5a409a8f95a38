package kernel

import (
	"context"
	"net/http"

	"github.com/pkg/errors"
)

// ErrPeerRefused says that an instance answered a call, but not with a success.
var ErrPeerRefused = errors.New("the instance refused the call")

// PeerCalls carries calls between the instances of a fleet.
type PeerCalls interface {
	// HandlePeer registers a handler for calls of other instances. It is called
	// during provisioning only.
	HandlePeer(path string, h http.HandlerFunc)
	// CallPeer makes one call of another instance and returns the answer. An
	// error means that the instance did not answer, or, if it is an
	// ErrPeerRefused, not with a success.
	CallPeer(ctx context.Context, address, path string, body []byte) ([]byte, error)
}
