package claims

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/savoryfold/savoryfold/kernel"
)

// TestClaimsAfterRestore guards against requests that run a second time because the log was
// restored from an older copy, which lacks their claim and their outcome (issue 24).
func TestClaimsAfterRestore(t *testing.T) {
	const (
		span    = 1200 * time.Millisecond // window and skew
		copyAge = 150 * time.Millisecond
	)
	for _, k := range []struct {
		name string
		// others is the number of other requests after the restore and before the retries,
		// at an instance that gets no retry.
		others int
		// fresh makes an instance that starts after the restore get the retry.
		fresh bool
	}{
		{"the log is shorter than before", 0, false},
		{"the log has grown beyond what was read", 40, false},
		{"an instance starts after the restore", 0, true},
		{"an instance starts after the restore, and the log has grown", 40, true},
	} {
		Convey("A request that has run does not run again when "+k.name, t, func() {
			inCluster(t, 0, "shards = 1\nwindow = 1s\nskew = 200ms\n", func(c *cluster) {
				c.setPeers(true, false)
				for _, n := range c.nodes {
					n.serve(newKey(), testTimeout)
				}
				time.Sleep(span)
				before := newKey()
				So(c.nodes[0].serve(before, testTimeout).Outcome.Kind, ShouldEqual, kernel.Served)
				time.Sleep(copyAge)
				var keys []string
				for range 3 {
					// A key is valid for the window only.
					keys = append(keys, newKey())
					So(c.nodes[0].serve(keys[len(keys)-1], testTimeout).Outcome.Kind, ShouldEqual, kernel.Served)
				}
				c.service.Restore(copyAge)
				for range k.others {
					c.nodes[1].serve(newKey(), testTimeout)
				}
				last := c.nodes[2]
				if k.fresh {
					last = c.start()
				}
				for _, key := range append(keys, before) {
					for _, n := range []*node{last, c.nodes[0]} {
						n.serve(key, 200*time.Millisecond)
						So(c.runCount(key), ShouldEqual, 1)
					}
				}
				Convey("and requests whose keys are later than the restore run", func() {
					So(eventually(func() bool {
						key := newKey()
						return last.serve(key, time.Second).Outcome.Kind == kernel.Served && c.runCount(key) == 1
					}), ShouldBeTrue)
				})
			})
		})
	}
}
