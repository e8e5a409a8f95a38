package loadreport

import (
	"fmt"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/savoryfold/savoryfold/policy"
)

// datagramRoom is the room that a datagram leaves for one digest at least.
const datagramRoom = 700

func TestOwner(t *testing.T) {
	Convey("A server is asked by one instance of its zone, and by any if the zone has none", t, func() {
		o := owners{byZone: map[string][]string{"hobart": {"a", "b"}}, all: []string{"a", "b", "c"}}
		asked := make(map[string]int)
		for server := range uint64(100) {
			asked[o.of("hobart", server)]++
		}
		So(asked["a"], ShouldBeBetween, 25, 75)
		So(asked["a"]+asked["b"], ShouldEqual, 100)
		So([]string{"a", "b", "c"}, ShouldContain, o.of("burnie", 1))
		So(owners{}.of("burnie", 1), ShouldBeEmpty)
	})
}

func TestDigest(t *testing.T) {
	Convey("A digest of the largest number of servers fits into a datagram", t, func() {
		d := sharedReports{NewestMS: time.Now().UnixMilli(), Versions: []string{"v1", "v2"}}
		for i := range chunkServers {
			d.Reports = append(d.Reports, sharedReport{
				Server: xxhash.Sum64String(fmt.Sprint(i)), Running: 300, Waiting: 300, Warm: warmScale,
				Boot: policy.BootKey("0b5c0b0e-3a5e-4a54-9d7c-3f2f3f9a7c11"), Version: 1, AtMS: 70_000, AgeMS: 5_000,
			})
		}
		payload, err := cbor.Marshal(d)
		So(err, ShouldBeNil)
		So(len(payload), ShouldBeLessThan, datagramRoom)
		back, err := decode(payload)
		So(err, ShouldBeNil)
		r := back.report(back.Reports[0])
		So(r.Version, ShouldEqual, "v2")
		So(r.Warm, ShouldEqual, 1)
		So(r.At.UnixMilli(), ShouldEqual, d.NewestMS-70_000)
	})
	Convey("A digest of another form is refused", t, func() {
		_, err := decode([]byte{1, 2, 3})
		So(err, ShouldEqual, errDigest)
		payload, _ := cbor.Marshal(sharedReports{Reports: []sharedReport{{Version: 3}}})
		_, err = decode(payload)
		So(err, ShouldEqual, errDigest)
	})
	Convey("The key of a boot is short, and its own key", t, func() {
		key := policy.BootKey("0b5c0b0e-3a5e-4a54-9d7c-3f2f3f9a7c11")
		So(len(key), ShouldBeLessThanOrEqualTo, 12)
		So(policy.BootKey(key), ShouldEqual, key)
	})
}
