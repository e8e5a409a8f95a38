package loadreport

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestPlausibleTime(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	cases := []struct {
		name string
		at   time.Time
		want time.Time
	}{
		{"a little behind", now.Add(-time.Second), now.Add(-time.Second)},
		{"a little ahead", now.Add(time.Second), now.Add(time.Second)},
		{"a year ahead", now.AddDate(1, 0, 0), now},
		{"a year behind", now.AddDate(-1, 0, 0), now},
		{"none", time.Time{}, now},
	}
	for _, c := range cases {
		Convey("A server's clock: "+c.name, t, func() {
			So(plausibleTime(now, c.at), ShouldEqual, c.want)
		})
	}
}
