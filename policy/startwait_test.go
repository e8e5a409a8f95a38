package policy

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestStartWait(t *testing.T) {
	for _, c := range []struct {
		name      string
		waiting   int
		remaining time.Duration
		want      time.Duration
	}{
		{"a short request leaves its caller time for another instance", 0, time.Second, 250 * time.Millisecond},
		{"a long request does not wait for ever", 0, 20 * time.Second, time.Second},
		{"an unknown deadline counts as a long one", 0, 0, time.Second},
		{"the number of waiting requests is bounded", maxStartWaiting, 6 * time.Second, 0},
	} {
		Convey(c.name, t, func() { So(StartWait(c.waiting, c.remaining), ShouldEqual, c.want) })
	}
}

// TestRestartHerd simulates the load after all instances have restarted at once: requests
// keep arriving, every caller comes back once, and no instance has a catalog yet.
func TestRestartHerd(t *testing.T) {
	const (
		startAt   = 500 * time.Millisecond // instances accept connections
		catalogAt = 800 * time.Millisecond // and have read the catalog
		refusedIn = 20 * time.Millisecond  // a refused connection brings the caller back so soon
		comeBack  = 500 * time.Millisecond // Retry-After of a refusal without a catalog
		timeout   = 6 * time.Second
	)
	// serve returns whether a request that is sent at a time is served, and when.
	serve := func(sent time.Duration, wait func(remaining time.Duration) time.Duration) (bool, time.Duration) {
		at := sent
		for range 2 {
			switch {
			case at < startAt:
				at += refusedIn
			case at >= catalogAt:
				return true, at
			case at+wait(sent+timeout-at) >= catalogAt:
				return true, catalogAt
			default:
				at += comeBack
			}
		}
		return false, at
	}
	measure := func(wait func(time.Duration) time.Duration) (lost int, slowest time.Duration) {
		for sent := time.Duration(0); sent < catalogAt; sent += time.Millisecond {
			ok, at := serve(sent, wait)
			if !ok {
				lost++
				continue
			}
			slowest = max(slowest, at-sent)
		}
		return lost, slowest
	}
	Convey("Of the requests that reach a restarted instance, none is lost, and all are served once there is a catalog", t, func() {
		refusedLost, refusedSlowest := measure(func(time.Duration) time.Duration { return 0 })
		lost, slowest := measure(func(remaining time.Duration) time.Duration { return StartWait(0, remaining) })
		// What is left are callers that find no instance listening twice.
		unreachable := int((startAt - refusedIn) / time.Millisecond)
		So(lost, ShouldEqual, unreachable)
		So(refusedLost, ShouldBeGreaterThan, lost)
		So(slowest, ShouldBeLessThanOrEqualTo, catalogAt-startAt+refusedIn)
		So(refusedSlowest, ShouldBeGreaterThan, slowest)
	})
}
