// Package backoff spaces the retries of failed calls, so that many clients do not
// retry at the same time.
package backoff

import (
	"context"
	"math/rand/v2"
	"time"
)

// Backoff is an exponential backoff with jitter. It is not safe for concurrent use.
type Backoff struct {
	// Min and Max bound the delay before jitter.
	Min, Max time.Duration
	current  time.Duration
}

// Next doubles the delay, within its bounds, and returns it with jitter: a random
// duration from half of the delay to all of it.
func (b *Backoff) Next() time.Duration {
	b.current = min(max(2*b.current, b.Min), b.Max)
	return Jitter(b.current)
}

// Reset returns to the minimum delay. Call it after a success.
func (b *Backoff) Reset() { b.current = 0 }

// Wait sleeps for the next delay. It returns false if the context ends first.
func (b *Backoff) Wait(ctx context.Context) bool { return Sleep(ctx, b.Next()) }

// Jitter returns a random duration from d/2 to d.
func Jitter(d time.Duration) time.Duration {
	half := d / 2
	return half + rand.N(half+1)
}

// Sleep waits for the duration d. It returns false if the context ends first.
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
