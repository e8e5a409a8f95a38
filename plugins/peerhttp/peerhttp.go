// Package peerhttp carries calls between the instances of a fleet over plain HTTP.
// Calls are neither encrypted nor authenticated, so the listener must be on a
// network that only the instances can reach.
package peerhttp

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/savoryfold/savoryfold/config"
	"github.com/savoryfold/savoryfold/internal/callerserver"
	"github.com/savoryfold/savoryfold/internal/membudget"
	"github.com/savoryfold/savoryfold/internal/periodic"
	"github.com/savoryfold/savoryfold/internal/upstream"
	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/policy"
)

const section = "peer"

const (
	// headerTimeout is the time limit for reading the header of a call, callTimeout that for
	// reading all of it, and responseTimeout that for its response.
	headerTimeout   = 5 * time.Second
	callTimeout     = 5 * time.Second
	responseTimeout = 30 * time.Second
	// maxHeaderBytes bounds the header of a call, maxCallBytes its body.
	maxHeaderBytes = 8 << 10
	maxCallBytes   = 1 << 20
	// shareFactor leaves the memory for bodies to whom needs it: instances trust each other.
	shareFactor = 1000
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
			{Section: section, Name: "memory", Kind: config.Size, Default: "0", Doc: "memory available to the process, of which calls of other instances take a part. 0 means that of a small process"},
			{Section: section, Name: "descriptors", Kind: config.Int, Default: "0", Doc: "file descriptors available to the process, of which a quarter are for connections of other instances, at least 512. 0 means 512 connections"},
		},
		New: func() kernel.Module { return &Peers{mux: http.NewServeMux()} },
	})
}

// Peers implements kernel.PeerCalls.
type Peers struct {
	host   *kernel.Host
	mux    *http.ServeMux
	pool   *upstream.Pool
	server *callerserver.Server
	limits policy.CallerLimits
	// bodies bounds the memory of the calls' bodies.
	bodies *membudget.Budget
	cancel context.CancelFunc
}

// Provision implements kernel.Provisioner.
func (p *Peers) Provision(h *kernel.Host) error {
	p.host = h
	p.pool = upstream.New(upstream.FleetOptions())
	p.limits = policy.NewPeerLimits(h.Settings.Bytes(section, "memory"), h.Settings.Int(section, "descriptors"))
	p.bodies = membudget.New(policy.MemoryShares{
		Limit: p.limits.RequestMemory, GroupFactor: shareFactor, MemberFactor: shareFactor, StallTime: policy.StallTime,
	}, func(policy.MemoryScope) { h.Counter("peer_calls_without_memory").Inc(1) })
	return nil
}

// Start implements kernel.Starter.
func (p *Peers) Start(ctx context.Context) error {
	address := p.host.Settings.String(section, "listen")
	if address == "" {
		return nil
	}
	p.server = callerserver.New(callerserver.Options{
		Logger: p.host.Logger, Handler: p.mux, ReadTimeout: callTimeout, WriteTimeout: responseTimeout, Room: p.limits, UncountedBuffers: true,
		// The idle timeout is longer than that of the callers, so that this side
		// does not close a connection that a caller is about to use.
		Limits: callerserver.Limits{HeaderBytes: maxHeaderBytes, HeaderTimeout: headerTimeout, IdleTimeout: 2 * upstream.FleetIdleTimeout},
	})
	if err := p.server.Listen(address); err != nil {
		return errors.Wrap(err, "peers")
	}
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
func (p *Peers) HandlePeer(path string, h http.HandlerFunc) {
	p.mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		memory := p.bodies.Open(path, r.RemoteAddr)
		defer memory.Close()
		callerserver.Abandonable(memory, w)
		content, err := callerserver.ReadWhole(r.Body, memory, r.ContentLength, maxCallBytes)
		memory.MayAbandon(nil)
		switch {
		case errors.Is(err, membudget.ErrNoMemory):
			http.Error(w, "calls of other instances fill the memory", http.StatusServiceUnavailable)
		case err != nil:
			http.Error(w, "the call did not arrive whole", http.StatusBadRequest)
		default:
			r.Body = io.NopCloser(bytes.NewReader(content))
			h(w, r)
		}
	})
}

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
