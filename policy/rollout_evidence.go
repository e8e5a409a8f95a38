package policy

import "time"

// The spans that count as recent and as last.
const (
	evidenceBucket  = 2 * time.Second
	evidenceBuckets = 10
	lastBuckets     = 2
)

// loadedPart is the part of a server's limit above which it is under load.
const loadedPart = 0.5

// The old version's high quantile of latency, and how much longer a slow call is.
const (
	slowQuantile = 0.95
	slowFactor   = 1.5
	coldFactor   = 3 // for calls on cold servers
	// quantileStep is the relative change of the estimate for one call.
	quantileStep = 0.05
	// quantileCalls is the number of calls before the estimate is used.
	quantileCalls = 30
)

// MoveCall is a finished call, as the evidence on a move sees it.
type MoveCall struct {
	// New is true if the new version was called, false for the old one.
	New     bool
	OK      bool
	Latency time.Duration
	// Load is the part of the server's limit in use when the call was sent.
	Load float64
	// Cold is true if the server is regarded as cold, and may be slow for that.
	Cold bool
}

// MoveTracker gathers one instance's evidence on a move. It is not safe for
// concurrent use.
type MoveTracker struct {
	total   [2]VersionEvidence // old, new
	buckets [evidenceBuckets]evidenceSlot
	normal  quantile
	loaded  quantile
}

// evidenceSlot is the evidence of one span of time.
type evidenceSlot struct {
	number int64
	counts [2]VersionEvidence
}

// slowAfter is the time after which a call counts as slow, 0 if that is not
// known yet. Load and cold are as in MoveCall.
func (t *MoveTracker) slowAfter(load float64, cold bool) time.Duration {
	q := t.reference(load > loadedPart)
	if !q.known() {
		return 0
	}
	if cold {
		return time.Duration(coldFactor * q.value)
	}
	return time.Duration(slowFactor * q.value)
}

// Observe takes a finished call. It reports whether the call failed or was slow.
func (t *MoveTracker) Observe(now time.Time, c MoveCall) bool {
	loaded := c.Load > loadedPart
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
		t.own(loaded).observe(float64(c.Latency))
	}
	index := 0
	if c.New {
		index = 1
	}
	t.total[index] = t.total[index].Plus(one)
	slot := t.slot(now)
	slot.counts[index] = slot.counts[index].Plus(one)
	return one.Failures+one.Slow > 0
}

// own is the old version's quantile at a load.
func (t *MoveTracker) own(loaded bool) *quantile {
	if loaded {
		return &t.loaded
	}
	return &t.normal
}

// reference is the quantile that tells a slow call. While the old version has
// calls under load only, its quantile there serves for others too: a call that
// is slower without load is slow all the more.
func (t *MoveTracker) reference(loaded bool) *quantile {
	if !loaded && !t.normal.known() {
		return &t.loaded
	}
	return t.own(loaded)
}

// slot returns the slot of the time, emptied if it holds an older span.
func (t *MoveTracker) slot(now time.Time) *evidenceSlot {
	number := now.UnixNano() / int64(evidenceBucket)
	slot := &t.buckets[number%evidenceBuckets]
	if slot.number != number {
		*slot = evidenceSlot{number: number}
	}
	return slot
}

// Evidence returns what was seen.
func (t *MoveTracker) Evidence(now time.Time) MoveEvidence {
	e := MoveEvidence{Old: t.total[0], New: t.total[1]}
	newest := now.UnixNano() / int64(evidenceBucket)
	for _, slot := range t.buckets {
		if slot.number > newest-evidenceBuckets && slot.number <= newest {
			e.RecentOld = e.RecentOld.Plus(slot.counts[0])
			e.RecentNew = e.RecentNew.Plus(slot.counts[1])
			if slot.number > newest-lastBuckets {
				e.LastOld = e.LastOld.Plus(slot.counts[0])
				e.LastNew = e.LastNew.Plus(slot.counts[1])
			}
		}
	}
	return e
}

// quantile estimates a high quantile of latencies by stochastic approximation.
type quantile struct {
	value float64
	calls int
}

func (q *quantile) known() bool { return q.calls >= quantileCalls }

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
