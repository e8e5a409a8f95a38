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

func TestZoneReader(t *testing.T) {
	Convey("With four instances in a zone", t, func() {
		c := New(t)
		c.Store.PutConfig(config(1))
		c.backend("i-0", "app")
		for _, id := range []string{"e1", "e2", "e3", "e4"} {
			c.knows(c.Start(id, "z1", true, ""), "app", 1)
		}
		c.Members(4)
		version := func(v int64) func() bool {
			return func() bool {
				for _, in := range c.Instances {
					if in.Kernel.State().String() == "ready" && in.Kernel.Host.Catalogs.Catalog().Config.Version != v {
						return false
					}
				}
				return true
			}
		}
		Convey("one reads the store for all, and all learn of a change at once", func() {
			c.Eventually("the reads of all are those of one", func() bool {
				before := c.Store.Reads.Load()
				time.Sleep(2 * time.Second)
				return c.Store.Reads.Load()-before < 10
			})
			began := time.Now()
			c.Store.PutConfig(config(2))
			c.Eventually("all have the version", version(2))
			So(time.Since(began), ShouldBeLessThan, time.Second)
		})
		Convey("when any of them stops, the others still learn of a change in time", func() {
			for i, in := range c.Instances[:3] {
				So(in.Stop(), ShouldBeNil)
				began := time.Now()
				c.Store.PutConfig(config(int64(10 + i)))
				c.Eventually("all have the version", version(int64(10+i)))
				So(time.Since(began), ShouldBeLessThan, 2*time.Second)
			}
		})
		Convey("when the store was away, they learn of a change after its return", func() {
			c.Store.Silent.Store(true)
			time.Sleep(2 * time.Second)
			c.Store.Silent.Store(false)
			began := time.Now()
			c.Store.PutConfig(config(20))
			c.Eventually("all have the version", version(20))
			So(time.Since(began), ShouldBeLessThan, 4*time.Second)
			time.Sleep(2 * time.Second)
			before := c.Store.Reads.Load()
			time.Sleep(time.Second)
			So(c.Store.Reads.Load()-before, ShouldBeLessThan, 6) // those of one, again
		})
	})
}

// Pattern: more instances than a topic has partitions, of which some stop and
// others start. The store divides each topic evenly, so that those which hold one
// partition of it keep it.
func TestNewInstancesAreKnown(t *testing.T) {
	Convey("Instances that start among more than a topic's partitions are known to all", t, func() {
		c := New(t)
		c.Store.PutConfig(config(1))
		for i := range 15 {
			c.Start(fmt.Sprintf("e%d", i), "z1", false, "")
		}
		c.Members(15)
		for i := range 3 {
			So(c.Instances[i].Stop(), ShouldBeNil)
		}
		c.Instances = c.Instances[3:]
		c.Members(12)
		for i := range 3 {
			c.Start(fmt.Sprintf("f%d", i), "z1", false, "")
		}
		c.Members(15)
	})
}

// Pattern: a zone with stage servers of its own is taken out, so that its
// instances have none, while those of the other zones go on.
func TestZoneOutKeepsGroupsApart(t *testing.T) {
	Convey("When a zone is out, its instances join the queue of another zone, and no server gets two calls at once", t, func() {
		c := New(t)
		c.Store.PutConfig(config(1))
		engine := c.backend("i-0", "llm")
		engine.Do = func(w http.ResponseWriter, _ *http.Request, _ platformtest.Seen) { platformtest.Stream(w, 1, 1) }
		c.stageServer("second-1", "second")
		var firsts []*platformtest.StageServer
		for i := range 9 {
			s := platformtest.NewStageServer(fmt.Sprint("first-", i), 50*time.Millisecond)
			c.t.Cleanup(s.Close)
			c.Store.PutServer(platformtest.Entry{ID: s.ID, Service: "first", Address: s.Address(), Zone: []string{"z1", "z2", "z3"}[i%3], Version: "v1", Slots: 1, Born: 1, Sequence: 1})
			firsts = append(firsts, s)
		}
		c.Store.PutZoneOut("z3", true)
		instances := []*Instance{c.Start("e1", "z1", true, ""), c.Start("e2", "z2", true, ""), c.Start("e3", "z3", true, "")}
		c.Members(3)
		for _, in := range instances {
			c.knows(in, "first", 9)
			c.knows(in, "second", 1)
			c.Eventually("the zone is out", func() bool { return in.Kernel.Host.Catalogs.Catalog().ZonesOut["z3"] })
		}
		var wg sync.WaitGroup
		for i := range 120 {
			wg.Go(func() {
				askWith(platformtest.Request{Address: instances[i%3].Address, Method: "POST", Host: host, Path: "/staged/x", ID: fmt.Sprint("r", i), Key: "key-1", Wait: 4 * time.Second, Pieces: "1,1", Body: "b"})
			})
			time.Sleep(5 * time.Millisecond)
		}
		wg.Wait()
		calls := 0
		for i, s := range firsts {
			So(s.MostAtOnce(), ShouldBeLessThanOrEqualTo, 1)
			if i%3 == 2 {
				So(s.Calls(), ShouldBeEmpty)
			}
			calls += len(s.Calls())
		}
		So(calls, ShouldBeGreaterThan, 3)
	})
}
