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
		Convey("The state of a rollout over time", t, func() {
			So(ServiceMove(time.Duration(c.at*float64(12*time.Second)), 12*time.Second, 0.1), ShouldResemble, c.want)
		})
	}
}

// Guards against too many requests for a bad version: even if its fault shows only
// at the end of the rollout, or not at all, the version gets at most the permitted
// fraction of the requests until then, if that fraction is at least 0.1.
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
			t.Fatalf("the new version got %.3f of the requests, want at most %.3f", sum/steps, exposure)
		}
	})
}

func TestBadVersion(t *testing.T) {
	for _, c := range []struct {
		name       string
		old, newer VersionCount
		want       bool
	}{
		{"no responses", VersionCount{}, VersionCount{}, false},
		{"two failures may be chance", VersionCount{100, 1}, VersionCount{5, 2}, false},
		{"fails where the old one does not", VersionCount{100, 1}, VersionCount{10, 3}, true},
		{"fails as often as the old one", VersionCount{100, 30}, VersionCount{20, 6}, false},
		{"fails rarely", VersionCount{1000, 1}, VersionCount{100, 5}, false},
	} {
		Convey(c.name, t, func() { So(BadVersion(c.old, c.newer), ShouldEqual, c.want) })
	}
}
