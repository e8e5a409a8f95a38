// Package backendhttp calls backend servers over HTTP.
//
// A call is a POST with a unique call ID, which the server echoes. A response is
// accepted only if it echoes the ID and is complete: its body is not truncated, or
// its event stream ends with the event "done". Every call has progress deadlines
// for its first byte and between bytes.
package backendhttp

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/savoryfold/savoryfold/config"
	"github.com/savoryfold/savoryfold/internal/httpapi"
	"github.com/savoryfold/savoryfold/internal/upstream"
	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/policy"
)

const (
	section          = "backend"
	keepAlive        = 15 * time.Second
	maxIdlePerServer = 64
	maxResponseBytes = 16 << 20
	maxErrorBytes    = 1 << 10
	// probeTimeout bounds the probe of a server after a progress timeout.
	probeTimeout = 300 * time.Millisecond
)

func init() {
	kernel.Register(kernel.ModuleInfo{
		ID:    "backendhttp",
		Phase: kernel.PhaseRequest,
		Settings: []config.Key{
			{Section: section, Name: "dial_timeout", Kind: config.Duration, Default: "500ms", Doc: "longest time to connect to a backend server"},
			{Section: section, Name: "idle_timeout", Kind: config.Duration, Default: "60s", Doc: "time after which an idle connection is closed"},
		},
		New: func() kernel.Module { return &Transport{} },
	})
}

// Transport implements kernel.Transport.
type Transport struct {
	host        *kernel.Host
	dialer      *net.Dialer
	idleTimeout time.Duration
	clients     sync.Map // address -> *http.Transport
}

// Provision implements kernel.Provisioner.
func (t *Transport) Provision(h *kernel.Host) error {
	t.host = h
	t.dialer = &net.Dialer{Timeout: h.Settings.Duration(section, "dial_timeout"), KeepAlive: keepAlive}
	t.idleTimeout = h.Settings.Duration(section, "idle_timeout")
	return nil
}

// Stop implements kernel.Stopper.
func (t *Transport) Stop(context.Context) error {
	t.clients.Range(func(_, c any) bool {
		c.(*http.Transport).CloseIdleConnections()
		return true
	})
	return nil
}

// Reconnect implements kernel.Transport. It closes the idle connections and probes
// the server on a new one. Calls in progress keep their connections.
func (t *Transport) Reconnect(ctx context.Context, s config.Server) bool {
	if old, ok := t.clients.LoadAndDelete(s.Address); ok {
		old.(*http.Transport).CloseIdleConnections()
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.Address+"/v1/load", nil)
	if err != nil {
		return false
	}
	resp, err := t.client(s.Address).RoundTrip(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return true
}

func (t *Transport) client(address string) *http.Transport {
	if c, ok := t.clients.Load(address); ok {
		return c.(*http.Transport)
	}
	created := &http.Transport{
		DialContext:         upstream.DialContext(t.dialer),
		MaxIdleConnsPerHost: maxIdlePerServer,
		IdleConnTimeout:     t.idleTimeout,
		DisableCompression:  true,

		MaxResponseHeaderBytes: upstream.MaxHeadBytes,
	}
	c, _ := t.clients.LoadOrStore(address, created)
	return c.(*http.Transport)
}

// exchange is one call in progress.
type exchange struct {
	call   *kernel.StageCall
	cancel context.CancelCauseFunc
	// progressTimer is reset before each wait for bytes. It cancels the call when it
	// fires.
	progressTimer *time.Timer
	// sent is true once a byte of the call may have been sent.
	sent atomic.Bool
}

var (
	errProgressTimeout = errors.New("no byte within the progress deadline")
	errTruncated       = errors.New("the answer has no end")
	errCallIDMismatch  = errors.New("the answer is to another call")
	errNotResumed      = errors.New("the answer does not go on with the stream")
	errNoStream        = errors.New("the answer is neither a stream nor valid JSON")
	errTooLarge        = errors.New("the answer is too large")
)

// Call implements kernel.Transport.
func (t *Transport) Call(ctx context.Context, c *kernel.StageCall) kernel.StageAnswer {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	x := &exchange{call: c, cancel: cancel}
	x.progressTimer = time.AfterFunc(c.FirstByteTimeout, func() { cancel(errProgressTimeout) })
	defer x.progressTimer.Stop()

	req, err := x.newRequest(ctx)
	if err != nil {
		return kernel.StageAnswer{Result: kernel.CallNotSent, Err: err}
	}
	resp, err := t.client(c.Server.Address).RoundTrip(req)
	if err != nil {
		return x.classifyError(ctx, err)
	}
	defer resp.Body.Close()
	x.progressTimer.Reset(c.Pool.ReadGapTimeout)
	return x.readResponse(ctx, resp)
}

// newRequest builds the HTTP request. It sets no GetBody, so that net/http cannot
// rewind the body and never retries the call by itself.
func (x *exchange) newRequest(ctx context.Context) (*http.Request, error) {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		// A process that was paused past the deadline must not send the call when
		// it resumes, even though its timers have not fired yet.
		_ = info.Conn.SetWriteDeadline(x.call.Deadline)
		x.sent.Store(true)
	}}
	ctx = httptrace.WithClientTrace(ctx, trace)
	url := "http://" + x.call.Server.Address + x.call.Stage.Path
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, nil)
	if err != nil {
		return nil, errors.Wrap(err, "stage call")
	}
	req.Body = io.NopCloser(bytes.NewReader(x.call.Body))
	req.ContentLength = int64(len(x.call.Body))
	req.Header.Set("Content-Type", x.call.ContentType)
	req.Header.Set(httpapi.HeaderCallID, x.call.ID)
	req.Header.Set(httpapi.HeaderPriority, strconv.Itoa(x.call.Priority))
	req.Header.Set(httpapi.HeaderDeadlineMS, strconv.FormatInt(time.Until(x.call.Deadline).Milliseconds(), 10))
	if x.call.Key != "" {
		req.Header.Set(httpapi.HeaderIdempotencyKey, x.call.Key)
	}
	if x.call.Events != nil {
		req.Header.Set("Accept", "text/event-stream")
		if id := x.call.Events.LastID(); id != "" {
			req.Header.Set("Last-Event-ID", id)
		}
	}
	return req, nil
}

