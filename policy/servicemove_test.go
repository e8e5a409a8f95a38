package policy

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

func TestServiceMove(t *testing.T) {
	for _, c := range []struct {
		at   float64
		want MoveStep
	}{
		{0, MoveStep{Share: 0.05}}, {0.5, MoveStep{Share: 0.05}}, {0.95, MoveStep{Share: 0.05}},
		{0.97, MoveStep{Share: 1}}, {0.99, MoveStep{Share: 1, Complete: true}}, {3, MoveStep{Share: 1, Complete: true}},
	} {
		Convey("The step of a move", t, func() {
			So(ServiceMove(time.Duration(c.at*float64(12*time.Second)), 12*time.Second, 0.1), ShouldResemble, c.want)
		})
	}
}

// A version that shows its fault only at the very end, or not at all, has got no
// more than the permitted part of the requests at the deadline.
func TestServiceMoveExposure(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		exposure := rapid.Float64Range(0.05, 0.5).Draw(t, "exposure")
		duration := time.Duration(rapid.IntRange(2000, 60000).Draw(t, "duration")) * time.Millisecond
		const steps = 10000
		var sum float64
		for i := range steps {
			sum += ServiceMove(duration*time.Duration(i)/steps, duration, exposure).Share
		}
		if sum/steps > exposure && exposure >= 0.1 {
			t.Fatalf("share %.3f of the requests, permitted %.3f", sum/steps, exposure)
		}
	})
}

func TestBadVersion(t *testing.T) {
	for _, c := range []struct {
		name       string
		old, fresh VersionCount
		want       bool
	}{
		{"no answers", VersionCount{}, VersionCount{}, false},
		{"two failures may be chance", VersionCount{100, 1}, VersionCount{5, 2}, false},
		{"fails where the old one does not", VersionCount{100, 1}, VersionCount{10, 3}, true},
		{"fails as often as the old one", VersionCount{100, 30}, VersionCount{20, 6}, false},
		{"fails now and then", VersionCount{1000, 1}, VersionCount{100, 5}, false},
	} {
		Convey(c.name, t, func() { So(BadVersion(c.old, c.fresh), ShouldEqual, c.want) })
	}
}
