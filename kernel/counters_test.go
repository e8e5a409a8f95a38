package kernel

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestRequestMetrics(t *testing.T) {
	Convey("Counters of a family carry their labels", t, func() {
		h := testHost(t, "i0", standardDecisions())
		h.add(requestsFamily, "answer", "served", 1)
		h.add(requestsFamily, "answer", "served", 2)
		h.add(retriesFamily, "encode", "", 1)
		So(h.Counter(`requests{route="answer",outcome="served"}`).Count(), ShouldEqual, 3)
		So(h.Counter(`retries{pool="encode"}`).Count(), ShouldEqual, 1)
	})
	Convey("A known counter is found without allocation", t, func() {
		h := testHost(t, "i0", standardDecisions())
		count := func() { h.add(requestsFamily, "answer", "served", 1) }
		count()
		So(testing.AllocsPerRun(100, count), ShouldEqual, 0)
	})
}
