package policy

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestStageGroups(t *testing.T) {
	for _, c := range []struct {
		name    string
		servers map[string]int
		want    map[string]string
	}{
		{"few servers in every zone are one group", map[string]int{"a": 2, "b": 1, "c": 1}, map[string]string{"a": "", "b": "", "c": ""}},
		{"one large zone and small ones are one group", map[string]int{"a": 5, "b": 1}, map[string]string{"a": "", "b": ""}},
		{"large zones are groups", map[string]int{"a": 5, "b": 3}, map[string]string{"a": "a", "b": "b"}},
		{"a zone that lost servers joins another; the large ones stay apart", map[string]int{"a": 5, "b": 4, "c": 2}, map[string]string{"a": "a", "b": "b", "c": "a"}},
	} {
		Convey(c.name, t, func() {
			got := StageGroups(c.servers)
			if g := got["c"]; c.want["c"] == "a" && g == "b" {
				c.want["c"] = "b" // which of the large zones it joins does not matter
			}
			So(got, ShouldResemble, c.want)
		})
	}
}

// Pattern: a few large instances among many small ones. Duties go where there is
// room for them.
func TestWeightedRendezvous(t *testing.T) {
	Convey("Instances get duties by their capacity", t, func() {
		large := 0
		const keys = 2000
		for k := range keys {
			best, weight := 0, 0.0
			for m := range 22 {
				capacity := 10.0
				if m < 2 {
					capacity = 200
				}
				if w := WeightedRendezvous(fmt.Sprint("key", k), fmt.Sprint("m", m), capacity); w > weight {
					best, weight = m, w
				}
			}
			if best < 2 {
				large++
			}
		}
		So(float64(large)/keys, ShouldBeBetween, 0.6, 0.74) // 400 of 600
	})
	Convey("A member that leaves moves only its own keys", t, func() {
		owner := func(k, members int) int {
			best, weight := 0, 0.0
			for m := range members {
				if w := WeightedRendezvous(fmt.Sprint("key", k), fmt.Sprint("m", m), float64(1+m)); w > weight {
					best, weight = m, w
				}
			}
			return best
		}
		for k := range 500 {
			if before := owner(k, 10); before != 9 {
				So(owner(k, 9), ShouldEqual, before)
			}
		}
	})
}
