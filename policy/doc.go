// Package policy implements the decisions of an instance: admission, queueing,
// placement, concurrency limits of backend servers, retries, version rollouts and
// gossip membership. Package claim decides on requests that may run at most once.
//
// A decision is a pure function or a small state machine. It does no I/O, starts
// no goroutine and reads no clock. The current time is passed in as now, and
// randomness as a number. Decisions that can be replaced are interfaces with a
// simple baseline next to the standard implementation, so that both can be measured
// under the same load.
package policy
