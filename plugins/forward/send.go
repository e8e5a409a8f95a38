package forward

import (
	"context"
	"maps"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/savoryfold/savoryfold/catalog"
	"github.com/savoryfold/savoryfold/internal/membudget"
	"github.com/savoryfold/savoryfold/internal/upstream"
	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/platform"
	"github.com/savoryfold/savoryfold/policy"
)

const (
	// maxIdleNonRetryable bounds the idle time of a connection that is reused
	// for a request that may run at most once. If the server closes the
	// connection meanwhile, it is unknown whether the request ran.
	maxIdleNonRetryable = 700 * time.Millisecond
	// maxIdleRetryable is the bound for requests that may run more than once.
	maxIdleRetryable = 5 * time.Second
	// maxSends bounds how often one request is sent.
	maxSends = 4
	// maxUnsent bounds the servers to which no byte of one request could be sent.
	maxUnsent = 6
	// maxStaleResponses bounds the responses to earlier requests that are skipped
	// on one connection.
	maxStaleResponses = 2
)

// sendResult is the result of sending a request to one server.
type sendResult int

// The results of sends.
const (
	// sendDone: the caller has its response, or the response was aborted.
	sendDone sendResult = iota
	// sendNotSent: no byte left this instance.
	sendNotSent
	// sendRefused: the server reported that it did not run the request.
	sendRefused
	// sendFailed: the server may have run the request, but its response cannot
	// be used.
	sendFailed
	// sendInputGone: a stage result that the request needs is gone; the request
	// did not run.
	sendInputGone
)

var sendResultNames = [...]string{"done", "not-sent", "refused", "failed", "input-gone"}

// String returns the result's name, for logs and counters.
func (s sendResult) String() string { return sendResultNames[s] }

var noServer = kernel.Outcome{Kind: kernel.NotRun, Reason: kernel.ReasonNoServer, Detail: "no server of the service can take the request", RetryAfter: retryAfterBusy}

// send sends a request to one server after another until one responds.
func (f *Forward) send(ctx context.Context, a *responseWriter, r *request) kernel.Outcome {
	r.tried = maps.Clone(r.sentTo)
	ran := false
	last := noServer
	// Only what reached a server before makes the next send a retry.
	for n, unsent := 0, 0; n-unsent < maxSends && unsent < maxUnsent; n++ {
		now := time.Now()
		// The request, or a part of its prompt, may have been found to crash servers during the
		// stages or the last send.
		if f.refusesParts(now, r) {
			return unknownIfRan(ran, partsRefused)
		}
		if out := f.checkStop(now, r, sendKind(r)); out.Kind != "" {
			return unknownIfRan(ran, out)
		}
		c, ok := f.choose(ctx, now, r)
		if !ok && r.delay.For == 0 && !ran && r.resetTried(n == 0) {
			c, ok = f.choose(ctx, now, r)
		}
		if !ok && r.delay.For > 0 {
			r.log.Add("no server has a turn", "service", r.service.Name, "paused", r.delay.Paused, "retry_in", r.delay.For)
			return unknownIfRan(ran, noTurn(r.delay))
		}
		if !ok {
			r.log.Add("no server available", "service", r.service.Name, "tried", len(r.tried))
			return unknownIfRan(ran, last)
		}
		if n > unsent && !f.retryBudgets.allowRetry(now, r.service.Name, f.fleetSize()) {
			r.log.Add("request not retried", "reason", "retry budget of the service exhausted")
			f.host.Counter(`repeats_refused{service="` + r.service.Name + `"}`).Inc(1)
			return unknownIfRan(ran, last)
		}
		r.log.Add("send", "server", c.server.ID, "zone", c.server.Zone, "reason", string(c.reason), "candidates", c.candidates,
			"inputs_zone", r.inputZone, "input_bytes", r.inputBytes, "shared_tokens", r.sharedTokens,
			"entry_age", now.Sub(c.server.FirstSeen), "left", r.deadline.Sub(now))
		result, out := f.sendOnce(ctx, a, r, c)
		if out.Kind == kernel.Served {
			took := time.Since(now)
			f.stop.Observe(sendKind(r), took)
			f.demand.served(r.service, took)
		}
		f.host.CountSend(r.service.Name, result.String())
		r.tried[c.server.ID] = true
		if result != sendNotSent {
			r.sentTo[c.server.ID] = true
		}
		switch result {
		case sendDone:
			return out
		case sendNotSent:
			unsent++
		case sendInputGone:
			if ran {
				return unknownIfRan(ran, out)
			}
			return out
		case sendFailed:
			ran = true
			r.attempts++
			if !a.mayRetry() || r.attempts >= r.route.MaxAttempts {
				return unknownIfRan(ran, out)
			}
		}
		if ctx.Err() != nil {
			return unknownIfRan(ran, f.contextOutcome(ctx))
		}
		last = out
	}
	return unknownIfRan(ran, last)
}

