package passthrough

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/savoryfold/savoryfold/platform/platformtest"
)

const host = "app.example"

// config has a route of every kind.
func config(version int64) platformtest.Config {
	return platformtest.Config{
		Version: version,
		Keys:    map[string]string{"key-1": "choir"},
		Routes: []platformtest.Route{
			{Name: "once", Host: host, Prefix: "/once/", Kind: "non_idempotent", Service: "app", TimeoutMS: 3000, GoalMS: 500, Attempts: 1},
			{Name: "again", Host: host, Prefix: "/again/", Kind: "idempotent", Service: "app", TimeoutMS: 3000, GoalMS: 500, Attempts: 2},
			{Name: "open", Host: host, Prefix: "/open/", Kind: "idempotent", Service: "app", TimeoutMS: 3000, GoalMS: 500, Attempts: 2, Public: true},
			{Name: "short", Host: host, Prefix: "/short/", Kind: "non_idempotent", Service: "app", TimeoutMS: 300, GoalMS: 100, Attempts: 1},
			{Name: "long", Host: host, Prefix: "/long/", Kind: "non_idempotent", Service: "app", TimeoutMS: 30000, GoalMS: 500, Attempts: 1},
			{Name: "stream", Host: host, Prefix: "/stream/", Kind: "streaming", Service: "llm", TimeoutMS: 5000, GoalMS: 1000, Attempts: 1, Prompted: true},
			{Name: "resume", Host: host, Prefix: "/resume/", Kind: "streaming", Service: "llm", TimeoutMS: 5000, GoalMS: 1000, Attempts: 3, Prompted: true, Resumable: true},
			{Name: "staged", Host: host, Prefix: "/staged/", Kind: "streaming", Service: "llm", TimeoutMS: 5000, GoalMS: 2000, Attempts: 1, Prompted: true,
				Stages: []platformtest.Stage{{Service: "first", Bytes: 1000}, {Service: "second", After: []int{0}, Bytes: 1000}}},
			{Name: "restage", Host: host, Prefix: "/restage/", Kind: "streaming", Service: "llm", TimeoutMS: 5000, GoalMS: 2000, Attempts: 3, Prompted: true, Resumable: true,
				Stages: []platformtest.Stage{{Service: "first", Bytes: 1000}}},
		},
		Services: []platformtest.Service{
			{Name: "app", Connections: 100}, {Name: "llm", Engine: true, Connections: 100},
			{Name: "first", Batch: 10, CallMS: 50, RoomMB: 10}, {Name: "second", Batch: 10, CallMS: 50, RoomMB: 10},
		},
	}
}

// backend starts a server of a service and enters it.
func (c *Cluster) backend(id, service string) *platformtest.Backend {
	b := platformtest.NewBackend(id)
	c.t.Cleanup(b.Close)
	c.Store.PutServer(platformtest.Entry{ID: id, Service: service, Address: b.Address(), Zone: "z1", Version: "v1", Slots: 8, Born: 1, Sequence: 1})
	return b
}

func (c *Cluster) stageServer(id, service string) *platformtest.StageServer {
	s := platformtest.NewStageServer(id, 50*time.Millisecond)
	c.t.Cleanup(s.Close)
	c.Store.PutServer(platformtest.Entry{ID: id, Service: service, Address: s.Address(), Zone: "z1", Version: "v1", Slots: 1, Born: 1, Sequence: 1})
	return s
}

// knows waits until an instance knows servers of a service.
func (c *Cluster) knows(in *Instance, service string, n int) {
	c.Eventually("the instance knows the servers of "+service, func() bool {
		view := in.Kernel.Host.Catalogs.Catalog()
		return view != nil && len(view.Servers(service)) == n
	})
}

type answer struct {
	status int
	header http.Header
	body   string
	// last is true if the caller is to leave the connection.
	last bool
	err  error
}

// ask sends a request and reads its answer.
func ask(in *Instance, method, path, id string) answer {
	return askWith(platformtest.Request{Address: in.Address, Method: method, Host: host, Path: path, ID: id, Key: "key-1", Wait: 4 * time.Second, Body: "body of " + id})
}

func askWith(q platformtest.Request) answer {
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	if q.Method == http.MethodGet {
		q.Body = ""
	}
	resp, err := platformtest.Send(ctx, q)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, resp.Header, string(body), resp.Close, err}
}

