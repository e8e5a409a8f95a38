package membudget

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/savoryfold/savoryfold/policy"
)

const kib = 1 << 10

func TestBudget(t *testing.T) {
	newBudget := func() (*Budget, *[]policy.MemoryScope) {
		var refused []policy.MemoryScope
		return New(policy.MemoryShares{Limit: 1000 * kib, GroupFactor: 1, MemberFactor: 0.25}, func(s policy.MemoryScope) { refused = append(refused, s) }), &refused
	}
	// waitForMemory returns a large message of a group that had to end and has not freed its memory,
	// and one that waits for it, whose result it sends to grown.
	waitForMemory := func(group string) (b *Budget, large, waiting *Hold, grown chan error) {
		b, _ = newBudget()
		large, waiting = b.Open(group, "a"), b.Open(group, "a")
		abandoned := make(chan struct{})
		large.MayAbandon(func() { close(abandoned) })
		So(large.Grow(180*kib), ShouldBeNil)
		grown = make(chan error, 1)
		go func() { grown <- waiting.Grow(150 * kib) }()
		<-abandoned
		return b, large, waiting, grown
	}
	Convey("Messages without end of all servers of a service leave room for another service", t, func() {
		b, _ := newBudget()
		ended := 0
		for round := range 100 {
			for _, server := range []string{"a", "b", "c"} {
				h := b.Open("faulty", server)
				h.MayAbandon(func() { ended++; go h.Close() }) // its reader ends
				for range 10 {
					if h.Grow(32*kib) != nil {
						break
					}
				}
				if round%2 == 0 {
					h.Close()
				}
			}
			sound := b.Open("sound", "d")
			So(sound.Grow(100*kib), ShouldBeNil)
			sound.Close()
			So(b.Bytes(), ShouldBeLessThanOrEqualTo, 1000*kib)
		}
		So(ended, ShouldBeGreaterThan, 0)
	})
	Convey("The largest message of a server gives way to a smaller one", t, func() {
		b, refused := newBudget()
		abandoned := false
		large, small := b.Open("s", "a"), b.Open("s", "a")
		large.MayAbandon(func() { abandoned = true; go large.Close() })
		So(large.Grow(180*kib), ShouldBeNil)
		So(small.Grow(150*kib), ShouldBeNil)
		So(abandoned, ShouldBeTrue)
		So(large.Ended(), ShouldBeTrue)
		So(large.Grow(1), ShouldEqual, ErrNoMemory)
		So(*refused, ShouldResemble, []policy.MemoryScope{policy.MemoryOfMember})
		So(b.Bytes(), ShouldEqual, 150*kib)
		large.Close()
		small.Close()
		So(b.Bytes(), ShouldEqual, 0)
	})
	Convey("A message that must not end does not give way", t, func() {
		b, _ := newBudget()
		whole, large := b.Open("s", "a"), b.Open("s", "a")
		So(whole.Grow(180*kib), ShouldBeNil)
		So(large.Grow(150*kib), ShouldEqual, ErrNoMemory)
		So(whole.Ended(), ShouldBeFalse)
		So(large.Ended(), ShouldBeTrue)
	})
	Convey("A message that has stalled gives way to others of its size, one that makes progress does not", t, func() {
		b := New(policy.MemoryShares{Limit: 100 * kib, GroupFactor: 3, MemberFactor: 3, StallTime: policy.StallTime}, nil)
		now := time.Unix(1000, 0)
		b.now = func() time.Time { return now }
		stalled, steady := b.Open("s", "a"), b.Open("s", "a")
		for _, h := range []*Hold{stalled, steady} {
			h.MayAbandon(func() { go h.Close() })
			So(h.Grow(40*kib), ShouldBeNil)
		}
		now = now.Add(policy.StallTime)
		steady.Progress()
		So(b.Open("s", "a").Grow(40*kib), ShouldBeNil)
		So(stalled.Ended(), ShouldBeTrue)
		So(b.Open("s", "a").Grow(40*kib), ShouldEqual, ErrNoMemory)
		So(steady.Ended(), ShouldBeFalse)
	})
	Convey("A larger message that may be abandoned only once it has stalled gives way only then", t, func() {
		b := New(policy.MemoryShares{Limit: 100 * kib, GroupFactor: 30, MemberFactor: 30, StallTime: policy.StallTime}, nil)
		now := time.Unix(1000, 0)
		b.now = func() time.Time { return now }
		written := b.Open("s", "a")
		So(written.Grow(80*kib), ShouldBeNil)
		written.MayAbandonStalled(func() { go written.Close() })
		So(b.Open("s", "a").Grow(40*kib), ShouldEqual, ErrNoMemory)
		So(written.Ended(), ShouldBeFalse)
		now = now.Add(policy.StallTime)
		So(b.Open("s", "a").Grow(40*kib), ShouldBeNil)
		So(written.Ended(), ShouldBeTrue)
	})
	Convey("A small message fits until all memory is used", t, func() {
		b, refused := newBudget()
		holds := 0
		for ; b.Open("s", "a").Grow(60*kib) == nil; holds++ {
		}
		So(holds, ShouldEqual, 16)
		So((*refused)[0], ShouldEqual, policy.MemoryOfAll)
	})
	Convey("The memory of a message that had to end counts until its reader has freed it", t, func() {
		b, large, _, grown := waitForMemory("s")
		So(b.Bytes(), ShouldEqual, 180*kib)
		So(grown, ShouldBeEmpty)
		large.Close()
		So(<-grown, ShouldBeNil)
		So(b.Bytes(), ShouldEqual, 150*kib)
	})
	Convey("A message does not wait without end for one that frees its memory late", t, func() {
		b, _ := newBudget()
		large, small := b.Open("s", "a"), b.Open("s", "a")
		large.MayAbandon(func() {})
		So(large.Grow(180*kib), ShouldBeNil)
		So(small.Grow(150*kib), ShouldBeNil)
		So(b.Bytes(), ShouldEqual, 330*kib)
		small.Close()
		large.Close()
		So(b.Bytes(), ShouldEqual, 0)
	})
	Convey("A message that waits for another one may have to end itself", t, func() {
		_, large, waiting, grown := waitForMemory("s")
		defer large.Close()
		waiting.Close()
		So(<-grown, ShouldEqual, ErrNoMemory)
	})
	Convey("A message that fits does not wait for those of another group", t, func() {
		b, large, _, grown := waitForMemory("faulty")
		So(b.Open("sound", "b").Grow(100*kib), ShouldBeNil)
		So(grown, ShouldBeEmpty)
		large.Close()
		So(<-grown, ShouldBeNil)
	})
	Convey("A message may shrink and grow again", t, func() {
		b, _ := newBudget()
		h := b.Open("s", "a")
		So(h.Set(100*kib), ShouldBeNil)
		So(h.Set(10*kib), ShouldBeNil)
		h.Shrink(4 * kib)
		So(b.Bytes(), ShouldEqual, 6*kib)
		So(h.Set(8*kib), ShouldBeNil)
		So(b.Bytes(), ShouldEqual, 8*kib)
		h.Close()
		h.Close()
		So(b.Bytes(), ShouldEqual, 0)
	})
	Convey("No hold counts nothing", t, func() {
		var h *Hold
		So(h.Grow(1), ShouldBeNil)
		So(h.Set(1), ShouldBeNil)
		So(h.Ended(), ShouldBeFalse)
		h.MayAbandon(nil)
		h.Shrink(1)
		h.Close()
	})
}
