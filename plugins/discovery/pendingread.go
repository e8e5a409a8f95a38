package discovery

import (
	"context"
	"net/http/httptrace"
	"sync"
	"time"
)

// pendingRead is the read of a watch that is in progress. It can be interrupted so
// that it is sent again: after an outage, or if the store did not wake it, it is
// unknown whether the store still answers a read that it holds.
type pendingRead struct {
	mu     sync.Mutex
	ctx    context.Context    // guarded by mu
	cancel context.CancelFunc // guarded by mu
	// receivingSince is when the response to the call in progress began, zero if it
	// has not; guarded by mu.
	receivingSince time.Time
}

// begin returns a context for the calls of a read. It ends with the parent or when
// the read is interrupted. interrupted reports whether the latter happened.
func (p *pendingRead) begin(parent context.Context) (_ context.Context, interrupted func() bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ctx == nil || p.ctx.Err() != nil {
		p.ctx, p.cancel = context.WithCancel(parent)
	}
	ctx := p.ctx
	return ctx, func() bool { return ctx.Err() != nil && parent.Err() == nil }
}

// call returns a context for one call, whose response has not begun.
func (p *pendingRead) call(ctx context.Context) context.Context {
	p.setReceiving(time.Time{})
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotFirstResponseByte: func() { p.setReceiving(time.Now()) }})
}

// end marks that no call is in progress.
func (p *pendingRead) end() { p.setReceiving(time.Time{}) }

func (p *pendingRead) setReceiving(since time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.receivingSince = since
}

// receivingFor returns how long the response to the call in progress has been
// arriving, or 0 if none is.
func (p *pendingRead) receivingFor(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.receivingSince.IsZero() {
		return 0
	}
	return now.Sub(p.receivingSince)
}

// interrupt ends the read in progress, unless its response is arriving: a read that
// starts over has to receive everything again. It reports whether it ended the read.
func (p *pendingRead) interrupt() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.receivingSince.IsZero() || p.cancel == nil {
		return false
	}
	p.cancel()
	return true
}
