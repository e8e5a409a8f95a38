package main

import (
	"bytes"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// seeds are the seeds of the short run in CI. Some of them failed before:
//   - 1001: an instance that became dispatcher between two catalog snapshots kept
//     the older one, which had no servers.
//   - 2014: a dispatcher whose process had been paused considered all stage
//     servers slow and gave them no work.
//
// The seeds 2011 and 3008 failed as well and are not listed: a signal ended a
// process that had just been started and did not handle signals yet. The soak
// sends SIGHUP and SIGTERM only to a process that is ready.
var seeds = []uint64{1, 1001, 2014}

func TestSoak(t *testing.T) {
	for _, seed := range seeds {
		Convey("No guarantee is violated under faults", t, func() {
			var out bytes.Buffer
			report, err := Run(Options{Seed: seed, Length: 8 * time.Second, Instances: 3, Out: &out})
			So(err, ShouldBeNil)
			if len(report.Violations) > 0 {
				t.Log(out.String()) // the injected faults and the instances' logs
			}
			So(report.Violations, ShouldBeEmpty)
		})
	}
}
