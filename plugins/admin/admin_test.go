package admin

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/getkin/kin-openapi/openapi3"
	"github.com/getkin/kin-openapi/openapi3filter"
	"github.com/getkin/kin-openapi/routers"
	"github.com/getkin/kin-openapi/routers/legacy"
	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/savoryfold/savoryfold/api"
	"github.com/savoryfold/savoryfold/config"
	"github.com/savoryfold/savoryfold/internal/httpapi"
	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/policy"
)

const (
	editToken = "edit-token-of-alice"
	teamToken = "team-token-of-bob"
	readToken = "read-token-of-carol"
)

// fakes implements the interfaces of the other modules.
type fakes struct {
	host *kernel.Host
	err  error
}

func (f *fakes) Edit(_ context.Context, e config.Edit) (config.EditResult, error) {
	if f.err != nil {
		return config.EditResult{}, f.err
	}
	current := config.Empty()
	offset := uint64(1)
	if snap := f.host.Snapshot(); snap != nil {
		current, offset = snap.Tables, snap.Tables.Revision+1
	}
	next, result := config.Apply(current, e, offset)
	if result.Status == config.EditAccepted {
		f.host.SetTables(next)
	}
	return result, nil
}

func (f *fakes) View() *kernel.MemberView {
	self := kernel.Member{ID: "a", State: kernel.MemberReady}
	return &kernel.MemberView{Self: self, Members: []kernel.Member{self, {ID: "b", State: kernel.MemberReady}, {ID: "c", State: kernel.MemberGone}}}
}
func (f *fakes) Subscribe(func(*kernel.MemberView)) {}
func (f *fakes) SetState(kernel.MemberState)        {}
func (f *fakes) Moves() []kernel.MoveStatus {
	return []kernel.MoveStatus{{Kind: "version", Name: "answer", From: "v1", To: "v2", State: kernel.MoveRolledBack, Share: 0, Why: "failures", By: time.Now()}}
}
func (f *fakes) InDoubt(context.Context) ([]kernel.ClaimInfo, error) {
	return []kernel.ClaimInfo{{Account: "x", Route: "answer", Key: "k"}}, f.err
}
func (f *fakes) Settle(context.Context, kernel.ClaimInfo, kernel.Verdict, string) error { return f.err }
func (f *fakes) Append(context.Context, string, []byte) (uint64, error)                 { return 0, f.err }
func (f *fakes) Read(_ context.Context, stream string, _ uint64, _ time.Duration) (kernel.LogBatch, error) {
	data, _ := config.EncodeRecord(config.Record{Edit: &config.Edit{ID: "1", Section: "zone x"}})
	return kernel.LogBatch{First: 1, Next: 3, Records: []kernel.LogRecord{{Offset: 1, Time: time.Now(), Data: data}, {Offset: 2, Time: time.Now(), Data: []byte{0xff}}}}, f.err
}

func (f *fakes) ExplainChoice(now time.Time, q kernel.ChoiceQuery) (kernel.ChoiceExplanation, error) {
	return kernel.ChoiceExplanation{Instance: "a", At: now, Route: q.Path, Refusals: []string{}, Stages: []kernel.ChoiceStage{{}}, Servers: []kernel.ChoiceServer{{ID: "s", Load: -1, AgeMillis: -1}}}, f.err
}

// testAPI serves the API on fakes. It checks every response against the OpenAPI
// specification.
type testAPI struct {
	t         *testing.T
	server    *httptest.Server
	router    routers.Router
	spec      *openapi3.T
	admin     *Admin
	fakes     *fakes
	logs      bytes.Buffer
	responses strings.Builder // all response bodies
}

