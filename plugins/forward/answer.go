package forward

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/savoryfold/savoryfold/catalog"
	"github.com/savoryfold/savoryfold/internal/upstream"
	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/platform"
	"github.com/savoryfold/savoryfold/policy"
)

const (
	// maxAnswer bounds an answer that is read whole, in bytes.
	maxAnswer = 16 << 20
	// streamBuffer is the size of the buffer of a stream in bytes.
	streamBuffer = 8 << 10
	// maxEvent bounds one event of a stream that can be resumed, in bytes.
	maxEvent = 1 << 20
	// writeTimeout bounds each write to a caller, so that one that does not read
	// holds no server.
	writeTimeout = 5 * time.Second
)

// answerWriter passes the answer of one server, or the stream of several, on to
// the caller.
type answerWriter struct {
	w       http.ResponseWriter
	forward *Forward
	request *request
	// began is true once a byte may have gone to the caller.
	began bool
	// last is the ID of the last event that the caller got.
	last string
}

// mayRepeat reports whether the request may be sent once more after a server
// may have run it.
func (a *answerWriter) mayRepeat() bool {
	r := a.request.route
	return r.Kind == catalog.Idempotent && !a.began || r.Kind == catalog.Streaming && r.Resumable && (!a.began || a.last != "")
}

// lastEvent is where a further server goes on.
func (a *answerWriter) lastEvent() string { return a.last }

// head writes the status and headers of an answer.
func (a *answerWriter) head(resp *http.Response, length int) {
	if a.began {
		return
	}
	a.began = true
	platform.CopyAnswer(a.w.Header(), resp.Header)
	if length >= 0 {
		a.w.Header().Set("Content-Length", strconv.Itoa(length))
	}
	a.w.WriteHeader(resp.StatusCode)
}

// allowWrite starts the time for the next write.
func (a *answerWriter) allowWrite() error {
	return http.NewResponseController(a.w).SetWriteDeadline(time.Now().Add(writeTimeout))
}

// deliver passes an answer on.
func (f *Forward) deliver(ctx context.Context, a *answerWriter, r *request, c choice, x *upstream.Exchange, answer platform.Answer, began time.Time) (sendResult, kernel.Outcome) {
	if strings.HasPrefix(x.Response.Header.Get("Content-Type"), "text/event-stream") {
		return f.stream(ctx, a, r, c, x, answer, began)
	}
	body, err := io.ReadAll(io.LimitReader(x, maxAnswer+1))
	if err == nil && len(body) > maxAnswer {
		err = errors.Errorf("answer of more than %d bytes", maxAnswer)
	}
	if err != nil {
		return f.sendError(ctx, r, c, began, errors.Wrap(err, "answer"))
	}
	now := time.Now()
	f.finishExchange(r, x, answer)
	f.observeGood(now, r, c, x.Response.StatusCode, now.Sub(began))
	if err := a.allowWrite(); err != nil {
		r.log.Add("no write deadline", "error", err)
	}
	a.head(x.Response, len(body))
	if _, err := a.w.Write(body); err != nil {
		r.log.Add("caller did not take the answer", "error", err)
		return sendDone, kernel.Outcome{Kind: kernel.Unknown, Reason: kernel.ReasonCallerGone, Detail: "the caller went away", Broken: true}
	}
	return sendDone, kernel.Outcome{Kind: kernel.Served}
}

// observeGood takes a whole answer into the views of server and service.
func (f *Forward) observeGood(now time.Time, r *request, c choice, status int, took time.Duration) {
	failed := status >= 500
	f.observe(now, c.server, c.state, policy.CallSample{OK: !failed, Latency: took})
	if !failed {
		c.state.answeredIn(now, took)
		f.latency.add(r.service.Name, took)
	}
	f.observeVersion(r, c, failed, took)
}

// drain reads the rest of an answer that is not passed on, so that its
// connection can be used again.
func (f *Forward) drain(x *upstream.Exchange, answer platform.Answer) {
	if _, err := io.Copy(io.Discard, io.LimitReader(x, streamBuffer)); err == nil {
		_ = x.Finish(answer.KeepAlive) // stray bytes close the connection, which is all
	}
}

