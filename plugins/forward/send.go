package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/savoryfold/savoryfold/catalog"
	"github.com/savoryfold/savoryfold/internal/upstream"
	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/platform"
	"github.com/savoryfold/savoryfold/policy"
)

const (
	// maxIdleOnce bounds how long a connection may have been idle that carries
	// a request which may run at most once: if the server closes it meanwhile,
	// nobody knows whether the request ran.
	maxIdleOnce = 700 * time.Millisecond
	// maxIdleRepeatable is the bound for requests that may run again.
	maxIdleRepeatable = 5 * time.Second
	// maxSends bounds the servers that one request is offered to.
	maxSends = 4
	// maxStray bounds the answers to earlier requests that are skipped on one
	// connection.
	maxStray = 2
)

// sendResult says how one send ended.
type sendResult int

// The results of sends.
const (
	// sendDone: the caller has its answer, or it was broken off.
	sendDone sendResult = iota
	// sendNotSent: no byte left this instance.
	sendNotSent
	// sendRefused: the server said that it did not run the request.
	sendRefused
	// sendFailed: the server may have run the request, and its answer is no
	// good.
	sendFailed
	// sendInputGone: a result that the request needs is gone; it did not run.
	sendInputGone
)

var sendResultNames = [...]string{"done", "not-sent", "refused", "failed", "input-gone"}

// String returns the result's name, for logs and counters.
func (s sendResult) String() string { return sendResultNames[s] }

// send offers a request to servers until one answers it.
func (f *Forward) send(ctx context.Context, a *answerWriter, r *request) kernel.Outcome {
	r.tried = make(map[string]bool)
	ran := false
	last := kernel.Outcome{Kind: kernel.NotRun, Reason: kernel.ReasonNoServer, Detail: "no server of the service can take the request", RetryAfter: retryBusy}
	for n := 0; n < maxSends; n++ {
		now := time.Now()
		c, ok := f.choose(now, r)
		if !ok && len(r.tried) > 0 && !ran {
			r.tried = make(map[string]bool)
			c, ok = f.choose(now, r)
		}
		if !ok {
			r.log.Add("no server", "service", r.service.Name, "tried", len(r.tried))
			return ranOutcome(ran, last)
		}
		if n > 0 && !f.budgets.allow(now, r.service.Name, len(f.members())) {
			r.log.Add("no repeat", "reason", "the service's repeat budget is used up")
			f.host.Counter(`repeats_refused{service="` + r.service.Name + `"}`).Inc(1)
			return ranOutcome(ran, last)
		}
		r.log.Add("send", "server", c.server.ID, "zone", c.server.Zone, "reason", string(c.reason), "candidates", c.candidates,
			"inputs_in", r.zone, "input_bytes", r.inputBytes, "shared_tokens", r.sharedTokens,
			"entry_age", now.Sub(c.server.Seen), "left", r.deadline.Sub(now))
		result, out := f.sendOnce(ctx, a, r, c)
		f.host.CountSend(r.service.Name, result.String())
		r.tried[c.server.ID] = true
		switch result {
		case sendDone:
			return out
		case sendInputGone:
			if ran {
				return ranOutcome(ran, out)
			}
			return out
		case sendFailed:
			ran = true
			r.attempts++
			if !a.mayRepeat() || r.attempts >= r.route.MaxAttempts {
				return ranOutcome(ran, out)
			}
		}
		if ctx.Err() != nil {
			return ranOutcome(ran, f.ended(ctx))
		}
		last = out
	}
	return ranOutcome(ran, last)
}

// ranOutcome is an outcome after sends of which one may have run.
func ranOutcome(ran bool, out kernel.Outcome) kernel.Outcome {
	if ran && out.Kind == kernel.NotRun {
		out.Kind = kernel.Unknown
	}
	return out
}

// ended is the outcome of a request whose time is up or whose caller left
// before anything ran.
func (f *Forward) ended(ctx context.Context) kernel.Outcome {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return kernel.Outcome{Kind: kernel.NotRun, Reason: kernel.ReasonDeadline, Detail: "the time for the request is over"}
	}
	return kernel.Outcome{Kind: kernel.NotRun, Reason: kernel.ReasonCallerGone, Detail: "the caller went away"}
}

// sendOnce sends the request to one server and passes its answer on.
func (f *Forward) sendOnce(ctx context.Context, a *answerWriter, r *request, c choice) (sendResult, kernel.Outcome) {
	began := time.Now()
	c.state.begin()
	defer c.state.end()
	x, err := f.pool.Do(ctx, f.upstreamRequest(began, r, a, c.server))
	if err != nil {
		return f.sendError(ctx, r, c, began, err)
	}
	defer x.Close()
	answer := platform.DecodeAnswer(x.Response, r.call.ID)
	for stray := 0; !answer.Own && x.Reused && stray < maxStray; stray++ {
		r.log.Add("skipped an answer to another request", "server", c.server.ID)
		f.host.Counter("answers_stray").Inc(1)
		if err := x.Next(r.method); err != nil {
			return f.sendError(ctx, r, c, began, err)
		}
		answer = platform.DecodeAnswer(x.Response, r.call.ID)
	}
	now := time.Now()
	c.state.report(now, answer)
	return f.judge(ctx, a, r, c, x, answer, began)
}

