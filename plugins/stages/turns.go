package stages

import (
	"context"
	"time"

	"github.com/savoryfold/savoryfold/kernel"
)

// turnLifetime is the time for which a turn may be kept until its call.
const turnLifetime = time.Second

// hasTurn reports whether a call to a server may start now. If the server's rate is
// limited, it asks for a turn in the background, and schedules again when there is one.
// The caller holds mu.
func (g *group) hasTurn(now time.Time, s *stageServer) bool {
	q := kernel.TurnRequest{Server: s.server}
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
		turn := g.stages.host.AcquireTurn(context.Background(), q)
		g.mu.Lock()
		defer g.mu.Unlock()
		now := time.Now()
		s.askingForTurn, s.callRate = false, turn.Rate
		if !turn.Granted {
			s.noTurnUntil = now.Add(turn.RetryIn)
			return
		}
		s.turnAt = now
		g.schedule(now)
	})
	return false
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
