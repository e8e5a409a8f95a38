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
	server := func(start, sequence int64) *catalog.Server {
		return &catalog.Server{ID: "i", StartUnixMilli: start, Sequence: sequence, Service: "s", Zone: "z", Address: "10.0.0.1:80", FirstSeen: now}
	}
	Convey("Entries of an earlier start or with a lower sequence number are ignored", t, func() {
		s := newState()
		So(s.put(server(5, 3)), ShouldBeTrue)
		So(s.put(server(5, 2)), ShouldBeFalse)
		So(s.put(server(4, 9)), ShouldBeFalse)
		So(s.put(server(6, 1)), ShouldBeTrue)
		So(s.servers["i"].StartUnixMilli, ShouldEqual, 6)
	})
	Convey("A server whose entry is removed is removed at once", t, func() {
		s := newState()
		s.put(server(5, 3))
		So(s.remove(now, "i"), ShouldBeTrue)
		So(s.servers, ShouldBeEmpty)
	})
	Convey("Shortly after the store recovers, a server without an entry is kept", t, func() {
		s := newState()
		s.put(server(5, 3))
		s.storeAvailableAt = now
		So(s.remove(now.Add(100*time.Millisecond), "i"), ShouldBeFalse)
		So(s.expire(now.Add(time.Second)), ShouldBeFalse)
		So(s.servers["i"], ShouldNotBeNil)
		So(s.put(server(5, 4)), ShouldBeTrue)
		So(s.expire(now.Add(3*time.Second)), ShouldBeFalse)
		So(s.servers["i"], ShouldNotBeNil)
	})
	Convey("A server without an entry is removed when its grace period ends", t, func() {
		s := newState()
		s.put(server(5, 3))
		s.storeAvailableAt = now
		s.remove(now, "i")
		So(s.expire(now.Add(2*time.Second)), ShouldBeTrue)
		So(s.servers, ShouldBeEmpty)
	})
	Convey("A draining server gets no grace period", t, func() {
		s := newState()
		draining := server(5, 3)
		draining.Draining = true
		s.put(draining)
		s.storeAvailableAt = now
		So(s.remove(now, "i"), ShouldBeTrue)
		So(s.servers, ShouldBeEmpty)
	})
}

func TestDropUnlistedCommands(t *testing.T) {
	Convey("Operator commands that a full listing lacks are dropped", t, func() {
		s := newState()
		s.setZone("a", true)
		s.setZone("b", true)
		s.moves["svc"] = &catalog.Move{Service: "svc"}
		s.dropUnlistedCommands([]platform.StoreRecord{{Key: platform.EvacuateKey("b"), Value: []byte("{}")}})
		So(s.excludedZones, ShouldResemble, map[string]bool{"b": true})
		So(s.moves, ShouldBeEmpty)
	})
}

func TestMembersOf(t *testing.T) {
	self := kernel.FleetMember{ID: "b", Zone: "z", Address: "10.0.0.2:1", Capacity: 1}
	Convey("The members are the holders of partitions, and always self", t, func() {
		parts := []platform.GroupPartition{
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
