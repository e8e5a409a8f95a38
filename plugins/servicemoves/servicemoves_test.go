package servicemoves

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/savoryfold/savoryfold/policy"
)

func TestReports(t *testing.T) {
	encode := func(r report) []byte {
		body, err := cbor.Marshal(r)
		So(err, ShouldBeNil)
		return body
	}
	Convey("The counts of other instances are summed by route, for the same rollout only", t, func() {
		var r reports
		r.byInstance = make(map[string]report)
		for instance, order := range map[string]uint64{"a": 7, "b": 7, "c": 6} {
			decoded, err := decodeReport(encode(report{"s": {Order: order, Routes: map[string]policy.RouteCounts{"r": {New: policy.VersionCount{Responses: 2, Bad: 1}}}}}))
			So(err, ShouldBeNil)
			r.byInstance[instance] = decoded
		}
		So(r.sum("s", 7), ShouldResemble, map[string]policy.RouteCounts{"r": {New: policy.VersionCount{Responses: 4, Bad: 2}}})
	})
	Convey("A report with impossible counts is rejected", t, func() {
		_, err := decodeReport(encode(report{"s": {Routes: map[string]policy.RouteCounts{"r": {New: policy.VersionCount{Responses: 1, Bad: 2}}}}}))
		So(err, ShouldNotBeNil)
		_, err = decodeReport([]byte("no report"))
		So(err, ShouldNotBeNil)
	})
}

func TestResponseTimes(t *testing.T) {
	Convey("A response is slow if it takes several times the mean of its own route", t, func() {
		var times responseTimes
		So(times.slow("s", "short", time.Hour), ShouldBeFalse)
		for range 20 {
			times.add("s", "short", 100*time.Millisecond)
			times.add("s", "long", 2*time.Second)
		}
		So(times.slow("s", "short", 250*time.Millisecond), ShouldBeFalse)
		So(times.slow("s", "short", 300*time.Millisecond), ShouldBeTrue)
		So(times.slow("s", "long", 5*time.Second), ShouldBeFalse)
	})
	Convey("The routes are bounded", t, func() {
		var times responseTimes
		for i := range 3 * maxTimedRoutes {
			times.add("s", time.Duration(i).String(), time.Second)
		}
		So(len(times.means), ShouldBeLessThanOrEqualTo, maxTimedRoutes)
	})
}
