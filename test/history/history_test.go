package history

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/savoryfold/savoryfold/standin"
)

func TestRequests(t *testing.T) {
	start := time.Unix(1000, 0)
	second := func(n int) time.Time { return start.Add(time.Duration(n) * time.Second) }
	run := func(n int) standin.CallRecord { return standin.CallRecord{Start: second(n)} }
	check := func(runs []standin.CallRecord, attempts ...Attempt) RequestsResult {
		return Requests{Attempts: attempts, Executions: map[string][]standin.CallRecord{"k": runs}}.Check()
	}
	Convey("A key that ran once and whose result was replayed has no violations", t, func() {
		v := check([]standin.CallRecord{run(1)},
			Attempt{Key: "k", Start: second(0), Outcome: served, Answer: "a"},
			Attempt{Key: "k", Start: second(2), Outcome: served, Answer: "a"},
			Attempt{Key: "k", Start: second(3), Outcome: notRun})
		So(v.Violations, ShouldBeEmpty)
		So(v.Served, ShouldEqual, 1)
	})
	Convey("Violations are found", t, func() {
		So(check([]standin.CallRecord{run(1), run(2)}, Attempt{Key: "k", Start: start}).Duplicated, ShouldEqual, 1)
		So(check(nil, Attempt{Key: "k", Outcome: served}).ServedNotRun, ShouldEqual, 1)
		So(check([]standin.CallRecord{run(1)}, Attempt{Key: "k", Start: start, Outcome: notRun}).FalseNotRun, ShouldEqual, 1)
		So(check([]standin.CallRecord{run(1)},
			Attempt{Key: "k", Start: start, Outcome: notRun},
			Attempt{Key: "k", Start: second(2), Outcome: served, Answer: "a"}).FalseNotRun, ShouldEqual, 1)
		So(check([]standin.CallRecord{run(1)},
			Attempt{Key: "k", Start: start, Outcome: served, Answer: "a"},
			Attempt{Key: "k", Start: start, Outcome: served, Answer: "b"}).Differing, ShouldEqual, 1)
		So(check([]standin.CallRecord{run(1)}, Attempt{Key: "k", Start: start, Outcome: "unknown"}).Unsettled, ShouldEqual, 1)
	})
}

func TestTables(t *testing.T) {
	start := time.Unix(1000, 0)
	Convey("Reverted revisions, racing edits and the slowest activation are found", t, func() {
		v := Tables{
			Observations: []Observation{
				{"a", start, 1}, {"a", start.Add(2 * time.Second), 2}, {"b", start, 2}, {"b", start.Add(time.Second), 1},
			},
			Edits: []Edit{
				{ID: "x", Section: "zone z", Base: 1, Accepted: true, Revision: 2, At: start.Add(time.Second)},
				{ID: "y", Section: "zone z", Base: 1, Accepted: true, Revision: 3, At: start.Add(time.Second)},
				{ID: "z", Section: "zone z", Base: 1},
			},
		}.Check()
		So(v.Reverted, ShouldEqual, 1)
		So(v.Raced, ShouldEqual, 1)
		So(v.Slowest, ShouldEqual, time.Second)
	})
}
