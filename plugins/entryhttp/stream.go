package entryhttp

import (
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"
	"github.com/tmaxmax/go-sse"

	"github.com/savoryfold/savoryfold/kernel"
)

// Types of the events that end a stream. A stream without one of them was cut.
const (
	eventDone  = "done"
	eventError = "error"
)

// doneData is the data of the event that ends a whole answer.
type doneData struct {
	Outcome  kernel.OutcomeKind `json:"outcome"`
	Replayed bool               `json:"replayed,omitempty"`
	Revision uint64             `json:"revision"`
	Costs    []kernel.StageCost `json:"costs"`
	// Answer is the whole answer if no event carried a part of it.
	Answer json.RawMessage `json:"answer,omitempty"`
}

// stream writes an answer as server-sent events. The status line is sent with
// the first event, so that a refusal before it is an ordinary problem answer.
type stream struct {
	entry   *Entry
	w       http.ResponseWriter
	flusher http.Flusher
	begun   bool
}

// serveStream runs a request whose caller wants an event stream.
func (e *Entry) serveStream(w http.ResponseWriter, r *http.Request, req *kernel.Request) {
	flusher, ok := w.(http.Flusher)
	if !ok {
		writeOutcome(w, reject(kernel.ReasonBadRequest, "this connection cannot stream"))
		return
	}
	s := &stream{entry: e, w: w, flusher: flusher}
	req.Events = s
	result := e.host.Serve(r.Context(), req)
	if result.Outcome.Kind != kernel.Served {
		s.fail(result)
		return
	}
	end := doneData{Outcome: kernel.Served, Replayed: result.Replayed, Revision: result.Revision, Costs: result.Costs}
	if !s.begun {
		end.Answer = rawJSON(result.Answer.Body)
	}
	if err := s.write(eventDone, "", end); err != nil {
		e.host.Counter("entry_unfinished_streams").Inc(1)
	}
}

func rawJSON(body []byte) json.RawMessage {
	if json.Valid(body) {
		return body
	}
	quoted, _ := json.Marshal(string(body))
	return quoted
}

// Send implements kernel.EventSink.
func (s *stream) Send(e kernel.Event) error { return s.send("", e.ID, e.Data) }

// fail ends the stream with an error event, or answers with a problem if no
// event was sent yet.
func (s *stream) fail(result kernel.Result) {
	if !s.begun {
		s.entry.allowWrite(s.w)
		writeResult(s.w, result)
		return
	}
	_ = s.write(eventError, "", problemOf(result.Outcome))
}

func (s *stream) write(kind, id string, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return errors.Wrap(err, "event")
	}
	return s.send(kind, id, string(data))
}

func (s *stream) send(kind, id, data string) error {
	s.entry.allowWrite(s.w)
	if !s.begun {
		h := s.w.Header()
		h.Set("Content-Type", "text/event-stream")
		h.Set("Cache-Control", "no-store")
		setOutcome(h, kernel.Outcome{Kind: "streaming"})
		s.w.WriteHeader(http.StatusOK)
		s.begun = true
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
