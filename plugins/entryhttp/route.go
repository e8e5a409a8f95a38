package entryhttp

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/savoryfold/savoryfold/internal/callerserver"
	"github.com/savoryfold/savoryfold/internal/httpapi"
	"github.com/savoryfold/savoryfold/internal/membudget"
	"github.com/savoryfold/savoryfold/kernel"
)

// Limits on request headers.
const (
	minDeadline            = time.Millisecond
	maxDeadline            = 10 * time.Minute
	maxIdempotencyKeyBytes = 128
	// suspendTime is longer than any request.
	suspendTime = time.Hour
)

// noMemory is the outcome of a request for which there is no memory.
var noMemory = kernel.Outcome{Kind: kernel.NotRun, Reason: kernel.ReasonOverload, Detail: "requests in progress fill the memory", RetryAfter: time.Second}

// serveRoute serves one request on a route.
func (e *Entry) serveRoute(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	id := uuid.NewString()
	w.Header().Set(httpapi.HeaderRequestID, id)
	if e.host.Instance.State() != kernel.StateReady {
		// The caller sends its next request on another connection. Otherwise that
		// request could be in transit when the idle connections are closed.
		w.Header().Set("Connection", "close")
	}
	defer e.inFlight.Add(-1)
	if e.inFlight.Add(1) > e.maxRequests {
		writeOutcome(w, kernel.Outcome{Kind: kernel.NotRun, Reason: kernel.ReasonOverload, Detail: "too many requests in progress", RetryAfter: time.Second})
		return
	}
	memory := e.requests.Open(httpapi.HashToken(httpapi.Bearer(r.Header)), r.PathValue("route"))
	defer memory.Close()
	e.suspendWriteDeadline(w)
	req, out := e.readRequest(w, r, start, memory)
	if out.Kind != "" {
		e.extendWriteDeadline(w)
		e.host.Counter(`entry_refused{reason="` + string(out.Reason) + `"}`).Inc(1)
		writeOutcome(w, out)
		return
	}
	leave, fits := e.complete.Enter(req.Route, e.bytesPerRequest())
	if !fits {
		e.host.Counter(`memory_refused{kind="requests",scope="route"}`).Inc(1)
		e.extendWriteDeadline(w)
		writeOutcome(w, noMemory)
		return
	}
	defer leave()
	callerserver.AbandonUnread(r, memory)
	req.ID = id
	if strings.Contains(r.Header.Get("Accept"), "text/event-stream") {
		e.serveStream(w, r, req, memory)
		return
	}
	result := e.host.Serve(r.Context(), req)
	e.extendWriteDeadline(w)
	defer callerserver.BeginResponse(w, r, memory)()
	writeResult(w, r, result)
}

// readRequest authenticates, reads and validates a request. The outcome is empty
// if the request is valid.
func (e *Entry) readRequest(w http.ResponseWriter, r *http.Request, now time.Time, memory *membudget.Hold) (*kernel.Request, kernel.Outcome) {
	account, out := e.authenticate(r)
	if out.Kind != "" {
		return nil, out
	}
	req := &kernel.Request{
		Account:     account,
		Route:       r.PathValue("route"),
		Key:         r.Header.Get(httpapi.HeaderIdempotencyKey),
		ContentType: r.Header.Get("Content-Type"),
	}
	if len(req.Key) > maxIdempotencyKeyBytes {
		return nil, reject(kernel.ReasonBadRequest, "the header Idempotency-Key is longer than "+strconv.Itoa(maxIdempotencyKeyBytes)+" bytes")
	}
	if text := r.Header.Get(httpapi.HeaderDeadline); text != "" {
		d, err := time.ParseDuration(text)
		if err != nil || d < minDeadline || d > maxDeadline {
			return nil, reject(kernel.ReasonBadDeadline, "the header Savoryfold-Deadline wants a duration from 1ms to 10m, such as 1500ms")
		}
		req.Deadline = now.Add(d)
	}
	if req.Body, out = e.readBody(w, r, memory); out.Kind != "" {
		return nil, out
	}
	return req, kernel.Outcome{}
}

