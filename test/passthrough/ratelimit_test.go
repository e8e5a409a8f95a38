package passthrough

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/savoryfold/savoryfold/kernel"
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
func mostInWindow(arrivals []time.Time, after time.Time) int {
	most := 0
	for i, first := range arrivals {
		if first.Before(after) {
			continue
		}
		n := 0
		for _, at := range arrivals[i:] {
			if at.Sub(first) < limitWindow {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// countAfter returns the number of arrivals after a time.
func countAfter(arrivals []time.Time, after time.Time) int {
	n := 0
	for _, at := range arrivals {
		if at.After(after) {
			n++
		}
	}
	return n
}

// startInstances starts the servers of a service and three instances that know them and
// each other.
func (c *Cluster) startInstances(service string, servers ...string) []*platformtest.Backend {
	c.Store.PutConfig(config(1))
	var backends []*platformtest.Backend
	for _, id := range servers {
		backends = append(backends, c.startBackend(id, service))
	}
	for _, id := range []string{"e1", "e2", "e3"} {
		c.waitServers(c.Start(id, "z1", true, ""), service, len(servers))
	}
	c.WaitMembers(3)
	return backends
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
		server := c.startInstances("app", "i-1")[0]
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
				arrivals := server.Arrivals()
				So(mostInWindow(arrivals, began.Add(learnTime)), ShouldBeLessThanOrEqualTo, allowedInWindow(limit.rate))
				So(float64(countAfter(arrivals, began.Add(learnTime))), ShouldBeGreaterThan, 0.6*limit.rate*(duration-learnTime).Seconds())
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

// limited reports whether an instance knows a limit of a server.
func limited(in *Instance, id string) bool {
	server := in.Kernel.Host.Catalogs.Catalog().Server(id)
	return server != nil && in.Kernel.Host.RateLimited(time.Now(), kernel.TurnRequest{Server: server})
}

// TestServerRateLimitLife guards against limits that only some instances know, that
// outlive what the server states, or that a malformed value ends.
func TestServerRateLimitLife(t *testing.T) {
	Convey("With three instances, of which one has had a response with a limit", t, func() {
		c := New(t)
		server := c.startInstances("app", "i-1")[0]
		allLimited := func(want bool) func() bool {
			return func() bool {
				for _, in := range c.Instances {
					if limited(in, "i-1") != want {
						return false
					}
				}
				return true
			}
		}
		server.StateRateLimit("20")
		So(send(c.Instances[0], "POST", "/once/x", "first").status, ShouldEqual, http.StatusOK)
		c.Eventually("all instances know the limit", allLimited(true))
		// sendWithTurn sends a request until it has its turn.
		sendWithTurn := func(in *Instance, id string) {
			c.Eventually("the request has a turn", func() bool {
				return send(in, "POST", "/once/x", fmt.Sprint(id, time.Now().UnixNano())).status == http.StatusOK
			})
		}
		Convey("it ends for all once a response names none", func() {
			server.StateRateLimit("")
			c.Eventually("no instance knows a limit", func() bool {
				sendWithTurn(c.Instances[1], "none")
				return allLimited(false)()
			})
		})
		Convey("a value that is no number does not end it, and is logged", func() {
			for i, text := range []string{"-1", "NaN", "soon", "1e999"} {
				server.StateRateLimit(text)
				sendWithTurn(c.Instances[i%3], text)
			}
			So(allLimited(true)(), ShouldBeTrue)
			So(c.Instances[0].Log.String(), ShouldContainSubstring, "server states an invalid rate limit")
		})
		Convey("a start of the server anew has none", func() {
			c.Store.PutServer(platformtest.Entry{ID: "i-1", Service: "app", Address: server.Address(), Zone: "z1", Version: "v1", Slots: 8, Born: 2, Sequence: 1})
			c.Eventually("no instance knows a limit", allLimited(false))
		})
		Convey("an instance that starts later knows it, also after all others have ended", func() {
			for _, in := range c.Instances {
				So(in.Stop(), ShouldBeNil)
			}
			c.Instances = nil
			in := c.Start("e4", "z1", true, "")
			c.waitServers(in, "app", 1)
			c.Eventually("it knows the limit", func() bool { return limited(in, "i-1") })
		})
		Convey("its beginning is logged, counted and in the dump", func() {
			in := c.Instances[0]
			So(in.Log.String(), ShouldContainSubstring, "rate limit of a server begins")
			body, err := json.Marshal(in.Kernel.Dump().Modules["serverrates"])
			So(err, ShouldBeNil)
			So(string(body), ShouldContainSubstring, `"server":"i-1"`)
			c.Eventually("the gauge has it", func() bool { return in.Kernel.Host.Gauge("server_rate_limits").Value() == 1 })
		})
	})
}

// TestServerRateLimitExcess guards against requests that are refused, or sent beyond a
// server's limit, although another server has room.
func TestServerRateLimitExcess(t *testing.T) {
	Convey("With three instances, a server that states a limit and one that does not, all requests are served", t, func() {
		c := New(t)
		server := c.startInstances("app", "i-1", "i-2")[0]
		server.StateRateLimit("1")
		began := time.Now()
		for _, r := range load(c.Instances, "/once/x", 60, learnTime+limitWindow) {
			So(r.status, ShouldEqual, http.StatusOK)
		}
		So(mostInWindow(server.Arrivals(), began.Add(learnTime)), ShouldBeLessThanOrEqualTo, allowedInWindow(1))
	})
}

// TestServerRateLimitRestarts guards against a restart or the end of instances that
// brings a server more than its limit, or leaves the limit unused.
func TestServerRateLimitRestarts(t *testing.T) {
	Convey("With four instances and a server that states a limit, while instances stop and start", t, func() {
		c := New(t)
		c.Store.PutConfig(config(1))
		server := c.startBackend("i-1", "app")
		ids := []string{"e1", "e2", "e3", "e4"}
		for _, id := range ids {
			c.waitServers(c.Start(id, "z1", true, ""), "app", 1)
		}
		c.WaitMembers(4)
		const rate, duration = 8, learnTime + 3*limitWindow
		server.StateRateLimit("8")
		began := time.Now()
		var running sync.WaitGroup
		running.Go(func() { load(c.Instances[3:], "/once/x", 60, duration) })
		for i := range 3 {
			time.Sleep(learnTime)
			if err := c.Instances[i].Stop(); err != nil {
				t.Error(err)
			}
			c.Instances[i] = nil
			in := c.Start(ids[i], "z1", true, "")
			c.Instances[i], c.Instances = in, c.Instances[:4]
		}
		running.Wait()
		arrivals := server.Arrivals()
		So(mostInWindow(arrivals, began.Add(learnTime)), ShouldBeLessThanOrEqualTo, allowedInWindow(rate))
		So(float64(countAfter(arrivals, began.Add(learnTime))), ShouldBeGreaterThan, 0.3*rate*(duration-learnTime).Seconds())
	})
}

// TestStageServerRateLimit guards against a stage server that gets more calls than the
// rate that it states.
func TestStageServerRateLimit(t *testing.T) {
	Convey("With three instances and one stage server that states a limit", t, func() {
		c := New(t)
		c.Store.PutConfig(config(1))
		engine := c.startBackend("i-0", "llm")
		engine.Do = func(w http.ResponseWriter, _ *http.Request, _ platformtest.ReceivedRequest) {
			platformtest.Stream(w, 1, 1)
		}
		stage := c.startStageServer("first-1", "first")
		for _, id := range []string{"e1", "e2", "e3"} {
			c.waitServers(c.Start(id, "z1", true, ""), "first", 1)
		}
		c.WaitMembers(3)
		const rate, duration = 2, learnTime + 2*limitWindow
		stage.StateRateLimit("2")
		began := time.Now()
		served := 0
		for _, r := range load(c.Instances, "/restage/x", 10, duration) {
			if r.status == http.StatusOK {
				served++
			}
		}
		arrivals := stage.Arrivals()
		So(mostInWindow(arrivals, began.Add(learnTime)), ShouldBeLessThanOrEqualTo, allowedInWindow(rate))
		So(float64(countAfter(arrivals, began.Add(learnTime))), ShouldBeGreaterThan, 0.6*rate*(duration-learnTime).Seconds())
		So(served, ShouldBeGreaterThan, 0)
	})
}

// TestColdServerRate guards against a cold server that gets more requests from all
// instances together than it can take.
func TestColdServerRate(t *testing.T) {
	Convey("With three instances and one cold server, it gets and uses its rate", t, func() {
		c := New(t)
		cfg := config(1)
		const rate, coldTime = 10, 8 * time.Second
		cfg.Services[0].ColdPerSecond = rate
		c.Store.PutConfig(cfg)
		for _, id := range []string{"e1", "e2", "e3"} {
			c.Start(id, "z1", true, "")
		}
		c.WaitMembers(3)
		server := platformtest.NewBackend("i-1")
		t.Cleanup(server.Close)
		c.Store.PutServer(platformtest.Entry{ID: "i-1", Service: "app", Address: server.Address(), Zone: "z1", Version: "v1", Slots: 8, Born: 1, Sequence: 1, ColdMS: int(coldTime.Milliseconds())})
		for _, in := range c.Instances {
			c.waitServers(in, "app", 1)
		}
		load(c.Instances, "/once/x", 60, coldTime-2*time.Second)
		arrivals := server.Arrivals()
		for i, first := range arrivals {
			n := 0
			for _, at := range arrivals[i:] {
				if at.Sub(first) < time.Second {
					n++
				}
			}
			So(n, ShouldBeLessThanOrEqualTo, int(1.5*rate)+5)
		}
		So(float64(len(arrivals)), ShouldBeGreaterThan, 0.5*rate*(coldTime-2*time.Second).Seconds())
	})
}
