package main

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/savoryfold/savoryfold/standin"
)

func TestFigures(t *testing.T) {
	Convey("A missed target sets the missed flag and is shown on the page with the plots", t, func() {
		e := &env{experiment: "cold", seed: 1, policy: policyStandard}
		e.atMost("calls", 0, 0, "calls")
		So(e.missed, ShouldBeFalse)
		e.atLeast("attainment", 0.9, 0.995, "part")
		So(e.missed, ShouldBeTrue)
		e.series = []series{{plot: "calls on an engine", name: "calls", points: []point{{0, 1}, {1, 2}}}}
		dir := t.TempDir()
		So(writePage(dir, []*env{e}), ShouldBeNil)
		page, err := os.ReadFile(filepath.Join(dir, "cold.html"))
		So(err, ShouldBeNil)
		So(string(page), ShouldContainSubstring, "<td>missed</td>")
		So(string(page), ShouldContainSubstring, "<h2>calls on an engine</h2><svg")
	})
}

func TestShare(t *testing.T) {
	Convey("The share of a version counts only the calls of the time span", t, func() {
		start := time.Unix(1000, 0)
		calls := []standin.CallRecord{
			{Version: oldVersion, Start: start.Add(time.Second)},
			{Version: newVersion, Start: start.Add(2 * time.Second)},
			{Version: newVersion, Start: start.Add(9 * time.Second)},
		}
		So(share(calls, start, start.Add(3*time.Second)), ShouldEqual, 0.5)
		So(share(nil, start, start), ShouldEqual, 0)
	})
}
