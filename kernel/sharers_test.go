package kernel

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/savoryfold/savoryfold/policy"
)

var testEpoch = time.Date(2026, 3, 2, 6, 0, 0, 0, time.UTC)

const testSettle = time.Second

func members(n int) []sharer {
	zones := []string{"hobart", "burnie", "devonport"}
	list := make([]sharer, n)
	for i := range list {
		list[i] = newSharer(fmt.Sprintf("i%d", i), zones[i%len(zones)])
	}
	return list
}

// fixedMembers is a membership that never changes.
type fixedMembers []Member

func (m fixedMembers) View() *MemberView         { return &MemberView{Self: m[0], Members: m} }
func (fixedMembers) Subscribe(func(*MemberView)) {}
func (fixedMembers) SetState(MemberState)        {}

func rosterOf(list []sharer) roster {
	var s sharers
	return s.update(testEpoch, list, testSettle)
}

func shareOf(r roster, m sharer, limit int, server uint64) int {
	return policy.AdaptiveLimits{}.Share(limit, r.rank(m.id, home{zone: "hobart"}, server), r.countSharers(home{zone: "hobart"}))
}

func TestSharesOfRosters(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := members(rapid.IntRange(2, 24).Draw(t, "members"))
		limit := rapid.IntRange(1, 64).Draw(t, "limit")
		server := rapid.Uint64().Draw(t, "server")
		last := all[len(all)-1]
		with, without := rosterOf(all), rosterOf(all[:len(all)-1])
		own := shareOf(with, last, limit, server)
		equal, differing := own, own
		for _, m := range all[:len(all)-1] {
			equal += shareOf(with, m, limit, server)
			if rapid.Bool().Draw(t, "knows") {
				differing += shareOf(with, m, limit, server)
			} else {
				differing += shareOf(without, m, limit, server)
			}
		}
		if equal != limit {
			t.Fatalf("with equal views the shares add up to %d, want %d", equal, limit)
		}
		if differing > limit+own {
			t.Fatalf("with differing views the shares add up to %d, want at most %d+%d", differing, limit, own)
		}
	})
}

func TestSharers(t *testing.T) {
	Convey("Only instances in a server's zone get shares of a cold server", t, func() {
		r := rosterOf(members(9))
		for _, m := range r.list {
			if m.zone != "hobart" {
				So(shareOf(r, m, 2, 99), ShouldEqual, 0)
			}
		}
	})
	Convey("Instances in a zone without usable servers get the same shares as those in the server's zone", t, func() {
		served := servedZones{"hobart": true, "burnie": true} // devonport has no usable servers
		h := home{"hobart", &served}
		r := rosterOf(members(9))
		So(r.countSharers(h), ShouldResemble, policy.Sharers{Members: 9, Home: 6})
		sum := 0
		for _, m := range r.list {
			share := policy.AdaptiveLimits{}.Share(32, r.rank(m.id, h, 99), r.countSharers(h))
			sum += share
			So(share >= 4, ShouldEqual, m.zone != "burnie")
		}
		So(sum, ShouldEqual, 32)
	})
	Convey("A member that left counts for the settle time", t, func() {
		var s sharers
		all := members(3)
		s.update(testEpoch, all, testSettle)
		So(s.update(testEpoch.Add(testSettle/2), all[:2], testSettle).list, ShouldHaveLength, 3)
		So(s.update(testEpoch.Add(testSettle), all[:2], testSettle).list, ShouldHaveLength, 2)
	})
	Convey("A leaving instance keeps its share while it finishes its requests", t, func() {
		h := testHost(t, "i0", standardDecisions())
		h.Membership = fixedMembers{{ID: "i0", State: MemberReady}, {ID: "i1", State: MemberLeaving}, {ID: "i2", State: MemberGone}}
		So(limitSharers(h), ShouldHaveLength, 2)
		So(liveSharers(h), ShouldHaveLength, 1)
	})
	Convey("An instance that joins uses no share for the settle time", t, func() {
		var s sharers
		So(s.update(testEpoch, members(1), testSettle).withheld, ShouldBeFalse)
		r := s.update(testEpoch, members(2), testSettle)
		So(r.withheld, ShouldBeTrue)
		So(s.update(testEpoch.Add(testSettle), members(2), testSettle).withheld, ShouldBeFalse)
	})
	Convey("Taking zones out also applies to requests on older snapshots", t, func() {
		h := testHost(t, "i0", standardDecisions())
		So(h.SetTables(testTables(t, 1, 2, "")), ShouldBeTrue)
		pool := h.Snapshot().Pool("encode")
		So(pool.HasServer(""), ShouldBeTrue)
		So(h.SetTables(testTables(t, 2, 2, "[zone hobart]\nstate = out\n[zone burnie]\nstate = out\n")), ShouldBeTrue)
		So(pool.HasServer(""), ShouldBeFalse)
	})
	Convey("A lent slot reduces the instance's own share, a borrowed one adds to it", t, func() {
		h := testHost(t, "i0", standardDecisions())
		h.SetTables(testTables(t, 1, 1, ""))
		server := h.Snapshot().Pool("encode").Servers[0]
		So(h.IdleSlots("encode/s0"), ShouldEqual, 2)
		release, ok := h.Lend("encode/s0")
		So(ok, ShouldBeTrue)
		So(h.IdleSlots("encode/s0"), ShouldEqual, 1)
		repaid := 0
		server.acquireBorrowed(slotLoan{testEpoch.Add(time.Hour), func() { t.Error("the longer loan ended first") }})
		server.acquireBorrowed(slotLoan{testEpoch, func() { repaid++ }})
		So(h.IdleSlots("encode/s0"), ShouldEqual, 1)
		server.release()
		So(repaid, ShouldEqual, 1)
		release()
		So(h.IdleSlots("encode/s0"), ShouldEqual, 2)
	})
}