// finishExchange keeps the connection, unless something follows the answer.
func (f *Forward) finishExchange(r *request, x *upstream.Exchange, answer platform.Answer) {
	if err := x.Finish(answer.KeepAlive); err != nil {
		f.host.Counter("answers_stray").Inc(1)
		r.log.Add("connection closed", "error", err)
	}
}

var streamBuffers = sync.Pool{New: func() any { b := make([]byte, streamBuffer); return &b }}

// stream passes events on as they arrive.
func (f *Forward) stream(ctx context.Context, a *answerWriter, r *request, c choice, x *upstream.Exchange, answer platform.Answer, began time.Time) (sendResult, kernel.Outcome) {
	buf := streamBuffers.Get().(*[]byte)
	defer streamBuffers.Put(buf)
	var rest []byte // the begin of an event that is not whole
	first := true
	for {
		n, err := x.Read(*buf)
		if n > 0 {
			if first {
				first = false
				f.firstEvent(r, c, time.Since(began))
			}
			part := (*buf)[:n]
			if r.route.Resumable {
				part, rest = a.wholeEvents(append(rest, part...))
			}
			if out, ok := a.pass(x.Response, part); !ok {
				return sendDone, out
			}
		}
		if err == io.EOF && len(rest) == 0 {
			a.head(x.Response, -1)
			f.finishExchange(r, x, answer)
			f.observe(time.Now(), c.server, c.state, policy.CallSample{OK: x.Response.StatusCode < 500})
			return sendDone, kernel.Outcome{Kind: kernel.Served}
		}
		if err != nil || len(rest) > maxEvent {
			return f.streamBroken(ctx, a, r, c, began, err)
		}
	}
}

// firstEvent notes the begin of a stream: the server has its inputs.
func (f *Forward) firstEvent(r *request, c choice, took time.Duration) {
	now := time.Now()
	f.host.ReleaseResults(r.inputs)
	r.inputs = nil
	c.state.answeredIn(now, took)
	f.latency.add(r.service.Name, took)
	f.observeVersion(r, c, false, took)
	r.log.Add("first event", "server", c.server.ID, "took", took, "since_begin", now.Sub(r.began))
}

// streamBroken is the result of a stream that ended early.
func (f *Forward) streamBroken(ctx context.Context, a *answerWriter, r *request, c choice, began time.Time, err error) (sendResult, kernel.Outcome) {
	if err == nil {
		err = errors.Errorf("event of more than %d bytes", maxEvent)
	}
	result, out := f.sendError(ctx, r, c, began, errors.Wrap(err, "stream ended early"))
	f.observeVersion(r, c, ctx.Err() == nil, time.Since(began))
	out.Broken = a.began
	return result, out
}

// pass writes a part of a stream to the caller at once.
func (a *answerWriter) pass(resp *http.Response, part []byte) (kernel.Outcome, bool) {
	if len(part) == 0 {
		return kernel.Outcome{}, true
	}
	err := a.allowWrite()
	a.head(resp, -1)
	if _, writeErr := a.w.Write(part); err == nil {
		err = writeErr
	}
	if err == nil {
		err = http.NewResponseController(a.w).Flush()
	}
	if err != nil {
		a.request.log.Add("caller did not take the stream", "error", err)
		return kernel.Outcome{Kind: kernel.Unknown, Reason: kernel.ReasonCallerGone, Detail: "the caller went away", Broken: true}, false
	}
	return kernel.Outcome{}, true
}

// wholeEvents divides bytes of a stream into whole events and the begin of the
// next, and notes the ID of the last whole one.
func (a *answerWriter) wholeEvents(data []byte) (whole, rest []byte) {
	end := bytes.LastIndex(data, []byte("\n\n"))
	if end < 0 {
		return nil, data
	}
	whole, rest = data[:end+2], bytes.Clone(data[end+2:])
	for line := range bytes.SplitSeq(whole, []byte("\n")) {
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			a.last = string(bytes.TrimSpace(id))
		}
	}
	return whole, rest
}
