package passthrough

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/savoryfold/savoryfold/platform/platformtest"
)

const (
	// learnTime is the time after the first statement of a limit from which on it
	// binds, and limitWindow the span over which requests are counted.
	learnTime   = 3 * time.Second
	limitWindow = 4 * time.Second
)

// allowedInWindow is the number of requests that a server may get in limitWindow.
func allowedInWindow(rate float64) int { return int(1.5*rate*limitWindow.Seconds()) + 5 }

// mostInWindow returns the largest number of requests that a server got in any span of
// limitWindow after a time.
func mostInWindow(received []platformtest.ReceivedRequest, after time.Time) int {
	most := 0
	for i, first := range received {
		if first.At.Before(after) {
			continue
		}
		n := 0
		for _, r := range received[i:] {
			if r.At.Sub(first.At) < limitWindow {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// load sends requests of a path at a rate per second to instances in turn, for a time,
// and returns all responses after their requests have ended.
func load(instances []*Instance, path string, rate int, d time.Duration) []response {
	var mu sync.Mutex
	var responses []response
	var running sync.WaitGroup
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	began := time.Now()
	for n := 0; time.Since(began) < d; n++ {
		<-ticker.C
		in := instances[n%len(instances)]
		running.Go(func() {
			sent := time.Now()
			r := send(in, "POST", path, fmt.Sprintf("%s-%d-%d", in.ID, began.UnixNano(), n))
			r.took = time.Since(sent)
			mu.Lock()
			responses = append(responses, r)
			mu.Unlock()
		})
	}
	running.Wait()
	return responses
}

// TestServerRateLimit guards against a server that gets more requests from all
// instances together than the rate that it states, and against requests that wait for
// it or leave its rate unused.
func TestServerRateLimit(t *testing.T) {
	Convey("With three instances and one server that states a limit", t, func() {
		c := New(t)
		c.Store.PutConfig(config(1))
		server := c.startBackend("i-1", "app")
		for _, id := range []string{"e1", "e2", "e3"} {
			c.waitServers(c.Start(id, "z1", true, ""), "app", 1)
		}
		c.WaitMembers(3)
		const instancesRate, duration = 60, learnTime + 2*limitWindow
		for _, limit := range []struct {
			rate float64
			// all is true if all instances get requests.
			all bool
		}{{1, true}, {8, true}, {8, false}} {
			Convey(fmt.Sprintf("of %v a second, it gets and uses that rate, requests at all instances: %v", limit.rate, limit.all), func() {
				instances := c.Instances
				if !limit.all {
					instances = instances[:1]
				}
				server.StateRateLimit(strconv.FormatFloat(limit.rate, 'g', -1, 64))
				began := time.Now()
				responses := load(instances, "/once/x", instancesRate, duration)
				received := server.Requests()
				So(mostInWindow(received, began.Add(learnTime)), ShouldBeLessThanOrEqualTo, allowedInWindow(limit.rate))
				used := 0
				for _, r := range received {
					if r.At.After(began.Add(learnTime)) {
						used++
					}
				}
				So(float64(used), ShouldBeGreaterThan, 0.6*limit.rate*(duration-learnTime).Seconds())
				for _, r := range responses {
					if r.status == http.StatusOK {
						continue
					}
					So(r.err, ShouldBeNil)
					So(r.status, ShouldEqual, http.StatusServiceUnavailable)
					So(r.took, ShouldBeLessThan, 500*time.Millisecond)
					retryAfter, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
					So(err, ShouldBeNil)
					So(retryAfter, ShouldBeGreaterThan, 0)
				}
			})
		}
	})
}
