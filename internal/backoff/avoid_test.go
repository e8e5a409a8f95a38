package backoff

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestAvoided(t *testing.T) {
	Convey("A name is in cool-down until its time, and is then removed", t, func() {
		var a Avoided
		now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		So(a.Has("x", now), ShouldBeFalse)
		a.Add("x", now.Add(time.Second))
		So(a.Has("x", now), ShouldBeTrue)
		So(a.Has("y", now), ShouldBeFalse)
		So(a.Has("x", now.Add(time.Second)), ShouldBeFalse)
		_, kept := a.until.Load("x")
		So(kept, ShouldBeFalse)
	})
}
