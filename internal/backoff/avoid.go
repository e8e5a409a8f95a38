package backoff

import (
	"sync"
	"time"
)

// CoolDowns is a set of names in cool-down, such as servers that failed recently. The
// zero value is ready to use. It is safe for concurrent use.
type CoolDowns struct {
	until sync.Map // name -> time.Time
}

// Add puts a name into cool-down until the given time.
func (c *CoolDowns) Add(name string, until time.Time) { c.until.Store(name, until) }

// Active reports whether a name is in cool-down. It removes the name if its cool-down
// has ended.
func (c *CoolDowns) Active(name string, now time.Time) bool {
	until, ok := c.until.Load(name)
	if !ok {
		return false
	}
	if now.Before(until.(time.Time)) {
		return true
	}
	c.until.CompareAndDelete(name, until)
	return false
}
