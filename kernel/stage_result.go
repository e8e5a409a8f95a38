package kernel

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/savoryfold/savoryfold/internal/backoff"
	"github.com/savoryfold/savoryfold/policy"
)

// recordCall adds a finished call to the stage's costs, the metrics and the
// server's state.
func (s *stageRun) recordCall(done finishedCall) {
	answer := done.answer
	answer.EngineMS = plausibleEngineMS(answer, done.sample.Latency)
	answer.Tokens = max(0, answer.Tokens)
	s.cost.Calls++
	s.cost.EngineMS += answer.EngineMS
	s.cost.Tokens += answer.Tokens
	if answer.Result == CallOK {
		s.cost.Server = done.server.Config.Name
	} else {
		s.cost.WastedMS += answer.EngineMS
	}
	if answer.Result.Sent() {
		s.sent = true
	}
	s.host.addCount(stageCallsFamily, s.stage.Pool, answer.Result.String(), 1)
	s.observeCall(done)
}

// plausibleEngineMS returns the work time that the server reported, in
// milliseconds. Without a plausible report (positive, and at most the duration of
// the call) it returns the duration of the call, or 0 if the call did not run on
// the server.
func plausibleEngineMS(answer StageAnswer, took time.Duration) float64 {
	limit := milliseconds(took)
	if answer.EngineMS > 0 && answer.EngineMS <= limit {
		return answer.EngineMS
	}
	if !answer.Result.Sent() {
		return 0
	}
	return limit
}

// observeCall updates the state of the server, its version and the crash guard
// with the result of a call. A call that ended because of its own request is
// not evidence against the server.
func (s *stageRun) observeCall(done finishedCall) {
	server, answer, sample := done.server, done.answer, done.sample
	now := time.Now()
	if answer.Load != nil {
		server.Report(now, *answer.Load)
	}
	switch answer.Result {
	case CallCancelled, CallRejected:
		return
	case CallNotSent:
		if done.requestEnded {
			return // the request ended while the connection was being opened
		}
	case CallRefused:
		// A refusal means that the server is at capacity, not that it fails.
		server.observe(now, sample)
		return
	case CallDeadline:
		// The call is not a failure of the version. The elapsed time is a lower
		// bound of the version's latency.
		server.observe(now, sample)
		done.sample.OK = true
		s.observeVersion(now, done)
		return
	case CallSilent:
		// handleSilence observes the server after the check on a new connection.
		// The call is not a failure of the version. The elapsed time is a lower
		// bound of the version's latency.
		done.sample.OK = true
		s.observeVersion(now, done)
		return
	}
	server.observe(now, sample)
	s.observeVersion(now, done)
	if g := s.host.CrashGuard; g != nil && answer.Result == CallBroken {
		g.ConnectionBroken(now, now.Add(-sample.Latency), s.fingerprint, server.ID)
	}
}

// afterFailure decides what follows a failed call. An empty outcome means that
// the call is retried.
func (s *stageRun) afterFailure(ctx context.Context, attempt int, answer StageAnswer, server *Server) Outcome {
	switch answer.Result {
	case CallRejected:
		return s.rejected(answer)
	case CallCancelled:
		return s.fail(ReasonCallerGone, "the caller went away")
	case CallDeadline:
		return s.fail(ReasonDeadline, "the deadline passed in stage "+s.stage.Name)
	case CallSilent:
		s.handleSilence(ctx, server)
	}
	if g := s.host.CrashGuard; g != nil && g.Refuse(time.Now(), s.fingerprint) {
		return s.fail(ReasonCrashes, "backend servers died while they ran this request")
	}
	s.slotReq.tried = append(s.slotReq.tried, server.ID)
	s.nextVersion(server)
	decision := s.host.Decisions.Retry.Decide(time.Now(), s.retryAttempt(attempt, answer, server))
	if !decision.Retry {
		s.host.addCount(retriesRefusedFamily, s.stage.Pool, string(decision.Reason), 1)
		return s.fail(ReasonStageFailed, "stage "+s.stage.Name+": "+answer.Result.String())
	}
	s.host.addCount(retriesFamily, s.stage.Pool, "", 1)
	if !backoff.Sleep(ctx, decision.Delay) {
		return s.fail(ReasonDeadline, "the deadline passed before another call of stage "+s.stage.Name)
	}
	return Outcome{}
}

func (s *stageRun) retryAttempt(attempt int, answer StageAnswer, server *Server) policy.Attempt {
	return policy.Attempt{
		Number: attempt, Pool: s.stage.Pool, Account: s.account.Name,
		Idempotent: s.stage.Idempotent, Sent: answer.Result.Sent(), Deadline: s.deadline,
		Expected: time.Duration(server.smoothedCallTime.Load()), CostWeight: s.route.CostWeight,
		Random: rand.Uint64(),
	}
}

// handleSilence checks on a new connection whether the server or only the old
// connection is unresponsive. An unresponsive connection is not recorded as a
// failure of the server.
func (s *stageRun) handleSilence(ctx context.Context, server *Server) {
	if s.host.Transport.Reconnect(ctx, server.Config) {
		s.host.addCount(silentConnectionsFamily, s.stage.Pool, "", 1)
		return
	}
	s.host.addCount(silentServersFamily, s.stage.Pool, "", 1)
	server.observe(time.Now(), policy.CallSample{Class: string(s.route.Size), Unresponsive: true})
}

// rejected returns the outcome of a request that a backend server rejected as
// invalid.
func (s *stageRun) rejected(answer StageAnswer) Outcome {
	detail := "stage " + s.stage.Name + " rejected the request"
	if answer.Err != nil {
		detail += ": " + answer.Err.Error()
	}
	if s.nonIdempotentSent {
		return Outcome{Kind: Unknown, Reason: ReasonStageFailed, Detail: detail}
	}
	return Outcome{Kind: Rejected, Reason: ReasonBadRequest, Detail: detail}
}
