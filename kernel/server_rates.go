package kernel

import (
	"context"
	"time"

	"github.com/savoryfold/savoryfold/catalog"
	"github.com/savoryfold/savoryfold/policy"
)

// ServerRates divides among the instances the rates of requests that backend servers
// accept from all of them together: the limits that servers state, and the rates of
// cold servers. A turn is the right to send one request to such a server. It also keeps the
// pauses that servers ask of this instance; there are no turns meanwhile.
type ServerRates interface {
	// AcquireTurn asks for a turn to send one request to a server now. It returns at
	// once if the server has no such rate, and may call another instance otherwise.
	AcquireTurn(ctx context.Context, q TurnRequest) SendTurn
	// TurnDelay returns how long the server is known to have no turn for a request.
	TurnDelay(now time.Time, q TurnRequest) TurnDelay
	// RateLimited reports whether a request needs a turn.
	RateLimited(now time.Time, q TurnRequest) bool
	// ObserveRate records a response of a server.
	ObserveRate(server *catalog.Server, o policy.RateObservation)
	// ObservePause records a refusal by which a server asks for a pause.
	ObservePause(server *catalog.Server, s policy.PauseStatement)
}

// TurnRequest asks for a turn to send a request to a server.
type TurnRequest struct {
	Server *catalog.Server
	// Cold is true if this instance has reason to regard the server as cold although
	// its entry does not say so.
	Cold bool
	// Priority is that of the request; 0 is the most urgent.
	Priority int
	// Running is the number of requests that this instance has on the server.
	Running int
}

// TurnDelay is the time for which a server has no turn for a request; 0 if it may have one.
type TurnDelay struct {
	For time.Duration
	// Paused is true if the server has asked for a pause.
	Paused bool
}

// Shorter returns the shorter of two delays, of which one of 0 counts as none.
func (d TurnDelay) Shorter(o TurnDelay) TurnDelay {
	if d.For == 0 || o.For > 0 && o.For < d.For {
		return o
	}
	return d
}

// SendTurn is the answer to a TurnRequest.
type SendTurn struct {
	Granted bool
	// Delay is the time until the server may have a turn, if none was granted.
	Delay TurnDelay
	// Rate is the rate of the server, in requests per second; 0 if it has none.
	Rate float64
}

// AcquireTurn asks for a turn to send a request to a server. Without a module that
// divides rates, every request has its turn.
func (h *Host) AcquireTurn(ctx context.Context, q TurnRequest) SendTurn {
	if h.ServerRates == nil {
		return SendTurn{Granted: true}
	}
	return h.ServerRates.AcquireTurn(ctx, q)
}

// TurnDelay returns how long a server is known to have no turn for a request.
func (h *Host) TurnDelay(now time.Time, q TurnRequest) TurnDelay {
	if h.ServerRates == nil {
		return TurnDelay{}
	}
	return h.ServerRates.TurnDelay(now, q)
}

// ObservePause records a refusal by which a server asks for a pause.
func (h *Host) ObservePause(server *catalog.Server, s policy.PauseStatement) {
	if h.ServerRates != nil {
		h.ServerRates.ObservePause(server, s)
	}
}

// RateLimited reports whether a request to a server needs a turn.
func (h *Host) RateLimited(now time.Time, q TurnRequest) bool {
	return h.ServerRates != nil && h.ServerRates.RateLimited(now, q)
}

// ObserveRate records a response of a server as evidence of the server's rate limit.
func (h *Host) ObserveRate(server *catalog.Server, o policy.RateObservation) {
	if h.ServerRates != nil {
		h.ServerRates.ObserveRate(server, o)
	}
}
