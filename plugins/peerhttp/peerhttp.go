// Package peerhttp carries calls between the instances of a fleet over plain HTTP.
// Calls are neither encrypted nor authenticated, so the listener must be on a
// network that only the instances can reach.
package peerhttp

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/savoryfold/savoryfold/config"
	"github.com/savoryfold/savoryfold/internal/periodic"
	"github.com/savoryfold/savoryfold/internal/upstream"
	"github.com/savoryfold/savoryfold/kernel"
)

const section = "peer"

const (
	// headerTimeout is the time limit for reading the header of a call.
	headerTimeout = 5 * time.Second
	// maxResponseBytes is the maximum size of the response to a call.
	maxResponseBytes = 8 << 20
	// trimInterval is the time between two checks for idle connections.
	trimInterval = time.Second
)

func init() {
	kernel.Register(kernel.ModuleInfo{
		ID:    "peerhttp",
		Phase: kernel.PhaseMembership,
		Settings: []config.Key{
			{Section: section, Name: "listen", Kind: config.Address, Doc: "address to listen on for calls of other instances; empty means none"},
		},
		New: func() kernel.Module { return &Peers{mux: http.NewServeMux()} },
	})
}

// Peers implements kernel.PeerCalls.
type Peers struct {
	host   *kernel.Host
	mux    *http.ServeMux
	pool   *upstream.Pool
	server *http.Server
	cancel context.CancelFunc
}

// Provision implements kernel.Provisioner.
func (p *Peers) Provision(h *kernel.Host) error {
	p.host = h
	p.pool = upstream.New(upstream.FleetOptions())
	return nil
}

// Start implements kernel.Starter.
func (p *Peers) Start(ctx context.Context) error {
	address := p.host.Settings.String(section, "listen")
	if address == "" {
		return nil
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "peers")
	}
	p.server = &http.Server{
		// The idle timeout is longer than that of the callers, so that this side
		// does not close a connection that a caller is about to use.
		Handler: p.mux, ReadHeaderTimeout: headerTimeout, IdleTimeout: 2 * upstream.FleetIdleTimeout,
		ErrorLog: slog.NewLogLogger(p.host.Logger.Handler(), slog.LevelDebug),
	}
	go func() {
		if err := p.server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			p.host.Logger.Error("listener for calls of other instances failed", "error", err)
		}
	}()
	ctx, p.cancel = context.WithCancel(ctx)
	go p.trim(ctx)
	return nil
}

// trim periodically closes connections that are idle for too long.
func (p *Peers) trim(ctx context.Context) {
	periodic.Run(ctx, trimInterval, func(now time.Time) { p.pool.CloseExpired(now) })
}

// Stop implements kernel.Stopper. It closes the listener and all connections at
// once: callers whose calls are interrupted do the work themselves.
func (p *Peers) Stop(context.Context) error {
	if p.server == nil {
		return nil
	}
	p.cancel()
	err := p.server.Close()
	p.pool.Close()
	return errors.Wrap(err, "peers")
}

// HandlePeer implements kernel.PeerCalls.
func (p *Peers) HandlePeer(path string, h http.HandlerFunc) { p.mux.HandleFunc("POST "+path, h) }

// CallPeer implements kernel.PeerCalls.
func (p *Peers) CallPeer(ctx context.Context, address, path string, body []byte) ([]byte, error) {
	x, err := p.pool.Do(ctx, &upstream.Request{
		Address: address, Method: http.MethodPost, URI: path, Host: address,
		Header: http.Header{"Content-Type": {"application/cbor"}}, Body: upstream.Bytes(body), MaxIdleTime: upstream.FleetIdleTimeout,
	})
	if err != nil {
		return nil, err
	}
	defer x.Close()
	data, err := x.ReadAll(maxResponseBytes)
	if err != nil {
		return nil, errors.Wrap(err, "response of another instance")
	}
	if x.Response.StatusCode != http.StatusOK {
		return nil, errors.Wrapf(kernel.ErrPeerRefused, "status %d: %.100s", x.Response.StatusCode, data)
	}
	return data, x.Finish(0)
}
