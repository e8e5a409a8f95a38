package passthrough

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/savoryfold/savoryfold/platform/platformtest"
)

// TestStopTakesWhatItFinishes guards against requests that an instance takes and passes on
// during a planned stop, and cuts at the end of the grace period.
func TestStopTakesWhatItFinishes(t *testing.T) {
	for _, k := range []struct {
		path string
		took time.Duration
		// known is true if the instance has served such requests before.
		known bool
	}{
		{"/long/", 300 * time.Millisecond, true},
		{"/long/", 1200 * time.Millisecond, true},
		{"/longagain/", 1200 * time.Millisecond, true},
		{"/longstream/", 1200 * time.Millisecond, true},
		{"/long/", 2400 * time.Millisecond, true},
		{"/long/", 1200 * time.Millisecond, false},
		{"/longstream/", 1200 * time.Millisecond, false},
	} {
		Convey(fmt.Sprintf("A stop under load, %s takes %v, known: %v", k.path, k.took, k.known), t, func() {
			c := New(t)
			cfg := config(1)
			cfg.Routes = append(cfg.Routes,
				platformtest.Route{Name: "longagain", Host: host, Prefix: "/longagain/", Kind: "idempotent", Service: "app", TimeoutMS: 30000, GoalMS: 500, Attempts: 2},
				platformtest.Route{Name: "longstream", Host: host, Prefix: "/longstream/", Kind: "streaming", Service: "llm", TimeoutMS: 30000, GoalMS: 500, Attempts: 1, Prompted: true})
			c.Store.PutConfig(cfg)
			ran := make(map[string]bool)
			var mu sync.Mutex
			for _, service := range []string{"app", "llm"} {
				b := c.startBackend("i-"+service, service)
				b.Do = func(w http.ResponseWriter, _ *http.Request, q platformtest.ReceivedRequest) {
					mu.Lock()
					ran[q.ID] = true
					mu.Unlock()
					const events = 4
					if service == "llm" {
						platformtest.StreamSlowly(w, 1, events, k.took/events)
						return
					}
					time.Sleep(k.took)
					platformtest.Respond(w, http.StatusOK, "ok")
				}
			}
			c.Drain = 3 * time.Second
			in := c.Start("e1", "z1", true, "")
			c.waitServers(in, "app", 1)
			c.waitServers(in, "llm", 1)
			request := func(id string) response {
				return sendRequest(platformtest.Request{Address: in.Address, Method: "POST", Host: host, Path: k.path + "x", ID: id, APIKey: "key-1", Timeout: 20 * time.Second, Body: "b"})
			}
			var load sync.WaitGroup
			if k.known {
				for i := range 4 {
					load.Go(func() { request(fmt.Sprint("before-", i)) })
				}
				load.Wait()
			}
			results := make(map[string]response)
			stopped := make(chan struct{})
			began := time.Now()
			sent := func(id string) {
				r := request(id)
				mu.Lock()
				results[id] = r
				mu.Unlock()
			}
			load.Go(func() { sent("in-progress") })
			time.Sleep(50 * time.Millisecond)
			var stopErr error
			load.Go(func() {
				stopErr = in.Stop()
				close(stopped)
			})
			c.Instances = nil
			for n := 0; ; n++ {
				select {
				case <-stopped:
				case <-time.After(60 * time.Millisecond):
					load.Go(func() { sent(fmt.Sprint("late-", n)) })
					continue
				}
				break
			}
			load.Wait()
			So(stopErr, ShouldBeNil)
			So(time.Since(began), ShouldBeLessThan, 6*time.Second)
			whole, lateWhole := 0, 0
			for id, r := range results {
				switch {
				case r.err == nil && r.status == http.StatusOK:
					whole++
					if id != "in-progress" {
						lateWhole++
					}
				case r.err == nil && r.status == http.StatusServiceUnavailable:
					So(ran[id], ShouldBeFalse)
					So(r.closed, ShouldBeTrue)
					So(r.header.Get("Retry-After"), ShouldNotBeEmpty)
				default:
					So(fmt.Sprint(id, " ran ", ran[id], ": ", r.status, " ", r.err), ShouldEqual, fmt.Sprint(id, " ran false: ", r.status, " ", r.err))
				}
			}
			So(results["in-progress"].status, ShouldEqual, http.StatusOK)
			So(results["in-progress"].err, ShouldBeNil)
			if k.known && k.took < 2*time.Second {
				// Requests are taken for the drain time, and for less where they take longer.
				So(lateWhole, ShouldBeGreaterThan, 15)
			}
		})
	}
}

// TestStopsOfInterfaces guards against a stop of the interface for forwarded requests that
// also bounds the requests of the project's own interface, which stops by another time.
func TestStopsOfInterfaces(t *testing.T) {
	Convey("The stop of forwarded requests does not bound those of the own interface", t, func() {
		c := New(t)
		c.Store.PutConfig(config(1))
		in := c.Start("e1", "z1", true, "")
		c.Instances = nil
		So(in.Stop(), ShouldBeNil)
		So(in.Kernel.Host.StopBudget.Fits(time.Now(), "any", time.Now().Add(time.Hour)).Fits, ShouldBeTrue)
	})
}
