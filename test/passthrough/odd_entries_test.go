package passthrough

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/savoryfold/savoryfold/platform"
	"github.com/savoryfold/savoryfold/platform/platformtest"
)

const invalidEntry = "invalid server entry"

// TestManyOddServerEntries guards against odd entries of another writer that end an
// instance, stop it following the list, or flood its log.
func TestManyOddServerEntries(t *testing.T) {
	const odd = 500
	Convey("With many odd entries among those of the servers", t, func() {
		c := New(t)
		c.Store.PutConfig(config(1))
		answer := func(w http.ResponseWriter, _ *http.Request, _ platformtest.ReceivedRequest) {
			platformtest.Respond(w, http.StatusOK, "ok")
		}
		c.startBackend("app-0", "app").Do = answer
		running := c.Start("e0", "z1", true, "")
		c.waitServers(running, "app", 1)
		for i := range odd {
			c.Store.Put(platform.ServersTopic, fmt.Sprint("odd-", i), []byte(platformtest.OddEntries[i%len(platformtest.OddEntries)]))
		}
		c.startBackend("app-1", "app").Do = answer
		starting := c.Start("e1", "z1", true, "")
		for _, in := range []*Instance{running, starting} {
			c.waitServers(in, "app", 2)
		}
		c.WaitMembers(2)
		Convey("running and starting instances serve every request", func() {
			served := c.everywhere(time.Second, 10*time.Millisecond, func(n int64) platformtest.Request {
				return platformtest.Request{Path: "/again/x", ID: fmt.Sprint("r", n), Body: "b"}
			})
			So(served.sent.Load(), ShouldBeGreaterThan, 0)
			So(served.servedShare(), ShouldEqual, 1)
		})
		Convey("each is logged once by an instance, in a short line", func() {
			for _, in := range c.Instances {
				lines := in.Log.lines(invalidEntry)
				So(strings.Count(lines, invalidEntry), ShouldEqual, odd)
				So(len(lines), ShouldBeLessThan, odd*1024)
			}
		})
	})
}

// TestOddEntryReplacesServer guards against an odd entry in the place of a good one that
// breaks off what the server runs, or keeps it away when the good one is back.
func TestOddEntryReplacesServer(t *testing.T) {
	Convey("With a server whose entry is replaced by odd ones and comes back, again and again", t, func() {
		c := New(t)
		c.Store.PutConfig(config(1))
		b := c.startBackend("app-0", "app")
		release := make(chan struct{})
		b.Do = func(w http.ResponseWriter, _ *http.Request, q platformtest.ReceivedRequest) {
			if strings.HasPrefix(q.ID, "long") {
				<-release
			}
			platformtest.Respond(w, http.StatusOK, "ok")
		}
		in := c.Start("e0", "z1", true, "")
		c.waitServers(in, "app", 1)
		invalid := func() int { return strings.Count(in.Log.lines(invalidEntry), invalidEntry) }
		for i, value := range platformtest.OddEntries {
			var long sync.WaitGroup
			var answer response
			before := len(b.Arrivals())
			long.Go(func() { answer = send(in, "POST", "/once/x", fmt.Sprint("long", i)) })
			c.Eventually("the server runs a request", func() bool { return len(b.Arrivals()) > before })
			logged := invalid()
			c.Store.Put(platform.ServersTopic, b.ID, []byte(value))
			c.Eventually("the odd entry is read", func() bool { return invalid() > logged })
			release <- struct{}{}
			long.Wait()
			So(answer.status, ShouldEqual, http.StatusOK)
			c.Store.PutServer(platformtest.Entry{ID: b.ID, Service: "app", Address: b.Address(), Zone: "z1", Version: "v1", Slots: 8, Born: 1, Sequence: int64(2 + i)})
			c.Eventually("the server gets requests", func() bool { return send(in, "POST", "/again/x", fmt.Sprint("r", i)).status == http.StatusOK })
		}
		So(invalid(), ShouldEqual, len(platformtest.OddEntries))
	})
}
