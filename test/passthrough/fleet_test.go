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
		c.startBackend("i-0", "app")
		for _, id := range []string{"e1", "e2", "e3", "e4"} {
			c.waitServers(c.Start(id, "z1", true, ""), "app", 1)
		}
		c.WaitMembers(4)
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
		Convey("one reads the store for all, and all apply a change within 1 s", func() {
			c.Eventually("only one instance reads the store", func() bool {
				before := c.Store.Reads.Load()
				time.Sleep(2 * time.Second)
				return c.Store.Reads.Load()-before < 10
			})
			began := time.Now()
			c.Store.PutConfig(config(2))
			c.Eventually("all have the version", version(2))
			So(time.Since(began), ShouldBeLessThan, time.Second)
		})
		Convey("when any of them stops, the others still apply a change within 2 s", func() {
			for i, in := range c.Instances[:3] {
				So(in.Stop(), ShouldBeNil)
				began := time.Now()
				c.Store.PutConfig(config(int64(10 + i)))
				c.Eventually("all have the version", version(int64(10+i)))
				So(time.Since(began), ShouldBeLessThan, 2*time.Second)
			}
		})
		Convey("after a store outage they apply a change within 4 s, and one reads for all again", func() {
			c.Store.Unresponsive.Store(true)
			time.Sleep(2 * time.Second)
			c.Store.Unresponsive.Store(false)
			began := time.Now()
			c.Store.PutConfig(config(20))
			c.Eventually("all have the version", version(20))
			So(time.Since(began), ShouldBeLessThan, 4*time.Second)
			time.Sleep(2 * time.Second)
			before := c.Store.Reads.Load()
			time.Sleep(time.Second)
			So(c.Store.Reads.Load()-before, ShouldBeLessThan, 6) // only one instance reads
		})
	})
}

// TestNewInstancesAreDiscovered guards against new instances that the others do not
// discover. With more instances than a topic has partitions, some instances have no
// partition. Others start after some have stopped. The store divides each topic
// evenly, so an instance that holds one partition keeps it.
func TestNewInstancesAreDiscovered(t *testing.T) {
	Convey("With more instances than partitions, all instances still discover new ones", t, func() {
		c := New(t)
		c.Store.PutConfig(config(1))
		for i := range 15 {
			c.Start(fmt.Sprintf("e%d", i), "z1", false, "")
		}
		c.WaitMembers(15)
		for i := range 3 {
			So(c.Instances[i].Stop(), ShouldBeNil)
		}
		c.Instances = c.Instances[3:]
		c.WaitMembers(12)
		for i := range 3 {
			c.Start(fmt.Sprintf("f%d", i), "z1", false, "")
		}
		c.WaitMembers(15)
	})
}

// TestMoreInstancesThanPartitions guards against a fleet whose size is bounded by the number
// of topics in the settings: the instances beyond it were unknown to all.
func TestMoreInstancesThanPartitions(t *testing.T) {
	Convey("With more instances than all topics of the settings have partitions, all are discovered", t, func() {
		c := New(t)
		c.Store.PutConfig(config(1))
		for i := range 28 {
			c.Start(fmt.Sprintf("e%d", i), "z1", false, "")
		}
		c.WaitMembers(28)
	})
}

// TestZoneOutWithoutConcurrentCalls guards against a stage server that gets two
// concurrent calls. A zone with its own stage servers is taken out, so that its
// instances have no stage servers while the other zones continue.
func TestZoneOutWithoutConcurrentCalls(t *testing.T) {
	Convey("When a zone is out, its instances use the queue of another zone, and no server gets two concurrent calls", t, func() {
		c := New(t)
		c.Store.PutConfig(config(1))
		engine := c.startBackend("i-0", "llm")
		engine.Do = func(w http.ResponseWriter, _ *http.Request, _ platformtest.ReceivedRequest) {
			platformtest.Stream(w, 1, 1)
		}
		c.startStageServer("second-1", "second")
		var firsts []*platformtest.StageServer
		for i := range 9 {
			s := platformtest.NewStageServer(fmt.Sprint("first-", i), 50*time.Millisecond)
			c.t.Cleanup(s.Close)
			c.Store.PutServer(platformtest.Entry{ID: s.ID, Service: "first", Address: s.Address(), Zone: []string{"z1", "z2", "z3"}[i%3], Version: "v1", Slots: 1, Born: 1, Sequence: 1})
			firsts = append(firsts, s)
		}
		c.Store.PutZoneOut("z3", true)
		instances := []*Instance{c.Start("e1", "z1", true, ""), c.Start("e2", "z2", true, ""), c.Start("e3", "z3", true, "")}
		c.WaitMembers(3)
		for _, in := range instances {
			c.waitServers(in, "first", 9)
			c.waitServers(in, "second", 1)
			c.Eventually("the zone is out", func() bool { return in.Kernel.Host.Catalogs.Catalog().ExcludedZones["z3"] })
		}
		var wg sync.WaitGroup
		for i := range 120 {
			wg.Go(func() {
				sendRequest(platformtest.Request{Address: instances[i%3].Address, Method: "POST", Host: host, Path: "/staged/x", ID: fmt.Sprint("r", i), APIKey: "key-1", Timeout: 4 * time.Second, Pieces: "1,1", Body: "b"})
			})
			time.Sleep(5 * time.Millisecond)
		}
		wg.Wait()
		calls := 0
		for i, s := range firsts {
			So(s.MaxConcurrent(), ShouldBeLessThanOrEqualTo, 1)
			if i%3 == 2 {
				So(s.Calls(), ShouldBeEmpty)
			}
			calls += len(s.Calls())
		}
		So(calls, ShouldBeGreaterThan, 3)
	})
}

// TestReadersDuringOutage guards against a zone whose instances all call the store when it
// goes away and when it is back, because their reader does not reach it either.
func TestReadersDuringOutage(t *testing.T) {
	for _, statesEra := range []bool{true, false} {
		testReadersDuringOutage(t, statesEra)
	}
}

func testReadersDuringOutage(t *testing.T, statesEra bool) {
	Convey(fmt.Sprint("With twelve instances in a zone, of a store that states its era: ", statesEra), t, func() {
		const (
			instances = 12
			topics    = 3
			outage    = 3 * time.Second
			after     = 2500 * time.Millisecond
			// readWait is how long the store may hold a read without records.
			readWait = 700 * time.Millisecond
			readers  = 2
		)
		c := New(t)
		c.Store.StatesNoEra.Store(!statesEra)
		c.Store.PutConfig(config(1))
		for i := range instances {
			c.Start(fmt.Sprint("e", i), "z1", true, "")
		}
		c.WaitMembers(instances)
		c.Eventually("only one instance reads the store", func() bool {
			before := c.Store.Reads.Load()
			time.Sleep(2 * time.Second)
			return c.Store.Reads.Load()-before < 10
		})
		Convey("after an outage no more than the candidates read it", func() {
			before := c.Store.Attempts.Load()
			c.Store.Unresponsive.Store(true)
			time.Sleep(outage)
			So(c.Store.Attempts.Load()-before, ShouldBeLessThanOrEqualTo, readers*topics*int64(outage/readWait+2))
			before = c.Store.Reads.Load()
			c.Store.Unresponsive.Store(false)
			time.Sleep(after)
			reads := c.Store.Reads.Load() - before
			for _, in := range c.Instances {
				t.Logf("%s: %s", in.ID, in.storeCalls())
			}
			So(reads, ShouldBeGreaterThan, 0)
			So(reads, ShouldBeLessThanOrEqualTo, readers*topics*int64(after/readWait+2))
		})
	})
}
