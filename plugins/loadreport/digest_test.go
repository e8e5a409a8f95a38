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

// minDigestSpace is the minimum space for one digest in a datagram, in bytes.
const minDigestSpace = 700

func TestOwner(t *testing.T) {
	Convey("A server is polled by one instance of its zone, or of any zone if its own has none", t, func() {
		o := owners{byZone: map[string][]string{"hobart": {"a", "b"}}, all: []string{"a", "b", "c"}}
		polled := make(map[string]int)
		for server := range uint64(100) {
			polled[o.ownerAmong("hobart", server)]++
		}
		So(polled["a"], ShouldBeBetween, 25, 75)
		So(polled["a"]+polled["b"], ShouldEqual, 100)
		So([]string{"a", "b", "c"}, ShouldContain, o.ownerAmong("burnie", 1))
		So(owners{}.ownerAmong("burnie", 1), ShouldBeEmpty)
	})
}

func TestDigest(t *testing.T) {
	Convey("A digest of the maximum number of servers fits into a datagram", t, func() {
		d := reportDigest{NewestMS: time.Now().UnixMilli(), Versions: []string{"v1", "v2"}}
		for i := range serversPerDigest {
			d.Reports = append(d.Reports, sharedReport{
				Server: xxhash.Sum64String(fmt.Sprint(i)), Running: 300, Waiting: 300, Warm: warmScale,
				Boot: policy.BootKey("0b5c0b0e-3a5e-4a54-9d7c-3f2f3f9a7c11"), Version: 1, AtMS: 70_000, AgeMS: 5_000,
			})
		}
		payload, err := cbor.Marshal(d)
		So(err, ShouldBeNil)
		So(len(payload), ShouldBeLessThan, minDigestSpace)
		decoded, err := decode(payload)
		So(err, ShouldBeNil)
		r := decoded.report(decoded.Reports[0])
		So(r.Version, ShouldEqual, "v2")
		So(r.Warm, ShouldEqual, 1)
		So(r.At.UnixMilli(), ShouldEqual, d.NewestMS-70_000)
	})
	Convey("A malformed digest is rejected", t, func() {
		_, err := decode([]byte{1, 2, 3})
		So(err, ShouldEqual, errMalformedDigest)
		payload, _ := cbor.Marshal(reportDigest{Reports: []sharedReport{{Version: 3}}})
		_, err = decode(payload)
		So(err, ShouldEqual, errMalformedDigest)
	})
	Convey("A boot key is short and is its own key", t, func() {
		key := policy.BootKey("0b5c0b0e-3a5e-4a54-9d7c-3f2f3f9a7c11")
		So(len(key), ShouldBeLessThanOrEqualTo, 12)
		So(policy.BootKey(key), ShouldEqual, key)
	})
}
