package kernel

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/savoryfold/savoryfold/policy"
)

func TestStalledServer(t *testing.T) {
	Convey("A server that makes no progress on the instance's calls is treated as cold; a lent slot does not count as a call", t, func() {
		h := testHost(t, "i0", standardDecisions())
		h.SetTables(testTables(t, 1, 1, ""))
		pool := h.Snapshot().Pool("encode")
		s := pool.Servers[0]
		now := time.Now()
		s.Report(now, policy.LoadReport{Warm: 1, Boot: "a", At: now})
		for range 100 {
			s.observe(now, policy.CallSample{OK: true, Latency: time.Millisecond, InFlight: 4})
		}
		So(s.allowance.Load(), ShouldEqual, 4)
		release, ok := h.Lend(s.ID)
		So(ok, ShouldBeTrue)
		pool.refresh(now.Add(time.Hour), rosterOf(members(1)))
		So(s.allowance.Load(), ShouldEqual, 4)
		release()
		So(s.acquire(), ShouldBeTrue)
		pool.refresh(now.Add(time.Hour), rosterOf(members(1)))
		So(s.cold.Load(), ShouldBeTrue)
		So(s.allowance.Load(), ShouldEqual, 2)
	})
}

func TestEject(t *testing.T) {
	Convey("When all servers of a pool fail, at most half of them are ejected", t, func() {
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
		So(pool.HasServer(""), ShouldBeTrue)
	})
}
