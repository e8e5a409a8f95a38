package stages

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/savoryfold/savoryfold/catalog"
	"github.com/savoryfold/savoryfold/internal/upstream"
	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/platform"
	"github.com/savoryfold/savoryfold/policy"
)

const (
	// minCooldown and maxCooldown bound the cool-down of a server that failed,
	// during which it gets no calls. It doubles with each consecutive failure.
	minCooldown = 100 * time.Millisecond
	maxCooldown = 2 * time.Second
	// unreachableCooldown is the least cool-down of a server that refuses
	// connections or cannot be reached: the server or the link is down.
	unreachableCooldown = time.Second
	// noMemoryCooldown is the cool-down of a server without memory for results.
	noMemoryCooldown = 150 * time.Millisecond
	// callTimeoutFactor bounds the duration of a call, as a multiple of its
	// baseline duration.
	callTimeoutFactor = 8
	// maxCallResponseBytes and maxPieceResponseBytes bound the response of a stage server:
	// the first without its results, the second one of them, which is a handle or a reason.
	maxCallResponseBytes  = 16 << 10
	maxPieceResponseBytes = 1 << 10
)

// call is one call to a stage server.
type call struct {
	server *stageServer
	jobs   []*job
	pieces []platform.Piece
	began  time.Time
	// baseline is the duration of the call at the configured speed.
	baseline time.Duration
	// expectedEnd takes the slowness of the server into account.
	expectedEnd time.Time
	overdueAt   time.Time
	hedged      bool
	// inputsFetchedAt is the time from which on the server has fetched the inputs of the
	// call; zero if that is not known before the call ends.
	inputsFetchedAt time.Time
	// reserved is the memory for the results of the call, in bytes.
	reserved int64
}

// startCall starts a call in the background. The caller holds mu.
func (g *group) startCall(now time.Time, s *stageServer, jobs []*job) {
	c := &call{server: s, jobs: jobs, began: now}
	var latest time.Time
	for _, j := range jobs {
		j.attempts++
		j.running++
		if j.Deadline.After(latest) {
			latest = j.Deadline
		}
		c.reserved += int64(j.Pieces) * j.Bytes
		for _, p := range j.pieces {
			p.RemainingTime = j.Deadline.Sub(now)
			c.pieces = append(c.pieces, p)
		}
	}
	c.baseline = g.baseline().Duration(len(c.pieces))
	c.expectedEnd = now.Add(g.policyServer(now, s).Duration(len(c.pieces)))
	c.overdueAt = now.Add(overdueFactor*c.baseline + overdueSlack)
	if t, ok := g.inputFetch(now, s, c).Time(); ok {
		c.inputsFetchedAt = now.Add(t)
	}
	s.memory.used += c.reserved
	s.inFlight++
	s.lastCall, s.turnAt = now, time.Time{}
	g.calls[c] = true
	timeout := min(latest.Sub(now), callTimeoutFactor*c.baseline)
	server, running := s.server, s.inFlight-1
	g.stages.done.Go(func() {
		results, err := g.stages.callServer(server, running, c.pieces, timeout, &s.returned)
		g.finishCall(c, results, err)
	})
}

// inputFetch describes how the server of a call that starts now fetches the call's inputs.
// The caller holds mu.
func (g *group) inputFetch(now time.Time, s *stageServer, c *call) policy.InputFetch {
	f := policy.InputFetch{Alone: s.inFlight == 0 && g.sole.Sole(now), Slowness: g.policyServer(now, s).Slowness, LinkRate: g.service.LinkRate}
	for _, j := range c.jobs {
		f.Bytes += j.inputBytes * int64(j.Pieces)
	}
	return f
}

// releaseInputs releases the inputs that the server of a call has fetched and that nothing
// else needs. Their makers have little memory, and a call takes long. If the call fails, its
// jobs fail with it. The caller holds mu.
func (g *group) releaseInputs(now time.Time, c *call) {
	if c.inputsFetchedAt.IsZero() || now.Before(c.inputsFetchedAt) {
		return
	}
	c.inputsFetchedAt = time.Time{}
	for _, j := range c.jobs {
		if len(j.inputs) > 0 && !j.settled && !j.inputsReleased && g.jobs[j.ID] == nil && j.running == 1 {
			j.inputsReleased = true
			g.stages.Release(j.inputs)
			g.stages.host.Counter(`stage_inputs_released_early{service="` + g.key.service + `"}`).Inc(1)
		}
	}
}

