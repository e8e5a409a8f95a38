// Package policy implements the decisions of an instance: admission, placement,
// concurrency limits of backend servers, retries, version rollouts and claims.
//
// A decision is a pure function or a small state machine. It does no I/O, starts
// no goroutine and reads no clock. The current time is passed in as now, and
// randomness as a number. Each kind of decision is an interface with a simple
// baseline next to the standard implementation, so that both can be measured under
// the same load.
package policy
