package standin

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Server serves one stand-in on an address.
type Server struct {
	listener net.Listener
	http     *http.Server
}

// connectionTracker is a handler that tracks its connections.
type connectionTracker interface {
	wrap(net.Listener) net.Listener
}

// Listen starts to serve a handler. Port 0 takes a free port.
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

// Address returns the address in use.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close ends the server at once, with all its connections.
func (s *Server) Close() error { return s.http.Close() }

// Shutdown ends the server once its requests are finished.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }
