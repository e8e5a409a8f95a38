package policy

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

const digestLimitBytes = 1000

func TestDigestTable(t *testing.T) {
	now := simStart
	sameZone := DigestReceiver{ID: "mate", Zone: "here"}
	far := DigestReceiver{ID: "far", Zone: "there"}
	Convey("A digest that changes rarely is sent at once to the local and other zones", t, func() {
		d := NewDigestTable("self", "here")
		So(d.Publish(now, "rollback", []byte{1}), ShouldBeTrue)
		So(len(d.Take(now, sameZone, digestLimitBytes)), ShouldEqual, 1)
		So(len(d.Take(now, far, digestLimitBytes)), ShouldEqual, 1)
		later := now.Add(10 * time.Second)
		So(d.Publish(later, "rollback", []byte{2}), ShouldBeTrue)
		So(len(d.Take(later, far, digestLimitBytes)), ShouldEqual, 1)
		So(len(d.Take(later, far, digestLimitBytes)), ShouldEqual, 0)
	})
	Convey("A digest that changes continuously is no longer urgent and rarely crosses zones", t, func() {
		d := NewDigestTable("self", "here")
		toSameZone, toFar := 0, 0
		for i := range 120 {
			at := now.Add(time.Duration(i) * 500 * time.Millisecond)
			d.Publish(at, "load", []byte{byte(i)})
			toSameZone += len(d.Take(at, sameZone, digestLimitBytes))
			toFar += len(d.Take(at, far, digestLimitBytes))
		}
		So(toSameZone, ShouldEqual, 120)
		So(toFar, ShouldBeBetween, 20, 50)
	})
	Convey("A digest of another zone is forwarded within the local zone only", t, func() {
		d := NewDigestTable("self", "here")
		newer, urgent := d.Receive(now, Digest{Origin: "far", Kind: "rollback", Version: 1, AgeMS: 700, Urgent: true}, "there", "there")
		So(newer, ShouldBeTrue)
		So(urgent, ShouldBeTrue)
		So(d.Age(now, "far", "rollback"), ShouldEqual, 700*time.Millisecond)
		So(len(d.Take(now, sameZone, digestLimitBytes)), ShouldEqual, 1)
		So(len(d.Take(now, DigestReceiver{ID: "third", Zone: "elsewhere"}, digestLimitBytes)), ShouldEqual, 0)
	})
	Convey("Digests that exceed the limit are left for the next message", t, func() {
		d := NewDigestTable("self", "here")
		for _, kind := range []string{"a", "b", "c"} {
			d.Publish(now, kind, make([]byte, 400))
		}
		So(len(d.Take(now, sameZone, digestLimitBytes)), ShouldEqual, 2)
		So(len(d.Take(now, sameZone, digestLimitBytes)), ShouldEqual, 1)
	})
	Convey("The newest version is kept, in whatever order versions arrive", t, func() {
		rapid.Check(t, func(t *rapid.T) {
			d := NewDigestTable("self", "here")
			var highest uint64
			for _, v := range rapid.SliceOf(rapid.Uint64Range(1, 20)).Draw(t, "versions") {
				newer, _ := d.Receive(now, Digest{Origin: "far", Kind: "k", Version: v}, "there", "there")
				if newer != (v > highest) {
					t.Fatalf("version %d after %d: reported as newer: %v", v, highest, newer)
				}
				highest = max(highest, v)
			}
		})
	})
}