// releasedGone reports whether a server did not find inputs that were released during the
// call.
func (c *call) releasedGone(results []platform.PieceResult) bool {
	for _, j := range c.jobs {
		if len(results) < len(j.pieces) {
			return false
		}
		if j.inputsReleased && slices.ContainsFunc(results[:len(j.pieces)], func(r platform.PieceResult) bool { return r.Failure == platform.PieceInputGone }) {
			return true
		}
		results = results[len(j.pieces):]
	}
	return false
}

// errRefused means that a stage server did not run a call.
var errRefused = errors.New("stage server refused the call")

// errRepeatedResponse means that a stage server sent the response to an earlier call
// again.
var errRepeatedResponse = errors.New("stage server repeated an earlier response")

// callServer makes one call and returns a result for each piece. running is the number of
// other calls to the server, and returned holds the results of earlier calls. Responses do not name their call, so a result that was
// returned before shows that the response belongs to an earlier one; its connection is
// closed, since the response to this call may follow on it.
func (s *Stages) callServer(server *catalog.Server, running int, pieces []platform.Piece, timeout time.Duration, returned *returnedResults) ([]platform.PieceResult, error) {
	body, err := platform.EncodePieces(pieces)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(s.callsContext(), timeout)
	defer cancel()
	began := time.Now()
	x, err := s.pool.Do(ctx, &upstream.Request{
		Address: server.Address, Method: http.MethodPost, URI: platform.StageRunPath, Host: server.Address,
		Header: platform.StageHeader(server.ID), Body: upstream.Bytes(body), MaxIdleTime: upstream.FleetIdleTimeout,
	})
	if err != nil {
		return nil, err
	}
	defer x.Close()
	answer := platform.DecodeResponse(x.Response, "")
	if answer.Leaving {
		s.host.Catalogs.ServerLeaves(server)
	}
	if !answer.Misdirected {
		s.host.ObserveRate(server, answer.RateObservation(began, time.Now()))
		s.host.ObservePause(server, answer.PauseStatement(time.Now(), running))
	}
	data, err := x.ReadAll(maxCallResponseBytes + maxPieceResponseBytes*int64(len(pieces)))
	if err != nil {
		return nil, errors.Wrap(err, "read stage server response")
	}
	if answer.NotRun {
		// The connection is closed: refusals do not name their call, so that one that the
		// server sends again would count for the next call.
		return nil, errors.Wrapf(errRefused, "status %d", x.Response.StatusCode)
	}
	if x.Response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("stage server: unexpected status %d", x.Response.StatusCode)
	}
	results, err := platform.DecodePieceResults(data, len(pieces))
	if err != nil {
		return nil, err
	}
	if !returned.add(results) {
		s.host.Counter("answers_stray").Inc(1)
		return nil, errRepeatedResponse
	}
	return results, x.Finish(answer.KeepAlive)
}

// finishCall handles the end of a call.
func (g *group) finishCall(c *call, results []platform.PieceResult, err error) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.calls, c)
	c.server.inFlight--
	c.server.memory.used -= c.reserved
	for _, j := range c.jobs {
		j.running--
	}
	took := now.Sub(c.began)
	g.observeVersion(now, c, results, err)
	g.sole.Observe(now, policy.StageCall{Refused: errors.Is(err, errRefused), InputGone: c.releasedGone(results)})
	if err != nil {
		g.failCall(now, c, err)
	} else {
		c.server.failures = 0
		ratio := min(float64(took)/float64(c.baseline), maxSlowness)
		c.server.slowness += slownessWeight * (ratio - c.server.slowness)
		c.server.measuredAt = now
		g.distribute(now, c, results)
	}
	g.recordCall(c, took, err)
	g.schedule(now)
}

