// Package backoff spaces the tries of a call that fails, so that many clients
// do not come back all at once.
package backoff

import (
	"context"
	"math/rand/v2"
	"time"
)

// Backoff is a jittered exponential backoff. It is not safe for concurrent use.
type Backoff struct {
	// Min and Max bound the time before the jitter.
	Min, Max time.Duration
	current  time.Duration
}

// Next returns the time to wait before the next try: from half of the
// exponential time to all of it.
func (b *Backoff) Next() time.Duration {
	b.current = min(max(2*b.current, b.Min), b.Max)
	return Jitter(b.current)
}

// Reset begins anew after a success.
func (b *Backoff) Reset() { b.current = 0 }

// Wait waits for the next try and reports whether the context lives on.
func (b *Backoff) Wait(ctx context.Context) bool { return Sleep(ctx, b.Next()) }

// Jitter returns a random time from half of d to all of it.
func Jitter(d time.Duration) time.Duration {
	half := d / 2
	return half + rand.N(half+1)
}

// Sleep waits and reports whether the context lives on.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
