package policy

import (
	"fmt"
	"testing"
	"time"

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
		{"a small zone joins a large one; the large ones stay separate", map[string]int{"a": 5, "b": 4, "c": 2}, map[string]string{"a": "a", "b": "b", "c": "a"}},
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

func TestChooseStageGroup(t *testing.T) {
	separate := map[string]string{"a": "a", "b": "b", "c": "c", "small": "c"}
	one := map[string]string{"a": "", "b": ""}
	for _, c := range []struct {
		name        string
		groups      map[string]string
		zone        string
		unreachable map[string]bool
		waits       map[string]time.Duration
		want        []string // any of these
	}{
		{"work stays in its zone", separate, "a", nil, nil, []string{"a"}},
		{"work stays while the wait elsewhere is a little shorter", separate, "a", nil, map[string]time.Duration{"a": ms(90)}, []string{"a"}},
		{"work leaves its zone if the wait there is much longer", separate, "a", nil, map[string]time.Duration{"a": ms(250), "b": ms(100), "c": ms(140)}, []string{"b"}},
		{"work of a small zone goes to the group that the zone joined", separate, "small", nil, nil, []string{"c"}},
		{"work of a zone without servers goes to any group", separate, "d", nil, nil, []string{"a", "b", "c"}},
		{"an unreachable zone gets no work", separate, "a", map[string]bool{"a": true}, nil, []string{"b", "c"}},
		{"an unreachable zone gets no work even if its wait is the shortest", separate, "b", map[string]bool{"a": true}, map[string]time.Duration{"b": ms(300), "c": ms(400)}, []string{"b"}},
		{"if all zones are unreachable, work stays in its own", separate, "a", map[string]bool{"a": true, "b": true, "c": true}, nil, []string{"a"}},
		{"one group for all zones", one, "a", map[string]bool{"b": true}, nil, []string{""}},
		{"without groups the result is empty", nil, "a", nil, nil, []string{""}},
	} {
		Convey(c.name, t, func() {
			for _, instance := range []string{"i1", "i2", "i3", "i4"} {
				got := ChooseStageGroup(c.groups, c.zone, c.unreachable, instance, func(group string) time.Duration { return c.waits[group] })
				So(c.want, ShouldContain, got)
			}
		})
	}
	Convey("Instances whose zone has no servers spread over the groups", t, func() {
		used := make(map[string]bool)
		for i := range 50 {
			used[ChooseStageGroup(separate, "d", nil, fmt.Sprint("i", i), func(string) time.Duration { return 0 })] = true
		}
		So(used, ShouldHaveLength, 3)
	})
}

// With a few large members among many small ones, keys must be assigned in
// proportion to capacity.
func TestWeightedRendezvous(t *testing.T) {
	Convey("Members get keys in proportion to their capacity", t, func() {
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