// upstreamRequest is the request as a server gets it.
func (f *Forward) upstreamRequest(now time.Time, r *request, a *answerWriter, server *catalog.Server) *upstream.Request {
	idle := maxIdleOnce
	if r.route.Repeatable() {
		idle = maxIdleRepeatable
	}
	return &upstream.Request{
		Address: server.Address, Method: r.method, URI: r.uri, Host: r.host, Body: r.body, MaxIdle: idle,
		MaxConnections: f.connectionShare(r.service),
		Header: platform.EncodeSend(r.header, platform.Send{
			Left: r.deadline.Sub(now), Server: server.ID, Account: r.accountName(), Priority: r.priority(),
			Inputs: r.inputs, LastEvent: a.lastEvent(),
		}),
	}
}

// connectionMargin is the part of a server's connections that the instances
// divide; the rest is for views that differ.
const connectionMargin = 0.9

// connectionShare is the number of connections to one server of a service that
// belong to this instance; 0 means no bound.
func (f *Forward) connectionShare(service *catalog.Service) int {
	if service.MaxConnections <= 0 {
		return 0
	}
	fleet := max(1, len(f.members()))
	return max(1, int(connectionMargin*float64(service.MaxConnections))/fleet)
}

// sendError sorts an error of a send.
func (f *Forward) sendError(ctx context.Context, r *request, c choice, began time.Time, err error) (sendResult, kernel.Outcome) {
	now := time.Now()
	r.log.Add("send failed", "server", c.server.ID, "sent", upstream.Sent(err), "took", now.Sub(began), "error", err)
	if errors.Is(err, upstream.ErrFull) {
		return sendNotSent, kernel.Outcome{Kind: kernel.NotRun, Reason: kernel.ReasonOverload, Detail: "the connections to the server are used up", RetryAfter: retryBusy}
	}
	if ctx.Err() != nil {
		out := f.ended(ctx)
		if upstream.Sent(err) {
			out.Kind = kernel.Unknown
			return sendFailed, out
		}
		return sendNotSent, out
	}
	f.observe(now, c.server, c.state, policy.CallSample{Dead: !upstream.Sent(err) || upstream.Silent(err), Broken: true})
	if !upstream.Sent(err) {
		return sendNotSent, kernel.Outcome{Kind: kernel.NotRun, Reason: kernel.ReasonNoServer, Detail: "no connection to the server", RetryAfter: retryBusy}
	}
	return sendFailed, kernel.Outcome{Kind: kernel.Unknown, Reason: kernel.ReasonStageFailed, Detail: "the connection to the server broke"}
}

// judge decides what an answer is worth, and passes it on if it is the
// request's own.
func (f *Forward) judge(ctx context.Context, a *answerWriter, r *request, c choice, x *upstream.Exchange, answer platform.Answer, began time.Time) (sendResult, kernel.Outcome) {
	now := time.Now()
	status := x.Response.StatusCode
	switch {
	case answer.OtherServer:
		f.observe(now, c.server, c.state, policy.CallSample{Dead: true})
		return sendRefused, kernel.Outcome{Kind: kernel.NotRun, Reason: kernel.ReasonNoServer, Detail: "another server has the address", RetryAfter: retryBusy}
	case answer.Own && answer.NotRun:
		f.drain(x, answer)
		f.observe(now, c.server, c.state, policy.CallSample{Refused: true})
		r.log.Add("server did not run it", "server", c.server.ID, "status", status, "running", answer.Running, "waiting", answer.Waiting)
		if status == http.StatusConflict {
			return sendInputGone, kernel.Outcome{Kind: kernel.NotRun, Reason: kernel.ReasonInputGone, Detail: "a result of a stage is gone", RetryAfter: retryBusy}
		}
		return sendRefused, kernel.Outcome{Kind: kernel.NotRun, Reason: kernel.ReasonOverload, Detail: "the servers are full", RetryAfter: retryBusy}
	case !answer.Own || answer.Encoded || status < 300 && !answer.Signed:
		f.observe(now, c.server, c.state, policy.CallSample{})
		r.log.Add("answer is not the request's own", "server", c.server.ID, "status", status, "own", answer.Own, "signed", answer.Signed)
		return sendFailed, kernel.Outcome{Kind: kernel.Unknown, Reason: kernel.ReasonStageFailed, Detail: "the server's answer is no answer to the request"}
	case status >= 500 && a.mayRepeat() && r.attempts+1 < r.route.MaxAttempts && f.canRepeat(now, r):
		f.drain(x, answer)
		f.observe(now, c.server, c.state, policy.CallSample{})
		f.observeVersion(r, c, true, now.Sub(began))
		r.log.Add("server failed", "server", c.server.ID, "status", status)
		return sendFailed, kernel.Outcome{Kind: kernel.Unknown, Reason: kernel.ReasonStageFailed, Detail: "the server failed"}
	}
	return f.deliver(ctx, a, r, c, x, answer, began)
}

// canRepeat reports whether another server could take the request.
func (f *Forward) canRepeat(now time.Time, r *request) bool {
	return r.deadline.Sub(now) > f.latency.get(r.service.Name)
}

// observeVersion takes the result of a request into the evidence of a move.
func (f *Forward) observeVersion(r *request, c choice, failed bool, took time.Duration) {
	if f.host.Versioning != nil {
		f.host.Versioning.ObserveVersion(time.Now(), r.service.Name, c.server.Version, failed, took)
	}
}
