package entryhttp

import (
	"bufio"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"encoding/pem"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"

	"github.com/savoryfold/savoryfold/config"
	"github.com/savoryfold/savoryfold/internal/httpapi"
	"github.com/savoryfold/savoryfold/kernel"
	_ "github.com/savoryfold/savoryfold/plugins/backendhttp"
	_ "github.com/savoryfold/savoryfold/plugins/claims"
	_ "github.com/savoryfold/savoryfold/plugins/configsource"
	_ "github.com/savoryfold/savoryfold/plugins/membership"
	_ "github.com/savoryfold/savoryfold/plugins/policies"
)

const apiKey = "alto-key"

// testInstance is a running instance with one backend server.
type testInstance struct {
	address  string
	calls    atomic.Int32
	instance *kernel.Instance
	done     chan error
	backend  *httptest.Server
}

func startInstance(t *testing.T, backend http.HandlerFunc) *testInstance {
	t.Helper()
	return startInstanceWith(t, backend, "")
}

// startInstanceWith starts an instance with further settings of the section [entry].
func startInstanceWith(t *testing.T, backend http.HandlerFunc, entry string) *testInstance {
	t.Helper()
	r := &testInstance{done: make(chan error, 1)}
	r.backend = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		r.calls.Add(1)
		w.Header().Set(httpapi.HeaderCallID, req.Header.Get(httpapi.HeaderCallID))
		backend(w, req)
	}))
	settings, err := kernel.Schema().Load("t.ini", []byte(`[instance]
id = hobart-1
zone = hobart
[entry]
listen = 127.0.0.1:0
max_body = 1KiB
header_timeout = 200ms
body_timeout = 300ms
write_timeout = 300ms
drain = 1ms
`+entry+`[policy]
admission = baseline
placement = baseline
limits = baseline
retry = baseline
queue = baseline
rollout = baseline
configsource = file
membership = static
claims = memory
[tables]
file = /dev/null
`))
	if err != nil {
		t.Fatal(err)
	}
	r.instance, err = kernel.NewInstance(settings, slog.New(slog.DiscardHandler), &slog.LevelVar{})
	if err != nil {
		t.Fatal(err)
	}
	r.run(t)
	return r
}

