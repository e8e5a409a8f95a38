package policy

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// usageTime returns the time in seconds after the begin of window 100, of 5 s each.
func usageTime(seconds float64) time.Time {
	return time.Unix(500, 0).Add(time.Duration(seconds * float64(time.Second)))
}

// TestUsageLedger checks what an instance keeps while no holder is reachable, and that neither
// that nor a clock that jumps takes memory without bound.
func TestUsageLedger(t *testing.T) {
	Convey("Counts are kept by window until its report is fixed", t, func() {
		l := NewUsageLedger(5 * time.Second)
		l.Count(usageTime(4.9), "a")
		l.Count(usageTime(5), "a")
		l.Count(usageTime(5), "b")
		So(l.Report(usageTime(6)), ShouldResemble, UsageReport{Current: 101, Windows: map[int64]UsageCounts{100: {"a": 1}, 101: {"a": 1, "b": 1}}})
		l.Fix(100)
		l.Fix(99)
		So(l.Report(usageTime(6)), ShouldResemble, UsageReport{Current: 101, Windows: map[int64]UsageCounts{101: {"a": 1, "b": 1}}, Fixed: 100})
	})
	Convey("The oldest windows are dropped, and those from before a clock was set back", t, func() {
		l := NewUsageLedger(5 * time.Second)
		l.Count(usageTime(1e6), "ahead")
		dropped := int64(0)
		for k := range 2 * maxLedgerWindows {
			dropped += l.Count(usageTime(5*float64(k)), "a")
		}
		r := l.Report(usageTime(0))
		So(len(r.Windows), ShouldEqual, maxLedgerWindows)
		So(dropped, ShouldEqual, maxLedgerWindows+1)
		So(r.Windows[100+2*maxLedgerWindows-1], ShouldResemble, UsageCounts{"a": 1})
		So(r.Windows[100+maxLedgerWindows], ShouldResemble, UsageCounts{"a": 1})
	})
}

// usageStep is a report to the collector, or a check which window is due.
type usageStep struct {
	at       float64 // seconds after the begin of window 100
	from     string  // instance; its process is from, unless process is set
	process  string
	current  int64
	windows  map[int64]UsageCounts
	reported int64 // last fixed window that the report states
	final    bool

	check bool
	due   *UsageDue // nil means that none is due
	fix   int64
	late  int64
}

