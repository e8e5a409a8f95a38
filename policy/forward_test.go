package policy

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

func TestChooseEngine(t *testing.T) {
	engines := func(n int) []Engine {
		out := make([]Engine, n)
		for i := range out {
			out[i] = Engine{ID: mix(uint64(i + 1)), Near: true, Reported: 0, Slowness: 1}
		}
		return out
	}
	Convey("Instances agree on the server of a prompt, regardless of the order of the servers", t, func() {
		a := engines(6)
		b := engines(6)
		b[0], b[5] = b[5], b[0]
		i, _ := ChooseEngine(42, 1, 6, a)
		j, _ := ChooseEngine(42, 2, 6, b)
		So(a[i].ID, ShouldEqual, b[j].ID)
	})
	Convey("Hot key: requests for a popular prompt spill over to other servers", t, func() {
		all := engines(6)
		used := make(map[int]int)
		for range 60 {
			i, _ := ChooseEngine(42, 1, 1, all)
			all[i].Reported++
			used[i]++
		}
		So(len(used), ShouldBeGreaterThan, 2)
		for _, n := range used {
			So(n, ShouldBeLessThan, 20)
		}
	})
	Convey("A server in the zone of the inputs is preferred while its load is bounded", t, func() {
		all := engines(6)
		for i := range all {
			all[i].Near = i == 3
		}
		i, reason := ChooseEngine(42, 1, 1, all)
		So(i, ShouldEqual, 3)
		So(reason, ShouldEqual, Reason("near"))
		all[3].Reported = 40
		i, _ = ChooseEngine(42, 1, 1, all)
		So(i, ShouldNotEqual, 3)
	})
	Convey("A slow server gets no request while others are free", t, func() {
		all := engines(3)
		for i := range all {
			all[i].Slowness = 1
		}
		first, _ := ChooseEngine(7, 1, 1, all)
		all[first].Slowness = 4
		second, _ := ChooseEngine(7, 1, 1, all)
		So(second, ShouldNotEqual, first)
	})
	Convey("Without servers the result is NoServer", t, func() {
		i, _ := ChooseEngine(7, 1, 1, nil)
		So(i, ShouldEqual, NoServer)
	})
}

func TestZoneOfInputs(t *testing.T) {
	Convey("A request stays in the zone of large inputs; with small ones its cached prompt decides", t, func() {
		So(PreferInputZone(4_000_000, 6300), ShouldBeTrue)
		So(PreferInputZone(60_000, 570), ShouldBeFalse)
		So(PreferInputZone(0, 0), ShouldBeTrue)
	})
	Convey("A stage prefers the zone of its inputs or of its result, whichever is larger", t, func() {
		So(StageZone("a", 3_000_000, "b", 60_000), ShouldEqual, "a")
		So(StageZone("a", 8_000, "b", 3_000_000), ShouldEqual, "b")
		So(StageZone("a", 8_000, "b", 60_000), ShouldEqual, "")
		So(StageZone("", 0, "", 0), ShouldEqual, "")
	})
}

func TestChoosePlain(t *testing.T) {
	Convey("A server of the local zone is chosen among equally loaded ones", t, func() {
		for r := range uint64(50) {
			So(ChoosePlain(r, 1, []PlainServer{{Slots: 6, Expected: ms(10)}, {Near: true, Slots: 6, Expected: ms(10)}}), ShouldEqual, 1)
		}
	})
	Convey("A full server of the local zone is not chosen", t, func() {
		So(ChoosePlain(1, 1, []PlainServer{{Slots: 6, Expected: ms(60)}, {Near: true, Slots: 6, Expected: ms(60), Reported: 12}}), ShouldEqual, 0)
	})
}

// For any schedule of requests and retries and any division among instances, the
// retries of all instances in any window stay within the retry budget.
func TestRetryBudgetSum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		instances := rapid.IntRange(1, 12).Draw(t, "fleet")
		const window = 10 * time.Second
		budgets := make([]RetryBudget, instances)
		for i := range budgets {
			budgets[i] = RetryBudget{Ratio: 0.2, Extra: 50, Window: window}
		}
		type event struct {
			at    time.Time
			retry bool
		}
		var events []event
		now := epoch
		for range rapid.IntRange(50, 600).Draw(t, "events") {
			now = now.Add(ms(rapid.IntRange(0, 60).Draw(t, "pause")))
			b := &budgets[rapid.IntRange(0, instances-1).Draw(t, "instance")]
			if rapid.IntRange(0, 2).Draw(t, "kind") == 0 {
				b.Request(now)
				events = append(events, event{now, false})
			} else if b.Allow(now, instances) {
				events = append(events, event{now, true})
			}
		}
		for i, first := range events {
			requests, retries := 0, 0
			for _, e := range events {
				if age := first.at.Sub(e.at); age >= 0 && age < 2*window {
					if !e.retry {
						requests++
					}
				}
			}
			for _, e := range events[i:] {
				if e.at.Sub(first.at) >= window {
					break
				}
				if e.retry {
					retries++
				} else {
					requests++
				}
			}
			if float64(retries) > 0.2*float64(requests)+50 {
				t.Fatalf("%d retries for %d requests within the window", retries, requests)
			}
		}
	})
}

// TestUnknownFleet guards against an instance that uses the bounds of all instances
// alone because it does not know the others yet, such as after a restart.
func TestUnknownFleet(t *testing.T) {
	Convey("While the number of instances is unknown", t, func() {
		Convey("retries beyond the requests' own share are not permitted", func() {
			b := RetryBudget{Ratio: 0.2, Extra: 50, Window: 10 * time.Second}
			So(b.Allow(epoch, 0), ShouldBeFalse)
			for range 10 {
				b.Request(epoch)
			}
			So(b.Allow(epoch, 0), ShouldBeTrue)
			So(b.Allow(epoch, 0), ShouldBeFalse)
		})
		Convey("a large fleet is assumed for the connections to a server", func() {
			So(ConnectionShare(500, 0), ShouldEqual, ConnectionShare(500, assumedInstances))
			So(ConnectionShare(50, 0), ShouldEqual, 1)
		})
	})
	Convey("The connections of all instances stay below the server's limit", t, func() {
		for _, instances := range []int{1, 9, 90, 300} {
			So(ConnectionShare(500, instances)*instances, ShouldBeLessThanOrEqualTo, 500)
			So(ConnectionShare(500, instances), ShouldBeGreaterThanOrEqualTo, 1)
		}
	})
}
