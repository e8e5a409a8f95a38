package passthrough

import (
	"fmt"
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/savoryfold/savoryfold/platform/platformtest"
)

// startMove starts two instances before an old and a new version of a service,
// and orders a move.
func startMove(t *testing.T, seconds float64) (c *Cluster, old, fresh *platformtest.Backend) {
	c = New(t)
	c.Store.PutConfig(config(1))
	old = c.backend("i-old", "app")
	fresh = platformtest.NewBackend("i-new")
	t.Cleanup(fresh.Close)
	c.Store.PutServer(platformtest.Entry{ID: "i-new", Service: "app", Address: fresh.Address(), Zone: "z1", Version: "v2", Slots: 8, Born: 2, Sequence: 1})
	for _, id := range []string{"e1", "e2"} {
		c.knows(c.Start(id, "z1", true, ""), "app", 2)
	}
	c.Members(2)
	c.Store.PutMove("app", "v2", seconds)
	c.Eventually("the move is recorded", func() bool { return c.Store.MoveState("app") == "in-progress" })
	return c, old, fresh
}

func TestMoves(t *testing.T) {
	Convey("A good version has all traffic and is told as completed by its deadline", t, func() {
		c, old, fresh := startMove(t, 2)
		for i := 0; c.Store.MoveState("app") == "in-progress"; i++ {
			So(ask(c.Instances[i%2], "POST", "/once/x", fmt.Sprint("r", i)).status, ShouldEqual, 200)
		}
		So(c.Store.MoveState("app"), ShouldEqual, "completed")
		before := len(old.Seen())
		for i := range 10 {
			So(ask(c.Instances[i%2], "POST", "/once/x", fmt.Sprint("after", i)).status, ShouldEqual, 200)
		}
		So(len(old.Seen()), ShouldEqual, before)
		So(len(fresh.Seen()), ShouldBeGreaterThanOrEqualTo, 10)
	})
	Convey("A bad version is rolled back and gets nothing more", t, func() {
		c, old, fresh := startMove(t, 30)
		fresh.Do = func(w http.ResponseWriter, _ *http.Request, _ platformtest.Seen) { platformtest.Answer(w, 500, "bad") }
		i := 0
		for ; c.Store.MoveState("app") == "in-progress" && i < 3000; i++ {
			ask(c.Instances[i%2], "POST", "/once/x", fmt.Sprint("r", i))
		}
		So(c.Store.MoveState("app"), ShouldEqual, "rolled-back")
		So(float64(len(fresh.Seen())), ShouldBeLessThan, 0.1*float64(i)+50)
		c.Eventually("all instances obey", func() bool {
			before := len(fresh.Seen())
			for k := range 20 {
				ask(c.Instances[k%2], "POST", "/once/x", fmt.Sprint("s", i, k))
			}
			return len(fresh.Seen()) == before
		})
		So(len(old.Seen()), ShouldBeGreaterThan, 0)
	})
}
