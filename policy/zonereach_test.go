package policy

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestZoneReach(t *testing.T) {
	Convey("A zone counts as unreachable once two of its instances are", t, func() {
		var z ZoneReach
		So(z.Unreachable(epoch, "a"), ShouldBeFalse)
		z.Failed(epoch, "a", "1")
		z.Failed(epoch.Add(ms(100)), "a", "1")
		So(z.Unreachable(epoch.Add(ms(100)), "a"), ShouldBeFalse)
		z.Failed(epoch.Add(ms(200)), "a", "2")
		So(z.Unreachable(epoch.Add(ms(200)), "a"), ShouldBeTrue)
		So(z.Unreachable(epoch.Add(ms(200)), "b"), ShouldBeFalse)
		Convey("until one responds", func() {
			z.Reached("a")
			So(z.Unreachable(epoch.Add(ms(300)), "a"), ShouldBeFalse)
		})
		Convey("or until the first failure is more than 2 s old", func() {
			So(z.Unreachable(epoch.Add(ms(2150)), "a"), ShouldBeFalse)
		})
	})
}
