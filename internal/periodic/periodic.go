// Package periodic repeats work in the background.
package periodic

import (
	"context"
	"time"
)

// Run calls f after every interval with the time then, until the context ends.
// A call that takes longer than the interval delays the next one and drops those
// that were due meanwhile.
func Run(ctx context.Context, interval time.Duration, f func(now time.Time)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if ctx.Err() != nil {
				return // both were due
			}
			f(now)
		}
	}
}
