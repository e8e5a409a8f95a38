package kernel

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/savoryfold/savoryfold/policy"
)

// A hedge is sent once a call has taken hedgeFactor times its expected duration,
// but not before hedgeMinDelay.
const (
	hedgeFactor   = 3
	hedgeMinDelay = 5 * time.Millisecond
)

// hedged makes a call and, if it is slow and the retry budget allows, a second
// one on another server. The first complete answer counts; the other call is
// cancelled. Both count towards costs and metrics.
func (s *stageRun) hedged(ctx context.Context, server *Server) finishedCall {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan finishedCall, 2)
	go func() { results <- s.send(ctx, server) }()
	if done, ok := s.awaitHedgeDelay(results, server); ok {
		s.recordCall(done)
		return done
	}
	second := s.hedgeServer(server)
	if second == nil {
		done := <-results
		s.recordCall(done)
		return done
	}
	s.host.addCount(hedgesFamily, s.stage.Pool, "", 1)
	go func() { results <- s.send(ctx, second) }()
	return s.firstComplete(results, cancel)
}

// awaitHedgeDelay waits for the first call to finish or the hedge delay to pass,
// and reports whether the call finished.
func (s *stageRun) awaitHedgeDelay(results <-chan finishedCall, server *Server) (finishedCall, bool) {
	delay := max(hedgeMinDelay, hedgeFactor*time.Duration(server.smoothedCallTime.Load()))
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case done := <-results:
		return done, true
	case <-timer.C:
		return finishedCall{}, false
	}
}

// hedgeServer takes a call slot on another server, if the retry budget allows
// and one is free now.
func (s *stageRun) hedgeServer(first *Server) *Server {
	if s.suspect() || s.pool.waiters.hasWaiting() {
		return nil
	}
	other := *s.slotReq
	other.tried = append([]string{first.ID}, s.slotReq.tried...)
	second := s.pool.tryAcquire(&other)
	if second == nil {
		return nil
	}
	decision := s.host.Decisions.Retry.Decide(time.Now(), policy.Attempt{
		Number: 1, Pool: s.stage.Pool, Account: s.account.Name, Idempotent: true, Sent: true,
		Deadline: s.deadline, Expected: time.Duration(second.smoothedCallTime.Load()),
		CostWeight: s.route.CostWeight, Random: rand.Uint64(),
	})
	if second.ID == first.ID || !decision.Retry {
		s.pool.release(second)
		return nil
	}
	return second
}

// firstComplete returns the first of two calls with a complete answer, or the
// last to finish if none has one. It cancels the other call and waits for its
// end.
func (s *stageRun) firstComplete(results <-chan finishedCall, cancel context.CancelFunc) finishedCall {
	first := <-results
	if first.answer.Result == CallOK {
		cancel()
	}
	second := <-results
	s.recordCall(first)
	s.recordCall(second)
	if first.answer.Result == CallOK {
		return first
	}
	return second
}
