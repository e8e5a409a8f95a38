// Package load drives savoryfold with an open loop: requests are sent at the
// times of a schedule, whatever became of earlier ones, and latencies count
// from the scheduled time, so that a stalled system is not measured only when
// it answers.
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

// Share is one kind of request in a mix.
type Share struct {
	Route   string
	Account string
	// APIKey is the account's key.
	APIKey string
	// Weight is the share's part of the mix, relative to the others.
	Weight float64
	// Body makes the body of the request with a number.
	Body func(n int) string
	// Deadline is sent with the request; 0 leaves it to the route.
	Deadline time.Duration
	// Keyed requests get a UUIDv7 as idempotency key.
	Keyed bool
	// Stream asks for an event stream.
	Stream bool
}

// Phase is a part of a run with one rate and one mix.
type Phase struct {
	Name string
	// Rate is in requests a second.
	Rate     float64
	Duration time.Duration
	Mix      []Share
}

// Config describes a run.
type Config struct {
	// Targets are the addresses, used in turn.
	Targets []string
	Phases  []Phase
	// Seed fixes the schedule.
	Seed uint64
	// Check judges a served answer; nil accepts all.
	Check func(r *Result) error
	// Each is called with every result, from many goroutines; nil means nobody.
	Each func(r *Result)
	// Progress is called about once a second; nil means nobody.
	Progress func(Progress)
}

// Progress tells how a run stands.
type Progress struct {
	Phase                  string
	Elapsed                time.Duration
	Sent, Finished, Served int
}

// Result is one request and what became of it.
type Result struct {
	Call
	Due, Start, End time.Time
	// First is when the first event of a stream arrived.
	First  time.Time
	Status int
	// Outcome and Reason are the system's words; Outcome is "cut" if the answer
	// is not whole, and "no-answer" if there is none.
	Outcome  string
	Reason   string
	Replayed bool
	Answer   []byte
	Costs    []StageCost
	// Fault is why a served answer is wrong.
	Fault error
}

// Outcomes that the load tool itself gives.
const (
	OutcomeServed   = "served"
	OutcomeCut      = "cut"
	OutcomeNoAnswer = "no-answer"
	OutcomeWrong    = "wrong"
)

// Latency is the time from the scheduled time to the end.
func (r *Result) Latency() time.Duration { return r.End.Sub(r.Due) }

// Attained reports whether the request was served within its deadline.
func (r *Result) Attained() bool {
	return r.Outcome == OutcomeServed && (r.Share.Deadline == 0 || r.Latency() <= r.Share.Deadline)
}

// Call is one request to send.
type Call struct {
	N      int
	Phase  string
	Share  *Share
	Target string
	Key    string
	Body   string
}

// shot is a call and its time from the start of the run.
type shot struct {
	Call
	at time.Duration
}

// Run sends the requests and returns the report once all have ended.
func Run(ctx context.Context, c Config) (*Report, error) {
	if len(c.Targets) == 0 {
		return nil, errors.New("load: no target")
	}
	shots, err := schedule(c)
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
	stop := report.watch(c, start, &sent)
	defer stop()
	for i := range shots {
		s := &shots[i]
		if !backoff.Sleep(ctx, time.Until(start.Add(s.at))) {
			break
		}
		sent.Add(1)
		pending.Go(func() {
			r := client.Send(ctx, s.Call, start.Add(s.at))
			if r.Outcome == OutcomeServed && c.Check != nil {
				if r.Fault = c.Check(r); r.Fault != nil {
					r.Outcome = OutcomeWrong
				}
			}
			report.add(r)
			if c.Each != nil {
				c.Each(r)
			}
		})
	}
	pending.Wait()
	return report, nil
}

// schedule draws the requests: independent arrivals at each phase's rate.
func schedule(c Config) ([]shot, error) {
	random := rand.New(rand.NewPCG(c.Seed, c.Seed))
	var shots []shot
	var begin time.Duration
	for p := range c.Phases {
		phase := &c.Phases[p]
		if phase.Rate <= 0 || len(phase.Mix) == 0 {
			return nil, errors.Errorf("load: phase %s wants a rate and a mix", phase.Name)
		}
		at := begin
		for {
			at += time.Duration(random.ExpFloat64() / phase.Rate * float64(time.Second))
			if at >= begin+phase.Duration {
				break
			}
			n := len(shots)
			call := NewCall(n, phase.Name, pick(phase.Mix, random.Float64()))
			call.Target = c.Targets[n%len(c.Targets)]
			shots = append(shots, shot{call, at})
		}
		begin += phase.Duration
	}
	return shots, nil
}

// NewCall makes the request with a number.
func NewCall(n int, phase string, s *Share) Call {
	return Call{N: n, Phase: phase, Share: s, Body: s.Body(n)}
}

func pick(mix []Share, x float64) *Share {
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

// Client sends requests.
type Client struct {
	transport *http.Transport
}

// maxIdle is the number of idle connections kept to one target.
const maxIdle = 1024

// NewClient makes a client.
func NewClient() *Client {
	return &Client{transport: &http.Transport{MaxIdleConnsPerHost: maxIdle, DisableCompression: true}}
}

// Close closes the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }
