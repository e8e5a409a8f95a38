package stages

import (
	"time"

	"github.com/savoryfold/savoryfold/kernel"
)

// turnLifetime is the time for which a turn may be kept until its call.
const turnLifetime = time.Second

// hasTurn reports whether a call to a server may start now. If the server's rate is
// limited, it asks for a turn in the background, and schedules again when there is one.
// The caller holds mu.
func (g *group) hasTurn(now time.Time, s *stageServer) bool {
	q := kernel.TurnRequest{Server: s.server, Running: s.inFlight}
	if delay := g.stages.host.TurnDelay(now, q); delay.Paused {
		s.noTurnUntil = now.Add(delay.For)
		return false
	}
	if !g.stages.host.RateLimited(now, q) {
		s.callRate = 0
		return true
	}
	if now.Sub(s.turnAt) < turnLifetime {
		return true
	}
	if s.askingForTurn {
		return false
	}
	s.askingForTurn = true
	g.stages.done.Go(func() {
		turn := g.stages.host.AcquireTurn(g.stages.callsContext(), q)
		g.mu.Lock()
		defer g.mu.Unlock()
		now := time.Now()
		s.askingForTurn, s.callRate = false, turn.Rate
		if !turn.Granted {
			s.noTurnUntil = now.Add(turn.Delay.For)
			return
		}
		s.turnAt = now
		g.schedule(now)
	})
	return false
}

// pausedFor returns the time until the first of the usable servers may get a call again, if
// all of them have asked for a pause, and 0 otherwise. The caller holds mu.
func (g *group) pausedFor(now time.Time) time.Duration {
	var shortest kernel.TurnDelay
	for _, s := range g.servers {
		if !s.usable {
			continue
		}
		delay := g.stages.host.TurnDelay(now, kernel.TurnRequest{Server: s.server})
		if !delay.Paused {
			return 0
		}
		shortest = shortest.Shorter(delay)
	}
	return shortest.For
}

// pauseFailure returns the failure of a stage whose servers all pause for a time.
func (g *group) pauseFailure(pause time.Duration) *kernel.StageFailure {
	return &kernel.StageFailure{Reason: kernel.ReasonServerPause, Detail: "the servers of stage service " + g.key.service + " have asked for a pause", RetryAfter: pause}
}

// failPaused fails the waiting jobs if all servers pause. The caller holds mu.
func (g *group) failPaused(now time.Time) {
	pause := g.pausedFor(now)
	if pause == 0 {
		return
	}
	for _, j := range g.jobs {
		g.settle(j, jobResult{failure: g.pauseFailure(pause)})
	}
}

// noTurnFor returns the time for which no usable server is known to have a turn, 0 if
// one may have. The caller holds mu.
func (g *group) noTurnFor(now time.Time) time.Duration {
	var shortest time.Duration
	for _, s := range g.servers {
		if !s.usable {
			continue
		}
		wait := s.noTurnUntil.Sub(now)
		if wait <= 0 {
			return 0
		}
		if shortest == 0 || wait < shortest {
			shortest = wait
		}
	}
	return shortest
}
