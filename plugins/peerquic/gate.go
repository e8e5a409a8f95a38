package peerquic

import (
	"context"
	"sync"

	"github.com/pkg/errors"
)

// requestGate counts running requests, and rejects new ones once it is closed by
// drain.
type requestGate struct {
	mu                  sync.Mutex
	closed              bool          // guarded by mu
	count               int           // guarded by mu
	idle                chan struct{} // set by drain, and closed once count is 0; guarded by mu
	responseUnconfirmed bool          // a caller may still wait for its response; guarded by mu
}

// enter counts a request and reports true, or reports false if the gate is closed.
// After true, the caller has to call leave.
func (g *requestGate) enter() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.count++
	return true
}

func (g *requestGate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.count--
	if g.closed && g.count == 0 {
		close(g.idle)
	}
}

// markUnconfirmed records that a response may not have reached its caller.
func (g *requestGate) markUnconfirmed() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.responseUnconfirmed = true
}

// drained reports whether no request runs or will run, and every response was
// confirmed by its caller or is no longer awaited.
func (g *requestGate) drained() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.closed && g.count == 0 && !g.responseUnconfirmed
}

// drain closes the gate and waits for running requests until the context ends.
// Further calls return at once.
func (g *requestGate) drain(ctx context.Context) error {
	g.mu.Lock()
	if g.closed {
		g.mu.Unlock()
		return nil
	}
	g.closed = true
	g.idle = make(chan struct{})
	if g.count == 0 {
		close(g.idle)
	}
	idle := g.idle
	g.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "requests of other instances are still running")
	}
}
