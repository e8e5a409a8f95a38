package kernel

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestRequestMetrics(t *testing.T) {
	Convey("A counter of a family has the family's labels", t, func() {
		h := testHost(t, "i0", standardDecisions())
		h.addCount(requestsFamily, "answer", "served", 1)
		h.addCount(requestsFamily, "answer", "served", 2)
		h.addCount(retriesFamily, "encode", "", 1)
		So(h.Counter(`requests{route="answer",outcome="served"}`).Count(), ShouldEqual, 3)
		So(h.Counter(`retries{pool="encode"}`).Count(), ShouldEqual, 1)
	})
	Convey("Looking up an existing counter does not allocate", t, func() {
		h := testHost(t, "i0", standardDecisions())
		count := func() { h.addCount(requestsFamily, "answer", "served", 1) }
		count()
		So(testing.AllocsPerRun(100, count), ShouldEqual, 0)
	})
}
