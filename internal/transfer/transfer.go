// Package transfer bounds HTTP calls by their progress. A limit on the total time
// of a call would end large transfers over slow links, however steady they are.
package transfer

import (
	"context"
	"io"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// ErrStalled means that a response did not begin or continue in time.
var ErrStalled = errors.New("the response does not begin or continue in time")

// Limits bound a call.
type Limits struct {
	// Begin bounds the time until the first byte of the response.
	Begin time.Duration
	// Stall bounds the time from one part of the body to the next. 0 means no limit.
	Stall time.Duration
	// Rest bounds the time from the first byte of the response to its end.
	Rest time.Duration
}

// Call watches the progress of one call.
type Call struct {
	limits Limits
	cancel context.CancelCauseFunc

	mu    sync.Mutex
	timer *time.Timer // ends the call; guarded by mu
	end   time.Time   // latest end of the response, zero before it begins; guarded by mu
}

// Start returns a context for one call. The context ends with the parent, and with
// the cause ErrStalled when the call exceeds its limits. The client must report the
// first byte of the response through httptrace. Stop must be called at the end.
func Start(parent context.Context, limits Limits) (context.Context, *Call) {
	ctx, cancel := context.WithCancelCause(parent)
	c := &Call{limits: limits, cancel: cancel}
	c.timer = time.AfterFunc(limits.Begin, func() { cancel(ErrStalled) })
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotFirstResponseByte: c.begin}), c
}

// begin replaces the limit for the begin of the response by those for the rest.
func (c *Call) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.end = time.Now().Add(c.limits.Rest)
	c.extend()
}

// extend grants the time until the next part of the response. The caller holds mu.
func (c *Call) extend() {
	left := time.Until(c.end)
	if c.limits.Stall > 0 {
		left = min(left, c.limits.Stall)
	}
	c.timer.Reset(left)
}

// Body returns a reader of the response's body that reports its parts as progress.
func (c *Call) Body(r io.Reader) io.Reader { return &body{r, c} }

type body struct {
	io.Reader
	call *Call
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if n > 0 {
		b.call.mu.Lock()
		b.call.extend()
		b.call.mu.Unlock()
	}
	return n, err
}

// Stop ends the call's context and releases its resources.
func (c *Call) Stop() {
	c.mu.Lock()
	c.timer.Stop()
	c.mu.Unlock()
	c.cancel(nil)
}