// classifyError returns the call result for a transport error.
func (x *exchange) classifyError(ctx context.Context, err error) kernel.StageAnswer {
	a := kernel.StageAnswer{Result: kernel.CallBroken, Err: err}
	switch {
	case !x.sent.Load():
		a.Result = kernel.CallNotSent
	case errors.Is(context.Cause(ctx), errProgressTimeout):
		a.Result, a.Err = kernel.CallSilent, errProgressTimeout
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		a.Result = kernel.CallDeadline
	case ctx.Err() != nil:
		a.Result = kernel.CallCancelled
	}
	return a
}

// readResponse reads and checks the response.
func (x *exchange) readResponse(ctx context.Context, resp *http.Response) kernel.StageAnswer {
	if err := upstream.CheckHead(resp); err != nil {
		return kernel.StageAnswer{Result: kernel.CallFailed, Err: err}
	}
	if resp.Header.Get(httpapi.HeaderCallID) != x.call.ID {
		return kernel.StageAnswer{Result: kernel.CallFailed, Err: errCallIDMismatch}
	}
	if resp.StatusCode != http.StatusOK {
		return x.errorResponse(resp)
	}
	body := bufio.NewReader(&progressReader{resp.Body, x})
	if x.call.Events != nil && !beginsJSON(body) {
		return x.readStream(ctx, body)
	}
	if x.call.Events != nil && x.call.Events.LastID() != "" {
		return kernel.StageAnswer{Result: kernel.CallFailed, Err: errNotResumed}
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return kernel.StageAnswer{Result: kernel.CallBroken, Err: errTruncated}
	}
	data, err := readBody(body)
	if errors.Is(err, errTooLarge) {
		return kernel.StageAnswer{Result: kernel.CallFailed, Err: err}
	}
	if err != nil {
		return x.classifyError(ctx, err)
	}
	if x.call.Events != nil && !json.Valid(data) {
		return kernel.StageAnswer{Result: kernel.CallFailed, Err: errNoStream}
	}
	a := kernel.StageAnswer{Answer: kernel.Answer{ContentType: resp.Header.Get("Content-Type"), Body: data}}
	readServerReport(&a, headerOrTrailer(resp))
	return a
}

// beginsJSON reports whether a body begins as an object, a list or a string in JSON, as no
// stream does. A server without streams may send one value in place of a stream. Any other
// response of a stage that streams has to be a stream, whatever its headers say.
func beginsJSON(body *bufio.Reader) bool {
	first, err := body.Peek(1)
	return err == nil && strings.ContainsRune(`{["`, rune(first[0]))
}

// headerOrTrailer returns a function that looks up a field in the headers, then
// in the trailers.
func headerOrTrailer(resp *http.Response) func(string) string {
	return func(name string) string {
		if v := resp.Header.Get(name); v != "" {
			return v
		}
		return resp.Trailer.Get(name)
	}
}

// readServerReport reads the engine time, the token count and the load report
// that the server sent. An invalid load report is ignored.
func readServerReport(a *kernel.StageAnswer, field func(string) string) {
	a.EngineMS, _ = strconv.ParseFloat(field(httpapi.HeaderEngineMS), 64)
	a.Tokens, _ = strconv.Atoi(field(httpapi.HeaderTokens))
	if text := field(httpapi.HeaderLoad); text != "" {
		report := &policy.LoadReport{}
		if json.Unmarshal([]byte(text), report) == nil && report.Valid() {
			a.Load = report
		}
	}
}

// errorResponse returns the call result for a status other than 200. A call may
// have run unless the server sent the header Savoryfold-Not-Run.
func (x *exchange) errorResponse(resp *http.Response) kernel.StageAnswer {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	a := kernel.StageAnswer{Result: kernel.CallFailed, Err: errors.Errorf("status %d: %s", resp.StatusCode, bytes.TrimSpace(text))}
	if resp.Header.Get(httpapi.HeaderNotRun) == "true" {
		a.Result = kernel.CallRefused
		if resp.StatusCode >= 400 && resp.StatusCode < 500 && resp.StatusCode != http.StatusTooManyRequests {
			a.Result = kernel.CallRejected
		}
	}
	if seconds, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
		a.RetryAfter = time.Duration(seconds) * time.Second
	}
	readServerReport(&a, resp.Header.Get)
	return a
}

// readBody reads the complete body, which may have at most maxResponseBytes.
func readBody(body io.Reader) ([]byte, error) {
	var buf bytes.Buffer
	_, err := io.Copy(&buf, io.LimitReader(body, maxResponseBytes+1))
	if err == nil && buf.Len() > maxResponseBytes {
		err = errTooLarge
	}
	return buf.Bytes(), err
}

// progressReader runs the progress timer while it waits for bytes of the server. The
// time that the caller takes for the bytes does not count against the server.
type progressReader struct {
	r io.Reader
	x *exchange
}

// Read implements io.Reader.
func (p *progressReader) Read(b []byte) (int, error) {
	p.x.progressTimer.Reset(p.x.call.Pool.ReadGapTimeout)
	defer p.x.progressTimer.Stop()
	return p.r.Read(b)
}