func (r *testInstance) run(t *testing.T) {
	t.Helper()
	text := fmt.Sprintf("[account alto]\nkey_sha256 = %s\n[route answer]\nstages = a\na.pool = p\na.stream = true\n"+
		"[route issue]\nstages = a\na.pool = p\na.idempotent = false\n[pool p]\nserver.s = zone=hobart addr=%s\n",
		httpapi.HashToken(apiKey), strings.TrimPrefix(r.backend.URL, "http://"))
	tables, err := config.ParseTables("t.ini", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	tables.Revision = 1
	go func() { r.done <- r.instance.Run(context.Background()) }()
	r.instance.Host.SetTables(tables)
	deadline := time.Now().Add(30 * time.Second)
	for !r.instance.Ready() && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	r.address = r.instance.Module("entryhttp").(*Entry).Address()
}

func (r *testInstance) stop() {
	r.instance.Shutdown()
	<-r.done
	r.backend.Close()
	http.DefaultClient.CloseIdleConnections()
}

func (r *testInstance) post(route, key, body string, headers map[string]string) *http.Response {
	req, _ := http.NewRequest(http.MethodPost, "http://"+r.address+"/v1/routes/"+route, strings.NewReader(body))
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	for k, v := range headers {
		req.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(req)
	So(err, ShouldBeNil)
	return resp
}

func TestBadInput(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	r := startInstance(t, func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, `{}`) })
	defer r.stop()
	cases := []struct {
		name, route, key, body string
		headers                map[string]string
		status                 int
		reason                 kernel.OutcomeReason
	}{
		{"unknown route", "none", apiKey, `{}`, nil, 404, kernel.ReasonUnknownRoute},
		{"no key", "answer", "", `{}`, nil, 401, kernel.ReasonUnauthorized},
		{"wrong key", "answer", "guess", `{}`, nil, 401, kernel.ReasonUnauthorized},
		{"malformed JSON", "answer", apiKey, `{`, nil, 400, kernel.ReasonBadRequest},
		{"oversized body", "answer", apiKey, `"` + strings.Repeat("a", 2000) + `"`, nil, 413, kernel.ReasonTooLarge},
		{"bad deadline", "answer", apiKey, `{}`, map[string]string{httpapi.HeaderDeadline: "soon"}, 400, kernel.ReasonBadDeadline},
		{"deadline past bounds", "answer", apiKey, `{}`, map[string]string{httpapi.HeaderDeadline: "-5s"}, 400, kernel.ReasonBadDeadline},
		{"no idempotency key", "issue", apiKey, `{}`, nil, 400, kernel.ReasonKeyRequired},
		{"long idempotency key", "issue", apiKey, `{}`, map[string]string{httpapi.HeaderIdempotencyKey: strings.Repeat("k", 200)}, 400, kernel.ReasonBadRequest},
	}
	for _, c := range cases {
		Convey("Bad input: "+c.name, t, func() {
			resp := r.post(c.route, c.key, c.body, c.headers)
			defer resp.Body.Close()
			So(resp.StatusCode, ShouldEqual, c.status)
			So(resp.Header.Get("Content-Type"), ShouldEqual, "application/problem+json")
			So(resp.Header.Get(httpapi.HeaderOutcome), ShouldEqual, string(kernel.Rejected))
			So(resp.Header.Get(httpapi.HeaderReason), ShouldEqual, string(c.reason))
			text, _ := io.ReadAll(resp.Body)
			So(json.Valid(text), ShouldBeTrue)
			So(string(text), ShouldNotContainSubstring, apiKey)
		})
	}
	Convey("Connections that send an incomplete request are closed", t, func() {
		for _, sent := range []string{"POST /v1/routes/answer HT", "POST /v1/routes/answer HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + apiKey + "\r\nContent-Length: 50\r\n\r\n{"} {
			conn, err := net.Dial("tcp", r.address)
			So(err, ShouldBeNil)
			_, err = io.WriteString(conn, sent)
			So(err, ShouldBeNil)
			So(conn.SetReadDeadline(time.Now().Add(30*time.Second)), ShouldBeNil)
			text, err := io.ReadAll(conn)
			So(err, ShouldBeNil) // the instance closed the connection before our read deadline
			So(string(text), ShouldNotContainSubstring, "200 OK")
			So(conn.Close(), ShouldBeNil)
		}
	})
	Convey("No backend server was called", t, func() { So(r.calls.Load(), ShouldEqual, 0) })
}

func TestBufferedAndStreamedResponses(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	r := startInstance(t, func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(10 * time.Millisecond) // longer than the reported 7 ms of work
		w.Header().Set("Content-Type", "text/event-stream")
		fmt.Fprint(w, "id: 1\ndata: one\n\nid: 2\ndata: two\n\nevent: done\ndata: {\"engine_ms\": 7, \"tokens\": 2}\n\n")
	})
	defer r.stop()
	Convey("A buffered response carries the cost of each stage in its trailer", t, func() {
		resp := r.post("answer", apiKey, `{}`, nil)
		defer resp.Body.Close()
		text, err := io.ReadAll(resp.Body)
		So(err, ShouldBeNil)
		So(string(text), ShouldEqual, `{"text":"onetwo"}`)
		So(resp.Header.Get(httpapi.HeaderOutcome), ShouldEqual, "served")
		var costs []kernel.StageCost
		So(json.Unmarshal([]byte(resp.Trailer.Get(httpapi.HeaderCost)), &costs), ShouldBeNil)
		So(costs[0].EngineMS, ShouldEqual, 7)
		So(costs[0].Tokens, ShouldEqual, 2)
	})
	Convey("A streamed response ends with the event done", t, func() {
		resp := r.post("answer", apiKey, `{}`, map[string]string{"Accept": "text/event-stream"})
		defer resp.Body.Close()
		text, err := io.ReadAll(resp.Body)
		So(err, ShouldBeNil)
		So(string(text), ShouldContainSubstring, "id: 1\ndata: one\n\n")
		So(string(text), ShouldContainSubstring, "event: done\ndata: {\"outcome\":\"served\"")
	})
}

func TestTruncatedStreamEndsWithError(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	r := startInstance(t, func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(10 * time.Millisecond) // longer than the reported 7 ms of work
		w.Header().Set("Content-Type", "text/event-stream")
		fmt.Fprint(w, "id: 1\ndata: one\n\n")
	})
	defer r.stop()
	Convey("A stream that fails after its first event ends with an error event", t, func() {
		resp := r.post("answer", apiKey, `{}`, map[string]string{"Accept": "text/event-stream"})
		defer resp.Body.Close()
		scanner := bufio.NewScanner(resp.Body)
		var last string
		for scanner.Scan() {
			if strings.HasPrefix(scanner.Text(), "event:") {
				last = scanner.Text()
			}
		}
		So(scanner.Err(), ShouldBeNil)
		So(last, ShouldEqual, "event: error")
	})
}

func TestLongRequestOutlivesBodyTimeout(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	r := startInstance(t, func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(600 * time.Millisecond) // twice body_timeout
		fmt.Fprint(w, `{}`)
	})
	defer r.stop()
	Convey("The timeout for reading a request does not limit the time to run it", t, func() {
		resp := r.post("answer", apiKey, `{}`, nil)
		defer resp.Body.Close()
		So(resp.StatusCode, ShouldEqual, http.StatusOK)
	})
}

func TestNonReadingCallerIsDisconnected(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	released := make(chan struct{})
	event := "data: " + strings.Repeat("x", 64<<10) + "\n\n"
	r := startInstance(t, func(w http.ResponseWriter, req *http.Request) {
		defer close(released)
		w.Header().Set("Content-Type", "text/event-stream")
		for n := 1; req.Context().Err() == nil; n++ { // until the send buffers are full
			if _, err := fmt.Fprintf(w, "id: %d\n%s", n, event); err != nil {
				return
			}
		}
	})
	Convey("A caller that stops reading frees its call slot and does not delay a graceful stop", t, func() {
		conn, err := net.Dial("tcp", r.address)
		So(err, ShouldBeNil)
		defer conn.Close()
		_, err = fmt.Fprintf(conn, "POST /v1/routes/answer HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nAccept: text/event-stream\r\nContent-Length: 2\r\n\r\n{}", apiKey)
		So(err, ShouldBeNil)
		select {
		case <-released:
		case <-time.After(30 * time.Second):
			t.Fatal("the call to the backend server still runs after 30 s")
		}
		r.stop()
	})
}

func TestGracefulStopFinishesRequests(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	started, proceed := make(chan struct{}), make(chan struct{})
	r := startInstance(t, func(w http.ResponseWriter, _ *http.Request) {
		close(started)
		<-proceed
		fmt.Fprint(w, `{"whole": true}`)
	})
	Convey("A request in progress is completed while the instance stops", t, func() {
		responses := make(chan *http.Response, 1)
		go func() {
			req, _ := http.NewRequest(http.MethodPost, "http://"+r.address+"/v1/routes/issue", strings.NewReader(`{}`))
			req.Header.Set("Authorization", "Bearer "+apiKey)
			req.Header.Set(httpapi.HeaderIdempotencyKey, "k")
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				close(responses)
				return
			}
			responses <- resp
		}()
		<-started
		r.instance.Shutdown()
		close(proceed)
		resp, ok := <-responses
		So(ok, ShouldBeTrue)
		text, err := io.ReadAll(resp.Body)
		So(err, ShouldBeNil)
		So(string(text), ShouldEqual, `{"whole": true}`)
		resp.Body.Close()
		So(<-r.done, ShouldBeNil)
		r.backend.Close()
		http.DefaultClient.CloseIdleConnections()
	})
}

// TestStopAnswersSentRequests guards against a planned stop that closes connections on
// which a request was sent before, without a response.
func TestStopAnswersSentRequests(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	Convey("Every request that was sent before the stop gets a response", t, func() {
		const rounds, connections = 10, 100
		var unanswered atomic.Int64
		for range rounds {
			r := startInstance(t, func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, `{"whole": true}`) })
			var sent, answered sync.WaitGroup
			for range connections {
				sent.Add(1)
				answered.Go(func() {
					if err := sendOn(r.address, sent.Done); err != nil {
						unanswered.Add(1)
					}
				})
			}
			sent.Wait()
			r.stop()
			answered.Wait()
		}
		So(unanswered.Load(), ShouldEqual, 0)
	})
}

// sendOn sends a request over a new connection, calls sent, and reads the response.
func sendOn(address string, sent func()) error {
	conn, err := net.Dial("tcp", address)
	if err == nil {
		_, err = fmt.Fprintf(conn, "POST /v1/routes/answer HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 2\r\n\r\n{}", apiKey)
	}
	sent()
	if err != nil {
		return err
	}
	defer conn.Close()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.ReadAll(resp.Body)
	return err
}

// TestHTTP10CallersGetLengths guards against callers of HTTP/1.0 that can't tell a response
// that is cut, as only its length or its connection can end it.
func TestHTTP10CallersGetLengths(t *testing.T) {
	r := startInstance(t, func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, `{"text": %q}`, strings.Repeat("x", 64<<10))
	})
	defer r.stop()
	Convey("A response of HTTP/1.0 has a length and no trailer", t, func() {
		conn, err := net.Dial("tcp", r.address)
		So(err, ShouldBeNil)
		defer conn.Close()
		_, err = fmt.Fprintf(conn, "POST /v1/routes/answer HTTP/1.0\r\nAuthorization: Bearer %s\r\nContent-Length: 2\r\n\r\n{}", apiKey)
		So(err, ShouldBeNil)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		So(err, ShouldBeNil)
		body, err := io.ReadAll(resp.Body)
		So(err, ShouldBeNil)
		So(resp.ContentLength, ShouldEqual, len(body))
		So(len(body), ShouldBeGreaterThan, 64<<10)
		So(resp.Header.Get(httpapi.HeaderCost), ShouldNotBeEmpty)
		So(resp.Header.Get("Trailer"), ShouldBeEmpty)
	})
}

// TestLongRequestsOverHTTP2 guards against a request over HTTP/2 that is reset because it runs
// longer than one write to its caller may take.
func TestLongRequestsOverHTTP2(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	long := func(w http.ResponseWriter, req *http.Request) {
		time.Sleep(900 * time.Millisecond) // three times write_timeout
		if strings.Contains(req.Header.Get("Accept"), "text/event-stream") {
			w.Header().Set("Content-Type", "text/event-stream")
			fmt.Fprint(w, "id: 1\ndata: first\n\n")
			w.(http.Flusher).Flush()
			time.Sleep(900 * time.Millisecond)
			fmt.Fprint(w, "id: 2\ndata: second\n\nevent: done\ndata: {}\n\n")
			return
		}
		fmt.Fprint(w, `{}`)
	}
	r := startInstanceWith(t, long, tlsSettings(t))
	defer r.stop()
	client := &http.Client{Transport: &http.Transport{ForceAttemptHTTP2: true, TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}} // #nosec: the test's own server
	defer client.CloseIdleConnections()
	for _, accept := range []string{"application/json", "text/event-stream"} {
		Convey("A request that accepts "+accept+" gets its response after a long time", t, func() {
			req, err := http.NewRequest(http.MethodPost, "https://"+r.address+"/v1/routes/answer", strings.NewReader("{}"))
			So(err, ShouldBeNil)
			req.Header.Set("Authorization", "Bearer "+apiKey)
			req.Header.Set("Accept", accept)
			resp, err := client.Do(req)
			So(err, ShouldBeNil)
			defer resp.Body.Close()
			body, err := io.ReadAll(resp.Body)
			So(err, ShouldBeNil)
			So(resp.ProtoMajor, ShouldEqual, 2)
			So(resp.StatusCode, ShouldEqual, http.StatusOK)
			So(string(body), ShouldNotContainSubstring, "event: error")
			if accept == "application/json" {
				So(resp.Trailer.Get(httpapi.HeaderCost), ShouldNotBeEmpty)
			}
		})
	}
}

// tlsSettings returns settings of the section [entry] with a certificate of the test.
func tlsSettings(t *testing.T) string {
	server := httptest.NewTLSServer(nil)
	defer server.Close()
	certificate := server.TLS.Certificates[0]
	key, err := x509.MarshalPKCS8PrivateKey(certificate.PrivateKey)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	files := map[string]*pem.Block{"cert": {Type: "CERTIFICATE", Bytes: certificate.Certificate[0]}, "key": {Type: "PRIVATE KEY", Bytes: key}}
	for name, block := range files {
		if err := os.WriteFile(filepath.Join(dir, name), pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return "tls_cert = " + filepath.Join(dir, "cert") + "\ntls_key = " + filepath.Join(dir, "key") + "\n"
}
