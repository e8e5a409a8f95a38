package kernel

import (
	"github.com/savoryfold/savoryfold/catalog"
	"github.com/savoryfold/savoryfold/policy"
)

// ServerRates tracks the rates of requests that backend servers accept from all
// instances together.
type ServerRates interface {
	// ObserveRate records a response of a server.
	ObserveRate(server *catalog.Server, o policy.RateObservation)
}

// ObserveRate records a response of a server as evidence of the server's rate limit.
func (h *Host) ObserveRate(server *catalog.Server, o policy.RateObservation) {
	if h.ServerRates != nil {
		h.ServerRates.ObserveRate(server, o)
	}
}
