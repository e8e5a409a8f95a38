package passthrough

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"path"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/savoryfold/savoryfold/platform/platformtest"
)

// withoutEjection keeps a server that fails again and again in use.
const withoutEjection = "[policy]\nejection = baseline\n"

// maxInFlight bounds the requests that a test sends at a time.
const maxInFlight = 32

// startRawServer starts a raw server and registers it in the store. accepted may be nil.
func (c *Cluster) startRawServer(id, service string, accepted func(*platformtest.RawConn), do func(*platformtest.RawConn, platformtest.ReceivedRequest)) *platformtest.RawServer {
	s := platformtest.NewRawServer(accepted, do)
	c.t.Cleanup(s.Close)
	c.Store.PutServer(platformtest.Entry{ID: id, Service: service, Address: s.Address(), Zone: "z1", Version: "v1", Slots: 8, Born: 1, Sequence: 1})
	return s
}

// startWithRawServer starts an instance whose only server of both services is a raw one.
func startWithRawServer(t *testing.T, do func(*platformtest.RawConn, platformtest.ReceivedRequest)) (*Instance, *platformtest.RawServer) {
	c := New(t)
	c.Store.PutConfig(config(1))
	s := c.startRawServer("i-0", "llm", nil, do)
	c.Store.PutServer(platformtest.Entry{ID: "i-1", Service: "app", Address: s.Address(), Zone: "z1", Version: "v1", Slots: 8, Born: 1, Sequence: 1})
	in := c.Start("e1", "z1", true, withoutEjection)
	c.waitServers(in, "llm", 1)
	c.waitServers(in, "app", 1)
	return in, s
}

// rawAnswer is an answer that ends at some place.
type rawAnswer struct {
	framing, contentType, place, end string
	// cut is the number of bytes that are sent of an answer that ends in its head.
	cut int
}

func (a rawAnswer) String() string {
	return fmt.Sprintf("framing %s, type %q, ends %s by %s after %d bytes", a.framing, a.contentType, a.place, a.end, a.cut)
}

// stream reports whether the answer is one on a route for streams.
func (a rawAnswer) stream() bool { return a.contentType != "plain" }

// complete reports whether the answer is complete: its framing marks the end, or it
// has none, the connection was closed, and the answer does not end inside an event or
// before anything of it.
func (a rawAnswer) complete() bool {
	switch {
	case a.place == "at its end":
		return true
	case a.place == "between events":
		return a.framing == "none" && a.end == "close"
	}
	return false
}

// text returns what the server sends.
func (a rawAnswer) text(id string) string {
	body := platformtest.RawEvents(1, 3)
	if !a.stream() {
		body = "a whole body"
	}
	var headers []string
	switch a.framing {
	case "length":
		headers = append(headers, "Content-Length: "+strconv.Itoa(len(body)))
	case "chunks":
		headers = append(headers, "Transfer-Encoding: chunked")
	}
	if a.stream() && a.contentType != "" {
		headers = append(headers, "Content-Type: "+a.contentType)
	}
	head := platformtest.RawHead(200, id, headers...)
	event := strings.Index(body, "\n\n") + 2
	switch a.place {
	case "in the head":
		return head[:a.cut]
	case "after the head":
		body = ""
	case "inside the first event":
		body = body[:event-2]
	case "inside an event":
		body = body[:event+8]
	case "between events":
		body = body[:event]
	}
	if a.framing == "chunks" && body != "" {
		body = platformtest.RawChunk(body)
	}
	switch {
	case a.framing != "chunks":
	case a.place == "inside the last chunk":
		body += "0\r\n"
	case a.place == "at its end":
		body += platformtest.RawChunk("")
	}
	return head + body
}

