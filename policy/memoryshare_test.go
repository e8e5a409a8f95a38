package policy

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// TestMemoryShares guards against senders that leave no memory to others.
func TestMemoryShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shares := MemoryShares{
			Limit:       rapid.Int64Range(1<<20, 1<<30).Draw(t, "limit"),
			GroupFactor: rapid.Float64Range(0.25, 4).Draw(t, "group factor"), MemberFactor: rapid.Float64Range(0.1, 4).Draw(t, "member factor"),
		}
		members := rapid.IntRange(1, 20).Draw(t, "members")
		n := rapid.Int64Range(1<<10, 1<<18).Draw(t, "bytes")
		holds := make([]int64, members)
		var total int64
		for grown := true; grown; {
			grown = false
			for i := range holds {
				// Each member sends one message without end, beyond the part that is not bound.
				if hold := max(holds[i], MinMemoryHold); shares.Check(total, total, holds[i], hold, n) == MemoryFits {
					holds[i] += n
					total += n
					grown = true
				}
			}
		}
		free := shares.Limit - total
		if float64(total) > shares.GroupFactor*float64(free) {
			t.Fatalf("the group holds %d, %d are free", total, free)
		}
		for _, h := range holds {
			if float64(h) > shares.MemberFactor*float64(shares.Limit-h) {
				t.Fatalf("a member holds %d of %d", h, shares.Limit)
			}
		}
		if shares.Check(total, 0, 0, 0, min(free, MinMemoryHold)) != MemoryFits {
			t.Fatalf("a small message of another group does not fit, %d are free", free)
		}
		if want := shares.Check(total, 0, 0, 0, free+1); want != MemoryOfAll {
			t.Fatalf("more than the free memory: %v", want)
		}
	})
}

// TestMemoryYields answers the load of many callers that send most of a body and stop.
func TestMemoryYields(t *testing.T) {
	for _, k := range []struct {
		name         string
		stallTime    time.Duration
		held, needed int64
		still        time.Duration
		want         bool
	}{
		{"a larger message yields at once", StallTime, 11, 10, 0, true},
		{"a message of the same size that makes progress does not", StallTime, 10, 10, StallTime - 1, false},
		{"a smaller one yields once it has stalled", StallTime, 1, 10, StallTime, true},
		{"a stalled one does not yield without a stall time", 0, 10, 10, time.Hour, false},
	} {
		Convey("Memory: "+k.name, t, func() {
			So(MemoryShares{StallTime: k.stallTime}.Yields(k.held, k.needed, k.still), ShouldEqual, k.want)
		})
	}
}