func newTestAPI(t *testing.T) *testAPI {
	text := "[instance]\nid = a\nzone = hobart\n[admin]\nlisten = 127.0.0.1:0\n"
	for name, rest := range map[string]string{
		"alice " + editToken: "rights = edit", "bob " + teamToken: "rights = edit\nsections = route team-, zone hobart", "carol " + readToken: "rights = read",
	} {
		op, token, _ := strings.Cut(name, " ")
		text += "[operator " + op + "]\ntoken_sha256 = " + httpapi.HashToken(token) + "\n" + rest + "\n"
	}
	settings, err := kernel.Schema().Load("t.ini", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	w := &testAPI{t: t, fakes: &fakes{}, admin: &Admin{}}
	in, err := kernel.NewInstance(settings, slog.New(slog.NewTextHandler(&w.logs, nil)), &slog.LevelVar{})
	if err != nil {
		t.Fatal(err)
	}
	h := in.Host
	w.fakes.host = h
	h.Config, h.Membership, h.Moves, h.ClaimsOperator, h.Log, h.ChoiceExplainer = w.fakes, w.fakes, w.fakes, w.fakes, w.fakes, w.fakes
	h.Decisions.Limits, h.Decisions.Queues = policy.FixedLimits{}, policy.FIFOQueues{}
	if err := errors.Cause(w.admin.Provision(h)); err != nil {
		t.Fatal(err)
	}
	w.spec, err = openapi3.NewLoader().LoadFromData(api.OpenAPISpec)
	if err == nil {
		err = w.spec.Validate(context.Background())
	}
	if err == nil {
		w.router, err = legacy.NewRouter(w.spec)
	}
	if err != nil {
		t.Fatal(err)
	}
	w.server = httptest.NewServer(w.admin.routes())
	t.Cleanup(w.server.Close)
	return w
}

// call sends a request, checks the response against the specification and returns
// its status and body.
func (w *testAPI) call(token, method, path, body string) (int, string) {
	req, err := http.NewRequest(method, w.server.URL+path, strings.NewReader(body))
	if err != nil {
		w.t.Fatal(err)
	}
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		w.t.Fatal(err)
	}
	defer resp.Body.Close()
	responseBody, err := io.ReadAll(resp.Body)
	if err != nil {
		w.t.Fatal(err)
	}
	w.responses.Write(responseBody)
	route, params, err := w.router.FindRoute(httptest.NewRequest(method, path, nil))
	if err != nil {
		w.t.Fatalf("%s %s: %v", method, path, err)
	}
	input := &openapi3filter.ResponseValidationInput{
		RequestValidationInput: &openapi3filter.RequestValidationInput{Request: req, PathParams: params, Route: route},
		Status:                 resp.StatusCode, Header: resp.Header,
		Options: &openapi3filter.Options{IncludeResponseStatus: true},
	}
	input.SetBodyBytes(responseBody)
	if err := openapi3filter.ValidateResponse(context.Background(), input); err != nil {
		w.t.Fatalf("%s %s: response %d %s does not match the specification: %v", method, path, resp.StatusCode, responseBody, err)
	}
	return resp.StatusCode, string(responseBody)
}

func TestSpecListsEveryRoute(t *testing.T) {
	Convey("The specification and the handlers have the same methods and paths", t, func() {
		w := newTestAPI(t)
		served := make(map[string]bool)
		for _, e := range w.admin.endpoints() {
			served[e.pattern] = true
		}
		described := make(map[string]bool)
		for path, item := range w.spec.Paths.Map() {
			for method := range item.Operations() {
				described[method+" "+path] = true
			}
		}
		So(described, ShouldResemble, served)
	})
}

func TestRightsAndResponses(t *testing.T) {
	Convey("Given the administration API", t, func() {
		w := newTestAPI(t)
		status := func(token, method, path, body string) int {
			code, _ := w.call(token, method, path, body)
			return code
		}
		Convey("without a valid token only health, readiness and metrics are served", func() {
			for _, e := range w.admin.endpoints() {
				method, path, _ := strings.Cut(e.pattern, " ")
				path = strings.NewReplacer("{kind}", "zone", "{name}", "x", "{revision}", "1").Replace(path)
				for _, token := range []string{"", "wrong", httpapi.HashToken(editToken)} {
					if strings.HasPrefix(path, "/v1/") {
						So(status(token, method, path, ""), ShouldEqual, http.StatusUnauthorized)
					} else {
						So(status(token, method, path, ""), ShouldBeIn, http.StatusOK, http.StatusServiceUnavailable)
					}
				}
			}
		})
		Convey("operators with the right read can query but not change anything", func() {
			for _, path := range []string{"/v1/dump", "/v1/members", "/v1/tables", "/v1/moves", "/v1/claims", "/v1/log?stream=config&from=1", "/v1/log-level", "/v1/applied/1"} {
				So(status(readToken, "GET", path, ""), ShouldEqual, http.StatusOK)
			}
			So(status(readToken, "POST", "/v1/choice", `{"host": "a", "path": "/"}`), ShouldEqual, http.StatusOK)
			So(status(readToken, "POST", "/v1/choice", "{"), ShouldEqual, http.StatusBadRequest)
			So(status(readToken, "PUT", "/v1/tables/zone/x?base=0", "state = in\n"), ShouldEqual, http.StatusForbidden)
			So(status(readToken, "DELETE", "/v1/tables/zone/x?base=0", ""), ShouldEqual, http.StatusForbidden)
			So(status(readToken, "PUT", "/v1/log-level", `{"level": "debug"}`), ShouldEqual, http.StatusForbidden)
			So(status(readToken, "POST", "/v1/claims/settle", `{"claim": {"route": "answer"}, "verdict": "ran"}`), ShouldEqual, http.StatusForbidden)
		})
		Convey("an operator with sections edits only these and settles only claims of these routes", func() {
			So(status(teamToken, "PUT", "/v1/tables/zone/hobart?base=0", "state = in\n"), ShouldEqual, http.StatusOK)
			So(status(teamToken, "PUT", "/v1/tables/zone/burnie?base=0", "state = in\n"), ShouldEqual, http.StatusForbidden)
			So(status(teamToken, "PUT", "/v1/log-level", `{"level": "debug"}`), ShouldEqual, http.StatusForbidden)
			So(status(teamToken, "POST", "/v1/claims/settle", `{"claim": {"route": "team-a"}, "verdict": "ran"}`), ShouldEqual, http.StatusOK)
			So(status(teamToken, "POST", "/v1/claims/settle", `{"claim": {"route": "answer"}, "verdict": "ran"}`), ShouldEqual, http.StatusForbidden)
		})
		Convey("edits are accepted, superseded, invalid or not confirmed", func() {
			So(status(editToken, "PUT", "/v1/tables/zone/x?base=0", "state = in\n"), ShouldEqual, http.StatusOK)
			So(status(editToken, "GET", "/v1/tables/zone/x", ""), ShouldEqual, http.StatusOK)
			So(status(editToken, "GET", "/v1/tables/zone/y", ""), ShouldEqual, http.StatusNotFound)
			So(status(editToken, "PUT", "/v1/tables/zone/x?base=0", "state = out\n"), ShouldEqual, http.StatusConflict)
			So(status(editToken, "PUT", "/v1/tables/zone/x?base=1", "state = odd\n"), ShouldEqual, http.StatusUnprocessableEntity)
			So(status(editToken, "PUT", "/v1/tables/zone/x", ""), ShouldEqual, http.StatusBadRequest)
			So(status(editToken, "PUT", "/v1/tables/zone/x?base=1", strings.Repeat("x", maxEditBytes+1)), ShouldEqual, http.StatusRequestEntityTooLarge)
			_, applied := w.call(readToken, "GET", "/v1/applied/1", "")
			var response api.Applied
			So(json.Unmarshal([]byte(applied), &response), ShouldBeNil)
			So(response, ShouldResemble, api.Applied{Revision: 1, Instances: 2, Active: 1, Behind: []string{"b"}})
			w.fakes.err = &config.UnsettledError{ID: "7"}
			code, text := w.call(editToken, "DELETE", "/v1/tables/zone/x?base=1&id=7", "")
			So(code, ShouldEqual, http.StatusServiceUnavailable)
			So(text, ShouldContainSubstring, "id=7")
			So(status(readToken, "GET", "/v1/claims", ""), ShouldEqual, http.StatusServiceUnavailable)
			So(status(readToken, "POST", "/v1/choice", `{"host": "a", "path": "/"}`), ShouldEqual, http.StatusServiceUnavailable)
			So(status(readToken, "GET", "/v1/log?stream=x&from=1", ""), ShouldEqual, http.StatusServiceUnavailable)
		})
		Convey("the log level changes", func() {
			So(status(editToken, "PUT", "/v1/log-level", `{"level": "debug"}`), ShouldEqual, http.StatusOK)
			So(w.admin.host.LogLevel.Level(), ShouldEqual, slog.LevelDebug)
			So(status(editToken, "PUT", "/v1/log-level", `{"level": "loud"}`), ShouldEqual, http.StatusBadRequest)
		})
		Reset(func() {
			for _, secret := range []string{editToken, teamToken, readToken, httpapi.HashToken(editToken)} {
				So(w.responses.String(), ShouldNotContainSubstring, secret)
				So(w.logs.String(), ShouldNotContainSubstring, secret)
			}
		})
	})
}

