package kernel

import "time"

// DemandSource knows the demand for servers that this instance sees.
type DemandSource interface {
	// Demand returns the demand for each service whose number of servers this system orders.
	// Services whose requests it does not know are missing. ok is false while nothing is
	// known.
	Demand() (demand map[string]ServiceDemand, ok bool)
}

// ServiceDemand is the demand of one instance for the servers of a service. The totals
// count from the start of the process.
type ServiceDemand struct {
	// Running is the number of the instance's requests that are now at servers, by the
	// availability zone of the server.
	Running map[string]int
	// Served is the total number of requests that servers have served, Busy the total time
	// that they took.
	Served int64
	Busy   time.Duration
	// Refused is the total number of requests that found no server that could take them.
	Refused int64
}
