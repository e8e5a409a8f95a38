package policy

import "time"

const (
	// budgetBuckets is the number of buckets that divide the sliding window.
	budgetBuckets = 10
	// budgetMargin is the fraction of the permitted retries that is used. It is
	// below 1 because the windows of the instances differ from those of an observer
	// that counts the retries.
	budgetMargin = 0.8
	// budgetExtraFraction is the fraction of RetryBudget.Extra that the instances
	// divide.
	budgetExtraFraction = 0.5
)

// RetryBudget bounds the retries of a service's requests. In any window, all
// instances together make at most Ratio retries per request plus Extra retries.
// Every instance applies the bound to its own requests and its part of Extra, so
// that the sum holds without coordination. It is not safe for concurrent use.
type RetryBudget struct {
	Ratio  float64
	Extra  float64
	Window time.Duration

	buckets       [budgetBuckets]struct{ requests, retries int }
	start         time.Time
	currentBucket int64 // number of the newest bucket since start
}

// Request counts a request.
func (b *RetryBudget) Request(now time.Time) { b.bucket(now).requests++ }

// Allow reports whether a retry is permitted, and counts it if so. instances is
// the number of running instances. While it is unknown (0), Extra is not used.
func (b *RetryBudget) Allow(now time.Time, instances int) bool {
	newest := b.bucket(now)
	requests, retries := 0, 0
	for _, k := range b.buckets {
		requests += k.requests
		retries += k.retries
	}
	allowed := budgetMargin * b.Ratio * float64(requests)
	if instances > 0 {
		allowed += budgetExtraFraction * b.Extra / float64(instances)
	}
	if float64(retries+1) > allowed {
		return false
	}
	newest.retries++
	return true
}

// bucket returns the bucket of now. It clears the buckets that have left the
// window.
func (b *RetryBudget) bucket(now time.Time) *struct{ requests, retries int } {
	if b.start.IsZero() {
		b.start = now
	}
	n := int64(now.Sub(b.start)) / max(1, int64(b.Window)/budgetBuckets)
	if n-b.currentBucket >= budgetBuckets {
		b.currentBucket = n - budgetBuckets
	}
	for b.currentBucket < n {
		b.currentBucket++
		b.buckets[b.currentBucket%budgetBuckets] = struct{ requests, retries int }{}
	}
	return &b.buckets[b.currentBucket%budgetBuckets]
}
