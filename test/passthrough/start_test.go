package passthrough

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestRequestsBeforeCatalog guards against requests that are refused by an instance that
// is about to know its configuration, after all instances have started at once.
func TestRequestsBeforeCatalog(t *testing.T) {
	Convey("With a store that answers each call after 100 ms", t, func() {
		c := New(t)
		c.Store.PutConfig(config(1))
		c.startBackend("i-1", "app")
		c.Store.Latency.Store(int64(100 * time.Millisecond))
		Convey("requests that reach an instance right after its start are served", func() {
			in := c.Start("e1", "z1", false, "")
			results := make(chan int, 20)
			for i := range 20 {
				go func() { results <- send(in, "POST", "/again/x", fmt.Sprint("r", i)).status }()
			}
			for range 20 {
				So(<-results, ShouldEqual, http.StatusOK)
			}
		})
		Convey("they are refused at once if the store is down", func() {
			c.Store.Down.Store(true)
			in := c.Start("e1", "z1", false, "")
			c.Eventually("the instance has tried to read the store", func() bool { return send(in, "POST", "/again/x", "first").status != 0 })
			began := time.Now()
			So(send(in, "POST", "/again/x", "second").status, ShouldEqual, http.StatusServiceUnavailable)
			So(time.Since(began), ShouldBeLessThan, 100*time.Millisecond)
			c.Store.Down.Store(false)
		})
	})
}
