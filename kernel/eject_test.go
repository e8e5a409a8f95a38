package kernel

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/savoryfold/savoryfold/policy"
)

func TestEject(t *testing.T) {
	Convey("When all servers of a pool fail, half of them stay", t, func() {
		h := testHost(t, "i0", standardDecisions())
		h.SetTables(testTables(t, 1, 5, ""))
		pool := h.Snapshot().Pool("encode")
		now := time.Now()
		for range 50 {
			for _, s := range pool.Servers {
				s.observe(now, policy.CallSample{})
			}
		}
		ejected := 0
		for _, s := range pool.Servers {
			if s.ejected.Load() > now.UnixNano() {
				ejected++
			}
		}
		So(ejected, ShouldEqual, 2)
		So(pool.hasServer(""), ShouldBeTrue)
	})
}
