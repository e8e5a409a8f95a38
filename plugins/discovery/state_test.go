package discovery

import (
	"fmt"
	"strings"
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

// TestOddMembers guards against a member's name of another writer that leaves a zone without
// a reader, or makes one member the owner of everything.
func TestOddMembers(t *testing.T) {
	self := kernel.FleetMember{ID: "b", Zone: "z", Address: "10.0.0.2:1", Capacity: 1}
	for _, name := range []string{
		"", "|", "|||", "|z|10.0.0.9:1|1", "odd|z|10.0.0.9:1", "odd|z|10.0.0.9:1|", "odd|z|10.0.0.9:1|many", "odd|z|10.0.0.9:1|1|1",
		"odd|z|10.0.0.9:1|NaN", "odd|z|10.0.0.9:1|Inf", "odd|z|10.0.0.9:1|-Inf", "odd|z|10.0.0.9:1|1e400", "odd|z|10.0.0.9:1|1e300", "odd|z|10.0.0.9:1|-1",
		strings.Repeat("|", 100_000), "odd\x00\xff|" + strings.Repeat("z", 100_000),
	} {
		Convey("A name that is no member's has no effect: "+name[:min(len(name), 40)], t, func() {
			members := membersOf([]platform.GroupPartition{{Member: name}}, self)
			So(members, ShouldResemble, []kernel.FleetMember{self})
			So(zoneReadersOf("z", members), ShouldResemble, []kernel.FleetMember{self})
		})
	}
}

func FuzzDecodeMember(f *testing.F) {
	f.Add("a|z|10.0.0.1:1|0.5")
	f.Add("odd|z|10.0.0.9:1|NaN")
	f.Fuzz(func(t *testing.T, name string) {
		m, ok := decodeMember(name)
		if ok && (m.ID == "" || !validCapacity(m.Capacity)) {
			t.Fatalf("unusable member %+v", m)
		}
		if again, ok2 := decodeMember(encodeMember(m)); ok && (!ok2 || again != m) {
			t.Fatalf("member %+v, encoded and decoded %+v", m, again)
		}
	})
}

// TestInvalidCapacity guards against an instance that starts with a capacity with which the
// others do not count it as a member.
func TestInvalidCapacity(t *testing.T) {
	for capacity, valid := range map[string]bool{"1": true, "0": true, "0.5": true, "1e9": true, "NaN": false, "Inf": false, "-1": false, "1e10": false} {
		Convey("An instance with a capacity of "+capacity, t, func() {
			settings, err := kernel.Schema().Load("t.ini", []byte("[instance]\nid = a\nzone = z\n[store]\naddress = 127.0.0.1:1\ncapacity = "+capacity+"\n"))
			So(err, ShouldBeNil)
			d := &Discovery{}
			So(d.Provision(&kernel.Host{Settings: settings}), ShouldBeNil)
			if valid {
				So(d.Validate(), ShouldBeNil)
			} else {
				So(d.Validate(), ShouldNotBeNil)
			}
		})
	}
}

// TestStateAfterRestore checks what an instance makes of records that a restored store has,
// and of those that it has forgotten.
func TestStateAfterRestore(t *testing.T) {
	now := time.Now()
	restored := func(s *state) {
		s.restores, s.moveRestores, s.restoredAt = s.restores+1, s.moveRestores+1, now.Add(time.Second)
	}
	entry := func(start, sequence int64) *catalog.Server {
		return &catalog.Server{ID: "i", StartUnixMilli: start, Sequence: sequence, Service: "s", FirstSeen: now}
	}
	for _, c := range []struct {
		name     string
		restored bool
		entry    *catalog.Server
		want     bool
	}{
		{"its last entry, without a restore", false, entry(5, 3), true},
		{"its last entry", true, entry(5, 3), false},
		{"an older entry", true, entry(5, 2), false},
		{"an entry of an earlier start", true, entry(4, 9), false},
		{"a later entry", true, entry(5, 4), true},
		{"an entry of a later start", true, entry(6, 1), true},
	} {
		Convey("After a server was removed and the store restored, "+c.name+" makes it known again", t, func() {
			s := newState()
			So(s.put(entry(5, 3)), ShouldBeTrue)
			So(s.remove(now, "i"), ShouldBeTrue)
			if c.restored {
				restored(&s)
			}
			So(s.put(c.entry), ShouldEqual, c.want)
		})
	}
	move := func(target string, order uint64) *catalog.Move {
		return &catalog.Move{TargetVersion: target, Duration: time.Minute, Order: order}
	}
	for _, c := range []struct {
		name string
		// after is the time from the first command to the second one.
		after    time.Duration
		restored bool
		second   *catalog.Move
		// stored and same tell whether the second command is stored, and whether it
		// counts as the first one.
		stored, same bool
	}{
		{"a later command", time.Second, false, move("v2", 8), true, false},
		{"a repeated record", time.Second, false, move("v2", 7), false, true},
		{"the command written again at a lower offset", 2 * time.Second, true, move("v2", 3), true, true},
		{"the command written again at a higher offset", 2 * time.Second, true, move("v2", 9), true, true},
		{"the same command long after", time.Hour, true, move("v2", 9), true, false},
		{"another command at a lower offset", 2 * time.Second, true, move("v3", 3), true, false},
	} {
		Convey("A rollout command is followed by "+c.name, t, func() {
			s := newState()
			So(s.putMove(now, "app", move("v2", 7)), ShouldBeTrue)
			if c.restored {
				restored(&s)
			}
			So(s.putMove(now.Add(c.after), "app", c.second), ShouldEqual, c.stored)
			So(s.moves["app"].ReceivedAt.Equal(now), ShouldEqual, c.same)
		})
	}
}

// TestPositionsOfEras checks that offsets of different eras of the store are not compared.
func TestPositionsOfEras(t *testing.T) {
	Convey("A position of a later era is ahead whatever its offsets are", t, func() {
		old, restored := kernel.CatalogPosition{Operators: 90, Servers: 90, Era: 2}, kernel.CatalogPosition{Operators: 3, Servers: 3, Era: 3}
		So(old.Behind(restored), ShouldBeTrue)
		So(restored.Behind(old), ShouldBeFalse)
		So(restored.Behind(kernel.CatalogPosition{Operators: 4, Servers: 3, Era: 3}), ShouldBeTrue)
	})
}

// TestStateOfLeavingServers checks which starts of a server are usable after one of them has
// stated that it leaves.
func TestStateOfLeavingServers(t *testing.T) {
	entry := func(start, sequence int64) *catalog.Server {
		return &catalog.Server{ID: "i", StartUnixMilli: start, Sequence: sequence, Service: "s"}
	}
	for _, c := range []struct {
		name string
		// leaving are the starts that state it after the entry of start 5, then is the
		// entry that follows, if any, and news the number of statements that are news.
		leaving []int64
		then    *catalog.Server
		news    int
		usable  bool
	}{
		{"none", nil, nil, 0, true},
		{"the start", []int64{5}, nil, 1, false},
		{"the start twice", []int64{5, 5}, nil, 1, false},
		{"an earlier start", []int64{4}, nil, 0, true},
		{"the start, whose entry is written again", []int64{5}, entry(5, 9), 1, false},
		{"the start, of which an older entry is read", []int64{5}, entry(4, 9), 1, false},
		{"the start, which starts again", []int64{5}, entry(6, 1), 1, true},
		{"the start, late, after it has started again", []int64{5, 4}, entry(6, 1), 1, true},
		{"a start whose entry was not read yet", []int64{6}, nil, 1, true},
		{"a start whose entry is read afterwards", []int64{6}, entry(6, 1), 1, false},
	} {
		Convey("A server is usable after these starts stated that they leave: "+c.name, t, func() {
			s := newState()
			So(s.put(entry(5, 3)), ShouldBeTrue)
			news := 0
			for _, start := range c.leaving {
				if s.markLeaving(entry(start, 1)) {
					news++
				}
			}
			So(news, ShouldEqual, c.news)
			if c.then != nil {
				s.applyLeaving(c.then)
				s.put(c.then)
			}
			So(!s.servers["i"].Draining, ShouldEqual, c.usable)
		})
	}
	Convey("The number of servers that are kept is bounded, and the last one is among them", t, func() {
		s := newState()
		for n := range maxLeaving + 10 {
			s.markLeaving(&catalog.Server{ID: fmt.Sprint(n), StartUnixMilli: 1})
		}
		So(len(s.leaving), ShouldEqual, maxLeaving)
		So(s.leaving, ShouldContainKey, fmt.Sprint(maxLeaving+9))
	})
}
