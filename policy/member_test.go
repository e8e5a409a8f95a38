package policy

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

func TestMemberTableConverges(t *testing.T) {
	Convey("Given 12 instances in three availability zones, all of them seeds", t, func() {
		s := newMemberSim(7, 3, 4)
		s.run(5 * time.Second)
		Convey("every instance knows all others", func() {
			So(s.disagreement(), ShouldBeEmpty)
		})
		Convey("a crashed instance is suspect, then gone everywhere, and ready after its restart", func() {
			crashed := s.nodes[5]
			crashed.down = true
			s.run(4 * time.Second)
			So(statusAt(s, s.nodes[4], crashed.id), ShouldEqual, MemberSuspect)
			s.run(16 * time.Second)
			So(s.disagreement(), ShouldBeEmpty)
			s.start(crashed)
			s.run(5 * time.Second)
			So(s.disagreement(), ShouldBeEmpty)
		})
		Convey("an instance that announces that it is gone is gone within 1 s in its zone", func() {
			leaving := s.nodes[2]
			s.send(leaving, leaving.table.AnnounceGone(s.now))
			leaving.down = true
			s.run(time.Second)
			So(statusAt(s, s.nodes[0], leaving.id), ShouldEqual, MemberGone)
			s.run(3 * time.Second)
			So(s.disagreement(), ShouldBeEmpty)
		})
		Convey("a leaving member is never shown as suspect", func() {
			leaving := s.nodes[2]
			leaving.table.Announce(MemberLeaving, "")
			s.run(2 * time.Second)
			leaving.down = true
			s.run(4 * time.Second)
			So(statusAt(s, s.nodes[0], leaving.id), ShouldEqual, MemberLeaving)
		})
		Convey("across a partition an availability zone is gone on both sides, and ready again after it heals", func() {
			s.partitioned = func(from, to *simNode) bool { return (from.zone == "zone01") != (to.zone == "zone01") }
			s.run(30 * time.Second)
			So(statusAt(s, s.nodes[0], s.nodes[4].id), ShouldEqual, MemberGone)
			So(statusAt(s, s.nodes[4], s.nodes[0].id), ShouldEqual, MemberGone)
			So(statusAt(s, s.nodes[4], s.nodes[5].id), ShouldEqual, MemberReady)
			s.partitioned = nil
			s.run(10 * time.Second)
			So(s.disagreement(), ShouldBeEmpty)
		})
		Convey("an instance whose process was paused does not mark the others as gone", func() {
			paused := s.nodes[3]
			paused.down = true
			s.run(20 * time.Second)
			paused.down = false
			s.send(paused, paused.table.Tick(s.now))
			So(statusAt(s, paused, s.nodes[0].id), ShouldEqual, MemberReady)
			s.run(5 * time.Second)
			So(s.disagreement(), ShouldBeEmpty)
		})
		Convey("table revisions reach all instances", func() {
			for _, n := range s.nodes {
				n.table.SetRevision(41)
			}
			s.run(4 * time.Second)
			for _, info := range s.nodes[0].table.View(s.now) {
				So(info.Record.Revision, ShouldEqual, 41)
			}
		})
	})
}

func statusAt(s *memberSim, at *simNode, id string) MemberStatus {
	for _, info := range at.table.View(s.now) {
		if info.Record.ID == id {
			return info.Status
		}
	}
	return 0
}

func TestMemberTableOrdersRecords(t *testing.T) {
	now := simStart
	table := func() *MemberTable {
		self := MemberRecord{ID: "a", Zone: "z", Boot: 10, Status: MemberReady, GossipAddress: "a:1"}
		return NewMemberTable(self, simConfig(), now)
	}
	b := func(boot, incarnation uint64, status, observed MemberStatus) *MemberMessage {
		return &MemberMessage{
			Self:    MemberRecord{ID: "c", Zone: "z", Boot: 1, Incarnation: 1, Status: MemberReady, GossipAddress: "c:1"},
			Records: []MemberRecord{{ID: "b", Zone: "z", Boot: boot, Incarnation: incarnation, Status: status, ObservedStatus: observed, GossipAddress: "b:1"}},
		}
	}
	cases := []struct {
		name     string
		known    *MemberMessage
		received *MemberMessage
		after    time.Duration
		status   MemberStatus
	}{
		{"a higher incarnation wins", b(1, 1, MemberReady, 0), b(1, 2, MemberLeaving, 0), 0, MemberLeaving},
		{"a lower incarnation loses", b(1, 2, MemberReady, 0), b(1, 1, MemberLeaving, 0), 0, MemberReady},
		{"a newer boot wins over a higher incarnation", b(1, 9, MemberLeaving, 0), b(2, 1, MemberReady, 0), 0, MemberReady},
		{"an older boot loses", b(2, 1, MemberReady, 0), b(1, 9, MemberLeaving, 0), 0, MemberReady},
		{"a report of gone loses against recent evidence", b(1, 1, MemberReady, 0), b(1, 1, MemberReady, MemberGone), 0, MemberReady},
		{"a report of gone wins after the suspicion time-out", b(1, 1, MemberReady, 0), b(1, 1, MemberReady, MemberGone), 3 * time.Second, MemberGone},
		{"a refutation wins over a suspicion", b(1, 1, MemberReady, MemberSuspect), b(1, 2, MemberReady, 0), 0, MemberReady},
		{"an unknown member that is reported as gone is not added", b(1, 1, MemberReady, MemberGone), b(1, 1, MemberReady, MemberGone), 0, 0},
	}
	for _, c := range cases {
		Convey(c.name, t, func() {
			a := table()
			a.Receive(now, c.known)
			a.Receive(now.Add(c.after), c.received)
			var status MemberStatus
			for _, info := range a.View(now.Add(c.after)) {
				if info.Record.ID == "b" {
					status = info.Status
				}
			}
			So(status, ShouldEqual, c.status)
		})
	}
	Convey("an instance refutes a report that it is gone, and sets its boot above that of a newer record with its ID", t, func() {
		a := table()
		report := b(1, 1, MemberReady, 0)
		report.Records[0] = a.Self()
		report.Records[0].ObservedStatus = MemberGone
		a.Receive(now, report)
		So(a.Self().Incarnation, ShouldEqual, 2)
		report.Records[0].Boot = 99
		a.Receive(now, report)
		So(a.Self().Boot, ShouldEqual, 100)
		So(a.Conflicts, ShouldEqual, 1)
	})
}

