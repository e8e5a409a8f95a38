package policy

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// A burst of requests with several stages: results wait in the little memory of their makers
// while the next stage works on them, and calls of the makers get small. A call that takes
// 340 ms has fetched its inputs long before its end.
func TestInputFetchTime(t *testing.T) {
	const gigabit = 1e9 / 8
	for _, c := range []struct {
		name  string
		fetch InputFetch
		want  time.Duration // 0: not before the end of the call
	}{
		{"46 pieces with 6 inputs of 60 kB over 10 Gbit/s", InputFetch{Alone: true, Slowness: 1, Bytes: 46 * 6 * 60e3, LinkRate: 10 * gigabit}, 60*time.Millisecond + 3*13248*time.Microsecond},
		{"small inputs take a few round trips", InputFetch{Alone: true, Slowness: 1, LinkRate: gigabit}, 60 * time.Millisecond},
		{"behind another call, the turn of the call is not known", InputFetch{Slowness: 1, LinkRate: gigabit}, 0},
		{"a slow server may be slow because others call it", InputFetch{Alone: true, Slowness: 1.5, LinkRate: gigabit}, 0},
		{"without a known link the inputs are kept as before", InputFetch{Alone: true, Slowness: 1, Bytes: 1}, 0},
	} {
		Convey(c.name, t, func() {
			got, known := c.fetch.Time()
			So(known, ShouldEqual, c.want > 0)
			So(got, ShouldEqual, c.want)
		})
	}
}

// While part of the fleet does not reach the store, instances disagree on the dispatcher, and
// two of them call the same servers: calls wait in the servers' queues.
func TestSoleCaller(t *testing.T) {
	at := func(n int) time.Time { return epoch.Add(ms(n)) }
	busy := func() *SoleCaller { // has been working for two seconds
		c := &SoleCaller{}
		for n := range 21 {
			c.Work(at(100 * n))
		}
		return c
	}
	for _, c := range []struct {
		name string
		do   func(c *SoleCaller)
		want bool
	}{
		{"steady work", func(*SoleCaller) {}, true},
		{"calls that succeed", func(c *SoleCaller) { c.Observe(at(2000), StageCall{}) }, true},
		{"a server that was full", func(c *SoleCaller) { c.Observe(at(2000), StageCall{Refused: true}) }, false},
		{"inputs that were released too soon", func(c *SoleCaller) { c.Observe(at(2000), StageCall{InputGone: true}) }, false},
		{"such a sign some time ago", func(c *SoleCaller) { c.Observe(at(500), StageCall{Refused: true}) }, true},
		{"work after a pause, in which another dispatcher may have called", func(c *SoleCaller) { c.Work(at(2600)) }, false},
	} {
		Convey(c.name, t, func() {
			caller := busy()
			c.do(caller)
			So(caller.Sole(at(2600)), ShouldEqual, c.want)
		})
	}
}