func (e *Entry) authenticate(r *http.Request) (string, kernel.Outcome) {
	snap := e.host.Snapshot()
	if snap == nil {
		return "", kernel.Outcome{Kind: kernel.NotRun, Reason: kernel.ReasonNotReady, Detail: "no tables in force yet", RetryAfter: time.Second}
	}
	hash := httpapi.HashToken(httpapi.Bearer(r.Header))
	account := snap.Tables.ByKey[hash]
	if account == nil || !httpapi.EqualHash(account.KeySHA256, hash) {
		return "", reject(kernel.ReasonUnauthorized, "want an API key in the header Authorization: Bearer KEY")
	}
	return account.Name, kernel.Outcome{}
}

// bytesPerRequest returns the memory that a request takes besides its body.
func (e *Entry) bytesPerRequest() int64 {
	return e.callers.BytesPerRequest(e.server.MaxConnections(), 0)
}

// readBody reads a body into memory that is counted for its account.
func (e *Entry) readBody(w http.ResponseWriter, r *http.Request, memory *membudget.Hold) ([]byte, kernel.Outcome) {
	err := memory.Grow(e.bytesPerRequest())
	var content []byte
	if err == nil {
		callerserver.Abandonable(memory, w)
		content, err = callerserver.ReadWhole(http.MaxBytesReader(w, r.Body, e.maxBodyBytes), memory, r.ContentLength, e.maxBodyBytes)
		memory.MayAbandon(nil)
	}
	if errors.Is(err, membudget.ErrNoMemory) {
		return nil, noMemory
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, reject(kernel.ReasonTooLarge, "the body is larger than "+strconv.FormatInt(e.maxBodyBytes, 10)+" bytes")
	}
	if err != nil {
		return nil, reject(kernel.ReasonBadRequest, "the body did not arrive whole in time")
	}
	if !json.Valid(content) {
		return nil, reject(kernel.ReasonBadRequest, "the body is no JSON")
	}
	return content, kernel.Outcome{}
}

func reject(reason kernel.OutcomeReason, detail string) kernel.Outcome {
	return kernel.Outcome{Kind: kernel.Rejected, Reason: reason, Detail: detail}
}

// httpStatus maps an outcome to an HTTP status.
func httpStatus(o kernel.Outcome) int {
	switch o.Kind {
	case kernel.Served:
		return http.StatusOK
	case kernel.NotRun:
		return http.StatusServiceUnavailable
	case kernel.Incomplete:
		return http.StatusGatewayTimeout
	case kernel.Unknown:
		return http.StatusConflict
	}
	return o.Reason.RejectedStatus()
}

func setOutcomeHeaders(h http.Header, o kernel.Outcome) {
	h.Set(httpapi.HeaderOutcome, string(o.Kind))
	if o.Reason != kernel.ReasonNone {
		h.Set(httpapi.HeaderReason, string(o.Reason))
	}
	if o.RetryAfter > 0 {
		h.Set("Retry-After", httpapi.RetryAfter(o.RetryAfter))
	}
}

func writeOutcome(w http.ResponseWriter, o kernel.Outcome) {
	setOutcomeHeaders(w.Header(), o)
	httpapi.WriteProblem(w, outcomeProblem(o))
}

func outcomeProblem(o kernel.Outcome) httpapi.Problem {
	return httpapi.Problem{Status: httpStatus(o), Detail: o.Detail, Outcome: string(o.Kind), Reason: string(o.Reason)}
}

// writeResult writes the response body of a served request, or a problem response
// for any other outcome. Costs are sent as a trailer after a body, otherwise as a
// header. HTTP/1.0 has no trailers, and only a length tells its callers where a body ends.
func writeResult(w http.ResponseWriter, r *http.Request, result kernel.Result) {
	costs, _ := json.Marshal(result.Costs)
	h := w.Header()
	h.Set(httpapi.HeaderRevision, strconv.FormatUint(result.TablesRevision, 10))
	if result.Replayed {
		h.Set(httpapi.HeaderReplayed, "true")
	}
	if result.Outcome.Kind != kernel.Served {
		h.Set(httpapi.HeaderCost, string(costs))
		writeOutcome(w, result.Outcome)
		return
	}
	if r.ProtoAtLeast(1, 1) {
		h.Set("Trailer", httpapi.HeaderCost)
		defer h.Set(httpapi.HeaderCost, string(costs))
	} else {
		h.Set("Content-Length", strconv.Itoa(len(result.Answer.Body)))
		h.Set(httpapi.HeaderCost, string(costs))
	}
	h.Set("Content-Type", result.Answer.ContentType)
	setOutcomeHeaders(h, result.Outcome)
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write(result.Answer.Body) // a caller that has disconnected needs no response
}
