package peerquic

import (
	"context"
	"sync"

	"github.com/pkg/errors"
)

// requestGate counts requests that run and can be shut for a stop.
type requestGate struct {
	mu    sync.Mutex
	shut  bool          // guarded by mu
	count int           // guarded by mu
	empty chan struct{} // closed when shut and count is 0; guarded by mu
	lost  bool          // an answer may not have arrived; guarded by mu
}

// enter reports whether a request may run.
func (g *requestGate) enter() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.shut {
		return false
	}
	g.count++
	return true
}

func (g *requestGate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.count--
	if g.shut && g.count == 0 {
		close(g.empty)
	}
}

// noteLost notes that an answer may not have arrived.
func (g *requestGate) noteLost() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lost = true
}

// complete reports whether every request that ran has its answer at the caller
// and none will run any more.
func (g *requestGate) complete() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.shut && g.count == 0 && !g.lost
}

// drain shuts the gate and waits for the requests that run.
func (g *requestGate) drain(ctx context.Context) error {
	g.mu.Lock()
	if g.shut {
		g.mu.Unlock()
		return nil
	}
	g.shut = true
	g.empty = make(chan struct{})
	if g.count == 0 {
		close(g.empty)
	}
	empty := g.empty
	g.mu.Unlock()
	select {
	case <-empty:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "requests of other instances still run")
	}
}
