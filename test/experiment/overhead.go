package main

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/savoryfold/savoryfold/internal/httpapi"
	"github.com/savoryfold/savoryfold/internal/load"
)

// Parameters of the overhead measurement.
const (
	overheadRounds = 1200
	overheadWarmup = 100
	overheadPause  = 2 * time.Millisecond
)

// overhead alternates requests through an instance and the same stage calls made
// directly, one at a time, and compares their latencies.
func overhead(ctx context.Context, e *env) error {
	spec := twoStageSpec()
	spec.Routes["two-stage"] = "deadline = 1500ms\nstages = first, second\nfirst.pool = encode\nsecond.pool = encode\n"
	if err := e.launch(ctx, spec); err != nil {
		return err
	}
	client := load.NewClient()
	defer client.Close()
	stageClient := &directClient{transport: &http.Transport{}}
	defer stageClient.transport.CloseIdleConnections()
	stages := []string{e.cluster.Links["encode-hobart"].Address(), e.cluster.Links["encode-launceston"].Address()}
	kind := smallRequests("one", 1)
	kind.Route = "two-stage"
	through, direct := newMicroseconds(), newMicroseconds()
	for n := range overheadRounds {
		took, err := stageClient.run(ctx, stages, kind.Body(n))
		if err != nil {
			return err
		}
		call := load.NewCall(n, "", &kind)
		call.Target = e.cluster.Instances[0].Entry
		r := client.Send(ctx, call, time.Now())
		if r.Outcome != load.OutcomeServed {
			return errors.Errorf("request %d: %s %s", n, r.Outcome, r.Reason)
		}
		if n >= overheadWarmup {
			_ = direct.RecordValue(took.Microseconds())
			_ = through.RecordValue(r.End.Sub(r.Start).Microseconds())
		}
		time.Sleep(overheadPause)
	}
	for _, q := range []float64{50, 99} {
		added := float64(through.ValueAtQuantile(q)-direct.ValueAtQuantile(q)) / 1000
		e.figure(quantileName(q)+" of the bare stage calls", float64(direct.ValueAtQuantile(q))/1000, "ms")
		e.figure(quantileName(q)+" through an instance", float64(through.ValueAtQuantile(q))/1000, "ms")
		if q == 99 {
			e.atMost("p99 added by an instance", added, 2, "ms")
		} else {
			e.figure("p50 added by an instance", added, "ms")
		}
	}
	return nil
}

func newMicroseconds() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, time.Minute.Microseconds(), 3)
}

func quantileName(q float64) string {
	if q == 50 {
		return "p50"
	}
	return "p99"
}

// directClient makes the stage calls of a request without an instance.
type directClient struct{ transport *http.Transport }

// run calls the stages one after another and returns the total time.
func (b *directClient) run(ctx context.Context, stages []string, request string) (time.Duration, error) {
	start := time.Now()
	for _, address := range stages {
		body := strings.NewReader(`{"request":` + request + `}`)
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/call", body)
		if err != nil {
			return 0, err
		}
		req.Header.Set(httpapi.HeaderCallID, uuid.NewString())
		resp, err := b.transport.RoundTrip(req)
		if err != nil {
			return 0, errors.Wrap(err, "direct stage call")
		}
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if err != nil {
			return 0, errors.Wrap(err, "read response of direct stage call")
		}
	}
	return time.Since(start), nil
}
