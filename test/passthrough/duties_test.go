package passthrough

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/savoryfold/savoryfold/platform/platformtest"
)

// TestUsageReports checks that the usage that instances report together is what servers have
// run, while the holder of the duties stops and another one takes over.
func TestUsageReports(t *testing.T) {
	c := New(t)
	c.Store.PutConfig(config(1))
	c.startBackend("i-1", "app")
	engine := c.startBackend("i-2", "llm")
	engine.Do = func(w http.ResponseWriter, _ *http.Request, _ platformtest.ReceivedRequest) {
		platformtest.Stream(w, 1, 3)
	}
	fake := platformtest.NewDuties()
	t.Cleanup(fake.Close)
	c.Duties = fake
	for _, id := range []string{"e1", "e2", "e3"} {
		c.Start(id, "z-"+id, true, "")
	}
	c.WaitMembers(3)
	holder := func() *Instance {
		for _, in := range c.Instances {
			if in.Kernel.Host.Duties.Holds(time.Now()) {
				return in
			}
		}
		return nil
	}
	reported := func() (n int64) {
		windows := make(map[int64]string)
		for _, call := range fake.Calls("/usage") {
			window, counts, err := call.UsageCounts()
			So(err, ShouldBeNil)
			if before, ok := windows[window]; ok {
				So(call.Body, ShouldEqual, before)
				continue
			}
			windows[window] = call.Body
			n += counts["choir"]
		}
		return n
	}
	Convey("The requests of an account that servers began to run are reported once", t, func() {
		// The windows before the first report are skipped.
		c.Eventually("an instance holds the duties", func() bool { return holder() != nil && len(fake.Calls("/usage")) > 0 })
		first := holder()
		requests := func(prefix string) {
			for i, in := range c.Instances {
				c.waitServers(in, "app", 1)
				c.waitServers(in, "llm", 1)
				for n, path := range []string{"/once/x", "/again/x", "/stream/x", "/open/x"} {
					So(send(in, "POST", path, fmt.Sprint(prefix, i, n)).status, ShouldEqual, http.StatusOK)
				}
			}
		}
		requests("a")
		c.Eventually("usage is reported", func() bool { return reported() == 9 })
		So(first.Kernel.Host.Duties.OrderServers(t.Context(), "llm", "z1", 2), ShouldBeNil)
		requests("b")
		So(first.Stop(), ShouldBeNil)
		c.Eventually("another instance holds the duties", func() bool { return holder() != nil && holder() != first })
		c.Eventually("usage of the instance that has stopped is reported, too", func() bool { return reported() == 18 })
		So(holder().Kernel.Host.Duties.OrderServers(t.Context(), "llm", "z1", 3), ShouldBeNil)
		orders := fake.Calls("/scaling")
		So(len(orders), ShouldEqual, 2)
		So(orders[1].Token, ShouldBeGreaterThan, orders[0].Token)
		So(orders[1].Holder, ShouldEqual, holder().ID)
	})
	Convey("A stream that breaks off before its first event is not counted", t, func() {
		engine.Do = func(http.ResponseWriter, *http.Request, platformtest.ReceivedRequest) { platformtest.AbortConnection() }
		before := reported()
		in := holder()
		So(send(in, "POST", "/stream/x", "broken").status, ShouldNotEqual, http.StatusOK)
		So(send(in, "POST", "/once/x", "counted").status, ShouldEqual, http.StatusOK)
		c.Eventually("usage is reported", func() bool { return reported() > before })
		So(reported(), ShouldEqual, before+1)
	})
}
