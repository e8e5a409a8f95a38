package claims

import (
	"sync"
	"time"

	"github.com/savoryfold/savoryfold/internal/backoff"
)

// The circuit's bounds.
const (
	tripFailures   = 2
	minOpen        = 100 * time.Millisecond
	maxOpen        = 5 * time.Second
	maxOpenDoubles = 6
)

// circuit keeps calls from a log that does not answer. It opens after several
// failures in a row, for a time that doubles and is jittered, so that instances
// do not come back at once; then it lets one call through.
type circuit struct {
	mu       sync.Mutex
	failures int       // in a row; guarded by mu
	until    time.Time // open until; guarded by mu
}

// allow reports whether a call may be tried.
func (c *circuit) allow(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failures < tripFailures {
		return true
	}
	if now.Before(c.until) {
		return false
	}
	c.until = now.Add(backoff.Jitter(c.openTime()))
	return true
}

// open reports whether calls are refused.
func (c *circuit) open(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failures >= tripFailures && now.Before(c.until)
}

// openTime is the time of the next pause. The caller holds mu.
func (c *circuit) openTime() time.Duration {
	doubles := min(c.failures-tripFailures, maxOpenDoubles)
	return min(minOpen<<max(0, doubles), maxOpen)
}

// note takes the result of a call and reports whether the circuit changed.
func (c *circuit) note(now time.Time, ok bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	was := c.failures >= tripFailures
	if ok {
		c.failures = 0
		return was
	}
	c.failures++
	if c.failures >= tripFailures {
		c.until = now.Add(backoff.Jitter(c.openTime()))
	}
	return !was && c.failures >= tripFailures
}

// String returns the circuit's state.
func (c *circuit) String() string {
	if c.open(time.Now()) {
		return "open"
	}
	return "closed"
}