func TestDecodeRecordOmitsByteStrings(t *testing.T) {
	Convey("A byte string in a record, such as a stored response, is replaced by its length", t, func() {
		data := []byte{0xa1, 0x01, 0x43, 's', 'e', 'c'}
		v, err := decodeRecord("claims/1", data)
		So(err, ShouldBeNil)
		So(v, ShouldResemble, map[string]any{"1": "(3 bytes)"})
	})
}

func FuzzDecodeRecord(f *testing.F) {
	f.Add([]byte{0xa1, 0x01, 0x43, 's', 'e', 'c'})
	f.Add([]byte{0x82, 0xf9, 0x7e, 0x00, 0xc1, 0x00})
	f.Fuzz(func(t *testing.T, data []byte) {
		v, err := decodeRecord("claims/1", data)
		if err != nil {
			return
		}
		if _, err := json.Marshal(v); err != nil {
			t.Fatal(err)
		}
	})
}

// TestStopAnswersRequestsBeingRead guards against a stop that closes a connection as idle
// although a part of its next request has been read.
func TestStopAnswersRequestsBeingRead(t *testing.T) {
	Convey("An operator's request of which a part was read when the stop began gets a response", t, func() {
		a := newTestAPI(t).admin
		So(a.Start(context.Background()), ShouldBeNil)
		c, err := net.Dial("tcp", a.Address())
		So(err, ShouldBeNil)
		defer c.Close()
		reader := bufio.NewReader(c)
		stopped := make(chan error, 1)
		for _, before := range []func(){func() {}, func() {
			time.Sleep(20 * time.Millisecond) // the first part is read
			go func() { stopped <- a.Stop(context.Background()) }()
			time.Sleep(200 * time.Millisecond)
		}} {
			_, err := io.WriteString(c, "GET /healthz HTTP/1.1\r\n")
			So(err, ShouldBeNil)
			before()
			_, err = io.WriteString(c, "Host: a.example\r\n\r\n")
			So(err, ShouldBeNil)
			r, err := http.ReadResponse(reader, nil)
			So(err, ShouldBeNil)
			_, err = io.Copy(io.Discard, r.Body)
			So(err, ShouldBeNil)
		}
		So(<-stopped, ShouldBeNil)
	})
}
