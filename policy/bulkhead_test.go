package policy

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestBulkhead guards against a service whose requests leave no memory to those of others.
func TestBulkhead(t *testing.T) {
	b := Bulkhead{Limit: 1000, Factor: 3}
	Convey("One service takes its share, others share the rest", t, func() {
		taken := make(map[string]int64)
		var total int64
		fill := func(service string) {
			for b.Fits(total, taken[service], 10) {
				total += 10
				taken[service] += 10
			}
		}
		fill("silent")
		So(taken["silent"], ShouldEqual, 750)
		fill("second")
		So(taken["second"], ShouldEqual, 180)
		fill("third")
		So(taken["third"], ShouldEqual, 50)
		So(total, ShouldBeLessThanOrEqualTo, b.Limit)
	})
	Convey("A single request may take all of the memory, but not more", t, func() {
		So(b.Fits(0, 0, 1000), ShouldBeTrue)
		So(b.Fits(0, 0, 1001), ShouldBeFalse)
	})
}
