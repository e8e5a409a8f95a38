package kernel

import (
	"fmt"
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestFleetOwner(t *testing.T) {
	members := []FleetMember{{ID: "a", Capacity: 1}, {ID: "b", Capacity: 1}, {ID: "c", Capacity: 8}}
	everyone := func(FleetMember) bool { return true }
	Convey("The owner does not depend on the order of the members", t, func() {
		other := slices.Clone(members)
		slices.Reverse(other)
		for i := range 50 {
			key := fmt.Sprint("key", i)
			So(FleetOwner(key, members, everyone), ShouldResemble, FleetOwner(key, other, everyone))
		}
	})
	Convey("An ineligible member owns nothing, and only its keys get another owner", t, func() {
		for i := range 50 {
			key := fmt.Sprint("key", i)
			before := FleetOwner(key, members, everyone)
			after := FleetOwner(key, members, func(m FleetMember) bool { return m.ID != "a" })
			So(after.ID, ShouldNotEqual, "a")
			if before.ID != "a" {
				So(after, ShouldResemble, before)
			}
		}
	})
	Convey("A member owns keys in proportion to its capacity", t, func() {
		owned := make(map[string]int)
		for i := range 1000 {
			owned[FleetOwner(fmt.Sprint("key", i), members, everyone).ID]++
		}
		So(owned["c"], ShouldBeBetween, 720, 880)
	})
	Convey("Without members there is no owner", t, func() {
		So(FleetOwner("key", nil, everyone).ID, ShouldEqual, "")
	})
}

type fixedFleet []FleetMember

func (f fixedFleet) Members() []FleetMember { return f }
func (fixedFleet) Confirmed() bool          { return true }

func TestRankInFleet(t *testing.T) {
	Convey("Without gossip, instances are ranked among the members of the fleet", t, func() {
		fleet := fixedFleet{{ID: "a", Zone: "z1"}, {ID: "b", Zone: "z1"}, {ID: "c", Zone: "z2"}}
		places := make(map[int]string)
		for _, m := range fleet {
			settings, err := Schema().Load("test", []byte("[instance]\nid = "+m.ID+"\nzone = "+m.Zone+"\n"))
			So(err, ShouldBeNil)
			places[(&Host{Settings: settings, Fleet: fleet}).Rank("key")] = m.ID
		}
		So(places, ShouldHaveLength, 3)
	})
}
