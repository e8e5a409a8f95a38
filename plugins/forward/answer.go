package forward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/savoryfold/savoryfold/catalog"
	"github.com/savoryfold/savoryfold/internal/body"
	"github.com/savoryfold/savoryfold/internal/eventstream"
	"github.com/savoryfold/savoryfold/internal/membudget"
	"github.com/savoryfold/savoryfold/internal/upstream"
	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/platform"
	"github.com/savoryfold/savoryfold/policy"
)

const (
	// maxResponseBytes bounds a response that is read completely before it is
	// passed on.
	maxResponseBytes = 16 << 20
	// streamBufferBytes is the size of the read buffer of a stream.
	streamBufferBytes = 8 << 10
	// maxEventBytes bounds one event of a stream, which is passed on when it is complete.
	maxEventBytes = 1 << 20
	// maxPrologueBytes bounds what precedes the first event: comments, which keep the
	// connection busy.
	maxPrologueBytes = 64 << 10
	// writeTimeout bounds each write to a caller, so that a caller that does
	// not read does not occupy a server.
	writeTimeout = 5 * time.Second
)

// responseWriter passes the response of one server to the caller, or a stream that
// several servers produce in turn.
type responseWriter struct {
	w       http.ResponseWriter
	forward *Forward
	request *request
	// started is true once a byte may have been sent to the caller.
	started bool
	// events follows the events of a stream that the caller has.
	events policy.EventSequence
}

func (f *Forward) newResponseWriter(w http.ResponseWriter, r *request) *responseWriter {
	a := &responseWriter{w: w, forward: f, request: r}
	if r.route.Resumable && r.call.LastEvent != "" {
		a.events.Resume(r.call.LastEvent)
	}
	return a
}

// mayRetry reports whether the request may be sent again after a server may
// have run it.
func (a *responseWriter) mayRetry() bool {
	r := a.request.route
	return r.Kind == catalog.Idempotent && !a.started || r.Kind == catalog.Streaming && r.Resumable && (!a.started || a.events.LastID() != "")
}

// resumeFrom returns the ID of the event after which the next server resumes
// the stream.
func (a *responseWriter) resumeFrom() string { return a.events.LastID() }

// writeHeader writes the status and headers of a response, once. A negative
// length means unknown.
func (a *responseWriter) writeHeader(resp *http.Response, length int) {
	if a.started {
		return
	}
	a.started = true
	platform.CopyResponseHeader(a.w.Header(), resp.Header)
	if length >= 0 {
		a.w.Header().Set("Content-Length", strconv.Itoa(length))
	}
	a.w.WriteHeader(resp.StatusCode)
}

// extendWriteDeadline sets the deadline of the next write.
func (a *responseWriter) extendWriteDeadline() error {
	return http.NewResponseController(a.w).SetWriteDeadline(time.Now().Add(writeTimeout))
}

// forwardResponse passes a response to the caller. A successful response on a route for
// streams is passed on event by event, any other response after it has been read
// completely.
func (f *Forward) forwardResponse(ctx context.Context, a *responseWriter, r *request, c choice, x *upstream.Exchange, hold *membudget.Hold, answer platform.ResponseInfo, began time.Time) (sendResult, kernel.Outcome) {
	if a.isStream(x) {
		return f.forwardStream(ctx, a, r, c, x, hold, answer, began)
	}
	b := body.New()
	defer b.Free(nil)
	err := b.Fill(x, hold, -1, maxResponseBytes)
	hold.MayAbandon(nil)
	r.logNoMemory(c, err)
	end := x.End(err)
	f.recordEnd(r, c, end)
	if end.Verdict() != policy.AnswerComplete {
		return f.answerFailed(ctx, a, r, c, began, end, err)
	}
	now := time.Now()
	if x.Response.StatusCode < 300 {
		f.recordBegin(now, r)
	}
	if x.Response.StatusCode < 500 {
		f.recordComplete(now, r)
	}
	f.finishExchange(r, x, answer)
	f.observeResponse(now, r, c, x.Response.StatusCode, now.Sub(began))
	if err := a.extendWriteDeadline(); err != nil {
		r.log.Add("could not set write deadline", "error", err)
	}
	a.writeHeader(x.Response, b.Size())
	if _, err := b.WriteTo(a.w); err != nil {
		r.log.Add("could not write response to caller", "error", err)
		return sendDone, kernel.Outcome{Kind: kernel.Unknown, Reason: kernel.ReasonCallerGone, Detail: "the caller went away", Truncated: true}
	}
	return sendDone, kernel.Outcome{Kind: kernel.Served}
}

