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
	Convey("Instances agree on the server of a prompt, in whatever order they know the servers", t, func() {
		a := engines(6)
		b := engines(6)
		b[0], b[5] = b[5], b[0]
		i, _ := ChooseEngine(42, 1, 6, a)
		j, _ := ChooseEngine(42, 2, 6, b)
		So(a[i].ID, ShouldEqual, b[j].ID)
	})
	Convey("Hot key: a prompt that many ask for spills over to other servers", t, func() {
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
	Convey("A slow server gets nothing while others are free", t, func() {
		all := engines(3)
		for i := range all {
			all[i].Slowness = 1
		}
		first, _ := ChooseEngine(7, 1, 1, all)
		all[first].Slowness = 4
		second, _ := ChooseEngine(7, 1, 1, all)
		So(second, ShouldNotEqual, first)
	})
	Convey("There may be none", t, func() {
		i, _ := ChooseEngine(7, 1, 1, nil)
		So(i, ShouldEqual, NoServer)
	})
}

func TestPlaceOfInputs(t *testing.T) {
	Convey("Large inputs bind a request to their zone, small ones leave it to its prompt", t, func() {
		So(InputsBind(4_000_000, 6300), ShouldBeTrue)
		So(InputsBind(60_000, 570), ShouldBeFalse)
		So(InputsBind(0, 0), ShouldBeTrue)
	})
	Convey("A stage goes where most of its data lies or goes", t, func() {
		So(StageZone("a", 3_000_000, "b", 60_000), ShouldEqual, "a")
		So(StageZone("a", 8_000, "b", 3_000_000), ShouldEqual, "b")
		So(StageZone("a", 8_000, "b", 60_000), ShouldEqual, "")
		So(StageZone("", 0, "", 0), ShouldEqual, "")
	})
}

func TestChoosePlain(t *testing.T) {
	Convey("A server of the own zone is chosen while it is as free", t, func() {
		for r := range uint64(50) {
			So(ChoosePlain(r, 1, []PlainServer{{Slots: 6, Expected: ms(10)}, {Near: true, Slots: 6, Expected: ms(10)}}), ShouldEqual, 1)
		}
	})
	Convey("A full one is not", t, func() {
		So(ChoosePlain(1, 1, []PlainServer{{Slots: 6, Expected: ms(60)}, {Near: true, Slots: 6, Expected: ms(60), Reported: 12}}), ShouldEqual, 0)
	})
}

// However requests and repeats fall and however instances divide them, the
// repeats of all instances in any window stay within the permitted part.
func TestRepeatBudgetSum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := rapid.IntRange(1, 12).Draw(t, "fleet")
		const window = 10 * time.Second
		budgets := make([]RepeatBudget, fleet)
		for i := range budgets {
			budgets[i] = RepeatBudget{Ratio: 0.2, Extra: 50, Window: window}
		}
		type event struct {
			at     time.Time
			repeat bool
		}
		var events []event
		now := epoch
		for range rapid.IntRange(50, 600).Draw(t, "events") {
			now = now.Add(ms(rapid.IntRange(0, 60).Draw(t, "pause")))
			b := &budgets[rapid.IntRange(0, fleet-1).Draw(t, "instance")]
			if rapid.IntRange(0, 2).Draw(t, "kind") == 0 {
				b.Request(now)
				events = append(events, event{now, false})
			} else if b.Allow(now, fleet) {
				events = append(events, event{now, true})
			}
		}
		for i, first := range events {
			requests, repeats := 0, 0
			for _, e := range events {
				if age := first.at.Sub(e.at); age >= 0 && age < 2*window {
					if !e.repeat {
						requests++
					}
				}
			}
			for _, e := range events[i:] {
				if e.at.Sub(first.at) >= window {
					break
				}
				if e.repeat {
					repeats++
				} else {
					requests++
				}
			}
			if float64(repeats) > 0.2*float64(requests)+50 {
				t.Fatalf("%d repeats of %d requests within the window", repeats, requests)
			}
		}
	})
}

// The first requests of all instances and their rates stay within what a cold
// server bears, for any fleet.
func TestColdShareSum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := rapid.IntRange(1, 400).Draw(t, "fleet")
		rate := rapid.Float64Range(2, 60).Draw(t, "rate")
		var sum float64
		senders := 0
		for rank := range fleet {
			share := ColdShare(rate, rank, fleet)
			sum += share
			if share > 0 {
				senders++
			}
		}
		// A limiter of burst 1 lets its rate and one request more through.
		if sum > rate || senders == 0 || sum+float64(senders) > 1.5*rate+5 {
			t.Fatalf("%d senders with %f a second before a server that bears %f", senders, sum, rate)
		}
	})
}
