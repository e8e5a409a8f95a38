package policy

import (
	"maps"
	"slices"
	"time"
)

// UsageCounts holds numbers of requests by client account.
type UsageCounts map[string]int64

// Total returns the sum over all accounts.
func (c UsageCounts) Total() (n int64) {
	for _, v := range c {
		n += v
	}
	return n
}

// UsageReport is what one instance states to the holder of the duties. Counts are cumulative,
// so that a lost or repeated report does no harm.
type UsageReport struct {
	// Current is the number of the window in which the report was made.
	Current int64
	// Windows holds the counts of the windows that are not fixed yet.
	Windows map[int64]UsageCounts
	// Fixed is the last window whose report is known to be fixed, 0 if none is.
	Fixed int64
	// Final is true in the last report of a process.
	Final bool
}

// maxLedgerWindows bounds the windows that an instance keeps until their report is fixed.
const maxLedgerWindows = 32

// UsageLedger counts the requests of one instance by window and client account. Window k
// begins k times its length after the start of 1970. It is not safe for concurrent use.
type UsageLedger struct {
	length  time.Duration
	windows map[int64]*ledgerWindow
	fixed   int64
}

type ledgerWindow struct {
	counts UsageCounts
}

// NewUsageLedger returns an empty ledger of windows of a length.
func NewUsageLedger(length time.Duration) *UsageLedger {
	return &UsageLedger{length: length, windows: make(map[int64]*ledgerWindow)}
}

// Window returns the number of the window of a time.
func (l *UsageLedger) Window(now time.Time) int64 { return now.UnixNano() / int64(l.length) }

// Count counts a request of an account. It returns the number of requests that were dropped
// because their window was never fixed, which happens if the clock jumps or no holder is
// reachable for long.
func (l *UsageLedger) Count(now time.Time, account string) (dropped int64) {
	k := l.Window(now)
	w := l.windows[k]
	if w == nil {
		if len(l.windows) >= maxLedgerWindows {
			dropped = l.dropOldest()
		}
		w = &ledgerWindow{counts: make(UsageCounts)}
		l.windows[k] = w
	}
	w.counts[account]++
	return dropped
}

// dropOldest drops the window with the smallest number, or the one that is farthest ahead if
// the clock was set back. It returns the requests that were counted in it.
func (l *UsageLedger) dropOldest() int64 {
	numbers := slices.Sorted(maps.Keys(l.windows))
	oldest := numbers[0]
	if last := numbers[len(numbers)-1]; last > numbers[len(numbers)/2]+maxLedgerWindows {
		oldest = last
	}
	n := l.windows[oldest].counts.Total()
	delete(l.windows, oldest)
	return n
}

// Report returns the counts of all windows that are not fixed.
func (l *UsageLedger) Report(now time.Time) UsageReport {
	r := UsageReport{Current: l.Window(now), Windows: make(map[int64]UsageCounts, len(l.windows)), Fixed: l.fixed}
	for k, w := range l.windows {
		r.Windows[k] = maps.Clone(w.counts)
	}
	return r
}

// Fix drops the windows through a number, whose reports are fixed.
func (l *UsageLedger) Fix(through int64) {
	l.fixed = max(l.fixed, through)
	maps.DeleteFunc(l.windows, func(k int64, _ *ledgerWindow) bool { return k <= l.fixed })
}

// Limits of the collection of counts.
const (
	// reportCurrent is the time for which the window that an instance has stated counts.
	reportCurrent = 5 * time.Second
	// awaitInstances is the time since an instance was last a member for which it is awaited:
	// one that is cut off is no member any more, but has counts.
	awaitInstances = 10 * time.Second
	// sourceTTL is the time after which an instance that reports no more is forgotten.
	sourceTTL = time.Minute
	// maxUsageBacklog is the number of windows behind the present one that are still reported.
	maxUsageBacklog = 24
	// lateWindows is the number of fixed windows for which counts that come too late are
	// recognized.
	lateWindows = 4
	// maxWindowsAhead is the number of windows by which the clock of an instance may be ahead.
	maxWindowsAhead = 2
)

// UsageCollector merges the counts of all instances at the holder of the duties and decides
// when a window is complete. It is not safe for concurrent use.
type UsageCollector struct {
	// wait is how long a window waits, after its end, for instances that have not reported.
	wait    time.Duration
	sources map[string]*usageSource // by incarnation
	// fixed is the last window whose report is fixed, 0 if none is known.
	fixed int64
	// ended is when windows were first known to have ended.
	ended map[int64]time.Time
	// included holds the windows that this collector has counted itself.
	included map[int64]bool
	// members is when instances were last members.
	members map[string]time.Time
	// firstCurrent is the earliest window that was the present one of a report, 0 without a report.
	firstCurrent int64
}

// usageSource is what one process has reported.
type usageSource struct {
	instance string
	current  int64
	received time.Time
	windows  map[int64]UsageCounts
	final    bool
}

// NewUsageCollector returns a collector without counts.
func NewUsageCollector(wait time.Duration) *UsageCollector {
	return &UsageCollector{wait: wait, sources: make(map[string]*usageSource), ended: make(map[int64]time.Time), included: make(map[int64]bool), members: make(map[string]time.Time)}
}

// SetMembers records the present members of the fleet, by name.
func (c *UsageCollector) SetMembers(now time.Time, members []string) {
	for _, m := range members {
		c.members[m] = now
	}
	maps.DeleteFunc(c.members, func(_ string, seen time.Time) bool { return now.Sub(seen) > awaitInstances })
}

