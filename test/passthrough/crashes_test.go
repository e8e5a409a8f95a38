package passthrough

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/savoryfold/savoryfold/platform/platformtest"
)

const guiltyPart = "dead"

// engines starts engines that crash at the first token of a prompt with the guilty
// part, and start again at once. It returns the number of such prompts.
func (c *Cluster) engines(n int) (crashes *atomic.Int64) {
	crashes = new(atomic.Int64)
	for i := range n {
		id := fmt.Sprint("llm-", i)
		b := c.startBackend(id, "llm")
		var starts atomic.Int64
		starts.Store(1)
		b.Do = func(w http.ResponseWriter, _ *http.Request, s platformtest.ReceivedRequest) {
			if !strings.Contains(s.Prompt, guiltyPart+":") {
				time.Sleep(5 * time.Millisecond)
				platformtest.Stream(w, 1, 3)
				return
			}
			crashes.Add(1)
			platformtest.StartStream(w)
			c.Store.PutServer(platformtest.Entry{ID: id, Service: "llm", Address: b.Address(), Zone: "z1", Version: "v1", Slots: 8, Born: starts.Add(1), Sequence: 1})
			platformtest.AbortConnection()
		}
	}
	return crashes
}

// prompt returns the parts of a prompt: one of a few that many requests share, one
// of many, and one of its own.
func prompt(n int, guilty bool) string {
	second := fmt.Sprintf("b%x", n%40)
	if guilty {
		second = guiltyPart
	}
	return fmt.Sprintf("a%x:100,%s:50,c%x:10", n/10%2, second, n)
}

// TestCrashingPromptPart guards against one part of prompts that crashes engine
// after engine, and against a guard that refuses sound requests with it.
func TestCrashingPromptPart(t *testing.T) {
	Convey("With requests at all instances, some of which share a part that crashes engines", t, func() {
		c := New(t)
		c.Store.PutConfig(config(1))
		crashes := c.engines(8)
		for _, id := range []string{"e1", "e2", "e3"} {
			c.waitServers(c.Start(id, "z1", true, ""), "llm", 8)
		}
		c.WaitMembers(3)
		sent := 0
		sendPrompt := func(in *Instance, guilty bool) int {
			sent++
			return sendRequest(platformtest.Request{Address: in.Address, Method: "POST", Host: host, Path: "/stream/x", ID: fmt.Sprint("r", sent), APIKey: "key-1", Timeout: 4 * time.Second, Prompt: prompt(sent, guilty), Body: fmt.Sprint("b", sent)}).status
		}
		// traffic sends requests to all instances for a time, a tenth of them with the
		// guilty part, and returns the share of sound requests that were served.
		traffic := func(d time.Duration) float64 {
			sound, served := 0, 0
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
				in := c.Instances[sent%len(c.Instances)]
				if sent%10 == 0 {
					sendPrompt(in, true)
					continue
				}
				sound++
				if sendPrompt(in, false) == http.StatusOK {
					served++
				}
			}
			return float64(served) / float64(sound)
		}
		traffic(3 * time.Second)
		before := crashes.Load()
		So(before, ShouldBeGreaterThan, 0)
		So(before, ShouldBeLessThan, 12)
		Convey("no engine gets any of them after some crashes, and sound requests that share their other parts are served", func() {
			So(traffic(2*time.Second), ShouldBeGreaterThan, 0.95)
			So(crashes.Load(), ShouldEqual, before)
		})
		Convey("an instance that starts later refuses them from its first request on", func() {
			c.Store.Latency.Store(int64(100 * time.Millisecond))
			in := c.Start("e4", "z1", false, "")
			So(sendPrompt(in, true), ShouldEqual, http.StatusServiceUnavailable)
			So(crashes.Load(), ShouldEqual, before)
			c.Store.Latency.Store(0)
		})
		Convey("an instance that starts later refuses them, also after all others have ended", func() {
			for _, in := range c.Instances {
				So(in.Stop(), ShouldBeNil)
			}
			c.Instances = nil
			in := c.Start("e4", "z1", true, "")
			c.waitServers(in, "llm", 8)
			So(sendPrompt(in, false), ShouldEqual, http.StatusOK)
			So(sendPrompt(in, true), ShouldEqual, http.StatusServiceUnavailable)
			So(crashes.Load(), ShouldEqual, before)
		})
	})
}

// TestEndlessBody guards against a server that sends the body of a response without
// end, which must neither fill the memory nor hold the request until its deadline.
func TestEndlessBody(t *testing.T) {
	Convey("Requests to a server whose bodies do not end fail early, and the others are served", t, func() {
		c := New(t)
		c.Store.PutConfig(config(1))
		in := c.Start("e1", "z1", true, "memory = 64MiB\n")
		server := c.startBackend("i-1", "app")
		var sent atomic.Int64
		server.Do = func(w http.ResponseWriter, r *http.Request, s platformtest.ReceivedRequest) {
			if !strings.HasPrefix(s.ID, "endless") {
				platformtest.Respond(w, http.StatusOK, "ok")
				return
			}
			block := strings.Repeat("x", 64<<10)
			platformtest.Respond(w, http.StatusOK, block)
			for r.Context().Err() == nil {
				n, err := io.WriteString(w, block)
				sent.Add(int64(n))
				if err != nil {
					return
				}
			}
		}
		c.waitServers(in, "app", 1)
		began := time.Now()
		var requests sync.WaitGroup
		for i := range 8 {
			requests.Go(func() { send(in, "POST", "/long/x", fmt.Sprint("endless-", i)) })
		}
		requests.Wait()
		So(time.Since(began), ShouldBeLessThan, 3*time.Second)
		So(sent.Load(), ShouldBeLessThan, 64<<20)
		So(send(in, "POST", "/once/x", "sound").status, ShouldEqual, http.StatusOK)
	})
}

// TestStreamEndsInsideEvent guards against a stream that was broken off and looks
// complete to the caller.
func TestStreamEndsInsideEvent(t *testing.T) {
	Convey("With a server whose streams end with their connection", t, func() {
		c := New(t)
		c.Store.PutConfig(config(1))
		server := c.startBackend("llm-1", "llm")
		events := ""
		server.Do = func(w http.ResponseWriter, _ *http.Request, s platformtest.ReceivedRequest) {
			platformtest.StreamUntilClose(w, s.ID, events)
		}
		in := c.Start("e1", "z1", true, "")
		c.waitServers(in, "llm", 1)
		const whole = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
		for _, path := range []string{"/stream/x", "/resume/x"} {
			Convey("a stream that ends after an event is complete: "+path, func() {
				events = whole
				a := send(in, "POST", path, "r1")
				So(a.err, ShouldBeNil)
				So(a.body, ShouldEqual, whole)
			})
			Convey("one that ends inside an event is not: "+path, func() {
				for i, cut := range []string{whole[:len(whole)-1], whole[:len(whole)-2], whole[:20], whole[:3]} {
					events = cut
					a := send(in, "POST", path, fmt.Sprint("r", i))
					So(a.err != nil || a.status >= 500, ShouldBeTrue)
				}
			})
		}
	})
}
