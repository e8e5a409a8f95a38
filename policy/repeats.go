package policy

import "time"

const (
	// repeatBuckets divides the window of a repeat budget.
	repeatBuckets = 10
	// repeatMargin is the part of the permitted repeats that is used, since the
	// windows of instances and of those who count differ.
	repeatMargin = 0.8
	// repeatExtraPart is the part of the fixed allowance that instances divide.
	repeatExtraPart = 0.5
)

// RepeatBudget bounds the repeats of a service's requests: in any window no
// more than a part of its requests, and a fixed number that all instances
// share. Every instance keeps to the part of its own requests, so that the sum
// holds without any message. It is not safe for concurrent use.
type RepeatBudget struct {
	Ratio  float64
	Extra  float64
	Window time.Duration

	buckets [repeatBuckets]struct{ requests, repeats int }
	began   time.Time
	current int64 // number of the newest bucket since began
}

// Request counts a request.
func (b *RepeatBudget) Request(now time.Time) { b.bucket(now).requests++ }

// Allow reports whether a repeat is permitted, and counts it if so. Fleet is the
// number of instances.
func (b *RepeatBudget) Allow(now time.Time, fleet int) bool {
	newest := b.bucket(now)
	requests, repeats := 0, 0
	for _, k := range b.buckets {
		requests += k.requests
		repeats += k.repeats
	}
	most := repeatMargin*b.Ratio*float64(requests) + repeatExtraPart*b.Extra/float64(max(1, fleet))
	if float64(repeats+1) > most {
		return false
	}
	newest.repeats++
	return true
}

// bucket returns the bucket of now, and empties those that the window left.
func (b *RepeatBudget) bucket(now time.Time) *struct{ requests, repeats int } {
	if b.began.IsZero() {
		b.began = now
	}
	n := int64(now.Sub(b.began)) / max(1, int64(b.Window)/repeatBuckets)
	if n-b.current >= repeatBuckets {
		b.current = n - repeatBuckets
	}
	for b.current < n {
		b.current++
		b.buckets[b.current%repeatBuckets] = struct{ requests, repeats int }{}
	}
	return &b.buckets[b.current%repeatBuckets]
}
