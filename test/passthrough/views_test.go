package passthrough

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/savoryfold/savoryfold/internal/periodic"
	"github.com/savoryfold/savoryfold/platform"
	"github.com/savoryfold/savoryfold/platform/platformtest"
)

func TestCatalogUpdates(t *testing.T) {
	Convey("With an instance", t, func() {
		c := New(t)
		Convey("that starts without a configuration, it is not ready and refuses requests with 503", func() {
			in := c.Start("e1", "z1", false, "")
			So(platformtest.Ready(in.Readiness), ShouldBeFalse)
			So(send(in, "GET", "/again/x", "r").status, ShouldEqual, 503)
			c.Store.PutConfig(config(1))
			c.Eventually("the instance is ready", func() bool { return platformtest.Ready(in.Readiness) })
		})
		Convey("that has an active configuration", func() {
			c.Store.PutConfig(config(5))
			b0, b1 := c.startBackend("i-0", "app"), c.startBackend("i-1", "app")
			in := c.Start("e1", "z1", true, "")
			c.waitServers(in, "app", 2)
			version := func() int64 { return in.Kernel.Host.Catalogs.Catalog().Config.Version }
			Convey("an older or malformed configuration is ignored", func() {
				c.Store.PutConfig(config(4))
				c.Store.Put(platform.OperatorTopic, "config", []byte("{"))
				c.Store.PutConfig(config(9))
				c.Eventually("the newer one is active", func() bool { return version() == 9 })
				c.Store.PutConfig(config(6))
				c.Store.PutServer(platformtest.Entry{ID: "i-9", Service: "app", Address: "127.0.0.1:9", Zone: "z1", Slots: 1})
				c.waitServers(in, "app", 3)
				So(version(), ShouldEqual, 9)
			})
			Convey("a record that the store does not announce is read when another instance reports its position", func() {
				c.Store.SuppressWakeups.Store(true)
				c.Store.PutConfig(config(9))
				began := time.Now()
				at := in.Kernel.Host.Catalogs.Position()
				at.Operators++
				in.Kernel.Host.Catalogs.ObservePosition(at)
				c.Eventually("the newer one is active", func() bool { return version() == 9 })
				So(time.Since(began), ShouldBeLessThan, 500*time.Millisecond)
			})
			Convey("after the store dropped its history, the records are listed again", func() {
				c.Store.Trim(platform.OperatorTopic)
				c.Store.PutConfig(config(9))
				c.Eventually("the newer one is active", func() bool { return version() == 9 })
			})
			Convey("a draining server gets no further requests", func() {
				c.Store.PutServer(platformtest.Entry{ID: "i-0", Service: "app", Address: b0.Address(), Zone: "z1", Slots: 8, Born: 1, Sequence: 2, Draining: true})
				c.Eventually("the server is known as draining", func() bool { return in.Kernel.Host.Catalogs.Catalog().Server("i-0").Draining })
				before := len(b0.Requests())
				for i := range 10 {
					So(send(in, "GET", "/again/x", fmt.Sprint("r", i)).status, ShouldEqual, 200)
				}
				So(len(b0.Requests()), ShouldEqual, before)
				So(len(b1.Requests()), ShouldBeGreaterThanOrEqualTo, 10)
			})
			Convey("a zone that is out gets no requests, and gets requests again when it is in", func() {
				c.Store.PutZoneOut("z1", true)
				c.Eventually("the zone is known as out", func() bool { return in.Kernel.Host.Catalogs.Catalog().ExcludedZones["z1"] })
				So(send(in, "GET", "/again/x", "r").status, ShouldEqual, 503)
				c.Store.PutZoneOut("z1", false)
				c.Eventually("the zone is known as in", func() bool { return !in.Kernel.Host.Catalogs.Catalog().ExcludedZones["z1"] })
				So(send(in, "GET", "/again/x", "r2").status, ShouldEqual, 200)
			})
			Convey("a server entry whose address now belongs to another server runs no requests", func() {
				c.Store.PutServer(platformtest.Entry{ID: "i-0", Service: "app", Address: b1.Address(), Zone: "z1", Slots: 8, Born: 1, Sequence: 2})
				c.Eventually("the new address is known", func() bool {
					return in.Kernel.Host.Catalogs.Catalog().Server("i-0").Address == b1.Address()
				})
				for i := range 10 {
					So(send(in, "POST", "/once/x", fmt.Sprint("r", i)).status, ShouldEqual, 200)
				}
				So(len(b1.Requests()), ShouldEqual, 10)
			})
			Convey("while the store is unavailable, it serves from its last catalog", func() {
				c.Store.Down.Store(true)
				for i := range 5 {
					So(send(in, "GET", "/again/x", fmt.Sprint("r", i)).status, ShouldEqual, 200)
				}
				So(platformtest.Ready(in.Readiness), ShouldBeTrue)
			})
		})
	})
}

// bigConfig returns a configuration whose record is larger than a slow link
// transfers within a second.
func bigConfig(version int64) platformtest.Config {
	c := config(version)
	for i := range 2000 {
		name := fmt.Sprintf("added-%d", i)
		c.Routes = append(c.Routes, platformtest.Route{Name: name, Host: host, Prefix: "/" + name + "/", Kind: "idempotent", Service: "app", TimeoutMS: 3000, GoalMS: 500, Attempts: 2})
	}
	return c
}

// slowLink limits the store's responses so that the record of the newest
// configuration takes the given time to transfer.
func (c *Cluster) slowLink(transfer time.Duration) {
	value, _ := c.Store.Newest(platform.OperatorTopic, "config")
	c.Store.Bandwidth.Store(int64(float64(len(value)) / transfer.Seconds()))
}

