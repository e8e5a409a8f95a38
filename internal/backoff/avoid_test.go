package backoff

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestAvoided(t *testing.T) {
	Convey("A name is in cool-down until its time, and is then removed", t, func() {
		var a CoolDowns
		now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		So(a.Active("x", now), ShouldBeFalse)
		a.Add("x", now.Add(time.Second))
		So(a.Active("x", now), ShouldBeTrue)
		So(a.Active("y", now), ShouldBeFalse)
		So(a.Active("x", now.Add(time.Second)), ShouldBeFalse)
		_, kept := a.until.Load("x")
		So(kept, ShouldBeFalse)
	})
}