// isStream reports whether a response has to be a stream of events. The route decides, not
// the headers of the server. A response that has no body by its method or status is none.
func (a *responseWriter) isStream(x *upstream.Exchange) bool {
	end := x.End(nil)
	return end.Success && a.request.route.Kind == catalog.Streaming && (a.started || end.Framing != policy.FramedEmpty)
}

// observeResponse records a complete response in the statistics of its server and
// service.
func (f *Forward) observeResponse(now time.Time, r *request, c choice, status int, took time.Duration) {
	failed := status >= 500
	f.observe(now, c.server, c.state, policy.CallSample{OK: !failed, Latency: took})
	if !failed {
		c.state.recordFirstByte(now, took)
		f.latencies.add(r.service.Name, took)
	}
	f.observeVersion(r, c, failed, took)
}

// discardResponse reads the rest of a response that is not passed on, so that
// its connection can be reused.
func (f *Forward) discardResponse(x *upstream.Exchange, answer platform.ResponseInfo) {
	if _, err := io.Copy(io.Discard, io.LimitReader(x, streamBufferBytes)); err == nil {
		_ = x.Finish(answer.KeepAlive) // unsolicited bytes only close the connection
	}
}

// finishExchange keeps the connection for reuse, unless unsolicited bytes follow
// the response.
func (f *Forward) finishExchange(r *request, x *upstream.Exchange, answer platform.ResponseInfo) {
	if err := x.Finish(answer.KeepAlive); err != nil {
		f.host.Counter("answers_stray").Inc(1)
		r.log.Add("connection closed", "error", err)
	}
}

var streamBuffers = sync.Pool{New: func() any { b := make([]byte, streamBufferBytes); return &b }}

// forwardStream passes the complete events of a stream to the caller as they arrive.
func (f *Forward) forwardStream(ctx context.Context, a *responseWriter, r *request, c choice, x *upstream.Exchange, hold *membudget.Hold, answer platform.ResponseInfo, began time.Time) (sendResult, kernel.Outcome) {
	buf := streamBuffers.Get().(*[]byte)
	defer streamBuffers.Put(buf)
	mayBeEmpty := !a.started && r.call.LastEvent != ""
	var split eventstream.Splitter
	var held []byte // what precedes the first event
	counted := 0
	discontinuous := false
	for {
		n, err := x.Read(*buf)
		if n > 0 {
			f.observeSlow(r, c, time.Since(began))
			before := split.Events()
			part, events := split.Add((*buf)[:n])
			switch {
			case split.Events() == 0:
				held = append(held, part...)
				part = nil
			case before == 0 && !a.continues(events):
				discontinuous, err = true, errDiscontinuous
				part, events = nil, nil
			case before == 0:
				part, held = append(held, part...), nil
				f.recordFirstEvent(r, c, time.Since(began))
			}
			a.noteEvents(events)
			if out, ok := a.writeChunk(x.Response, part); !ok {
				return sendDone, out
			}
		}
		if err == nil && (split.Pending() > maxEventBytes || len(held) > maxPrologueBytes) {
			err = errEventTooLarge
		}
		if holds := split.Held() + cap(held); err == nil && holds != counted {
			counted, err = holds, setStream(hold, holds)
		}
		if err == nil {
			continue
		}
		// The connection may be kept for another request.
		hold.MayAbandon(nil)
		if err != io.EOF && hold.Ended() {
			err = membudget.ErrNoMemory
		}
		r.logNoMemory(c, err)
		end := streamEnd(x.End(err), &split)
		end.MayBeEmpty, end.Discontinuous = mayBeEmpty, discontinuous
		f.recordEnd(r, c, end)
		if end.Verdict() != policy.AnswerComplete {
			return f.answerFailed(ctx, a, r, c, began, end, err)
		}
		a.writeHeader(x.Response, -1)
		f.finishExchange(r, x, answer)
		now := time.Now()
		f.recordComplete(now, r)
		f.observe(now, c.server, c.state, policy.CallSample{OK: true})
		f.observeVersion(r, c, false, now.Sub(began))
		return sendDone, kernel.Outcome{Kind: kernel.Served}
	}
}

// errDiscontinuous means that a server did not continue the stream after the last event
// that the caller has.
var errDiscontinuous = errors.New("the stream does not continue the one before")

