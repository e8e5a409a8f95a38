package backendhttp

import (
	"context"
	"encoding/json"
	"io"

	"github.com/pkg/errors"
	"github.com/tmaxmax/go-sse"

	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/policy"
)

// doneEvent is the type of the event that ends a complete stream.
const doneEvent = "done"

// streamEnd is the data of the event "done".
type streamEnd struct {
	EngineMS float64            `json:"engine_ms"`
	Tokens   int                `json:"tokens"`
	Load     *policy.LoadReport `json:"load,omitempty"`
}

// readStream forwards events as they arrive. The stream is complete only if it
// ends with the event "done".
func (x *exchange) readStream(ctx context.Context, body io.Reader) kernel.StageAnswer {
	resumed, events := x.call.Events.LastID() != "", 0
	for event, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: maxResponseBytes}) {
		if err != nil {
			return x.classifyError(ctx, err)
		}
		events++
		if event.Type == doneEvent {
			return streamAnswer(event.Data, x.call.Events.Text())
		}
		err := x.call.Events.Send(kernel.Event{ID: event.LastEventID, Data: event.Data})
		if errors.Is(err, kernel.ErrCallerGone) {
			return kernel.StageAnswer{Result: kernel.CallCancelled, Err: err}
		}
		if err != nil {
			return kernel.StageAnswer{Result: kernel.CallFailed, Err: err}
		}
	}
	if ctx.Err() != nil {
		return x.classifyError(ctx, ctx.Err())
	}
	if resumed && events == 0 {
		return kernel.StageAnswer{Result: kernel.CallFailed, Err: errNotResumed}
	}
	return kernel.StageAnswer{Result: kernel.CallBroken, Err: errTruncated}
}

// streamAnswer returns the answer of a complete stream: the text of its events,
// joined, and the server's report from the data of the event "done".
func streamAnswer(data, text string) kernel.StageAnswer {
	var end streamEnd
	if err := json.Unmarshal([]byte(data), &end); err != nil {
		return kernel.StageAnswer{Result: kernel.CallFailed, Err: err}
	}
	if end.Load != nil && !end.Load.Valid() {
		end.Load = nil
	}
	body, _ := json.Marshal(map[string]string{"text": text})
	return kernel.StageAnswer{
		Answer:   kernel.Answer{ContentType: "application/json", Body: body},
		EngineMS: end.EngineMS, Tokens: end.Tokens, Load: end.Load,
	}
}