// TestBrokenAnswersAreNotComplete guards against answers that a server broke off and
// that reach the caller as complete (issue 24).
func TestBrokenAnswersAreNotComplete(t *testing.T) {
	var answers []rawAnswer
	for _, framing := range []string{"length", "chunks", "none"} {
		for _, contentType := range []string{"text/event-stream", "Text/Event-Stream; charset=utf-8", "", "application/json", "plain"} {
			places := []string{"after the head", "inside the first event", "inside an event", "between events", "at its end"}
			if contentType == "plain" {
				places = []string{"after the head", "at its end"}
			}
			if framing == "chunks" {
				places = append(places, "before the last chunk", "inside the last chunk")
			}
			for _, place := range places {
				for _, end := range []string{"close", "reset"} {
					if place != "at its end" || end == "close" {
						answers = append(answers, rawAnswer{framing: framing, contentType: contentType, place: place, end: end})
					}
				}
			}
		}
		for _, contentType := range []string{"", "plain"} {
			a := rawAnswer{framing: framing, contentType: contentType, place: "after the head", end: "close"}
			head := a.text("")
			for a.place, a.cut = "in the head", 0; a.cut < len(head); a.cut++ {
				answers = append(answers, a)
			}
		}
	}
	in, _ := startWithRawServer(t, func(c *platformtest.RawConn, r platformtest.ReceivedRequest) {
		n, err := strconv.Atoi(strings.TrimPrefix(r.ID, "r"))
		if err != nil {
			panic(err)
		}
		c.Send(answers[n].text(r.ID))
		if answers[n].end == "reset" {
			c.Reset()
		}
		_ = c.Close()
	})
	var wg sync.WaitGroup
	responses := make([]response, len(answers))
	inFlight := make(chan struct{}, maxInFlight)
	for n, a := range answers {
		inFlight <- struct{}{}
		wg.Go(func() {
			path := "/stream/x"
			if !a.stream() {
				path = "/once/x"
			}
			responses[n] = send(in, "POST", path, "r"+strconv.Itoa(n))
			<-inFlight
		})
	}
	wg.Wait()
	Convey("Only complete answers are complete for the caller, and the others are broken off or an error", t, func() {
		for n, a := range answers {
			want := "broken off or failed"
			if a.complete() {
				want = "complete"
			}
			So(a.String()+": "+verdictOf(responses[n]), ShouldEqual, a.String()+": "+want)
		}
	})
}

// verdictOf names how a response ended for its caller.
func verdictOf(r response) string {
	switch {
	case r.err == nil && r.status == 200:
		return "complete"
	case r.err != nil || r.status == 502 && !platformtest.Signed(r.header):
		return "broken off or failed"
	}
	return fmt.Sprint("status ", r.status)
}

// TestCallersCanTellBrokenStreams guards against callers that take a stream for complete
// because their protocol ends it with the connection.
func TestCallersCanTellBrokenStreams(t *testing.T) {
	Convey("A stream that breaks off between events is broken off for each kind of caller", t, func() {
		in, _ := startWithRawServer(t, func(c *platformtest.RawConn, r platformtest.ReceivedRequest) {
			a := rawAnswer{framing: "chunks", contentType: "text/event-stream", place: "between events"}
			c.Send(a.text(r.ID))
			c.Reset()
		})
		for n, head := range []string{"HTTP/1.0\r\n", "HTTP/1.0\r\nConnection: keep-alive\r\n", "HTTP/1.1\r\n", "HTTP/1.1\r\nConnection: close\r\n"} {
			conn, err := net.Dial("tcp", in.Address)
			So(err, ShouldBeNil)
			So(conn.SetDeadline(time.Now().Add(testTimeout)), ShouldBeNil)
			fmt.Fprintf(conn, "POST /stream/x %sHost: %s\r\nAttempt-Id: r%d\r\nAuthorization: Bearer key-1\r\nContent-Length: 1\r\n\r\nb", head, host, n)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			So(err, ShouldBeNil)
			_, err = io.ReadAll(resp.Body)
			So(err, ShouldNotBeNil)
			So(conn.Close(), ShouldBeNil)
		}
	})
}

// TestUnframedStreamIsNotDelayed guards against streams that are held back until their
// connection ends because their answer has no framing or no content type.
func TestUnframedStreamIsNotDelayed(t *testing.T) {
	Convey("The first event arrives before the connection ends", t, func() {
		ended := make(chan struct{})
		in, _ := startWithRawServer(t, func(c *platformtest.RawConn, r platformtest.ReceivedRequest) {
			c.Send(platformtest.RawHead(200, r.ID) + platformtest.RawEvents(1, 1))
			<-ended
			c.Send(platformtest.RawEvents(2, 2))
			_ = c.Close()
		})
		timer := time.AfterFunc(2*time.Second, func() { close(ended) })
		resp, err := platformtest.Send(t.Context(), platformtest.Request{Address: in.Address, Method: "POST", Host: host, Path: "/stream/x", ID: "r", APIKey: "key-1", Timeout: 4 * time.Second, Body: "b"})
		So(err, ShouldBeNil)
		defer resp.Body.Close()
		buf := make([]byte, len(platformtest.RawEvents(1, 1)))
		_, err = io.ReadFull(resp.Body, buf)
		So(err, ShouldBeNil)
		So(timer.Stop(), ShouldBeTrue)
		close(ended)
		So(string(buf), ShouldEqual, platformtest.RawEvents(1, 1))
	})
}

