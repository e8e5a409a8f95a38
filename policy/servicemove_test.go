package policy

import (
	"math/rand/v2"
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
		{0, MoveStep{Share: 0.075}}, {0.5, MoveStep{Share: 0.075}}, {0.97, MoveStep{Share: 0.075}},
		{0.98, MoveStep{Share: 1}}, {0.99, MoveStep{Share: 1, Complete: true}}, {3, MoveStep{Share: 1, Complete: true}},
	} {
		Convey("The state of a rollout over time", t, func() {
			step := ServiceMove(time.Duration(c.at*float64(12*time.Second)), 12*time.Second, 0.1)
			So(step.Share, ShouldAlmostEqual, c.want.Share, 1e-9)
			So(step.Complete, ShouldEqual, c.want.Complete)
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
		{"three failures of twenty are chance if the old one fails too", VersionCount{400, 20}, VersionCount{20, 3}, false},
		{"half of ten responses fail", VersionCount{400, 20}, VersionCount{10, 5}, true},
	} {
		Convey(c.name, t, func() { So(JudgeVersion(c.old, c.newer) == VersionBad, ShouldEqual, c.want) })
	}
}

// TestBadVersionByChance guards against a good version that is rolled back because
// some of its first responses happen to be bad, however often the counts are checked.
func TestBadVersionByChance(t *testing.T) {
	const seeds, responses, rate, allowed = 2000, 200, 0.04, 20
	rolledBack := 0
	for seed := range uint64(seeds) {
		random := rand.New(rand.NewPCG(seed, 0))
		old, newer := VersionCount{400, 16}, VersionCount{}
		for range responses {
			newer.Responses++
			if random.Float64() < rate {
				newer.Bad++
			}
			if JudgeVersion(old, newer) == VersionBad {
				rolledBack++
				break
			}
		}
	}
	if rolledBack > allowed {
		t.Errorf("%d of %d good versions are rolled back, want at most %d", rolledBack, seeds, allowed)
	}
}

func TestBadVersionOnOneRoute(t *testing.T) {
	Convey("A fault on one route shows in the counts of that route", t, func() {
		good := RouteCounts{Old: VersionCount{400, 10}, New: VersionCount{60, 1}}
		bad := RouteCounts{Old: VersionCount{100, 2}, New: VersionCount{10, 5}}
		verdict, route := JudgeRoutes(map[string]RouteCounts{"a": good, "b": bad, "c": good})
		So(verdict, ShouldEqual, VersionBad)
		So(route, ShouldEqual, "b")
		verdict, _ = JudgeRoutes(map[string]RouteCounts{"a": good, "c": good})
		So(verdict, ShouldEqual, VersionGood)
	})
	Convey("Too few bad responses for a rollback make a version suspect", t, func() {
		So(JudgeVersion(VersionCount{389, 12}, VersionCount{34, 5}), ShouldEqual, VersionSuspect)
		So(JudgeVersion(VersionCount{389, 12}, VersionCount{34, 1}), ShouldEqual, VersionGood)
		So(JudgeVersion(VersionCount{389, 12}, VersionCount{34, 9}), ShouldEqual, VersionBad)
	})
}
