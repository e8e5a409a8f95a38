package peerquic

import (
	"context"
	"sync"

	"github.com/pkg/errors"
)

// requestGate counts requests that run and can be shut for a stop.
type requestGate struct {
	mu                  sync.Mutex
	closed              bool          // guarded by mu
	count               int           // guarded by mu
	idle                chan struct{} // closed when shut and count is 0; guarded by mu
	responseUnconfirmed bool          // an answer may not have arrived; guarded by mu
}

// enter reports whether a request may run.
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

// markUnconfirmed notes that an answer may not have arrived.
func (g *requestGate) markUnconfirmed() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.responseUnconfirmed = true
}

// drained reports whether every request that ran has its answer at the caller
// and none will run any more.
func (g *requestGate) drained() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.closed && g.count == 0 && !g.responseUnconfirmed
}

// drain shuts the gate and waits for the requests that run.
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
	empty := g.idle
	g.mu.Unlock()
	select {
	case <-empty:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "requests of other instances still run")
	}
}
