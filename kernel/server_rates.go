package kernel

import (
	"context"
	"time"

	"github.com/savoryfold/savoryfold/catalog"
	"github.com/savoryfold/savoryfold/policy"
)

// ServerRates divides among the instances the rates of requests that backend servers
// accept from all of them together: the limits that servers state, and the rates of
// cold servers. A turn is the right to send one request to such a server.
type ServerRates interface {
	// AcquireTurn asks for a turn to send one request to a server now. It returns at
	// once if the server has no such rate, and may call another instance otherwise.
	AcquireTurn(ctx context.Context, q TurnRequest) SendTurn
	// TurnWait returns how long the server is known to have no turn for a request.
	TurnWait(now time.Time, q TurnRequest) time.Duration
	// RateLimited reports whether a request needs a turn.
	RateLimited(now time.Time, q TurnRequest) bool
	// ObserveRate records a response of a server.
	ObserveRate(server *catalog.Server, o policy.RateObservation)
}

// TurnRequest asks for a turn to send a request to a server.
type TurnRequest struct {
	Server *catalog.Server
	// Cold is true if this instance has reason to regard the server as cold although
	// its entry does not say so.
	Cold bool
	// Priority is that of the request; 0 is the most urgent.
	Priority int
}

// SendTurn is the answer to a TurnRequest.
type SendTurn struct {
	Granted bool
	// RetryIn is the time until the server may have a turn, if none was granted.
	RetryIn time.Duration
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

// TurnWait returns how long a server is known to have no turn for a request.
func (h *Host) TurnWait(now time.Time, q TurnRequest) time.Duration {
	if h.ServerRates == nil {
		return 0
	}
	return h.ServerRates.TurnWait(now, q)
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
