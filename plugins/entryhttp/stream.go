package entryhttp

import (
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"
	"github.com/tmaxmax/go-sse"

	"github.com/savoryfold/savoryfold/internal/callerserver"
	"github.com/savoryfold/savoryfold/internal/membudget"
	"github.com/savoryfold/savoryfold/kernel"
)

// Types of the last event of a stream. A stream that ends without one of them is
// truncated.
const (
	eventDone  = "done"
	eventError = "error"
)

// doneData is the data of the event "done".
type doneData struct {
	Outcome  kernel.OutcomeKind `json:"outcome"`
	Replayed bool               `json:"replayed,omitempty"`
	Revision uint64             `json:"revision"`
	Costs    []kernel.StageCost `json:"costs"`
	// Answer is the complete response body if no event was sent before.
	Answer json.RawMessage `json:"answer,omitempty"`
}

// stream writes a response as server-sent events. The status line is sent with
// the first event, so that a failure before it is an ordinary problem response.
type stream struct {
	entry   *Entry
	w       http.ResponseWriter
	r       *http.Request
	flusher http.Flusher
	memory  *membudget.Hold
	started bool
}

// serveStream runs a request and streams its response.
func (e *Entry) serveStream(w http.ResponseWriter, r *http.Request, req *kernel.Request, memory *membudget.Hold) {
	flusher, ok := w.(http.Flusher)
	if !ok {
		writeOutcome(w, reject(kernel.ReasonBadRequest, "this connection cannot stream"))
		return
	}
	s := &stream{entry: e, w: w, r: r, flusher: flusher, memory: memory}
	req.Events = s
	result := e.host.Serve(r.Context(), req)
	if result.Outcome.Kind != kernel.Served {
		s.fail(result)
		return
	}
	end := doneData{Outcome: kernel.Served, Replayed: result.Replayed, Revision: result.TablesRevision, Costs: result.Costs}
	if !s.started {
		end.Answer = rawJSON(result.Answer.Body)
	}
	if err := s.writeJSON(eventDone, "", end); err != nil {
		e.host.Counter("entry_unfinished_streams").Inc(1)
	}
}

// rawJSON returns body as it is if it is valid JSON, otherwise as a JSON string.
func rawJSON(body []byte) json.RawMessage {
	if json.Valid(body) {
		return body
	}
	quoted, _ := json.Marshal(string(body))
	return quoted
}

// Send implements kernel.EventSink.
func (s *stream) Send(e kernel.Event) error { return s.writeEvent("", e.ID, e.Data) }

// fail ends the stream with an error event, or sends a problem response if no
// event was sent yet.
func (s *stream) fail(result kernel.Result) {
	if !s.started {
		s.entry.extendWriteDeadline(s.w)
		defer callerserver.BeginResponse(s.w, s.r, s.memory)()
		writeResult(s.w, s.r, result)
		return
	}
	_ = s.writeJSON(eventError, "", outcomeProblem(result.Outcome))
}

func (s *stream) writeJSON(kind, id string, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return errors.Wrap(err, "event")
	}
	return s.writeEvent(kind, id, string(data))
}

func (s *stream) writeEvent(kind, id, data string) error {
	s.entry.extendWriteDeadline(s.w)
	defer s.entry.suspendWriteDeadline(s.w)
	defer callerserver.BeginResponse(s.w, s.r, s.memory)()
	if !s.started {
		h := s.w.Header()
		h.Set("Content-Type", "text/event-stream")
		h.Set("Cache-Control", "no-store")
		setOutcomeHeaders(h, kernel.Outcome{Kind: "streaming"})
		s.w.WriteHeader(http.StatusOK)
		s.started = true
	}
	m := &sse.Message{}
	m.AppendData(data)
	if kind != "" {
		m.Type = sse.Type(kind)
	}
	if id != "" {
		m.ID = sse.ID(id)
	}
	if _, err := m.WriteTo(s.w); err != nil {
		return errors.Wrap(err, "caller")
	}
	s.flusher.Flush()
	return nil
}
