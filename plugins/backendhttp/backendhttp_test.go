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
		Pool:     &config.Pool{Name: "p", FirstByteTimeout: 5 * time.Second, ReadGapTimeout: 5 * time.Second},
		Stage:    config.Stage{Name: "a", Path: "/v1/call"},
		Body:     []byte(`{}`),
		Deadline: time.Now().Add(time.Minute), FirstByteTimeout: 5 * time.Second,
	}
}

func echoCallID(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(httpapi.HeaderCallID, r.Header.Get(httpapi.HeaderCallID))
}

func startServer(t *testing.T, h http.HandlerFunc) string {
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

func TestResponses(t *testing.T) {
	cases := []struct {
		name    string
		handler http.HandlerFunc
		want    kernel.CallResult
	}{
		{"complete response", func(w http.ResponseWriter, r *http.Request) {
			echoCallID(w, r)
			fmt.Fprint(w, `{}`)
		}, kernel.CallOK},
		{"response to another call", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(httpapi.HeaderCallID, "call-0")
			fmt.Fprint(w, `{}`)
		}, kernel.CallFailed},
		{"response without a call ID", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, `{}`) }, kernel.CallFailed},
		{"response shorter than its Content-Length", func(w http.ResponseWriter, r *http.Request) {
			echoCallID(w, r)
			w.Header().Set("Content-Length", "100")
			fmt.Fprint(w, `{}`)
		}, kernel.CallBroken},
		{"response without a length or chunked encoding", func(w http.ResponseWriter, r *http.Request) {
			conn, _, err := w.(http.Hijacker).Hijack()
			if err != nil {
				panic(err)
			}
			defer conn.Close()
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n%s: %s\r\n\r\n{}", httpapi.HeaderCallID, r.Header.Get(httpapi.HeaderCallID))
		}, kernel.CallBroken},
		{"response in another version", func(w http.ResponseWriter, r *http.Request) {
			conn, _, err := w.(http.Hijacker).Hijack()
			if err != nil {
				panic(err)
			}
			defer conn.Close()
			fmt.Fprintf(conn, "HTTP/2.0 200 OK\r\nContent-Length: 2\r\n%s: %s\r\n\r\n{}", httpapi.HeaderCallID, r.Header.Get(httpapi.HeaderCallID))
		}, kernel.CallFailed},
		{"connection dropped", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, kernel.CallBroken},
		{"error status", func(w http.ResponseWriter, r *http.Request) {
			echoCallID(w, r)
			w.WriteHeader(http.StatusInternalServerError)
		}, kernel.CallFailed},
		{"error status that may have run", func(w http.ResponseWriter, r *http.Request) {
			echoCallID(w, r)
			w.WriteHeader(http.StatusServiceUnavailable)
		}, kernel.CallFailed},
		{"refused, not run", func(w http.ResponseWriter, r *http.Request) {
			echoCallID(w, r)
			w.Header().Set(httpapi.HeaderNotRun, "true")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, kernel.CallRefused},
		{"refusal of another call", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(httpapi.HeaderNotRun, "true")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, kernel.CallFailed},
		{"invalid request, not run", func(w http.ResponseWriter, r *http.Request) {
			echoCallID(w, r)
			w.Header().Set(httpapi.HeaderNotRun, "true")
			w.WriteHeader(http.StatusBadRequest)
		}, kernel.CallRejected},
	}
	tr := newTransport(t)
	for _, c := range cases {
		Convey("Call: "+c.name, t, func() {
			answer := tr.Call(context.Background(), stageCall(startServer(t, c.handler)))
			So(answer.Result.String(), ShouldEqual, c.want.String())
		})
	}
	Convey("A call to a server that does not listen is not sent", t, func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		So(l.Close(), ShouldBeNil)
		answer := tr.Call(context.Background(), stageCall(l.Addr().String()))
		So(answer.Result.String(), ShouldEqual, "not-sent")
	})
}

func TestStreams(t *testing.T) {
	typed := func(contentType, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			echoCallID(w, r)
			w.Header()["Content-Type"] = []string{contentType}
			fmt.Fprint(w, body)
		}
	}
	stream := func(body string) http.HandlerFunc { return typed("text/event-stream", body) }
	const two = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	const done = "event: done\ndata: {\"tokens\": 2}\n\n"
	const eventStream = "text/event-stream"
	cases := []struct {
		name, contentType, body string
		want                    kernel.CallResult
	}{
		{"complete", eventStream, two + done, kernel.CallOK},
		{"complete, of a type in other letters", "Text/Event-Stream; charset=utf-8", two + done, kernel.CallOK},
		{"complete, without a type", "", two + done, kernel.CallOK},
		{"without the event done", eventStream, two, kernel.CallBroken},
		{"without the event done, of a type in other letters", "Text/Event-Stream", two, kernel.CallBroken},
		{"without the event done, without a type", "", two, kernel.CallBroken},
		{"without the event done, of another type", "application/json", two, kernel.CallBroken},
		{"with an incomplete event done", eventStream, two + "event: done\ndata: {}\n", kernel.CallBroken},
		{"with a gap", eventStream, "id: 1\ndata: a\n\nid: 3\ndata: c\n\n" + done, kernel.CallFailed},
		{"replaced by one JSON value", "application/json", `{"text": "ab"}`, kernel.CallOK},
		{"replaced by one JSON value without a type", "", `{"text": "ab"}`, kernel.CallOK},
		{"replaced by an incomplete JSON value", "application/json", `{"text": "a`, kernel.CallFailed},
		{"replaced by a plain answer", "text/plain", "ab", kernel.CallBroken},
		{"replaced by nothing", eventStream, "", kernel.CallBroken},
	}
	tr := newTransport(t)
	for _, c := range cases {
		Convey("Stream: "+c.name, t, func() {
			call := stageCall(startServer(t, typed(c.contentType, c.body)))
			call.Events = &kernel.EventCollector{}
			So(tr.Call(context.Background(), call).Result.String(), ShouldEqual, c.want.String())
		})
	}
	Convey("A resumed stream rejects a response that is not a stream", t, func() {
		call := stageCall(startServer(t, func(w http.ResponseWriter, r *http.Request) {
			echoCallID(w, r)
			fmt.Fprint(w, `{"text":"abc"}`)
		}))
		call.Events = &kernel.EventCollector{}
		So(call.Events.Send(kernel.Event{ID: "1", Data: "a"}), ShouldBeNil)
		So(tr.Call(context.Background(), call).Result.String(), ShouldEqual, "failed")
	})
	Convey("A second call asks to resume after the last event", t, func() {
		var lastEventID atomic.Value
		call := stageCall(startServer(t, func(w http.ResponseWriter, r *http.Request) {
			lastEventID.Store(r.Header.Get("Last-Event-ID"))
			stream(two)(w, r)
		}))
		call.Events = &kernel.EventCollector{}
		tr.Call(context.Background(), call)
		tr.Call(context.Background(), call)
		So(lastEventID.Load(), ShouldEqual, "2")
		So(call.Events.Text(), ShouldEqual, "ab")
	})
}