// resetTried makes servers candidates again, and reports whether it did: those that got
// nothing of the request, or all of them if again is true. A server that got it before may
// repeat its first answer, so that a second refusal would not be credible.
func (r *request) resetTried(again bool) bool {
	before := len(r.tried)
	r.tried = maps.Clone(r.sentTo)
	if again {
		clear(r.tried)
	}
	return len(r.tried) < before
}

// unknownIfRan returns the outcome after several sends. NotRun becomes Unknown
// if one of them may have run the request.
func unknownIfRan(ran bool, out kernel.Outcome) kernel.Outcome {
	if ran && out.Kind == kernel.NotRun {
		out.Kind = kernel.Unknown
	}
	return out
}

// contextOutcome returns the outcome of a request whose deadline passed, or
// whose caller left, before anything ran.
func (f *Forward) contextOutcome(ctx context.Context) kernel.Outcome {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return kernel.Outcome{Kind: kernel.NotRun, Reason: kernel.ReasonDeadline, Detail: "the time for the request is over"}
	}
	return kernel.Outcome{Kind: kernel.NotRun, Reason: kernel.ReasonCallerGone, Detail: "the caller went away"}
}

// sendOnce sends the request to one server and passes its response to the
// caller.
func (f *Forward) sendOnce(ctx context.Context, a *responseWriter, r *request, c choice) (sendResult, kernel.Outcome) {
	began := time.Now()
	r.begun, r.versionObserved = false, false
	c.state.begin(c.work)
	defer c.state.end(c.work)
	if f.host.VersionPicker != nil {
		f.host.VersionPicker.CountVersion(r.service.Name, r.route.Name, c.server.Version)
	}
	hold := f.openResponse(c)
	defer hold.Close()
	q := f.upstreamRequest(began, r, a, c.server)
	q.Memory = hold
	x, err := f.pool.Do(ctx, q)
	if err != nil {
		r.logNoMemory(c, err)
		f.headFailed(ctx, r, c, began, err)
		return f.classifyError(ctx, r, c, began, err)
	}
	defer x.Close()
	f.zoneReached(time.Now(), c.server)
	abandonable(hold, x)
	answer := f.decodeResponse(r, c, x)
	for skipped := 0; !answer.IDMatches && x.Reused && skipped < maxStaleResponses; skipped++ {
		r.log.Add("skipped a response to another request", "server", c.server.ID)
		f.host.Counter("answers_stray").Inc(1)
		if err := x.Next(r.method); err != nil {
			f.headFailed(ctx, r, c, began, err)
			return f.classifyError(ctx, r, c, began, err)
		}
		answer = f.decodeResponse(r, c, x)
	}
	now := time.Now()
	if answer.IDMatches && !answer.Misdirected && (!answer.NotRun || r.refusal(c, answer).Credible()) {
		f.host.ObserveRate(c.server, answer.RateObservation(began, now))
	}
	if answer.IDMatches {
		f.host.ObservePause(c.server, answer.PauseStatement(now, c.state.snapshot(now).inFlight-1))
	}
	f.recordLoad(now, c.state, answer)
	return f.handleResponse(ctx, a, r, c, x, hold, answer, began)
}

// decodeResponse decodes the head of a response, and records at once what the server states
// about itself in every response, also in one to an earlier request.
func (f *Forward) decodeResponse(r *request, c choice, x *upstream.Exchange) platform.ResponseInfo {
	answer := platform.DecodeResponse(x.Response, r.call.ID)
	if answer.Leaving {
		f.host.Catalogs.ServerLeaves(c.server)
	}
	return answer
}

// headFailed records that the head of an answer did not arrive. If the server ended the
// answer, rather than the network or the time of the request, that counts against its
// version.
func (f *Forward) headFailed(ctx context.Context, r *request, c choice, began time.Time, err error) {
	if !upstream.MaybeSent(err) {
		return
	}
	end := policy.AnswerEnd{Framing: policy.FramingUnknown, Cause: upstream.EndCause(err), Place: policy.InHead}
	f.recordEnd(r, c, end)
	if ctx.Err() == nil && end.ByServer() {
		f.observeVersion(r, c, true, time.Since(began))
	}
}

