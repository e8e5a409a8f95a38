package backendhttp

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"

	"github.com/savoryfold/savoryfold/config"
	"github.com/savoryfold/savoryfold/internal/httpapi"
	"github.com/savoryfold/savoryfold/kernel"
)

func newTransport(t *testing.T) *Transport {
	t.Helper()
	settings, err := kernel.Schema().Load("t.ini", []byte("[instance]\nid = a\nzone = z\n"))
	if err != nil {
		t.Fatal(err)
	}
	tr := &Transport{}
	h := &kernel.Host{Settings: settings, Logger: slog.New(slog.DiscardHandler), Metrics: metrics.NewRegistry()}
	if err := tr.Provision(h); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = tr.Stop(context.Background()) })
	return tr
}

func stageCall(address string) *kernel.StageCall {
	return &kernel.StageCall{
		ID:       "call-1",
		Server:   config.Server{Name: "s", Pool: "p", Address: address},
		Pool:     &config.Pool{Name: "p", FirstByte: 5 * time.Second, BetweenBytes: 5 * time.Second},
		Stage:    config.Stage{Name: "a", Path: "/v1/call"},
		Body:     []byte(`{}`),
		Deadline: time.Now().Add(time.Minute), FirstByte: 5 * time.Second,
	}
}

func echo(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(httpapi.HeaderCallID, r.Header.Get(httpapi.HeaderCallID))
}

func serverOf(t *testing.T, h http.HandlerFunc) string {
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

func TestAnswers(t *testing.T) {
	cases := []struct {
		name    string
		handler http.HandlerFunc
		want    kernel.CallResult
	}{
		{"whole answer", func(w http.ResponseWriter, r *http.Request) {
			echo(w, r)
			fmt.Fprint(w, `{}`)
		}, kernel.CallOK},
		{"answer to another call", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(httpapi.HeaderCallID, "call-0")
			fmt.Fprint(w, `{}`)
		}, kernel.CallFailed},
		{"answer without a call ID", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, `{}`) }, kernel.CallFailed},
		{"answer shorter than its length", func(w http.ResponseWriter, r *http.Request) {
			echo(w, r)
			w.Header().Set("Content-Length", "100")
			fmt.Fprint(w, `{}`)
		}, kernel.CallBroken},
		{"answer whose end cannot be told", func(w http.ResponseWriter, r *http.Request) {
			conn, _, err := w.(http.Hijacker).Hijack()
			if err != nil {
				panic(err)
			}
			defer conn.Close()
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n%s: %s\r\n\r\n{}", httpapi.HeaderCallID, r.Header.Get(httpapi.HeaderCallID))
		}, kernel.CallBroken},
		{"connection dropped", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, kernel.CallBroken},
		{"error status", func(w http.ResponseWriter, r *http.Request) {
			echo(w, r)
			w.WriteHeader(http.StatusInternalServerError)
		}, kernel.CallFailed},
		{"error status that may have run", func(w http.ResponseWriter, r *http.Request) {
			echo(w, r)
			w.WriteHeader(http.StatusServiceUnavailable)
		}, kernel.CallFailed},
		{"refused, not run", func(w http.ResponseWriter, r *http.Request) {
			echo(w, r)
			w.Header().Set(httpapi.HeaderNotRun, "true")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, kernel.CallRefused},
		{"refusal of another call", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(httpapi.HeaderNotRun, "true")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, kernel.CallFailed},
		{"request at fault", func(w http.ResponseWriter, r *http.Request) {
			echo(w, r)
			w.Header().Set(httpapi.HeaderNotRun, "true")
			w.WriteHeader(http.StatusBadRequest)
		}, kernel.CallRejected},
	}
	tr := newTransport(t)
	for _, c := range cases {
		Convey("Call: "+c.name, t, func() {
			answer := tr.Call(context.Background(), stageCall(serverOf(t, c.handler)))
			So(answer.Result.String(), ShouldEqual, c.want.String())
		})
	}
	Convey("A server that is not there was sent nothing", t, func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		So(l.Close(), ShouldBeNil)
		answer := tr.Call(context.Background(), stageCall(l.Addr().String()))
		So(answer.Result.String(), ShouldEqual, "not-sent")
	})
}

