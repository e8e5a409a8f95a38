package passthrough

import (
	"fmt"
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/savoryfold/savoryfold/platform/platformtest"
)

// startRollout starts two instances and an old and a new version of a service,
// and requests a rollout of the new version with the given duration_s.
func startRollout(t *testing.T, durationSeconds float64) (c *Cluster, old, newServer *platformtest.Backend) {
	c = New(t)
	c.Store.PutConfig(config(1))
	old = c.startBackend("i-old", "app")
	newServer = platformtest.NewBackend("i-new")
	t.Cleanup(newServer.Close)
	c.Store.PutServer(platformtest.Entry{ID: "i-new", Service: "app", Address: newServer.Address(), Zone: "z1", Version: "v2", Slots: 8, Born: 2, Sequence: 1})
	for _, id := range []string{"e1", "e2"} {
		c.waitServers(c.Start(id, "z1", true, ""), "app", 2)
	}
	c.WaitMembers(2)
	c.Store.PutMove("app", "v2", durationSeconds)
	c.Eventually("the rollout is recorded", func() bool { return c.Store.MoveState("app") == "in-progress" })
	return c, old, newServer
}

func TestRollouts(t *testing.T) {
	Convey("A good version gets all traffic, and its rollout is completed by its deadline", t, func() {
		c, old, newServer := startRollout(t, 2)
		for i := 0; c.Store.MoveState("app") == "in-progress"; i++ {
			So(send(c.Instances[i%2], "POST", "/once/x", fmt.Sprint("r", i)).status, ShouldEqual, 200)
		}
		So(c.Store.MoveState("app"), ShouldEqual, "completed")
		before := len(old.Requests())
		for i := range 10 {
			So(send(c.Instances[i%2], "POST", "/once/x", fmt.Sprint("after", i)).status, ShouldEqual, 200)
		}
		So(len(old.Requests()), ShouldEqual, before)
		So(len(newServer.Requests()), ShouldBeGreaterThanOrEqualTo, 10)
	})
	Convey("A bad version is rolled back and gets no further requests", t, func() {
		c, old, newServer := startRollout(t, 30)
		newServer.Do = func(w http.ResponseWriter, _ *http.Request, _ platformtest.ReceivedRequest) {
			platformtest.Respond(w, 500, "bad")
		}
		i := 0
		for ; c.Store.MoveState("app") == "in-progress" && i < 3000; i++ {
			send(c.Instances[i%2], "POST", "/once/x", fmt.Sprint("r", i))
		}
		So(c.Store.MoveState("app"), ShouldEqual, "rolled-back")
		So(float64(len(newServer.Requests())), ShouldBeLessThan, 0.1*float64(i)+50)
		c.Eventually("no instance sends requests to the bad version", func() bool {
			before := len(newServer.Requests())
			for k := range 20 {
				send(c.Instances[k%2], "POST", "/once/x", fmt.Sprint("s", i, k))
			}
			return len(newServer.Requests()) == before
		})
		So(len(old.Requests()), ShouldBeGreaterThan, 0)
	})
}
