package backoff

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestCoolDowns(t *testing.T) {
	Convey("A name is in cool-down until its time, and is then removed", t, func() {
		var c CoolDowns
		now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		So(c.Active("x", now), ShouldBeFalse)
		c.Add("x", now.Add(time.Second))
		So(c.Active("x", now), ShouldBeTrue)
		So(c.Active("y", now), ShouldBeFalse)
		So(c.Active("x", now.Add(time.Second)), ShouldBeFalse)
		_, kept := c.until.Load("x")
		So(kept, ShouldBeFalse)
	})
}