func TestUnchanged(t *testing.T) {
	c := New(t)
	c.Store.PutConfig(config(1))
	b := c.backend("i-1", "app")
	in := c.Start("e1", "z1", true, "")
	c.knows(in, "app", 1)
	Convey("A request and its answer are passed through unchanged", t, func() {
		a := ask(in, "POST", "/once/a%2Fb?q=1", "id-1")
		So(a.err, ShouldBeNil)
		So(a.status, ShouldEqual, 200)
		So(a.body, ShouldEqual, "ok")
		So(platformtest.Signed(a.header), ShouldBeTrue)
		seen := b.Seen()
		So(len(seen), ShouldEqual, 1)
		So(seen[0].URI, ShouldEqual, "/once/a%2Fb?q=1")
		So(seen[0].Host, ShouldEqual, host)
		So(seen[0].Body, ShouldEqual, "body of id-1")
		So(seen[0].Account, ShouldEqual, "choir")
		So(seen[0].Header.Get("Authorization"), ShouldEqual, "")
		So(seen[0].Left, ShouldBeBetween, time.Second, 3001*time.Millisecond)
	})
	Convey("A request of no route, without a key or without an ID is turned away, and no server gets it", t, func() {
		before := len(b.Seen())
		So(ask(in, "GET", "/none/", "x1").status, ShouldEqual, 404)
		So(askWith(platformtest.Request{Address: in.Address, Method: "GET", Host: host, Path: "/again/", ID: "x2", Key: "other"}).status, ShouldEqual, 401)
		So(askWith(platformtest.Request{Address: in.Address, Method: "GET", Host: host, Path: "/again/", Key: "key-1"}).status, ShouldEqual, 400)
		So(askWith(platformtest.Request{Address: in.Address, Method: "GET", Host: host, Path: "/open/", ID: "x3"}).status, ShouldEqual, 200)
		So(askWith(platformtest.Request{Address: in.Address, Method: "POST", Host: host, Path: "/again/", ID: "x4", Key: "key-1", Body: strings.Repeat("x", 1<<20+1)}).status, ShouldEqual, 413)
		So(len(b.Seen()), ShouldEqual, before+1)
	})
	Convey("No key stands in the log", t, func() {
		So(in.Log.String(), ShouldNotContainSubstring, "key-1")
		So(in.Log.String(), ShouldNotContainSubstring, "body of")
	})
}

// A server's behaviour, and what becomes of a request of each kind.
func TestServersThatFail(t *testing.T) {
	breaks := func(w http.ResponseWriter, _ *http.Request, _ platformtest.Seen) { platformtest.Break() }
	for _, c := range []struct {
		name string
		do   func(w http.ResponseWriter, r *http.Request, s platformtest.Seen)
		// once and again are the statuses of a request that may run once and
		// of one that may be repeated; arrivals counts those at servers.
		once, again, onceArrivals int
	}{
		{"the connection breaks", breaks, 502, 502, 1},
		{"an answer to another request", func(w http.ResponseWriter, _ *http.Request, _ platformtest.Seen) {
			platformtest.AnswerToAnother(w)
		}, 502, 502, 1},
		{"an answer that is cut short", func(w http.ResponseWriter, _ *http.Request, _ platformtest.Seen) {
			w.Header().Set("Content-Length", "100")
			platformtest.Answer(w, 200, "short")
		}, 502, 502, 1},
		{"a success without signature", func(w http.ResponseWriter, _ *http.Request, _ platformtest.Seen) { w.WriteHeader(200) }, 502, 502, 1},
		{"an encoded answer", func(w http.ResponseWriter, _ *http.Request, _ platformtest.Seen) {
			w.Header().Set("Content-Encoding", "gzip")
			platformtest.Answer(w, 200, "zipped")
		}, 502, 502, 1},
		{"a failure of its own", func(w http.ResponseWriter, _ *http.Request, _ platformtest.Seen) {
			platformtest.Answer(w, 500, "failed")
		}, 500, 500, 1},
		{"a refusal", func(w http.ResponseWriter, _ *http.Request, _ platformtest.Seen) { platformtest.Refuse(w, 503) }, 503, 503, 4},
	} {
		Convey("When a server gives "+c.name, t, func() {
			cl := New(t)
			cl.Store.PutConfig(config(1))
			var servers []*platformtest.Backend
			for i := range 2 {
				b := cl.backend("i-"+strconv.Itoa(i), "app")
				b.Do = c.do
				servers = append(servers, b)
			}
			in := cl.Start("e1", "z1", true, "")
			cl.knows(in, "app", 2)
			arrivals := func() int { return len(servers[0].Seen()) + len(servers[1].Seen()) }
			So(ask(in, "POST", "/once/x", "once-1").status, ShouldEqual, c.once)
			So(arrivals(), ShouldEqual, c.onceArrivals)
			So(ask(in, "GET", "/again/x", "again-1").status, ShouldEqual, c.again)
			So(arrivals()-c.onceArrivals, ShouldBeGreaterThan, 1)
		})
	}
	Convey("A request that may be repeated is answered by the other server", t, func() {
		cl := New(t)
		cl.Store.PutConfig(config(1))
		bad, _ := cl.backend("i-0", "app"), cl.backend("i-1", "app")
		bad.Do = breaks
		in := cl.Start("e1", "z1", true, "")
		cl.knows(in, "app", 2)
		for i := range 20 {
			So(ask(in, "GET", "/again/x", fmt.Sprint("r", i)).status, ShouldEqual, 200)
		}
	})
	Convey("A refusal tells the caller when to return", t, func() {
		cl := New(t)
		cl.Store.PutConfig(config(1))
		b := cl.backend("i-0", "app")
		b.Do = func(w http.ResponseWriter, _ *http.Request, _ platformtest.Seen) { platformtest.Refuse(w, 503) }
		in := cl.Start("e1", "z1", true, "")
		cl.knows(in, "app", 1)
		a := ask(in, "POST", "/once/x", "r")
		So(a.status, ShouldEqual, 503)
		seconds, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
		So(err, ShouldBeNil)
		So(seconds, ShouldBeBetween, 0, 5)
	})
}