// failCall queues the jobs of a failed call again and starts the server's
// cool-down. The caller holds mu.
func (g *group) failCall(now time.Time, c *call, err error) {
	c.server.failures++
	cooldown := min(minCooldown<<min(c.server.failures-1, 5), maxCooldown)
	sent := upstream.MaybeSent(err)
	switch {
	case errors.Is(err, errRefused):
		cooldown = minCooldown
	case errors.Is(err, upstream.ErrNotSent):
		cooldown = max(cooldown, unreachableCooldown)
	}
	c.server.cooldownUntil = now.Add(cooldown)
	g.stages.host.Logger.Warn("stage call failed", "service", g.key.service, "server", c.server.server.ID, "pieces", len(c.pieces),
		"took", now.Sub(c.began), "rest", cooldown, "error", err)
	if sent {
		g.recordBreak(now, c, err)
	}
	for _, j := range c.jobs {
		if !sent {
			j.attempts-- // nothing was sent; the deadline bounds the retries
		}
		g.requeue(j, c.server.server.ID)
	}
}

// recordBreak charges the jobs of a call whose connection broke with the crash of the
// server. The caller holds mu.
func (g *group) recordBreak(now time.Time, c *call, err error) {
	guard := g.stages.host.PartGuard
	if cause := upstream.EndCause(err); guard == nil || cause != policy.EndReset && cause != policy.EndClosed {
		return
	}
	var parts []uint64
	for _, j := range c.jobs {
		parts = append(parts, j.part)
	}
	guard.PartsCrashed(now, c.began, parts, c.server.server.StartName())
}

// distribute gives the results of a call to its jobs. The caller holds mu.
func (g *group) distribute(now time.Time, c *call, results []platform.PieceResult) {
	for _, j := range c.jobs {
		pieceResults := results[:len(j.pieces)]
		results = results[len(j.pieces):]
		handles, failure := collect(pieceResults)
		c.server.memory.add(handles, j.Bytes, now.Add(g.service.ResultTTL))
		switch failure {
		case platform.PieceOK:
			if guard := g.stages.host.PartGuard; guard != nil {
				guard.PartsSucceeded(now, []uint64{j.part})
			}
			if !g.settle(j, jobResult{handles: handles, zone: c.server.server.Zone, inputsReleased: j.inputsReleased}) {
				g.stages.Release(handles)
			}
			continue
		case platform.PieceLate, platform.PieceInputGone:
			if j.running > 0 || g.jobs[j.ID] != nil {
				break // another call may still complete the pieces
			}
			g.failJob(j, failure)
		case platform.PieceNoMemory:
			c.server.cooldownUntil = now.Add(noMemoryCooldown)
			j.attempts-- // a full server does not count as a failed attempt
			g.requeue(j, c.server.server.ID)
		default:
			g.requeue(j, c.server.server.ID)
		}
		g.stages.host.Counter(`stage_pieces_failed{service="` + g.key.service + `",reason="` + string(failure) + `"}`).Inc(1)
		g.stages.Release(handles)
	}
}

// failJob fails a job whose pieces can no longer be run. The caller holds mu.
func (g *group) failJob(j *job, failure platform.PieceFailure) {
	f := &kernel.StageFailure{Reason: kernel.ReasonDeadline, Detail: "the deadline passed before the call's turn"}
	if failure == platform.PieceInputGone {
		f = &kernel.StageFailure{Reason: kernel.ReasonStageInputLost, Detail: "a result of an earlier stage is gone", InputGone: true}
	}
	g.settle(j, jobResult{failure: f})
}

// collect returns the result handles of the pieces that succeeded, and the
// failure of one that did not, or PieceOK if all succeeded.
func collect(results []platform.PieceResult) (handles []string, failure platform.PieceFailure) {
	for _, r := range results {
		if r.Failure != platform.PieceOK {
			failure = r.Failure
			continue
		}
		handles = append(handles, r.Handle)
	}
	return handles, failure
}

// recordCall updates the metrics for a finished call. The caller holds mu.
func (g *group) recordCall(c *call, took time.Duration, err error) {
	h := g.stages.host
	result := "ok"
	if err != nil {
		result = "failed"
	}
	h.Counter(`stage_batches{service="` + g.key.service + `",result="` + result + `"}`).Inc(1)
	h.Counter(`stage_pieces{service="` + g.key.service + `"}`).Inc(int64(len(c.pieces)))
	h.Histogram(`stage_batch_seconds{service="` + g.key.service + `"}`).Update(int64(took))
	for _, j := range c.jobs {
		h.Histogram(`stage_wait_seconds{service="` + g.key.service + `"}`).Update(int64(c.began.Sub(j.QueuedAt)))
	}
}