// errEventTooLarge means that a server sent an event that cannot be kept in memory.
var errEventTooLarge = errors.Errorf("an event has more than %d bytes", maxEventBytes)

// streamEnd adds to the end of an answer where it is in its stream of events.
func streamEnd(end policy.AnswerEnd, split *eventstream.Splitter) policy.AnswerEnd {
	end.Stream, end.Events = true, split.Events()
	switch {
	case split.InsideEvent():
		end.Place = policy.InsideEvent
	case end.Events == 0:
		end.Place = policy.BeforeEvents
	default:
		end.Place = policy.BetweenEvents
	}
	return end
}

// recordEnd logs and counts how an answer ended.
func (f *Forward) recordEnd(r *request, c choice, end policy.AnswerEnd) {
	f.host.Counter(`answer_ends{framing="` + string(end.Framing) + `",reason="` + end.Reason() + `"}`).Inc(1)
	r.log.Add("answer ended", "server", c.server.ID, "framing", string(end.Framing), "cause", string(end.Cause), "place", string(end.Place),
		"bytes", end.Bytes, "events", end.Events, "verdict", string(end.Verdict()))
}

// recordFirstEvent records the start of a stream. The server has read its
// inputs by then, so they are released.
func (f *Forward) recordFirstEvent(r *request, c choice, took time.Duration) {
	now := time.Now()
	f.host.ReleaseResults(r.inputs)
	r.inputs = nil
	f.countRun(now, r)
	f.recordBegin(now, r)
	c.state.recordFirstByte(now, took)
	f.latencies.add(r.service.Name, took)
	r.log.Add("first event", "server", c.server.ID, "took", took, "since_begin", now.Sub(r.began))
}

// answerFailed returns the result of an answer that is not complete. err ended its
// reading.
func (f *Forward) answerFailed(ctx context.Context, a *responseWriter, r *request, c choice, began time.Time, end policy.AnswerEnd, err error) (sendResult, kernel.Outcome) {
	if ctx.Err() == nil {
		f.observeVersion(r, c, true, time.Since(began))
	}
	if end.Verdict() == policy.AnswerInvalid && ctx.Err() == nil {
		f.observe(time.Now(), c.server, c.state, policy.CallSample{})
		out := invalidAnswer
		out.Truncated = a.started
		r.log.Add("response not valid for the request", "server", c.server.ID, "events", end.Events, "bytes", end.Bytes, "error", err)
		return sendFailed, out
	}
	if err == nil || err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	result, out := f.classifyError(ctx, r, c, began, errors.Wrap(err, "answer ended early"))
	if out.Reason == kernel.ReasonStageFailed {
		out.Detail = brokenDetail(end)
	}
	out.Truncated = a.started
	return result, out
}

// brokenDetail describes an answer that a server broke off.
func brokenDetail(end policy.AnswerEnd) string {
	if end.Stream {
		return fmt.Sprintf("the server broke off its stream after %d events", end.Events)
	}
	return fmt.Sprintf("the server broke off its answer after %d bytes", end.Bytes)
}

// writeChunk writes a part of a stream to the caller and flushes it.
func (a *responseWriter) writeChunk(resp *http.Response, part []byte) (kernel.Outcome, bool) {
	if len(part) == 0 {
		return kernel.Outcome{}, true
	}
	err := a.extendWriteDeadline()
	a.writeHeader(resp, -1)
	if _, writeErr := a.w.Write(part); err == nil {
		err = writeErr
	}
	if err == nil {
		err = http.NewResponseController(a.w).Flush()
	}
	if err != nil {
		a.request.log.Add("could not write stream to caller", "error", err)
		return kernel.Outcome{Kind: kernel.Unknown, Reason: kernel.ReasonCallerGone, Detail: "the caller went away", Truncated: true}, false
	}
	return kernel.Outcome{}, true
}

// continues reports whether the first events of a server directly follow those that the
// caller has.
func (a *responseWriter) continues(events []eventstream.Event) bool {
	for _, e := range events {
		if !e.Empty {
			return a.events.Continues(e.ID, e.HasID)
		}
	}
	return true
}

// noteEvents records events that are sent to the caller.
func (a *responseWriter) noteEvents(events []eventstream.Event) {
	for _, e := range events {
		if !e.Empty {
			a.events.Add(e.ID, e.HasID)
		}
	}
}
