package membudget

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/savoryfold/savoryfold/policy"
)

// TestBulkheadEnds guards against requests that have ended and keep others out.
func TestBulkheadEnds(t *testing.T) {
	Convey("Requests of a service fit again once earlier ones have ended", t, func() {
		b := NewBulkhead(policy.Bulkhead{Limit: 100, Factor: 1})
		for range 3 {
			var leave []func()
			for end, fits := b.Enter("silent", 10); fits; end, fits = b.Enter("silent", 10) {
				leave = append(leave, end)
			}
			So(len(leave), ShouldEqual, 5)
			end, fits := b.Enter("other", 10)
			So(fits, ShouldBeTrue)
			end()
			for _, end := range leave {
				end()
			}
		}
	})
}