// versionRecorder records the evidence on versions.
type versionRecorder struct {
	mu               sync.Mutex
	failed, observed int // guarded by mu
}

// PickVersion implements kernel.VersionPicker.
func (v *versionRecorder) PickVersion(time.Time, string, string, float64) func(string) bool {
	return nil
}

// CountVersion implements kernel.VersionPicker.
func (v *versionRecorder) CountVersion(string, string, string) {}

// ObserveVersion implements kernel.VersionPicker.
func (v *versionRecorder) ObserveVersion(_ time.Time, _, _, _ string, failed bool, _ time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.observed++
	if failed {
		v.failed++
	}
}

// SlowResponse implements kernel.VersionPicker.
func (v *versionRecorder) SlowResponse(string, string, time.Duration) bool { return false }

// TestBrokenAnswersAreEvidence guards against answers that a server breaks off and that do
// not count against its version, count twice, or leave no trace for operators.
func TestBrokenAnswersAreEvidence(t *testing.T) {
	Convey("A broken answer counts once against its version, and the log tells how it ended", t, func() {
		var answer rawAnswer
		in, _ := startWithRawServer(t, func(c *platformtest.RawConn, r platformtest.ReceivedRequest) {
			c.Send(answer.text(r.ID))
			_ = c.Close()
		})
		for n, c := range []struct {
			answer rawAnswer
			failed int
			log    string
		}{
			{rawAnswer{framing: "none", place: "at its end"}, 0, `"verdict":"complete"`},
			{rawAnswer{framing: "chunks", place: "in the head", cut: 20}, 1, `"place":"head"`},
			{rawAnswer{framing: "none", place: "after the head"}, 1, "broke off its stream after 0 events"},
			{rawAnswer{framing: "none", place: "inside an event"}, 1, "broke off its stream after 1 events"},
			{rawAnswer{framing: "chunks", place: "between events"}, 1, `"cause":"closed","place":"between-events","bytes":21,"events":1,"verdict":"broken-off"`},
			{rawAnswer{framing: "length", contentType: "plain", place: "after the head"}, 1, "broke off its answer after 0 bytes"},
		} {
			recorder := &versionRecorder{}
			in.Kernel.Host.VersionPicker = recorder
			answer = c.answer
			path := "/stream/x"
			if !answer.stream() {
				path = "/once/x"
			}
			id := "r" + strconv.Itoa(n)
			send(in, "POST", path, id)
			recorder.mu.Lock()
			So(fmt.Sprint(answer, ": ", recorder.observed, " ", recorder.failed), ShouldEqual, fmt.Sprint(answer, ": ", 1, " ", c.failed))
			recorder.mu.Unlock()
			if c.failed > 0 {
				So(requestLog(in, id), ShouldContainSubstring, c.log)
			}
		}
	})
}

// requestLog returns the log lines of a request.
func requestLog(in *Instance, id string) string {
	var lines []string
	for line := range strings.Lines(in.Log.String()) {
		if strings.Contains(line, `"request":"`+id+`"`) {
			lines = append(lines, line)
		}
	}
	return strings.Join(lines, "")
}

// longUpload is more than the buffers of a connection hold.
const longUpload = 6 << 20

// TestEarlyAnswers guards against answers that a server breaks off by a reset while the
// request is still being sent to it, and that reach the caller as complete. The error of a
// connection is reported once: if sending gets it, the connection looks closed to reading.
func TestEarlyAnswers(t *testing.T) {
	const attempts = 8
	type earlyAnswer struct {
		rawAnswer
		route string
	}
	var answers []earlyAnswer
	for _, route := range []string{"/once/", "/again/", "/stream/", "/resume/"} {
		for _, framing := range []string{"length", "chunks", "none"} {
			for _, end := range []string{"close", "reset"} {
				a := earlyAnswer{rawAnswer{framing: framing, contentType: "plain", place: "at its end", end: end}, route}
				if route == "/stream/" || route == "/resume/" {
					a.contentType, a.place = "text/event-stream", "between events"
				}
				answers = append(answers, a)
			}
		}
	}
	const resumed = "resumed"
	in := startEarlyServers(t, func(c *platformtest.RawConn, r *http.Request) {
		if id := r.Header.Get("Attempt-Id"); id == resumed && r.Header.Get("Last-Event-Id") != "" {
			c.Send(platformtest.RawHead(200, id, "Transfer-Encoding: chunked") + platformtest.RawChunk(platformtest.RawEvents(2, 3)) + platformtest.RawChunk(""))
			time.Sleep(earlyLinger)
			return
		}
		var i int
		if _, err := fmt.Sscanf(path.Base(r.URL.Path), "%d-", &i); err != nil {
			panic(err)
		}
		answer := answers[i]
		c.Send(answer.text(r.Header.Get("Attempt-Id")))
		if answer.end == "reset" {
			c.Reset()
			return
		}
		_ = c.CloseWrite()
		time.Sleep(earlyLinger)
	})
	upload := func(route, id string, i, n int) response {
		return sendRequest(platformtest.Request{
			Address: in.Address, Method: "POST", Host: host, Path: fmt.Sprintf("%s%d-%d", route, i, n), ID: id, APIKey: "key-1", Timeout: 4 * time.Second,
			Body: strings.Repeat("b", longUpload),
		})
	}
	for i, answer := range answers {
		Convey("An early answer to a long request for "+answer.route+": "+answer.String(), t, func() {
			for n := range attempts {
				complete := answer.place == "at its end" && answer.framing != "none" || answer.framing == "none" && answer.end == "close"
				want := "broken off or failed"
				if complete {
					want = "complete"
				}
				So(verdictOf(upload(answer.route, fmt.Sprint("r", n), i, n)), ShouldEqual, want)
			}
		})
	}
	Convey("The next server continues an early stream that is reset", t, func() {
		last := len(answers) - 1 // without a length, by a reset
		for n := range attempts {
			r := upload("/resume/", resumed, last, attempts+n)
			So(verdictOf(r), ShouldEqual, "complete")
			So(r.body, ShouldEqual, platformtest.RawEvents(1, 3))
		}
	})
}

// earlyLinger is the time for which a server that has answered early keeps its connection.
const earlyLinger = 50 * time.Millisecond

// startEarlyServers starts an instance whose servers answer once they have the head of a
// request: one of a service, and two of the one for streams.
func startEarlyServers(t *testing.T, do func(c *platformtest.RawConn, r *http.Request)) *Instance {
	c := New(t)
	settings := config(1)
	settings.BodyBytes = longUpload
	c.Store.PutConfig(settings)
	answer := func(conn *platformtest.RawConn) {
		r, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		do(conn, r)
		_ = conn.Close()
	}
	c.startRawServer("i-0", "llm", answer, nil)
	c.startRawServer("i-1", "llm", answer, nil)
	c.startRawServer("i-2", "app", answer, nil)
	in := c.Start("e1", "z1", true, withoutEjection)
	c.waitServers(in, "llm", 2)
	c.waitServers(in, "app", 1)
	return in
}

// TestFirstLinesOfAnswers guards against answers that are none by their version or status,
// and that reach the caller with the server's signature, and against the refusal of others.
func TestFirstLinesOfAnswers(t *testing.T) {
	var line string
	in, _ := startWithRawServer(t, func(c *platformtest.RawConn, r platformtest.ReceivedRequest) {
		_, rest, _ := strings.Cut(platformtest.RawHead(200, r.ID), "\r\n")
		c.Send(line + "\r\n" + rest + platformtest.RawEvents(1, 2))
		_ = c.Close()
	})
	for n, c := range []struct {
		line   string
		status int
	}{
		{"HTTP/1.1 200 OK", 200}, {"HTTP/1.1 200", 200}, {"HTTP/1.0 200 OK", 200}, {"HTTP/1.1 418 Other", 418}, {"HTTP/1.1 499 Other", 499},
		{"HTTP/0.9 200 OK", 502}, {"HTTP/2.0 200 OK", 502}, {"HTTP/1.1  200 OK", 502}, {"HTTP/1.1 000 OK", 502}, {"HTTP/1.1 600 Other", 502}, {"HTTP/1.1 999 Other", 502},
	} {
		for _, path := range []string{"/once/x", "/again/x", "/stream/x", "/resume/x"} {
			Convey(fmt.Sprintf("An answer on %s that begins with %q", path, c.line), t, func() {
				line = c.line
				r := send(in, "POST", path+strconv.Itoa(n), "r")
				So(r.err, ShouldBeNil)
				So(r.status, ShouldEqual, c.status)
				So(platformtest.Signed(r.header), ShouldEqual, c.status != 502)
			})
		}
	}
}

