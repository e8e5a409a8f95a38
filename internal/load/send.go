package load

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/tmaxmax/go-sse"

	"github.com/savoryfold/savoryfold/internal/httpapi"
)

const (
	// responseGrace is how long the client waits for a response past the deadline.
	responseGrace       = 5 * time.Second
	waitWithoutDeadline = 30 * time.Second
	maxEventBytes       = 16 << 20
)

// StageCost is the cost of one stage of a request, as reported in the response.
type StageCost struct {
	Stage    string  `json:"stage"`
	Calls    int     `json:"calls"`
	EngineMS float64 `json:"engine_ms"`
	WastedMS float64 `json:"wasted_ms"`
	WaitMS   float64 `json:"wait_ms"`
	Server   string  `json:"server"`
}

// Send sends one request and waits for the end of the response. Failures are
// reported in the result.
func (c *Client) Send(ctx context.Context, call Call, due time.Time) *Result {
	if call.Kind.Keyed && call.Key == "" {
		call.Key = uuid.Must(uuid.NewV7()).String()
	}
	r := &Result{Call: call, Due: due, Start: time.Now(), Outcome: OutcomeNoResponse}
	wait := waitWithoutDeadline
	if call.Kind.Deadline > 0 {
		wait = call.Kind.Deadline + responseGrace
	}
	ctx, cancel := context.WithDeadline(ctx, due.Add(wait))
	defer cancel()
	c.exchange(ctx, r)
	r.End = time.Now()
	return r
}

func (c *Client) exchange(ctx context.Context, r *Result) {
	req, err := r.request(ctx)
	if err != nil {
		r.Err = err
		return
	}
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		r.Err = err
		return
	}
	defer resp.Body.Close()
	r.Status = resp.StatusCode
	r.Outcome = resp.Header.Get(httpapi.HeaderOutcome)
	r.Reason = resp.Header.Get(httpapi.HeaderReason)
	r.Replayed = resp.Header.Get(httpapi.HeaderReplayed) == "true"
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		r.readStream(resp.Body)
		return
	}
	r.readBody(resp)
}

// request builds the HTTP request. It sets no GetBody, so that net/http never
// retries the request on its own.
func (r *Result) request(ctx context.Context) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.Target+"/v1/routes/"+r.Kind.Route, nil)
	if err != nil {
		return nil, err
	}
	req.Body = io.NopCloser(bytes.NewReader([]byte(r.Body)))
	req.ContentLength = int64(len(r.Body))
	req.Header.Set("Authorization", "Bearer "+r.Kind.APIKey)
	req.Header.Set("Content-Type", "application/json")
	if r.Key != "" {
		req.Header.Set(httpapi.HeaderIdempotencyKey, r.Key)
	}
	if r.Kind.Deadline > 0 {
		req.Header.Set(httpapi.HeaderDeadline, max(time.Until(r.Due.Add(r.Kind.Deadline)), time.Millisecond).String())
	}
	if r.Kind.Stream {
		req.Header.Set("Accept", "text/event-stream")
	}
	return req, nil
}

func (r *Result) readBody(resp *http.Response) {
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		r.Outcome, r.Err = OutcomeTruncated, err
		return
	}
	if r.Outcome == "" {
		r.Outcome = OutcomeNoResponse
	}
	r.Answer = body
	costs := resp.Trailer.Get(httpapi.HeaderCost)
	if costs == "" {
		costs = resp.Header.Get(httpapi.HeaderCost)
	}
	_ = json.Unmarshal([]byte(costs), &r.Costs)
}

// streamEnd is the data of the final event of a stream.
type streamEnd struct {
	Outcome string          `json:"outcome"`
	Reason  string          `json:"reason"`
	Costs   []StageCost     `json:"costs"`
	Answer  json.RawMessage `json:"answer"`
}

// readStream reads events up to and including the final event.
func (r *Result) readStream(body io.Reader) {
	r.Outcome = OutcomeTruncated
	var text strings.Builder
	for event, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			r.Err = err
			return
		}
		if r.First.IsZero() {
			r.First = time.Now()
		}
		if event.Type == "" {
			text.WriteString(event.Data)
			continue
		}
		var end streamEnd
		if r.Err = json.Unmarshal([]byte(event.Data), &end); r.Err != nil {
			return
		}
		r.Outcome, r.Reason, r.Costs, r.Answer = end.Outcome, end.Reason, end.Costs, end.Answer
		if end.Answer == nil {
			r.Answer = []byte(text.String())
		}
		return
	}
}