func TestStreams(t *testing.T) {
	stream := func(body string) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			echo(w, r)
			w.Header().Set("Content-Type", "text/event-stream")
			fmt.Fprint(w, body)
		}
	}
	const two = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	cases := []struct {
		name, body string
		want       kernel.CallResult
	}{
		{"whole", two + "event: done\ndata: {\"tokens\": 2}\n\n", kernel.CallOK},
		{"without an end", two, kernel.CallBroken},
		{"with a gap", "id: 1\ndata: a\n\nid: 3\ndata: c\n\nevent: done\ndata: {}\n\n", kernel.CallFailed},
	}
	tr := newTransport(t)
	for _, c := range cases {
		Convey("Stream: "+c.name, t, func() {
			call := stageCall(serverOf(t, stream(c.body)))
			call.Events = &kernel.EventCollector{}
			So(tr.Call(context.Background(), call).Result.String(), ShouldEqual, c.want.String())
		})
	}
	Convey("A stream that has begun does not end with an answer that is none", t, func() {
		call := stageCall(serverOf(t, func(w http.ResponseWriter, r *http.Request) {
			echo(w, r)
			fmt.Fprint(w, `{"text":"abc"}`)
		}))
		call.Events = &kernel.EventCollector{}
		So(call.Events.Send(kernel.Event{ID: "1", Data: "a"}), ShouldBeNil)
		So(tr.Call(context.Background(), call).Result.String(), ShouldEqual, "failed")
	})
	Convey("A second call asks to resume after the last event", t, func() {
		var asked atomic.Value
		call := stageCall(serverOf(t, func(w http.ResponseWriter, r *http.Request) {
			asked.Store(r.Header.Get("Last-Event-ID"))
			stream(two)(w, r)
		}))
		call.Events = &kernel.EventCollector{}
		tr.Call(context.Background(), call)
		tr.Call(context.Background(), call)
		So(asked.Load(), ShouldEqual, "2")
		So(call.Events.Text(), ShouldEqual, "ab")
	})
}

func TestSilence(t *testing.T) {
	Convey("Given a server whose old connections went silent", t, func() {
		var silent atomic.Bool
		released := make(chan struct{})
		address := serverOf(t, func(w http.ResponseWriter, r *http.Request) {
			if silent.Load() && r.URL.Path == "/v1/call" {
				<-released
				return
			}
			echo(w, r)
			fmt.Fprint(w, `{}`)
		})
		defer close(released)
		tr := newTransport(t)
		call := stageCall(address)
		call.FirstByte = 50 * time.Millisecond
		silent.Store(true)
		So(tr.Call(context.Background(), call).Result.String(), ShouldEqual, "silent")
		Convey("a probe on a new connection finds the server alive", func() {
			So(tr.Renew(context.Background(), call.Server), ShouldBeTrue)
		})
	})
	Convey("A server that takes connections and never answers is dead", t, func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer l.Close()
		So(newTransport(t).Renew(context.Background(), config.Server{Address: l.Addr().String()}), ShouldBeFalse)
	})
}

// TestNoCallIsSentTwice has a server that reads a whole call on a used
// connection and drops it: net/http must not send the call again by itself,
// even though it carries an idempotency key.
func TestNoCallIsSentTwice(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	Convey("A call with an idempotency key leaves the instance once", t, func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		var calls atomic.Int32
		go func() {
			for {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				go answerFirstOnly(conn, &calls)
			}
		}()
		tr := newTransport(t)
		call := stageCall(l.Addr().String())
		call.Key = "k"
		So(tr.Call(context.Background(), call).Result.String(), ShouldEqual, "ok")
		So(tr.Call(context.Background(), call).Result.String(), ShouldEqual, "broken")
		So(calls.Load(), ShouldEqual, 2)
		So(l.Close(), ShouldBeNil)
	})
}

// answerFirstOnly answers the first call on a connection and drops the
// connection once it has read the second.
func answerFirstOnly(conn net.Conn, calls *atomic.Int32) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for n := 1; ; n++ {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		calls.Add(1)
		if n > 1 {
			return
		}
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: call-1\r\nContent-Length: 2\r\n\r\n{}", httpapi.HeaderCallID)
	}
}

func TestNothingIsSentPastTheDeadline(t *testing.T) {
	Convey("A call whose deadline passed before it was written does not reach the server", t, func() {
		var calls atomic.Int32
		address := serverOf(t, func(http.ResponseWriter, *http.Request) { calls.Add(1) })
		call := stageCall(address)
		call.Deadline = time.Now().Add(-time.Second)
		// The context lives on, as after a pause whose end the timers have not seen.
		So(newTransport(t).Call(context.Background(), call).Result, ShouldNotEqual, kernel.CallOK)
		So(calls.Load(), ShouldEqual, 0)
	})
}

func TestCancel(t *testing.T) {
	Convey("A caller that goes away ends the call at the server", t, func() {
		started, ended := make(chan struct{}), make(chan struct{})
		address := serverOf(t, func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			close(started)
			<-r.Context().Done()
			close(ended)
		})
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			<-started
			cancel()
		}()
		So(newTransport(t).Call(ctx, stageCall(address)).Result.String(), ShouldEqual, "cancelled")
		select {
		case <-ended:
		case <-time.After(30 * time.Second):
			t.Fatal("the call still runs at the server")
		}
	})
}
