package discovery

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/savoryfold/savoryfold/catalog"
	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/platform"
)

func TestServerEntries(t *testing.T) {
	now := time.Now()
	server := func(born, sequence int64) *catalog.Server {
		return &catalog.Server{ID: "i", Born: born, Sequence: sequence, Service: "s", Zone: "z", Address: "10.0.0.1:80", Seen: now}
	}
	Convey("What a former life or an older entry says is ignored", t, func() {
		s := newState()
		So(s.put(server(5, 3)), ShouldBeTrue)
		So(s.put(server(5, 2)), ShouldBeFalse)
		So(s.put(server(4, 9)), ShouldBeFalse)
		So(s.put(server(6, 1)), ShouldBeTrue)
		So(s.servers["i"].Born, ShouldEqual, 6)
	})
	Convey("A server whose entry is removed is gone at once", t, func() {
		s := newState()
		s.put(server(5, 3))
		So(s.remove(now, "i"), ShouldBeTrue)
		So(s.servers, ShouldBeEmpty)
	})
	Convey("Shortly after the store's return a missing entry is waited for", t, func() {
		s := newState()
		s.put(server(5, 3))
		s.regained = now
		So(s.remove(now.Add(100*time.Millisecond), "i"), ShouldBeFalse)
		So(s.expire(now.Add(time.Second)), ShouldBeFalse)
		So(s.servers["i"], ShouldNotBeNil)
		So(s.put(server(5, 4)), ShouldBeTrue)
		So(s.expire(now.Add(3*time.Second)), ShouldBeFalse)
		So(s.servers["i"], ShouldNotBeNil)
	})
	Convey("One that is missing longer is gone", t, func() {
		s := newState()
		s.put(server(5, 3))
		s.regained = now
		s.remove(now, "i")
		So(s.expire(now.Add(2*time.Second)), ShouldBeTrue)
		So(s.servers, ShouldBeEmpty)
	})
	Convey("One that said that it leaves is not waited for", t, func() {
		s := newState()
		leaving := server(5, 3)
		leaving.Draining = true
		s.put(leaving)
		s.regained = now
		So(s.remove(now, "i"), ShouldBeTrue)
		So(s.servers, ShouldBeEmpty)
	})
}

func TestForgetOrders(t *testing.T) {
	Convey("Orders that a whole listing lacks are over", t, func() {
		s := newState()
		s.setZone("a", true)
		s.setZone("b", true)
		s.moves["svc"] = &catalog.Move{Service: "svc"}
		s.forgetOrders([]platform.StoreRecord{{Key: platform.ZoneOutKeyOf("b"), Value: []byte("{}")}})
		So(s.zonesOut, ShouldResemble, map[string]bool{"b": true})
		So(s.moves, ShouldBeEmpty)
	})
}

func TestMembersOf(t *testing.T) {
	self := kernel.FleetMember{ID: "b", Zone: "z", Address: "10.0.0.2:1", Capacity: 1}
	Convey("Members are known by the partitions that they hold, and self always", t, func() {
		parts := []platform.GroupPart{
			{Member: encodeMember(kernel.FleetMember{ID: "c", Zone: "y", Address: "10.0.0.3:1", Capacity: 10})},
			{Member: encodeMember(kernel.FleetMember{ID: "a", Zone: "z", Address: "10.0.0.1:1", Capacity: 1})},
			{Member: encodeMember(kernel.FleetMember{ID: "a", Zone: "z", Address: "10.0.0.1:1", Capacity: 1})},
			{Member: "of another system"},
		}
		So(membersOf(parts, self), ShouldResemble, []kernel.FleetMember{
			{ID: "a", Zone: "z", Address: "10.0.0.1:1", Capacity: 1}, self, {ID: "c", Zone: "y", Address: "10.0.0.3:1", Capacity: 10},
		})
	})
}