func TestMemberTableHasNoFalseSuspicions(t *testing.T) {
	for _, size := range []struct{ zones, perZone int }{{1, 9}, {2, 4}, {3, 3}, {5, 3}, {7, 2}, {11, 4}, {11, 9}} {
		Convey(fmt.Sprintf("Without faults no member is ever suspect in %d zones of %d", size.zones, size.perZone), t, func() {
			s := newMemberSim(11, size.zones, size.perZone)
			// With equal delays, the order of the zones in heartbeats could fall into step
			// with the order of the receivers. Some members then got the updates of a
			// zone too late and suspected its members.
			s.equalDelays = true
			s.run(10 * time.Second)
			for range 160 {
				s.round()
				if wrong := s.disagreement(); wrong != "" {
					So(wrong, ShouldBeEmpty)
				}
			}
		})
	}
}

// TestMemberTableUnderFaults runs random schedules of partitions, packet loss,
// pauses and restarts, and checks that all tables agree once the network has
// healed.
func TestMemberTableUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := rapid.IntRange(1, 4).Draw(t, "zones")
		perZone := rapid.IntRange(1, 4).Draw(t, "per zone")
		s := newMemberSim(rapid.Uint64().Draw(t, "seed"), zones, perZone)
		highest := make(map[string]MemberRecord)
		for range rapid.IntRange(1, 5).Draw(t, "steps") {
			s.loss = rapid.Float64Range(0, 0.4).Draw(t, "loss")
			side := rapid.Uint16().Draw(t, "side of each instance")
			s.partitioned = func(from, to *simNode) bool { return s.side(from, side) != s.side(to, side) }
			n := s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(t, "instance")]
			switch rapid.SampledFrom([]string{"none", "kill", "pause", "start"}).Draw(t, "fault") {
			case "kill":
				n.down = true
			case "pause":
				n.down = !n.down
			case "start":
				s.start(n)
			}
			rounds := rapid.IntRange(1, 80).Draw(t, "rounds")
			for range rounds {
				s.round()
				s.checkInvariants(t, highest)
			}
		}
		s.loss, s.partitioned = 0, nil
		s.run(60 * time.Second)
		if wrong := s.disagreement(); wrong != "" {
			t.Fatalf("60 s after the network healed: %s", wrong)
		}
	})
}

// side returns the side of the partition that an instance is on, given by one bit
// of sides for each instance.
func (s *memberSim) side(n *simNode, sides uint16) bool {
	for i, o := range s.nodes {
		if o == n {
			return sides>>i&1 == 1
		}
	}
	return false
}

// checkInvariants checks that no instance is gone in its own table, and that no
// instance replaces its record of another by an older one.
func (s *memberSim) checkInvariants(t *rapid.T, highest map[string]MemberRecord) {
	for _, n := range s.nodes {
		self := n.table.Self()
		if n.down {
			continue
		}
		if self.Status == MemberGone || self.ObservedStatus != 0 {
			t.Fatalf("%s is %s in its own table", n.id, self.Status)
		}
		for _, info := range n.table.View(s.now) {
			key := fmt.Sprint(n.id, self.Boot, info.Record.ID)
			old, ok := highest[key]
			if ok && info.Record.compare(&old) < 0 {
				t.Fatalf("%s replaced its record of %s by an older one", n.id, info.Record.ID)
			}
			highest[key] = info.Record
		}
	}
}