// upstreamRequest returns the request in the form that is sent to a server.
func (f *Forward) upstreamRequest(now time.Time, r *request, a *responseWriter, server *catalog.Server) *upstream.Request {
	idle := maxIdleNonRetryable
	if r.route.Retryable() {
		idle = maxIdleRetryable
	}
	var content upstream.Body // stays nil without a body
	if r.body != nil {
		content = r.body
	}
	return &upstream.Request{
		Address: server.Address, Method: r.method, URI: r.uri, Host: r.host, Body: content, MaxIdleTime: idle,
		MaxConnections: f.connectionShare(r.service),
		Header: platform.EncodeSend(r.header, platform.Send{
			RemainingTime: r.deadline.Sub(now), Server: server.ID, Account: r.accountName(), Priority: r.priority(),
			Inputs: r.inputs, LastEvent: a.resumeFrom(),
		}),
	}
}

// connectionShare returns the number of connections to one server of a service
// that this instance may open; 0 means no limit.
func (f *Forward) connectionShare(service *catalog.Service) int {
	if service.MaxConnections <= 0 {
		return 0
	}
	return policy.ConnectionShare(service.MaxConnections, f.fleetSize())
}

// classifyError returns the result and outcome of a failed send, and records
// the failure for outlier ejection.
func (f *Forward) classifyError(ctx context.Context, r *request, c choice, began time.Time, err error) (sendResult, kernel.Outcome) {
	now := time.Now()
	r.log.Add("send failed", "server", c.server.ID, "sent", upstream.MaybeSent(err), "response_started", r.begun,
		"fingerprint", r.fingerprint, "took", now.Sub(began), "error", err)
	if errors.Is(err, upstream.ErrConnectionLimit) {
		return sendNotSent, kernel.Outcome{Kind: kernel.NotRun, Reason: kernel.ReasonOverload, Detail: "the connections to the server are used up", RetryAfter: retryAfterBusy}
	}
	if ctx.Err() != nil {
		f.observeSlow(r, c, now.Sub(began))
		out := f.contextOutcome(ctx)
		if upstream.MaybeSent(err) {
			out.Kind = kernel.Unknown
			return sendFailed, out
		}
		return sendNotSent, out
	}
	if errors.Is(err, upstream.ErrBusy) {
		// It says nothing about the server, which must not be ejected for it.
		return sendNotSent, kernel.Outcome{Kind: kernel.NotRun, Reason: kernel.ReasonOverload, Detail: "the instance is too busy to connect to the server", RetryAfter: retryAfterBusy}
	}
	if !upstream.MaybeSent(err) {
		f.zoneFailed(now, c.server)
	}
	f.recordBreak(now, began, r, c, err)
	f.observe(now, c.server, c.state, policy.CallSample{Unresponsive: !upstream.MaybeSent(err) || upstream.TimedOut(err), Broken: true})
	if !upstream.MaybeSent(err) {
		return sendNotSent, kernel.Outcome{Kind: kernel.NotRun, Reason: kernel.ReasonNoServer, Detail: "no connection to the server", RetryAfter: retryAfterBusy}
	}
	return sendFailed, kernel.Outcome{Kind: kernel.Unknown, Reason: kernel.ReasonStageFailed, Detail: "the connection to the server broke"}
}

