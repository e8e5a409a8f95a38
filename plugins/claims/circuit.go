package claims

import (
	"sync"
	"time"

	"github.com/savoryfold/savoryfold/internal/backoff"
)

// Parameters of the circuit breaker.
const (
	failureThreshold = 2
	minOpenTime      = 100 * time.Millisecond
	maxOpenTime      = 5 * time.Second
	maxOpenDoublings = 6
)

// circuit is the circuit breaker for calls to the log. It opens after several
// consecutive failures, for a time that doubles with each further failure. The
// time is jittered so that instances do not retry all at once. When the time is
// over, one call is let through.
type circuit struct {
	mu        sync.Mutex
	failures  int       // consecutive; guarded by mu
	openUntil time.Time // guarded by mu
}

// allow reports whether a call may be made now. While the circuit breaker is
// open, it admits one probe call per open time.
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

// open reports whether calls are refused now.
func (c *circuit) open(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failures >= failureThreshold && now.Before(c.openUntil)
}

// openTime returns how long the circuit breaker stays open after the latest
// failure, before jitter. The caller holds mu.
func (c *circuit) openTime() time.Duration {
	doublings := min(c.failures-failureThreshold, maxOpenDoublings)
	return min(minOpenTime<<max(0, doublings), maxOpenTime)
}

// record records the result of a call and reports whether the circuit breaker
// opened or closed because of it.
func (c *circuit) record(now time.Time, ok bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	wasOpen := c.failures >= failureThreshold
	if ok {
		c.failures = 0
		return wasOpen
	}
	c.failures++
	if c.failures >= failureThreshold {
		c.openUntil = now.Add(backoff.Jitter(c.openTime()))
	}
	return !wasOpen && c.failures >= failureThreshold
}

// String returns "open" or "closed".
func (c *circuit) String() string {
	if c.open(time.Now()) {
		return "open"
	}
	return "closed"
}
