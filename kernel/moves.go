package kernel

import (
	"time"

	"github.com/savoryfold/savoryfold/config"
	"github.com/savoryfold/savoryfold/policy"
)

// Versions chooses the version that a request's stages use.
type Versions interface {
	// Pick returns the version for a request, or "" for any. The number is
	// drawn at random once for the request.
	Pick(now time.Time, route *config.Route, random uint64) string
	// Observe takes the result of a stage call on a versioned pool. The module
	// sets New of the call itself.
	Observe(now time.Time, route, version string, call policy.MoveCall)
}

// MoveState is the state of a move of a version or an availability zone.
type MoveState string

// The states of a move.
const (
	MoveRunning   MoveState = "running"
	MoveDone      MoveState = "done"
	MoveTakenBack MoveState = "taken-back"
)

// MoveStatus tells operators how a move stands.
type MoveStatus struct {
	// Kind is "version" or "zone".
	Kind string `json:"kind"`
	// Name is the route or the availability zone.
	Name  string    `json:"name"`
	From  string    `json:"from,omitempty"`
	To    string    `json:"to,omitempty"`
	State MoveState `json:"state"`
	// Share is the part of the traffic that the new version gets.
	Share    float64   `json:"share"`
	Why      string    `json:"why,omitempty"`
	Revision uint64    `json:"revision"`
	By       time.Time `json:"by,omitzero"`
	At       time.Time `json:"at,omitzero"`
}

// Moves tells operators how moves stand.
type Moves interface {
	Moves() []MoveStatus
}
