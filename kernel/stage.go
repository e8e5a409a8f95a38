package kernel

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/savoryfold/savoryfold/config"
	"github.com/savoryfold/savoryfold/internal/backoff"
	"github.com/savoryfold/savoryfold/policy"
)

// suspectRetryInterval is the time between two attempts to find a server that
// runs no other suspect request.
const suspectRetryInterval = 5 * time.Millisecond

// stageRun is the state of one stage of a request, over all its calls.
type stageRun struct {
	*run
	stage config.Stage
	// deadline is that of the stage; it shadows that of the request.
	deadline time.Time
	pool     *Pool
	cost     *StageCost
	slotReq  *slotRequest
	call     *StageCall
}

// do runs the stage. It returns an empty outcome if the stage succeeds.
func (s *stageRun) do(ctx context.Context) Outcome {
	ctx, cancel := context.WithDeadline(ctx, s.deadline)
	defer cancel()
	s.slotReq = &slotRequest{
		ticket:  s.ticket(),
		call:    policy.Call{Class: string(s.route.Size), Prefix: s.prefix},
		version: s.version,
	}
	var ok bool
	if s.pool, ok = s.pool.successor(s.slotReq); !ok {
		return s.fail(ReasonNoServer, "no backend server for stage "+s.stage.Name)
	}
	s.call = s.newCall()
	s.host.Decisions.Retry.Sent(s.stage.Pool, s.account.Name, s.route.CostWeight)
	for attempt := 1; ; attempt++ {
		server := s.acquire(ctx)
		if server == nil {
			return s.noSlotOutcome(ctx)
		}
		if !s.stage.Idempotent && !s.claim.MayDispatch(time.Now()) {
			s.releaseSlot(server)
			return s.fail(ReasonDeadline, "the claim no longer allows stage "+s.stage.Name)
		}
		call := s.attempt(ctx, server)
		if call.answer.Result == CallOK {
			s.recordSuccess(call.answer)
			return Outcome{}
		}
		if out := s.afterFailure(ctx, attempt, call.answer, call.server); out.Kind != "" {
			return out
		}
	}
}

// noSlotOutcome returns the outcome of a request that got no call slot in time.
func (s *stageRun) noSlotOutcome(ctx context.Context) Outcome {
	if errors.Is(ctx.Err(), context.Canceled) {
		return s.fail(ReasonCallerGone, "the caller went away")
	}
	return s.fail(ReasonDeadline, "no call slot for stage "+s.stage.Name+" in time")
}

func (s *stageRun) recordSuccess(answer StageAnswer) {
	s.results[s.stage.Name] = jsonOrString(answer.Answer.Body)
	s.lastAnswer = answer.Answer
	if g := s.host.CrashGuard; g != nil {
		g.Succeeded(time.Now(), s.fingerprint)
	}
}

func (s *stageRun) ticket() policy.Ticket {
	t := s.baseTicket()
	t.Arrived = time.Now()
	t.Needed = s.needed()
	return s.pool.ticket(s.stage, t)
}

// needed returns the estimated time to finish the request: a high quantile of
// the call time of this stage plus the mean call times of the stages after it.
func (s *stageRun) needed() time.Duration {
	class := string(s.route.Size)
	_, needed := s.pool.callTime(class)
	stages := s.route.Stages
	for i := len(stages) - 1; stages[i].Name != s.stage.Name; i-- {
		mean, _ := s.snap.Pool(stages[i].Pool).callTime(class)
		needed += mean
	}
	return needed
}

func (s *stageRun) newCall() *StageCall {
	call := &StageCall{
		Pool: s.pool.Config, Stage: s.stage, ContentType: "application/json",
		Body: s.input(), Deadline: s.deadline, Priority: s.route.Priority,
	}
	if !s.stage.Idempotent {
		call.Key = s.req.Account + "/" + s.req.Route + "/" + s.stage.Name + "/" + s.req.Key
	}
	if s.stage.Stream {
		call.Events = NewEventCollector(s.req.Events)
	}
	return call
}

