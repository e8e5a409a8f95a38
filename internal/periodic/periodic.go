// Package periodic runs a function at regular intervals.
package periodic

import (
	"context"
	"time"
)

// Run calls f after every interval with the current time, until the context ends. A
// call that takes longer than the interval delays the next one; the ticks missed in
// between are dropped.
func Run(ctx context.Context, interval time.Duration, f func(now time.Time)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if ctx.Err() != nil {
				return // select chooses at random if both channels are ready
			}
			f(now)
		}
	}
}
