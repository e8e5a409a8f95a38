package claims

import (
	"sync"
	"time"

	"github.com/savoryfold/savoryfold/internal/backoff"
)

// The circuit's bounds.
const (
	failureThreshold = 2
	minOpenTime      = 100 * time.Millisecond
	maxOpenTime      = 5 * time.Second
	maxOpenDoublings = 6
)

// circuit keeps calls from a log that does not answer. It opens after several
// failures in a row, for a time that doubles and is jittered, so that instances
// do not come back at once; then it lets one call through.
type circuit struct {
	mu        sync.Mutex
	failures  int       // in a row; guarded by mu
	openUntil time.Time // open until; guarded by mu
}

// allow reports whether a call may be tried.
func (c *circuit) allow(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failures < failureThreshold {
		return true
	}
	if now.Before(c.openUntil) {
		return false
	}
	c.openUntil = now.Add(backoff.Jitter(c.openTime()))
	return true
}

// open reports whether calls are refused.
func (c *circuit) open(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failures >= failureThreshold && now.Before(c.openUntil)
}

// openTime is the time of the next pause. The caller holds mu.
func (c *circuit) openTime() time.Duration {
	doubles := min(c.failures-failureThreshold, maxOpenDoublings)
	return min(minOpenTime<<max(0, doubles), maxOpenTime)
}

// record takes the result of a call and reports whether the circuit changed.
func (c *circuit) record(now time.Time, ok bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	was := c.failures >= failureThreshold
	if ok {
		c.failures = 0
		return was
	}
	c.failures++
	if c.failures >= failureThreshold {
		c.openUntil = now.Add(backoff.Jitter(c.openTime()))
	}
	return !was && c.failures >= failureThreshold
}

// String returns the circuit's state.
func (c *circuit) String() string {
	if c.open(time.Now()) {
		return "open"
	}
	return "closed"
}