// Merge takes the report of a process of an instance. It returns the number of requests in
// windows that this collector has already reported without them.
func (c *UsageCollector) Merge(now time.Time, instance, incarnation string, r UsageReport) (late int64) {
	s := c.sources[incarnation]
	if s == nil {
		s = &usageSource{instance: instance, windows: make(map[int64]UsageCounts)}
		c.sources[incarnation] = s
	}
	if c.firstCurrent == 0 || r.Current < c.firstCurrent {
		c.firstCurrent = r.Current
	}
	s.current, s.received, s.final = r.Current, now, s.final || r.Final
	for k, counts := range r.Windows {
		before := s.windows[k].Total()
		// An earlier report may arrive after a later one: counts only grow.
		if total := counts.Total(); total > before {
			if c.included[k] {
				late += total - before
			}
			s.windows[k] = counts
		}
	}
	c.Fix(r.Fixed)
	return late
}

// Include records that a due window is fixed with the counts that Next has returned.
func (c *UsageCollector) Include(window int64) {
	c.included[window] = true
	c.Fix(window)
}

// Fix records that the reports of the windows through a number are fixed.
func (c *UsageCollector) Fix(through int64) {
	if through <= c.fixed {
		return
	}
	c.fixed = through
	maps.DeleteFunc(c.ended, func(k int64, _ time.Time) bool { return k <= c.fixed })
	maps.DeleteFunc(c.included, func(k int64, _ bool) bool { return k <= c.fixed-lateWindows })
	for _, s := range c.sources {
		maps.DeleteFunc(s.windows, func(k int64, _ UsageCounts) bool { return k <= c.fixed-lateWindows })
	}
}

// Fixed returns the last window whose report is known to be fixed, 0 if none is.
func (c *UsageCollector) Fixed() int64 { return c.fixed }

// Current returns the number of the present window as at least half of the instances state
// it, so that no single clock decides. ok is false if no instance has reported lately.
func (c *UsageCollector) Current(now time.Time) (current int64, ok bool) {
	var stated []int64
	for _, s := range c.sources {
		if now.Sub(s.received) <= reportCurrent {
			stated = append(stated, s.current)
		}
	}
	if len(stated) == 0 {
		return 0, false
	}
	slices.Sort(stated)
	return stated[(len(stated)-1)/2], true
}

// UsageDue is a window whose counts are to be reported.
type UsageDue struct {
	Window int64
	Counts UsageCounts
	// Missing holds the instances that have not reported past the window.
	Missing []string
	// Before is true if the window began before the first report to this collector, so that
	// counts of processes that have ended may lack.
	Before bool
	// Skipped is the number of windows before it that are too old to be reported.
	Skipped int64
}

// Next returns the next window to report, if it has ended and either all instances have reported
// past it or the wait for them is over.
func (c *UsageCollector) Next(now time.Time) (due UsageDue, ok bool) {
	current, ok := c.Current(now)
	if !ok {
		return UsageDue{}, false
	}
	c.forget(now, current)
	due.Window = c.first(current)
	if due.Window >= current {
		return UsageDue{}, false
	}
	if c.fixed > 0 {
		due.Skipped = due.Window - c.fixed - 1
	}
	for k := due.Window; k < current; k++ {
		if _, known := c.ended[k]; !known {
			c.ended[k] = now
		}
	}
	due.Missing, due.Before = c.missing(due.Window), due.Window < c.firstCurrent
	if len(due.Missing) > 0 && now.Sub(c.ended[due.Window]) < c.wait {
		return UsageDue{}, false
	}
	due.Counts = make(UsageCounts)
	for _, s := range c.sources {
		for account, n := range s.windows[due.Window] {
			due.Counts[account] += n
		}
	}
	return due, true
}

// first returns the window after the fixed ones. If none is fixed, it is the first one in which
// an instance has counted, or the present one.
func (c *UsageCollector) first(current int64) int64 {
	oldest := current - maxUsageBacklog
	if c.fixed > 0 {
		return max(c.fixed+1, oldest)
	}
	first := current
	for _, s := range c.sources {
		for k := range s.windows {
			if k >= oldest {
				first = min(first, k)
			}
		}
	}
	return first
}

// missing returns the members, and those that were until lately, of which no process has
// reported past a window. One that has ended is not awaited, unless a later process of its
// name has reported since.
func (c *UsageCollector) missing(window int64) []string {
	past := make(map[string]bool)
	latest := make(map[string]*usageSource)
	for _, s := range c.sources {
		if s.current > window {
			past[s.instance] = true
		}
		if l := latest[s.instance]; l == nil || s.received.After(l.received) {
			latest[s.instance] = s
		}
	}
	return slices.DeleteFunc(slices.Sorted(maps.Keys(c.members)), func(m string) bool {
		return past[m] || latest[m] != nil && latest[m].final
	})
}

// forget drops what is too old, and what a clock that is far ahead has counted.
func (c *UsageCollector) forget(now time.Time, current int64) {
	for incarnation, s := range c.sources {
		maps.DeleteFunc(s.windows, func(k int64, _ UsageCounts) bool {
			return k < current-maxUsageBacklog || k > current+maxWindowsAhead
		})
		if now.Sub(s.received) > sourceTTL && len(s.windows) == 0 {
			delete(c.sources, incarnation)
		}
	}
}
