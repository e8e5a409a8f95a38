package backoff

import (
	"sync"
	"time"
)

// Avoided knows what failed and is left alone for a while. The zero value is
// ready; it is safe for concurrent use.
type Avoided struct {
	until sync.Map // name -> time.Time
}

// Add leaves a name alone until a time.
func (a *Avoided) Add(name string, until time.Time) { a.until.Store(name, until) }

// Has reports whether a name is to be left alone now. It forgets those whose
// time is over.
func (a *Avoided) Has(name string, now time.Time) bool {
	until, ok := a.until.Load(name)
	if !ok {
		return false
	}
	if now.Before(until.(time.Time)) {
		return true
	}
	a.until.CompareAndDelete(name, until)
	return false
}