// workUntilLeft starts an instance before a server that works on each request
// until its caller is gone, which it tells.
func workUntilLeft(t *testing.T) (in *Instance, gone <-chan struct{}) {
	c := New(t)
	c.Store.PutConfig(config(1))
	left := make(chan struct{}, 1)
	c.backend("i-0", "app").Do = func(_ http.ResponseWriter, r *http.Request, _ platformtest.Seen) {
		<-r.Context().Done()
		left <- struct{}{}
	}
	in = c.Start("e1", "z1", true, "")
	c.knows(in, "app", 1)
	return in, left
}

func TestTimeout(t *testing.T) {
	Convey("A request is answered at its route's timeout, truly", t, func() {
		in, gone := workUntilLeft(t)
		began := time.Now()
		So(ask(in, "POST", "/short/x", "r").status, ShouldEqual, 504)
		So(time.Since(began), ShouldBeBetween, 250*time.Millisecond, 3*time.Second)
		<-gone
	})
	Convey("A caller that leaves ends the work of its server", t, func() {
		in, gone := workUntilLeft(t)
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		_, err := platformtest.Send(ctx, platformtest.Request{Address: in.Address, Method: "POST", Host: host, Path: "/once/x", ID: "r", Key: "key-1", Body: "b"})
		So(err, ShouldNotBeNil)
		select {
		case <-gone:
		case <-time.After(2 * time.Second):
			t.Fatal("the server still works for a caller that left")
		}
	})
}

func TestStreams(t *testing.T) {
	Convey("With two engines", t, func() {
		c := New(t)
		c.Store.PutConfig(config(1))
		engines := []*platformtest.Backend{c.backend("i-0", "llm"), c.backend("i-1", "llm")}
		var mu sync.Mutex
		first := ""
		// The engine that gets the request first stops in the middle of its third
		// event.
		do := func(id string) func(w http.ResponseWriter, r *http.Request, s platformtest.Seen) {
			return func(w http.ResponseWriter, _ *http.Request, s platformtest.Seen) {
				mu.Lock()
				if first == "" {
					first = id
				}
				breaks := first == id
				mu.Unlock()
				from := 1
				if s.LastEvent != "" {
					n, _ := strconv.Atoi(s.LastEvent)
					from = n + 1
				}
				if breaks {
					platformtest.Stream(w, from, 2)
					_, _ = io.WriteString(w, "id: 3\ndata: ev")
					w.(http.Flusher).Flush()
					platformtest.Break()
				}
				platformtest.Stream(w, from, 5)
			}
		}
		for _, e := range engines {
			e.Do = do(e.ID)
		}
		in := c.Start("e1", "z1", true, "")
		c.knows(in, "llm", 2)
		Convey("a stream that may be resumed goes on at the other, whole and in order", func() {
			a := ask(in, "POST", "/resume/x", "r")
			So(a.err, ShouldBeNil)
			So(a.status, ShouldEqual, 200)
			want := ""
			for i := 1; i <= 5; i++ {
				want += fmt.Sprintf("id: %d\ndata: event %d\n\n", i, i)
			}
			So(a.body, ShouldEqual, want)
		})
		Convey("another one ends so that the caller sees that it is not whole", func() {
			a := ask(in, "POST", "/stream/x", "r")
			So(a.err, ShouldNotBeNil)
			So(len(engines[0].Seen())+len(engines[1].Seen()), ShouldEqual, 1)
		})
	})
}