// handleResponse checks the response of a server, and passes it to the caller
// if it is valid for the request.
func (f *Forward) handleResponse(ctx context.Context, a *responseWriter, r *request, c choice, x *upstream.Exchange, hold *membudget.Hold, answer platform.ResponseInfo, began time.Time) (sendResult, kernel.Outcome) {
	now := time.Now()
	status := x.Response.StatusCode
	if answer.IDMatches && !answer.NotRun && !answer.Misdirected && !policy.PromisesNotRun(status) && r.route.Kind != catalog.Streaming {
		f.countRun(now, r)
	}
	switch {
	case answer.NotRun && answer.IDMatches && !r.refusal(c, answer).Credible():
		f.observe(now, c.server, c.state, policy.CallSample{Refused: true})
		r.log.Add("refusal may be a repeated one", "server", c.server.ID, "status", status)
		f.host.Counter("refusals_not_credible").Inc(1)
		return sendFailed, kernel.Outcome{Kind: kernel.Unknown, Reason: kernel.ReasonStageFailed, Detail: "the server's refusal may be about an earlier attempt"}
	case answer.Misdirected && answer.IDMatches:
		f.observe(now, c.server, c.state, policy.CallSample{Unresponsive: true})
		return sendRefused, kernel.Outcome{Kind: kernel.NotRun, Reason: kernel.ReasonNoServer, Detail: "another server has the address", RetryAfter: retryAfterBusy}
	case answer.IDMatches && answer.NotRun:
		f.discardResponse(x, answer)
		f.observe(now, c.server, c.state, policy.CallSample{Refused: true})
		r.log.Add("server did not run the request", "server", c.server.ID, "status", status, "running", answer.Running, "waiting", answer.Waiting)
		if status == http.StatusConflict {
			return sendInputGone, kernel.Outcome{Kind: kernel.NotRun, Reason: kernel.ReasonStageInputLost, Detail: "a result of a stage is gone", RetryAfter: retryAfterBusy}
		}
		if answer.Pause > 0 {
			return sendRefused, noTurn(kernel.TurnDelay{For: answer.Pause, Paused: true})
		}
		return sendRefused, kernel.Outcome{Kind: kernel.NotRun, Reason: kernel.ReasonOverload, Detail: "the servers are full", RetryAfter: retryAfterBusy}
	case !answer.IDMatches || answer.Encoded || status < 300 && !answer.Signed:
		f.observe(now, c.server, c.state, policy.CallSample{})
		f.observeVersion(r, c, true, now.Sub(began))
		r.log.Add("response not valid for the request", "server", c.server.ID, "status", status, "id_matches", answer.IDMatches, "signed", answer.Signed)
		return sendFailed, invalidAnswer
	case policy.PromisesNotRun(status):
		f.discardResponse(x, answer)
		f.observe(now, c.server, c.state, policy.CallSample{Refused: answer.Pause > 0})
		f.observeVersion(r, c, true, now.Sub(began))
		r.log.Add("server failed, its status does not say that the request did not run", "server", c.server.ID, "status", status)
		return sendFailed, kernel.Outcome{Kind: kernel.Unknown, Reason: kernel.ReasonStageFailed, Detail: "the server failed", Truncated: a.started}
	case a.started && status/100 != 2:
		f.discardResponse(x, answer)
		f.observe(now, c.server, c.state, policy.CallSample{OK: status < 500})
		f.observeVersion(r, c, status >= 500, now.Sub(began))
		r.log.Add("server does not continue the stream", "server", c.server.ID, "status", status)
		return sendFailed, kernel.Outcome{Kind: kernel.Unknown, Reason: kernel.ReasonStageFailed, Detail: "no server continued the stream", Truncated: true}
	case status >= 500 && a.mayRetry() && r.attempts+1 < r.route.MaxAttempts && f.canRetry(now, r):
		f.discardResponse(x, answer)
		f.observe(now, c.server, c.state, policy.CallSample{})
		f.observeVersion(r, c, true, now.Sub(began))
		r.log.Add("server failed", "server", c.server.ID, "status", status)
		return sendFailed, kernel.Outcome{Kind: kernel.Unknown, Reason: kernel.ReasonStageFailed, Detail: "the server failed"}
	}
	return f.forwardResponse(ctx, a, r, c, x, hold, answer, began)
}

// countRun counts a request that a server has started. A stream counts with its first
// event, any other response with its head.
func (f *Forward) countRun(now time.Time, r *request) {
	if f.host.UsageMeter != nil {
		f.host.UsageMeter.CountRun(now, r.accountName())
	}
}

var invalidAnswer = kernel.Outcome{Kind: kernel.Unknown, Reason: kernel.ReasonStageFailed, Detail: "the server's answer is no answer to the request"}

// refusal returns what is known of a refusal of the request by a server.
func (r *request) refusal(c choice, answer platform.ResponseInfo) policy.Refusal {
	return policy.Refusal{IDMatches: answer.IDMatches, SentBefore: r.sentTo[c.server.ID]}
}

// canRetry reports whether enough time is left for another server to respond.
func (f *Forward) canRetry(now time.Time, r *request) bool {
	return r.deadline.Sub(now) > f.latencies.get(r.service.Name)
}

// observeVersion records the result of a request as evidence for a version rollout,
// once for each send. A server that is still cold says nothing about its version.
func (f *Forward) observeVersion(r *request, c choice, failed bool, took time.Duration) {
	now := time.Now()
	if r.versionObserved || f.host.VersionPicker == nil || c.server.Cold(now) {
		return
	}
	r.versionObserved = true
	f.host.VersionPicker.ObserveVersion(now, r.service.Name, r.route.Name, c.server.Version, failed, took)
}

// observeSlow records a response that is taking too long, before its end.
func (f *Forward) observeSlow(r *request, c choice, took time.Duration) {
	if f.host.VersionPicker != nil && f.host.VersionPicker.SlowResponse(r.service.Name, r.route.Name, took) {
		f.observeVersion(r, c, false, took)
	}
}
