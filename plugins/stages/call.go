package stages

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/savoryfold/savoryfold/internal/upstream"
	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/platform"
)

const (
	// restFirst and restLongest bound the time for which a server that failed
	// gets nothing; it doubles with every failure in a row.
	restFirst   = 100 * time.Millisecond
	restLongest = 2 * time.Second
	// restUnreachable is how long a server to which there is no connection gets
	// nothing at least: it went away, or the link did.
	restUnreachable = time.Second
	// restFull is how long a server without room for results gets nothing.
	restFull = 150 * time.Millisecond
	// callTimes bounds a call, in multiples of what it should take.
	callTimes = 8
	// maxCallAnswer bounds the answer of a stage server in bytes.
	maxCallAnswer = 4 << 20
)

// call is one call of a stage server.
type call struct {
	server *stageServer
	jobs   []*job
	pieces []platform.Piece
	began  time.Time
	// usual is how long the call should take.
	usual    time.Duration
	expected time.Time
	overdue  time.Time
	hedged   bool
	// reserved is the memory that the call's results take, in bytes.
	reserved int64
}

// start begins a call. The caller holds mu.
func (g *group) start(now time.Time, s *stageServer, jobs []*job) {
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
			p.Left = j.Deadline.Sub(now)
			c.pieces = append(c.pieces, p)
		}
	}
	c.usual = g.usual().Duration(len(c.pieces))
	c.expected = now.Add(g.policyServer(now, s).Duration(len(c.pieces)))
	c.overdue = now.Add(overdue*c.usual + overdueSlack)
	s.memory.used += c.reserved
	s.calls++
	s.called = now
	g.calls[c] = true
	timeout := min(latest.Sub(now), callTimes*c.usual)
	g.stages.done.Go(func() {
		results, err := g.stages.callServer(s.server.ID, s.server.Address, c.pieces, timeout)
		g.finished(c, results, err)
	})
}

// errRefused says that a stage server did not take a call.
var errRefused = errors.New("the stage server refused the call")

// callServer makes one call.
func (s *Stages) callServer(id, address string, pieces []platform.Piece, timeout time.Duration) ([]platform.PieceResult, error) {
	body, err := platform.EncodePieces(pieces)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	x, err := s.pool.Do(ctx, &upstream.Request{
		Address: address, Method: http.MethodPost, URI: platform.StageRunPath, Host: address,
		Header: platform.StageHeader(id), Body: body, MaxIdle: upstream.FleetIdle,
	})
	if err != nil {
		return nil, err
	}
	defer x.Close()
	data, err := x.ReadAll(maxCallAnswer)
	if err != nil {
		return nil, errors.Wrap(err, "answer of a stage server")
	}
	answer := platform.DecodeAnswer(x.Response, "")
	if answer.NotRun {
		_ = x.Finish(answer.KeepAlive) // the refusal counts, whatever follows it
		return nil, errors.Wrapf(errRefused, "status %d", x.Response.StatusCode)
	}
	if x.Response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("stage server answered with status %d", x.Response.StatusCode)
	}
	results, err := platform.DecodePieceResults(data, len(pieces))
	if err != nil {
		return nil, err
	}
	return results, x.Finish(answer.KeepAlive)
}

// finished takes the result of a call.
func (g *group) finished(c *call, results []platform.PieceResult, err error) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.calls, c)
	c.server.calls--
	c.server.memory.used -= c.reserved
	for _, j := range c.jobs {
		j.running--
	}
	took := now.Sub(c.began)
	if err != nil {
		g.failed(now, c, err)
	} else {
		c.server.failures = 0
		ratio := min(float64(took)/float64(c.usual), maxSlowness)
		c.server.slowness += slownessWeight * (ratio - c.server.slowness)
		c.server.measured = now
		g.distribute(now, c, results)
	}
	g.observe(c, took, err)
	g.schedule(now)
}

// failed lets the jobs of a failed call wait for another one. The caller holds
// mu.
func (g *group) failed(now time.Time, c *call, err error) {
	c.server.failures++
	rest := min(restFirst<<min(c.server.failures-1, 5), restLongest)
	sent := upstream.Sent(err)
	switch {
	case errors.Is(err, errRefused):
		rest = restFirst
	case errors.Is(err, upstream.ErrNotSent):
		rest = max(rest, restUnreachable)
	}
	c.server.rest = now.Add(rest)
	g.stages.host.Logger.Warn("stage call failed", "service", g.key.service, "server", c.server.server.ID, "pieces", len(c.pieces),
		"took", now.Sub(c.began), "rest", rest, "error", err)
	for _, j := range c.jobs {
		if !sent {
			j.attempts-- // nothing was tried; the deadline bounds the repeats
		}
		g.requeue(j, c.server.server.ID)
	}
}

// distribute gives the jobs of a call their results. The caller holds mu.
func (g *group) distribute(now time.Time, c *call, results []platform.PieceResult) {
	for _, j := range c.jobs {
		own := results[:len(j.pieces)]
		results = results[len(j.pieces):]
		handles, failure := collect(own)
		c.server.memory.hold(handles, j.Bytes, now.Add(g.service.ResultTTL))
		switch failure {
		case platform.PieceMade:
			if !g.settle(j, jobResult{handles: handles, zone: c.server.server.Zone}) {
				g.stages.Release(handles)
			}
			continue
		case platform.PieceLate, platform.PieceInputGone:
			if j.running > 0 || g.jobs[j.ID] != nil {
				break // another call may still make them
			}
			g.fail(j, failure)
		case platform.PieceNoRoom:
			c.server.rest = now.Add(restFull)
			j.attempts-- // the server is full, not at fault
			g.requeue(j, c.server.server.ID)
		default:
			g.requeue(j, c.server.server.ID)
		}
		g.stages.host.Counter(`stage_pieces_failed{service="` + g.key.service + `",reason="` + string(failure) + `"}`).Inc(1)
		g.stages.Release(handles)
	}
}

// fail ends a job whose pieces cannot be made. The caller holds mu.
func (g *group) fail(j *job, failure platform.PieceFailure) {
	f := &kernel.StageFailure{Reason: kernel.ReasonDeadline, Detail: "the deadline passed before the call's turn"}
	if failure == platform.PieceInputGone {
		f = &kernel.StageFailure{Reason: kernel.ReasonInputGone, Detail: "a result of an earlier stage is gone", InputGone: true}
	}
	g.settle(j, jobResult{failure: f})
}

// collect returns the handles of a job's pieces, and why one was not made.
func collect(results []platform.PieceResult) (handles []string, failure platform.PieceFailure) {
	for _, r := range results {
		if r.Failure != platform.PieceMade {
			failure = r.Failure
			continue
		}
		handles = append(handles, r.Handle)
	}
	return handles, failure
}

// observe counts a finished call. The caller holds mu.
func (g *group) observe(c *call, took time.Duration, err error) {
	h := g.stages.host
	result := "ok"
	if err != nil {
		result = "failed"
	}
	h.Counter(`stage_batches{service="` + g.key.service + `",result="` + result + `"}`).Inc(1)
	h.Counter(`stage_pieces{service="` + g.key.service + `"}`).Inc(int64(len(c.pieces)))
	h.Histogram(`stage_batch_seconds{service="` + g.key.service + `"}`).Update(int64(took))
	for _, j := range c.jobs {
		h.Histogram(`stage_wait_seconds{service="` + g.key.service + `"}`).Update(int64(c.began.Sub(j.Asked)))
	}
}
