package kernel

import (
	"time"

	"github.com/savoryfold/savoryfold/config"
	"github.com/savoryfold/savoryfold/policy"
)

// Versions chooses the backend version that a request's stages use.
type Versions interface {
	// Pick returns the version for a request, or "" for any. The caller draws
	// the random number once per request.
	Pick(now time.Time, route *config.Route, random uint64) string
	// Observe records the result of a stage call on a versioned pool. The caller
	// leaves the New field of the call unset; the module sets it.
	Observe(now time.Time, route, version string, call policy.MoveCall)
}

// MoveState is the state of a move. A move is a version rollout, or takes an
// availability zone out of service.
type MoveState string

// The states of a move.
const (
	MoveRunning    MoveState = "running"
	MoveDone       MoveState = "done"
	MoveRolledBack MoveState = "taken-back"
)

// MoveStatus describes a move to operators.
type MoveStatus struct {
	// Kind is "version" or "zone".
	Kind string `json:"kind"`
	// Name is the route or the availability zone.
	Name  string    `json:"name"`
	From  string    `json:"from,omitempty"`
	To    string    `json:"to,omitempty"`
	State MoveState `json:"state"`
	// Share is the fraction of the traffic that the new version gets.
	Share    float64 `json:"share"`
	Why      string  `json:"why,omitempty"`
	Revision uint64  `json:"revision"`
	// By is the time by which the new version should get all traffic.
	By time.Time `json:"by,omitzero"`
	// At is when a rollout ended; zero while it is running.
	At time.Time `json:"at,omitzero"`
}

// Moves reports the status of moves to operators.
type Moves interface {
	Moves() []MoveStatus
}