// input returns the body of a stage call: the caller's request and the results
// of the preceding stages.
func (s *stageRun) input() []byte {
	input := struct {
		Request json.RawMessage            `json:"request"`
		Results map[string]json.RawMessage `json:"results,omitempty"`
	}{Request: jsonOrString(s.req.Body), Results: s.results}
	body, err := json.Marshal(input)
	if err != nil {
		panic("kernel: stage input: " + err.Error())
	}
	return body
}

// jsonOrString returns a body that is valid JSON unchanged, and any other as a
// JSON string.
func jsonOrString(body []byte) json.RawMessage {
	if json.Valid(body) {
		return body
	}
	quoted, _ := json.Marshal(string(body))
	return quoted
}

// suspects maps the ID of each server that runs a suspect request to the stage
// that runs there.
type suspects struct{ m sync.Map }

// releaseSlot returns a call slot and removes the server from the suspects if
// this stage added it.
func (s *stageRun) releaseSlot(server *Server) {
	s.host.suspects.m.CompareAndDelete(server.ID, s)
	s.pool.release(server)
}

// acquire takes a call slot. A request suspected of crashing servers takes one
// only on a server that runs no other suspect request.
func (s *stageRun) acquire(ctx context.Context) *Server {
	start := time.Now()
	defer func() { s.cost.WaitMS += milliseconds(time.Since(start)) }()
	for {
		server := s.pool.acquire(ctx, s.slotReq)
		if server == nil || !s.suspect() {
			return server
		}
		if _, taken := s.host.suspects.m.LoadOrStore(server.ID, s); !taken {
			return server
		}
		s.pool.release(server)
		if !backoff.Sleep(ctx, suspectRetryInterval) {
			return nil
		}
	}
}

func (s *stageRun) suspect() bool {
	g := s.host.CrashGuard
	return g != nil && g.Suspect(time.Now(), s.fingerprint)
}

// finishedCall is a stage call with its result.
type finishedCall struct {
	server *Server
	answer StageAnswer
	sample policy.CallSample
	// requestEnded is true if the request's context had ended when the call did.
	requestEnded bool
}

// attempt makes one call, or a hedged pair of calls if the route allows it. It
// returns the call whose result counts.
func (s *stageRun) attempt(ctx context.Context, server *Server) finishedCall {
	if s.route.Hedge && s.stage.Idempotent && !s.stage.Stream {
		return s.hedged(ctx, server)
	}
	// The call counts as sent until its result is known, also after a panic.
	before := s.nonIdempotentSent
	s.nonIdempotentSent = before || !s.stage.Idempotent
	done := s.send(ctx, server)
	if !done.answer.Result.Sent() {
		s.nonIdempotentSent = before
	}
	s.recordCall(done)
	return done
}

// send makes one call on a server and returns its call slot.
func (s *stageRun) send(ctx context.Context, server *Server) finishedCall {
	defer s.releaseSlot(server)
	call := *s.call
	call.ID = uuid.NewString()
	call.Server = server.Config
	call.FirstByteTimeout = s.firstByteTimeout()
	done := finishedCall{server: server}
	done.sample = policy.CallSample{Class: string(s.route.Size), InFlight: int(server.inFlight.Load())}
	start := time.Now()
	done.answer = s.host.Transport.Call(ctx, &call)
	done.sample.Latency = time.Since(start)
	done.requestEnded = ctx.Err() != nil
	done.sample.OK = done.answer.Result == CallOK
	done.sample.Broken = done.answer.Result == CallBroken
	done.sample.Refused = done.answer.Result == CallRefused
	done.sample.DeadlineExceeded = done.answer.Result == CallDeadline
	return done
}

// firstByteTimeout returns the time limit for the first byte of the response, at
// most that of the pool. An idempotent stage gets half of the remaining time, so
// that time is left for a retry, but at least a high quantile of the call time.
func (s *stageRun) firstByteTimeout() time.Duration {
	limit := s.pool.Config.FirstByteTimeout
	if s.stage.Idempotent {
		_, high := s.pool.callTime(string(s.route.Size))
		limit = min(limit, max(high, time.Until(s.deadline)/2))
	}
	return max(limit, time.Millisecond)
}
