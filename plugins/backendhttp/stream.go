package backendhttp

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"
	"github.com/tmaxmax/go-sse"

	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/policy"
)

// doneEvent is the type of the event that ends a whole stream.
const doneEvent = "done"

// streamEnd is the data of the event that ends a stream.
type streamEnd struct {
	EngineMS float64            `json:"engine_ms"`
	Tokens   int                `json:"tokens"`
	Load     *policy.LoadReport `json:"load,omitempty"`
}

// stream passes events on as they come. The stream is whole only if it ends
// with the event "done".
func (x *exchange) stream(ctx context.Context, resp *http.Response) kernel.StageAnswer {
	for event, err := range sse.Read(&progressReader{resp.Body, x}, &sse.ReadConfig{MaxEventSize: maxAnswerBytes}) {
		if err != nil {
			return x.failure(ctx, err)
		}
		if event.Type == doneEvent {
			return finished(event.Data, x.call.Events.Text())
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
		return x.failure(ctx, ctx.Err())
	}
	return kernel.StageAnswer{Result: kernel.CallBroken, Err: errNoEnd}
}

// finished is the whole answer of a stream that ended with the event "done".
func finished(data, text string) kernel.StageAnswer {
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