// TestUploadsOfCallers guards against requests of callers that send their body late or
// slowly and get an answer that is not whole, or another than that to their request.
func TestUploadsOfCallers(t *testing.T) {
	in, s := startWithRawServer(t, func(c *platformtest.RawConn, r platformtest.ReceivedRequest) {
		c.Send(platformtest.RawHead(200, r.ID, "Content-Length: 4") + "done")
	})
	const chunked = "Transfer-Encoding: chunked\r\n"
	for n, c := range []struct {
		name, key, headers string
		// parts are sent one after the other, with a pause after each.
		parts  []string
		status int
		body   string // that the server gets
	}{
		{"a body after 100 Continue", "key-1", "Expect: 100-continue\r\nContent-Length: 4\r\n", []string{"body"}, 200, "body"},
		{"a body in slow chunks", "key-1", chunked, []string{"2\r\nbo\r\n", "2\r\ndy", "\r\n0\r\n\r\n"}, 200, "body"},
		{"slow chunks after 100 Continue", "key-1", "Expect: 100-continue\r\n" + chunked, []string{"2\r\nbo\r\n", "2\r\ndy\r\n0\r\n\r\n"}, 200, "body"},
		{"a body that is refused before it is sent", "key-2", "Expect: 100-continue\r\nContent-Length: 4\r\n", nil, 401, ""},
		{"a body in slow chunks that is refused", "key-2", chunked, []string{"2\r\nbo\r\n", "2\r\ndy", "\r\n0\r\n\r\n"}, 401, ""},
	} {
		Convey("The answer to "+c.name, t, func() {
			conn, err := net.Dial("tcp", in.Address)
			So(err, ShouldBeNil)
			defer conn.Close()
			So(conn.SetDeadline(time.Now().Add(testTimeout)), ShouldBeNil)
			id := fmt.Sprint("u", n)
			fmt.Fprintf(conn, "POST /once/%d HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nAuthorization: Bearer %s\r\n%s\r\n", n, host, id, c.key, c.headers)
			reader := bufio.NewReader(conn)
			if strings.Contains(c.headers, "Expect") && c.status == 200 {
				resp, err := http.ReadResponse(reader, nil)
				So(err, ShouldBeNil)
				So(resp.StatusCode, ShouldEqual, 100)
			}
			for _, part := range c.parts {
				_, err := io.WriteString(conn, part)
				So(err, ShouldBeNil)
				time.Sleep(100 * time.Millisecond)
			}
			resp, err := http.ReadResponse(reader, nil)
			So(err, ShouldBeNil)
			So(resp.StatusCode, ShouldEqual, c.status)
			_, err = io.ReadAll(resp.Body)
			So(err, ShouldBeNil)
			So(resp.Header.Get("Attempt-Id"), ShouldEqual, id)
			for _, r := range s.Requests() {
				if r.ID == id {
					So(r.Header["Expect"], ShouldBeNil)
					So(r.Body, ShouldEqual, c.body)
				}
			}
		})
	}
}

// TestRestOfRefusedUpload guards against the rest of a body that is taken for a request: a
// caller that is refused before its body was read goes on sending it.
func TestRestOfRefusedUpload(t *testing.T) {
	in, s := startWithRawServer(t, func(c *platformtest.RawConn, r platformtest.ReceivedRequest) {
		c.Send(platformtest.RawHead(200, r.ID, "Content-Length: 4") + "done")
	})
	inner := "POST /once/inner HTTP/1.1\r\nHost: " + host + "\r\nAttempt-Id: inner\r\nAuthorization: Bearer key-1\r\nContent-Length: 0\r\n\r\n"
	for n, c := range []struct {
		key    string
		copies int
		status int
	}{{"key-2", 1, 401}, {"key-2", 1000, 401}, {"key-2", 6000, 401}, {"key-1", 12_000, 413}} {
		Convey(fmt.Sprintf("A body of %d requests, refused with %d", c.copies, c.status), t, func() {
			conn, err := net.Dial("tcp", in.Address)
			So(err, ShouldBeNil)
			defer conn.Close()
			So(conn.SetDeadline(time.Now().Add(testTimeout)), ShouldBeNil)
			go func() {
				fmt.Fprintf(conn, "POST /once/%d HTTP/1.1\r\nHost: %s\r\nAttempt-Id: outer\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n", n, host, c.key, c.copies*len(inner))
				for range c.copies {
					if _, err := io.WriteString(conn, inner); err != nil {
						return
					}
				}
			}()
			reader := bufio.NewReader(conn)
			resp, err := http.ReadResponse(reader, nil)
			So(err, ShouldBeNil)
			So(resp.StatusCode, ShouldEqual, c.status)
			_, err = io.ReadAll(resp.Body)
			So(err, ShouldBeNil)
			time.Sleep(200 * time.Millisecond)
			So(s.Requests(), ShouldBeEmpty)
		})
	}
}
