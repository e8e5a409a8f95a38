package passthrough

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/savoryfold/savoryfold/platform/platformtest"
)

// TestRepeatedStageResponse guards against requests that get the stage results of
// another request, because a stage server sent the response to an earlier call again on
// a connection that was in use for the next one.
func TestRepeatedStageResponse(t *testing.T) {
	Convey("When a stage server repeats earlier responses, every request gets its own results", t, func() {
		c := New(t)
		c.Store.PutConfig(config(1))
		engine := c.startBackend("i-0", "llm")
		engine.Do = func(w http.ResponseWriter, _ *http.Request, _ platformtest.ReceivedRequest) {
			platformtest.Stream(w, 1, 1)
		}
		stage := c.startStageServer("first-1", "first")
		in := c.Start("e1", "z1", true, "")
		c.waitServers(in, "first", 1)
		served := 0
		for i := range 8 {
			stage.Repeating.Store(i%4 == 2)
			id := fmt.Sprint("r", i)
			r := sendRequest(platformtest.Request{Address: in.Address, Method: "POST", Host: host, Path: "/restage/x", ID: id, APIKey: "key-1", Timeout: 4 * time.Second, Pieces: "1", Body: "b"})
			if r.status == http.StatusOK {
				served++
			}
		}
		So(served, ShouldEqual, 8)
		for _, r := range engine.Requests() {
			So(r.Inputs, ShouldEqual, stage.Address()+"/"+r.ID+"-0-0")
		}
	})
}