func TestProgressTimeout(t *testing.T) {
	Convey("Given a server that stopped responding on its connections", t, func() {
		var unresponsive atomic.Bool
		released := make(chan struct{})
		address := startServer(t, func(w http.ResponseWriter, r *http.Request) {
			if unresponsive.Load() && r.URL.Path == "/v1/call" {
				<-released
				return
			}
			echoCallID(w, r)
			fmt.Fprint(w, `{}`)
		})
		defer close(released)
		tr := newTransport(t)
		call := stageCall(address)
		call.FirstByteTimeout = 50 * time.Millisecond
		unresponsive.Store(true)
		So(tr.Call(context.Background(), call).Result.String(), ShouldEqual, "silent")
		Convey("a probe on a new connection finds the server alive", func() {
			So(tr.Reconnect(context.Background(), call.Server), ShouldBeTrue)
		})
	})
	Convey("A server that accepts connections and never responds fails the probe", t, func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer l.Close()
		So(newTransport(t).Reconnect(context.Background(), config.Server{Address: l.Addr().String()}), ShouldBeFalse)
	})
}

// slowCaller takes a time for each event.
type slowCaller time.Duration

func (s slowCaller) Send(kernel.Event) error {
	time.Sleep(time.Duration(s))
	return nil
}

// TestSlowCallerOfStream guards against a sound stream that is broken off because its
// caller is slow, and against one that is not broken off although its server stalls.
func TestSlowCallerOfStream(t *testing.T) {
	stalled := make(chan struct{})
	defer close(stalled)
	for _, c := range []struct {
		name   string
		stalls bool
		want   string
	}{{"a sound stream is complete", false, "ok"}, {"a stream whose server stalls is broken off", true, "silent"}} {
		Convey("With a caller that is slower than the progress timeout, "+c.name, t, func() {
			call := stageCall(startServer(t, func(w http.ResponseWriter, r *http.Request) {
				echoCallID(w, r)
				w.Header().Set("Content-Type", "text/event-stream")
				for i := 1; i <= 5; i++ {
					fmt.Fprintf(w, "id: %d\ndata: a\n\n", i)
					w.(http.Flusher).Flush()
					time.Sleep(20 * time.Millisecond)
				}
				if c.stalls {
					<-stalled
				}
				fmt.Fprint(w, "event: done\ndata: {}\n\n")
			}))
			call.Pool = &config.Pool{Name: "p", FirstByteTimeout: 5 * time.Second, ReadGapTimeout: 150 * time.Millisecond}
			call.Events = kernel.NewEventCollector(slowCaller(200 * time.Millisecond))
			So(newTransport(t).Call(context.Background(), call).Result.String(), ShouldEqual, c.want)
		})
	}
}

// TestNoCallIsSentTwice guards against a retry by net/http. A server reads a
// complete call on a reused connection and closes the connection. net/http retries
// such a request by itself if it has an idempotency key and its body can be
// rewound.
func TestNoCallIsSentTwice(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	Convey("A call with an idempotency key is sent once", t, func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		var calls atomic.Int32
		go func() {
			for {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				go respondToFirstOnly(conn, &calls)
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

// respondToFirstOnly responds to the first call on a connection and closes the
// connection once it has read the second.
func respondToFirstOnly(conn net.Conn, calls *atomic.Int32) {
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
		address := startServer(t, func(http.ResponseWriter, *http.Request) { calls.Add(1) })
		call := stageCall(address)
		call.Deadline = time.Now().Add(-time.Second)
		// The context is not done, as after a pause of the process whose timers have
		// not fired yet.
		So(newTransport(t).Call(context.Background(), call).Result, ShouldNotEqual, kernel.CallOK)
		So(calls.Load(), ShouldEqual, 0)
	})
}

func TestCancel(t *testing.T) {
	Convey("Cancelling the context ends the call at the server", t, func() {
		started, ended := make(chan struct{}), make(chan struct{})
		address := startServer(t, func(_ http.ResponseWriter, r *http.Request) {
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
			t.Fatal("the call still runs at the server after 30 s")
		}
	})
}
