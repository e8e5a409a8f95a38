package policy

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestStopAdmission(t *testing.T) {
	now := time.Unix(1000, 0)
	in := func(d time.Duration) time.Time { return now.Add(d) }
	for _, c := range []struct {
		name string
		a    StopAdmission
		want bool
	}{
		{"a request that takes less than is left", StopAdmission{in(2 * time.Second), in(time.Minute), time.Second, true}, true},
		{"one that takes as long as is left", StopAdmission{in(2 * time.Second), in(time.Minute), 2 * time.Second, true}, true},
		{"one that takes longer", StopAdmission{in(2 * time.Second), in(time.Minute), 2*time.Second + 1, true}, false},
		{"one of unknown length that its deadline ends in time", StopAdmission{in(2 * time.Second), in(2 * time.Second), 0, false}, true},
		{"one of unknown length with a later deadline", StopAdmission{in(2 * time.Second), in(3 * time.Second), 0, false}, false},
		{"a long one that its deadline ends in time", StopAdmission{in(2 * time.Second), in(time.Second), time.Minute, true}, true},
		{"any after the abort", StopAdmission{in(-time.Second), in(time.Second), 0, true}, false},
	} {
		Convey(c.name, t, func() { So(c.a.Admit(now), ShouldEqual, c.want) })
	}
}

func TestRequestTime(t *testing.T) {
	Convey("Without samples the time is not known", t, func() {
		_, known := (&RequestTime{}).Expected()
		So(known, ShouldBeFalse)
	})
	Convey("The expected time covers a rare long request, and forgets it after two windows", t, func() {
		var rt RequestTime
		rt.Observe(5 * time.Second)
		for range longestWindow {
			rt.Observe(100 * time.Millisecond)
			expected, known := rt.Expected()
			So(known, ShouldBeTrue)
			So(expected, ShouldBeGreaterThanOrEqualTo, 5*time.Second)
		}
		for range 4 * longestWindow {
			rt.Observe(100 * time.Millisecond)
		}
		expected, _ := rt.Expected()
		So(expected, ShouldBeLessThan, time.Second)
	})
}