// TestUsageCollector checks when a window is reported and with which counts.
func TestUsageCollector(t *testing.T) {
	count := func(k, n int64) map[int64]UsageCounts { return map[int64]UsageCounts{k: {"x": n}} }
	due := func(k, n int64, missing ...string) *UsageDue {
		d := &UsageDue{Window: k, Counts: UsageCounts{}}
		if n > 0 {
			d.Counts["x"] = n
		}
		d.Missing = append([]string{}, missing...)
		return d
	}
	before := func(d *UsageDue) *UsageDue { d.Before = true; return d }
	for _, test := range []struct {
		name  string
		steps []usageStep
		also  []string // members besides a, b and c
	}{
		{"a window is due once all members have reported past it", []usageStep{
			{at: 4, from: "a", current: 100, windows: count(100, 1)},
			{at: 5.1, from: "a", current: 101, windows: count(100, 2)},
			{at: 5.2, from: "b", current: 101, windows: count(100, 3)},
			{at: 5.3, check: true},
			{at: 5.9, from: "c", current: 101},
			{at: 6, check: true, due: due(100, 5)},
		}, nil},
		{"a lost, a repeated and a reordered report do no harm", []usageStep{
			{at: 5.1, from: "a", current: 101, windows: count(100, 4)},
			{at: 5.2, from: "a", current: 101, windows: count(100, 4)},
			{at: 5.3, from: "a", current: 101, windows: count(100, 2)},
			{at: 5.4, from: "b", current: 101}, {at: 5.4, from: "c", current: 101},
			{at: 6, check: true, due: before(due(100, 4))},
		}, nil},
		{"the wait for an instance that does not report ends", []usageStep{
			{at: 5.1, from: "a", current: 101, windows: count(100, 4)}, {at: 5.1, from: "b", current: 101},
			{at: 5.2, check: true}, {at: 10, from: "a", current: 102}, {at: 10, check: true},
			{at: 11.3, check: true, due: before(due(100, 4, "c"))},
		}, nil},
		{"an instance that was cut off is awaited although it is no member, unless it has ended", []usageStep{
			{at: 4, from: "cut", current: 100, windows: count(100, 7)}, {at: 4, from: "ended", current: 100, windows: count(100, 1), final: true},
			{at: 5.1, from: "a", current: 101}, {at: 5.1, from: "b", current: 101}, {at: 5.1, from: "c", current: 101},
			{at: 6, check: true},
			{at: 8, from: "cut", current: 101, windows: count(100, 9)},
			{at: 8.1, check: true, due: due(100, 10)},
		}, []string{"cut", "ended"}},
		{"two processes of one name are both counted", []usageStep{
			{at: 4, from: "a", process: "a1", current: 100, windows: count(100, 3)},
			{at: 5.1, from: "a", process: "a2", current: 101, windows: count(100, 4)},
			{at: 5.4, from: "b", current: 101}, {at: 5.4, from: "c", current: 101},
			{at: 6, check: true, due: due(100, 7)},
		}, nil},
		{"an instance that was started again is awaited", []usageStep{
			{at: 1, from: "a", process: "a1", current: 100, windows: count(100, 3), final: true},
			{at: 4, from: "a", process: "a2", current: 100, windows: count(100, 1)},
			{at: 5.1, from: "b", current: 101}, {at: 5.1, from: "c", current: 101}, {at: 5.1, from: "d", current: 101},
			{at: 5.2, check: true},
			{at: 5.3, from: "a", process: "a2", current: 101, windows: count(100, 4)},
			{at: 5.4, check: true, due: due(100, 7)},
		}, []string{"d"}},
		{"one clock that is ahead decides nothing, and what it counts is not reported", []usageStep{
			{at: 4, from: "a", current: 820, windows: count(819, 3)}, {at: 4, from: "b", current: 100}, {at: 4, from: "c", current: 100},
			{at: 4.1, check: true},
			{at: 5.1, from: "b", current: 101, windows: count(100, 1)}, {at: 5.1, from: "c", current: 101},
			{at: 5.2, check: true, due: due(100, 1)},
		}, nil},
		{"counts for a fixed window are late", []usageStep{
			{at: 4, from: "a", current: 100, windows: count(100, 3), late: 0},
			{at: 5, fix: 100},
			{at: 6, from: "a", current: 101, windows: count(100, 5), late: 2},
			{at: 7, from: "a", current: 101, windows: count(100, 5), late: 0},
		}, nil},
		{"a new holder goes on after the last window that anyone knows to be fixed", []usageStep{
			{at: 15.1, from: "a", current: 103, windows: map[int64]UsageCounts{101: {"x": 1}, 102: {"x": 2}}, reported: 100},
			{at: 15.1, from: "b", current: 103, reported: 101}, {at: 15.1, from: "c", current: 103},
			{at: 15.2, check: true, due: before(due(102, 2))},
		}, nil},
		{"the first holder begins with the first window that was counted", []usageStep{
			{at: 15.1, from: "a", current: 103, windows: map[int64]UsageCounts{101: {"x": 1}, 102: {"x": 2}}},
			{at: 15.1, from: "b", current: 103}, {at: 15.1, from: "c", current: 103},
			{at: 15.2, check: true, due: before(due(101, 1))}, {at: 15.2, fix: 101}, {at: 15.2, check: true, due: before(due(102, 2))},
			{at: 15.3, fix: 102}, {at: 15.3, check: true},
		}, nil},
		{"windows that are long past are skipped", []usageStep{
			{at: 0, fix: 50},
			{at: 1, from: "a", current: 100}, {at: 1, from: "b", current: 100}, {at: 1, from: "c", current: 100},
			{at: 2, check: true, due: &UsageDue{Window: 100 - maxUsageBacklog, Counts: UsageCounts{}, Missing: []string{}, Before: true, Skipped: 100 - maxUsageBacklog - 51}},
		}, nil},
	} {
		Convey(test.name, t, func() {
			c := NewUsageCollector(6 * time.Second)
			c.SetMembers(usageTime(test.steps[0].at), append([]string{"a", "b", "c"}, test.also...))
			for _, s := range test.steps {
				now := usageTime(s.at)
				switch {
				case s.fix > 0:
					c.Include(s.fix)
				case s.check:
					got, ok := c.Next(now)
					So(ok, ShouldEqual, s.due != nil)
					if ok {
						So(got, ShouldResemble, *s.due)
					}
				default:
					process := s.process
					if process == "" {
						process = s.from
					}
					So(c.Merge(now, s.from, process, UsageReport{Current: s.current, Windows: s.windows, Fixed: s.reported, Final: s.final}), ShouldEqual, s.late)
				}
			}
		})
	}
}