func TestRefusalAfterRun(t *testing.T) {
	Convey("A request that may have run is never refused as not run, also if its inputs are gone at the next server", t, func() {
		c := New(t)
		c.Store.PutConfig(config(1))
		engines := []*platformtest.Backend{c.backend("i-0", "llm"), c.backend("i-1", "llm")}
		var mu sync.Mutex
		arrivals := 0
		for _, e := range engines {
			e.Do = func(w http.ResponseWriter, _ *http.Request, _ platformtest.Seen) {
				mu.Lock()
				arrivals++
				first := arrivals == 1
				mu.Unlock()
				if first {
					platformtest.Break()
				}
				platformtest.Refuse(w, http.StatusConflict)
			}
		}
		c.stageServer("s-1", "first")
		in := c.Start("e1", "z1", true, "")
		c.knows(in, "llm", 2)
		c.knows(in, "first", 1)
		a := askWith(platformtest.Request{Address: in.Address, Method: "POST", Host: host, Path: "/restage/x", ID: "r1", Key: "key-1", Wait: 4 * time.Second, Pieces: "1", Body: "b"})
		So(a.status, ShouldEqual, 502)
	})
}

func TestStages(t *testing.T) {
	Convey("With stage servers and two instances", t, func() {
		c := New(t)
		c.Store.PutConfig(config(1))
		engine := c.backend("i-0", "llm")
		engine.Do = func(w http.ResponseWriter, _ *http.Request, _ platformtest.Seen) { platformtest.Stream(w, 1, 2) }
		first, second := c.stageServer("s-1", "first"), c.stageServer("s-2", "second")
		instances := []*Instance{c.Start("e1", "z1", true, ""), c.Start("e2", "z1", true, "")}
		c.Members(2)
		for _, in := range instances {
			for _, service := range []string{"llm", "first", "second"} {
				c.knows(in, service, 1)
			}
		}
		staged := func(in *Instance, id, pieces string) answer {
			return askWith(platformtest.Request{Address: in.Address, Method: "POST", Host: host, Path: "/staged/x", ID: id, Key: "key-1", Wait: 4 * time.Second, Pieces: pieces, Body: "b"})
		}
		Convey("a request gets all results of its last stage, which are released", func() {
			a := staged(instances[0], "r1", "2,3")
			So(a.status, ShouldEqual, 200)
			So(first.Calls(), ShouldResemble, [][]string{{"r1/0/0", "r1/0/1"}})
			So(second.Calls(), ShouldResemble, [][]string{{"r1/1/0", "r1/1/1", "r1/1/2"}})
			at := second.Address()
			So(engine.Seen()[0].Inputs, ShouldEqual, strings.Join([]string{at + "/r1-1-0", at + "/r1-1-1", at + "/r1-1-2"}, ","))
			c.Eventually("the results are released", func() bool { return first.Held()+second.Held() == 0 })
		})
		Convey("a stage of no pieces is left out", func() {
			So(staged(instances[0], "r1", "0,1").status, ShouldEqual, 200)
			So(first.Calls(), ShouldBeEmpty)
			So(len(second.Calls()), ShouldEqual, 1)
		})
		Convey("many requests of both instances share calls, one at a time on each server", func() {
			var wg sync.WaitGroup
			var mu sync.Mutex
			served := 0
			for i := range 30 {
				wg.Go(func() {
					if a := staged(instances[i%2], fmt.Sprint("r", i), "1,1"); a.status == 200 {
						mu.Lock()
						served++
						mu.Unlock()
					}
				})
			}
			wg.Wait()
			So(served, ShouldEqual, 30)
			So(first.MostAtOnce(), ShouldEqual, 1)
			So(len(first.Calls()), ShouldBeLessThan, 15)
		})
		Convey("results that are gone are made anew once, and then truly refused", func() {
			second.Gone.Store(true)
			a := staged(instances[0], "r1", "1,1")
			So(a.status, ShouldEqual, 503)
			So(len(engine.Seen()), ShouldEqual, 0)
		})
		Convey("when the dispatcher stops, the other instance makes the calls", func() {
			So(instances[0].Stop(), ShouldBeNil)
			So(staged(instances[1], "r2", "1,1").status, ShouldEqual, 200)
		})
		Convey("work that cannot be done in time is refused at once", func() {
			first.Work = 800 * time.Millisecond
			began := time.Now()
			a := askWith(platformtest.Request{Address: instances[0].Address, Method: "POST", Host: host, Path: "/staged/x", ID: "r1", Key: "key-1", Wait: 60 * time.Millisecond, Pieces: "1,1", Body: "b"})
			So(a.status, ShouldEqual, 503)
			So(time.Since(began), ShouldBeLessThan, 50*time.Millisecond)
		})
	})
}
