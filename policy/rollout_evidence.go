package policy

import "time"

// The lengths of the sliding windows. The recent counts cover evidenceBuckets
// buckets, the last counts the newest lastBuckets of them.
const (
	evidenceBucketLength = 2 * time.Second
	evidenceBuckets      = 10
	lastBuckets          = 2
)

// loadedThreshold is the fraction of a server's limit in use above which the
// server counts as loaded.
const loadedThreshold = 0.5

// Parameters of the detection of slow calls. A call is slow if it takes longer
// than slowFactor times the slowQuantile of the old version's latency.
const (
	slowQuantile   = 0.95
	slowFactor     = 1.5
	coldSlowFactor = 3 // for calls on cold servers
	// quantileStep is the step size of the estimate: the largest relative change
	// by one call.
	quantileStep = 0.05
	// minQuantileCalls is the number of calls from which the estimate is used.
	minQuantileCalls = 30
)

// MoveCall is a finished call of one of the two versions of a rollout.
type MoveCall struct {
	// New is true if the new version was called, false for the old one.
	New     bool
	OK      bool
	Latency time.Duration
	// Load is the fraction of the server's limit in use when the call was sent.
	Load float64
	// Cold is true if the server is considered cold, which may make the call slow.
	Cold bool
}

// MoveTracker collects one instance's evidence on a rollout. It is not safe for
// concurrent use.
type MoveTracker struct {
	total   [2]VersionEvidence // old, new
	buckets [evidenceBuckets]evidenceBucket
	normal  quantile // of the old version's latency on servers without load
	loaded  quantile // of the old version's latency on loaded servers
}

// evidenceBucket holds the evidence of a time span of evidenceBucketLength.
type evidenceBucket struct {
	number int64
	counts [2]VersionEvidence
}

// slowAfter returns the latency above which a call counts as slow, or 0 if there
// are too few calls to tell. load and cold are as in MoveCall.
func (t *MoveTracker) slowAfter(load float64, cold bool) time.Duration {
	q := t.referenceQuantile(load > loadedThreshold)
	if !q.known() {
		return 0
	}
	if cold {
		return time.Duration(coldSlowFactor * q.value)
	}
	return time.Duration(slowFactor * q.value)
}

// Observe records a finished call. It reports whether the call failed or was slow.
func (t *MoveTracker) Observe(now time.Time, c MoveCall) bool {
	loaded := c.Load > loadedThreshold
	one := VersionEvidence{Calls: 1}
	if !c.OK {
		one.Failures = 1
	} else if limit := t.slowAfter(c.Load, c.Cold); limit > 0 && c.Latency > limit {
		one.Slow = 1
	}
	if loaded {
		one.LoadedCalls, one.LoadedFailures, one.LoadedSlow = 1, one.Failures, one.Slow
	}
	if !c.New && c.OK && !c.Cold {
		t.oldQuantile(loaded).observe(float64(c.Latency))
	}
	index := 0
	if c.New {
		index = 1
	}
	t.total[index] = t.total[index].Plus(one)
	bucket := t.bucket(now)
	bucket.counts[index] = bucket.counts[index].Plus(one)
	return one.Failures+one.Slow > 0
}

// oldQuantile returns the estimate of the old version's latency with or without
// load.
func (t *MoveTracker) oldQuantile(loaded bool) *quantile {
	if loaded {
		return &t.loaded
	}
	return &t.normal
}

// referenceQuantile returns the estimate with which a call's latency is compared.
// While too few calls of the old version ran without load, it is the estimate
// under load: a call without load that exceeds even that one is slow.
func (t *MoveTracker) referenceQuantile(loaded bool) *quantile {
	if !loaded && !t.normal.known() {
		return &t.loaded
	}
	return t.oldQuantile(loaded)
}

// bucket returns the bucket of the current time. It clears the bucket if that
// holds older counts.
func (t *MoveTracker) bucket(now time.Time) *evidenceBucket {
	number := now.UnixNano() / int64(evidenceBucketLength)
	bucket := &t.buckets[number%evidenceBuckets]
	if bucket.number != number {
		*bucket = evidenceBucket{number: number}
	}
	return bucket
}

// Evidence returns the evidence collected until now.
func (t *MoveTracker) Evidence(now time.Time) MoveEvidence {
	e := MoveEvidence{Old: t.total[0], New: t.total[1]}
	newest := now.UnixNano() / int64(evidenceBucketLength)
	for _, bucket := range t.buckets {
		if bucket.number > newest-evidenceBuckets && bucket.number <= newest {
			e.RecentOld = e.RecentOld.Plus(bucket.counts[0])
			e.RecentNew = e.RecentNew.Plus(bucket.counts[1])
			if bucket.number > newest-lastBuckets {
				e.LastOld = e.LastOld.Plus(bucket.counts[0])
				e.LastNew = e.LastNew.Plus(bucket.counts[1])
			}
		}
	}
	return e
}

// quantile estimates the slowQuantile of latencies by stochastic approximation.
type quantile struct {
	value float64
	calls int
}

func (q *quantile) known() bool { return q.calls >= minQuantileCalls }

func (q *quantile) observe(v float64) {
	q.calls++
	switch {
	case q.calls == 1:
		q.value = 2 * v
	case v > q.value:
		q.value *= 1 + quantileStep*slowQuantile
	default:
		q.value *= 1 - quantileStep*(1-slowQuantile)
	}
}