// TestPositionReportsDuringTransfer guards against an instance that keeps an old
// configuration because each report of a newer position starts the read over.
func TestPositionReportsDuringTransfer(t *testing.T) {
	Convey("A configuration that takes 1 s to transfer is active within 2 s, though other instances report newer positions all the time", t, func() {
		c := New(t)
		c.Store.PutConfig(config(1))
		in := c.Start("e1", "z1", true, "")
		catalogs := in.Kernel.Host.Catalogs
		c.Store.PutConfig(bigConfig(2))
		c.slowLink(time.Second)
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		go periodic.Run(ctx, 20*time.Millisecond, func(time.Time) {
			p := catalogs.Position()
			p.Operators++
			p.Servers++
			catalogs.ObservePosition(p)
		})
		began := time.Now()
		c.Eventually("the new configuration is active", func() bool { return catalogs.Catalog().Config.Version == 2 })
		So(time.Since(began), ShouldBeLessThan, 2*time.Second)
	})
}

// TestSlowTransferOfConfiguration guards against reads that reach their time limit
// while the response is arriving, and start over.
func TestSlowTransferOfConfiguration(t *testing.T) {
	const transfer, limit = 3 * time.Second, 4 * time.Second
	Convey("A configuration that takes 3 s to transfer is read at the first try", t, func() {
		c := New(t)
		c.Store.PutConfig(config(1))
		in := c.Start("e1", "z1", true, "")
		c.Store.PutConfig(bigConfig(2))
		c.slowLink(transfer)
		began := time.Now()
		c.Eventually("the new configuration is active", func() bool { return in.Kernel.Host.Catalogs.Catalog().Config.Version == 2 })
		So(time.Since(began), ShouldBeLessThan, limit)
	})
	Convey("So is its listing, by an instance that starts", t, func() {
		c := New(t)
		c.Store.PutConfig(bigConfig(2))
		c.slowLink(transfer * 3 / 4) // listings are a third larger: their values are in base64
		began := time.Now()
		in := c.Start("e1", "z1", false, "")
		c.Eventually("the configuration is active", func() bool { return in.Kernel.Host.Catalogs.Catalog() != nil })
		So(time.Since(began), ShouldBeLessThan, limit)
	})
}

func TestGracefulStopRespondsToAll(t *testing.T) {
	Convey("A request that does not finish within the grace period of a stop gets status 502 and no broken connection", t, func() {
		c := New(t)
		c.Store.PutConfig(config(1))
		server := c.startBackend("i-0", "app")
		server.Do = func(_ http.ResponseWriter, r *http.Request, _ platformtest.ReceivedRequest) { <-r.Context().Done() }
		in := c.Start("e1", "z1", true, "")
		c.waitServers(in, "app", 1)
		result := make(chan response, 1)
		go func() {
			result <- sendRequest(platformtest.Request{Address: in.Address, Method: "POST", Host: host, Path: "/long/x", ID: "r1", APIKey: "key-1", Timeout: 30 * time.Second, Body: "b"})
		}()
		c.Eventually("the server runs the request", func() bool { return len(server.Requests()) == 1 })
		So(in.Stop(), ShouldBeNil)
		a := <-result
		So(a.err, ShouldBeNil)
		So(a.status, ShouldEqual, 502)
	})
}

func TestGracefulStop(t *testing.T) {
	Convey("A graceful stop aborts no request, and asks callers to close their connections", t, func() {
		c := New(t)
		c.Store.PutConfig(config(1))
		b := c.startBackend("i-0", "app")
		b.Do = func(w http.ResponseWriter, _ *http.Request, _ platformtest.ReceivedRequest) {
			time.Sleep(400 * time.Millisecond)
			platformtest.Respond(w, 200, "ok")
		}
		in := c.Start("e1", "z1", true, "")
		c.waitServers(in, "app", 1)
		var wg sync.WaitGroup
		results := make(chan response, 20)
		for i := range 10 {
			wg.Go(func() { results <- send(in, "POST", "/once/x", fmt.Sprint("r", i)) })
		}
		c.Eventually("all requests run", func() bool { return len(b.Requests()) == 10 })
		stopped := make(chan error, 1)
		go func() { stopped <- in.Stop() }()
		c.Eventually("the instance is not ready", func() bool { return !platformtest.Ready(in.Readiness) })
		a := send(in, "POST", "/once/x", "late")
		So(a.status, ShouldEqual, 200)
		So(a.closed, ShouldBeTrue)
		wg.Wait()
		So(<-stopped, ShouldBeNil)
		close(results)
		for r := range results {
			So(r.status, ShouldEqual, 200)
		}
	})
}

// TestUnreadableRecord guards against a record of another writer that cannot be decoded and
// that keeps later ones from being read.
func TestUnreadableRecord(t *testing.T) {
	Convey("A record without a key is skipped with a line and a count, and the next one is read", t, func() {
		c := New(t)
		c.Store.PutConfig(config(1))
		in := c.Start("e1", "z1", true, "")
		c.Store.Put(platform.ServersTopic, "", []byte("x"))
		c.startBackend("i-0", "app")
		c.waitServers(in, "app", 1)
		So(in.Kernel.Host.Counter(`store_records_skipped{topic="`+platform.ServersTopic+`"}`).Count(), ShouldBeGreaterThan, 0)
		So(in.Log.String(), ShouldContainSubstring, "record without a key that can be read, skipped")
	})
}
