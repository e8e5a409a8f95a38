package standin

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Server is an HTTP server for one simulated system.
type Server struct {
	listener net.Listener
	http     *http.Server
}

// connectionTracker is implemented by handlers that track their connections.
type connectionTracker interface {
	wrap(net.Listener) net.Listener
}

// Listen starts an HTTP server on an address; port 0 selects a free port.
func Listen(address string, h http.Handler) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "stand-in")
	}
	s := &Server{listener: l, http: &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}}
	if t, ok := h.(connectionTracker); ok {
		l = t.wrap(l)
	}
	go func() { _ = s.http.Serve(l) }()
	return s, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close stops the server immediately and closes all its connections.
func (s *Server) Close() error { return s.http.Close() }

// Shutdown stops the server after its requests in progress have finished.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }
