package policy

import (
	"slices"
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

// An availability zone is cut off: connections to its servers time out from outside, and
// those to all other zones from inside. Requests should go where connections succeed, and
// where none do, to any server, as the instance's own link may be at fault.
func TestZoneReachAvoid(t *testing.T) {
	for _, c := range []struct {
		name   string
		failed []string
		zones  []string
		want   []string
	}{
		{"no failure: all zones are used", nil, []string{"a", "b", "c"}, nil},
		{"outside the zone that is cut off, it is avoided", []string{"b", "b"}, []string{"a", "b", "b", "c"}, []string{"b"}},
		{"inside it, the others are avoided", []string{"a", "a", "c", "c"}, []string{"a", "b", "c"}, []string{"a", "c"}},
		{"one server that fails by itself does not make its zone avoided", []string{"b"}, []string{"a", "b"}, nil},
		{"an instance that reaches no zone avoids none", []string{"a", "a", "b", "b"}, []string{"a", "b"}, nil},
		{"if only the unreachable zone has candidates, they are used", []string{"b", "b"}, []string{"b"}, nil},
	} {
		Convey(c.name, t, func() {
			var z ZoneReach
			for i, zone := range c.failed {
				z.Failed(epoch, zone, string(rune('a'+i)))
			}
			var got []string
			for zone, avoided := range z.Avoid(epoch.Add(ms(100)), slices.Values(c.zones)) {
				if avoided {
					got = append(got, zone)
				}
			}
			slices.Sort(got)
			So(got, ShouldResemble, c.want)
		})
	}
}
