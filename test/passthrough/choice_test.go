package passthrough

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/platform/platformtest"
)

// TestExplainChoice guards against explanations that differ from what the instance then
// does, and against those that change it.
func TestExplainChoice(t *testing.T) {
	for _, balance := range []string{"counts", "even"} {
		c := New(t)
		c.Store.PutConfig(config(1))
		backends := make(map[string]*platformtest.Backend)
		for i := range 4 {
			id := fmt.Sprint("i-", i)
			b := c.startBackend(id, "llm")
			b.Do = func(w http.ResponseWriter, _ *http.Request, _ platformtest.ReceivedRequest) {
				w.Header().Set("Server-Load", fmt.Sprintf("1,0,8,%d", 100+100*(i%2)))
				platformtest.Stream(w, 1, 3)
			}
			backends[id] = b
		}
		in := c.Start("e1", "z1", true, "balance = "+balance+"\n")
		c.waitServers(in, "llm", 4)
		prompt := func(n int) string { return fmt.Sprintf("a1:100,b%d:500,c%d:10", n, n) }
		sent := 0
		received := func(n int) string {
			sent++
			before := make(map[string]int)
			for id, b := range backends {
				before[id] = len(b.Requests())
			}
			r := sendRequest(platformtest.Request{Address: in.Address, Method: "POST", Host: host, Path: "/stream/x", ID: fmt.Sprint("r", sent), APIKey: "key-1", Timeout: 4 * time.Second, Prompt: prompt(n), Body: "b"})
			So(r.status, ShouldEqual, http.StatusOK)
			for id, b := range backends {
				if len(b.Requests()) > before[id] {
					return id
				}
			}
			return ""
		}
		explain := func(path string, n int) kernel.ChoiceExplanation {
			x, err := in.Kernel.Host.ChoiceExplainer.ExplainChoice(time.Now(), kernel.ChoiceQuery{
				Host: host, Path: path, Header: map[string]string{"Authorization": "Bearer key-1", "Model": "m", "Prompt-Prefix": prompt(n), "Deadline-Ms": "4000"},
			})
			So(err, ShouldBeNil)
			return x
		}
		counters := func() map[string]int64 {
			all := make(map[string]int64)
			in.Kernel.Host.Metrics.Each(func(name string, m any) {
				if counter, ok := m.(metrics.Counter); ok {
					all[name] = counter.Count()
				}
			})
			return all
		}
		Convey("With balance = "+balance+", the server that is named first gets the request", t, func() {
			for n := range 12 {
				received(n) // all servers have reported a load
			}
			for n := range 12 {
				x := explain("/stream/x", n)
				So(x.Refusals, ShouldBeEmpty)
				So(x.Account, ShouldEqual, "choir")
				So(x.Servers, ShouldHaveLength, 4)
				So(x.Servers[0].Share, ShouldAlmostEqual, 1, 1e-9)
				So(x.Servers[0].AgeMillis, ShouldBeGreaterThanOrEqualTo, 0)
				So(received(n), ShouldEqual, x.Servers[0].ID)
			}
		})
		Convey("With balance = "+balance+", an explanation changes no counter", t, func() {
			before := counters()
			for n := range 5 {
				explain("/stream/x", n)
			}
			after := counters()
			for name, value := range before {
				if name != "log_requests_skipped" && len(name) > 5 && name[:5] != "store" && name[:4] != "peer" {
					So(fmt.Sprint(name, after[name]), ShouldEqual, fmt.Sprint(name, value))
				}
			}
		})
		Convey("With balance = "+balance+", what excludes a server and what refuses a request is stated", t, func() {
			first := explain("/stream/x", 1).Servers[0].ID
			backends[first].Pause("5")
			received(1) // it is refused there and goes to another one
			x := explain("/stream/x", 1)
			for _, s := range x.Servers {
				So(s.Excluded != "", ShouldEqual, s.ID == first)
				if s.ID == first {
					So(s.Excluded, ShouldEqual, "it has asked for a pause")
					So(s.RetryInMillis, ShouldBeBetween, 3000, 5001)
				}
			}
			So(received(1), ShouldEqual, x.Servers[0].ID)
			So(explain("/none/", 1).Refusals, ShouldResemble, []string{"no such route"})
			So(explain("/again/", 1).Refusals, ShouldResemble, []string{"no server of the service can take the request"})
			So(explain("/staged/", 1).Stages, ShouldHaveLength, 2)
		})
	}
}
