// Package load generates open-loop load for savoryfold. Requests are sent on a
// schedule that does not depend on earlier responses. Latency counts from the
// scheduled time, which avoids coordinated omission: a stalled system shows up as
// latency, not as fewer samples.
package load

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/savoryfold/savoryfold/internal/backoff"
)

// RequestKind is one kind of request in the mix of a phase.
type RequestKind struct {
	Route   string
	Account string
	// APIKey is the API key of the account.
	APIKey string
	// Weight is the relative frequency within the mix.
	Weight float64
	// Body returns the body of request n.
	Body func(n int) string
	// Deadline is sent with the request; 0 means the route's own deadline.
	Deadline time.Duration
	// Keyed requests carry a UUIDv7 as idempotency key.
	Keyed bool
	// Stream requests an event stream.
	Stream bool
}

// Phase is a part of a run with a constant rate and mix.
type Phase struct {
	Name string
	// Rate is the mean arrival rate in requests per second.
	Rate     float64
	Duration time.Duration
	Mix      []RequestKind
}

// Config describes a run.
type Config struct {
	// Targets are the addresses of instances, used round-robin.
	Targets []string
	Phases  []Phase
	// Seed determines the schedule.
	Seed uint64
	// Check validates a served response; nil accepts all.
	Check func(r *Result) error
	// OnResult, if not nil, is called with every result. It must be safe for
	// concurrent use.
	OnResult func(r *Result)
	// Progress, if not nil, is called about once per second.
	Progress func(Progress)
}

// Progress is the state of a run in progress. Elapsed counts from the start of the
// run.
type Progress struct {
	Phase                  string
	Elapsed                time.Duration
	Sent, Finished, Served int
}

// Result is a request and its outcome. Due is the time at which the request was
// scheduled.
type Result struct {
	Call
	Due, Start, End time.Time
	// First is the arrival time of the first event of a stream.
	First  time.Time
	Status int
	// Outcome and Reason are those in the response, but Outcome is "cut" if the
	// response is truncated, "no-answer" if there is none or it states no outcome,
	// and "wrong" if Check rejected it.
	Outcome  string
	Reason   string
	Replayed bool
	Answer   []byte
	Costs    []StageCost
	// Err is why the request failed at the client or why Check rejected the
	// response.
	Err error
}

// Outcomes that the load generator sets itself, and OutcomeServed.
const (
	OutcomeServed     = "served"
	OutcomeTruncated  = "cut"
	OutcomeNoResponse = "no-answer"
	OutcomeWrong      = "wrong"
)

// Latency returns the time from the scheduled time to the end of the response.
func (r *Result) Latency() time.Duration { return r.End.Sub(r.Due) }

// Attained reports whether the request was served within its deadline.
func (r *Result) Attained() bool {
	return r.Outcome == OutcomeServed && (r.Kind.Deadline == 0 || r.Latency() <= r.Kind.Deadline)
}

// Call is one request to send.
type Call struct {
	N      int
	Phase  string
	Kind   *RequestKind
	Target string
	Key    string
	Body   string
}

// scheduledCall is a call and its offset from the start of the run.
type scheduledCall struct {
	Call
	at time.Duration
}

// Run sends the scheduled requests and returns the report after all have ended. If
// the context ends, it sends no more.
func Run(ctx context.Context, c Config) (*Report, error) {
	if len(c.Targets) == 0 {
		return nil, errors.New("load: no targets configured")
	}
	scheduled, err := schedule(c)
	if err != nil {
		return nil, err
	}
	client := NewClient()
	defer client.Close()
	report := newReport(c)
	var pending sync.WaitGroup
	var sent atomic.Int64
	start := time.Now()
	report.Start = start
	stop := report.startProgress(c, start, &sent)
	defer stop()
	for i := range scheduled {
		s := &scheduled[i]
		if !backoff.Sleep(ctx, time.Until(start.Add(s.at))) {
			break
		}
		sent.Add(1)
		pending.Go(func() {
			r := client.Send(ctx, s.Call, start.Add(s.at))
			if r.Outcome == OutcomeServed && c.Check != nil {
				if r.Err = c.Check(r); r.Err != nil {
					r.Outcome = OutcomeWrong
				}
			}
			report.add(r)
			if c.OnResult != nil {
				c.OnResult(r)
			}
		})
	}
	pending.Wait()
	return report, nil
}

// schedule generates the requests with Poisson arrivals at the rate of each phase.
// The result depends only on the configuration and its seed.
func schedule(c Config) ([]scheduledCall, error) {
	random := rand.New(rand.NewPCG(c.Seed, c.Seed))
	var scheduled []scheduledCall
	var begin time.Duration
	for p := range c.Phases {
		phase := &c.Phases[p]
		if phase.Rate <= 0 || len(phase.Mix) == 0 {
			return nil, errors.Errorf("load: phase %s needs a positive rate and a non-empty mix", phase.Name)
		}
		at := begin
		for {
			at += time.Duration(random.ExpFloat64() / phase.Rate * float64(time.Second))
			if at >= begin+phase.Duration {
				break
			}
			n := len(scheduled)
			call := NewCall(n, phase.Name, pick(phase.Mix, random.Float64()))
			call.Target = c.Targets[n%len(c.Targets)]
			scheduled = append(scheduled, scheduledCall{call, at})
		}
		begin += phase.Duration
	}
	return scheduled, nil
}

// NewCall creates request n of a phase.
func NewCall(n int, phase string, kind *RequestKind) Call {
	return Call{N: n, Phase: phase, Kind: kind, Body: kind.Body(n)}
}

func pick(mix []RequestKind, x float64) *RequestKind {
	var sum float64
	for i := range mix {
		sum += mix[i].Weight
	}
	x *= sum
	for i := range mix {
		if x -= mix[i].Weight; x < 0 {
			return &mix[i]
		}
	}
	return &mix[len(mix)-1]
}

// Client sends requests over pooled connections.
type Client struct {
	transport *http.Transport
}

// maxIdleConnsPerTarget is the maximum number of idle connections per target.
const maxIdleConnsPerTarget = 1024

// NewClient creates a client. Call Close when done.
func NewClient() *Client {
	return &Client{transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerTarget, DisableCompression: true}}
}

// Close closes the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }
