// Package api is the administration API of an instance: its description in
// OpenAPI, the types of its messages and a client.
package api

import (
	_ "embed" // the description

	"github.com/savoryfold/savoryfold/config"
	"github.com/savoryfold/savoryfold/kernel"
)

// Description is the API in the form of OpenAPI 3.
//
//go:embed openapi.yaml
var Description []byte

// State is an instance's own state.
type State struct {
	State string `json:"state"`
}

// Tables is all sections in force at one instance.
type Tables struct {
	Revision uint64           `json:"revision"`
	Sections []config.Section `json:"sections"`
}

// Applied says where a revision, or a newer one, is in force.
type Applied struct {
	Revision  uint64 `json:"revision"`
	Instances int    `json:"instances"`
	InForce   int    `json:"in_force"`
	// Behind lists the instances that have an older revision.
	Behind []string `json:"behind"`
}

// Settlement is an operator's finding on a claim in doubt.
type Settlement struct {
	Claim   kernel.ClaimInfo `json:"claim"`
	Verdict kernel.Verdict   `json:"verdict"`
}

// LogLevel is the lowest level that is logged.
type LogLevel struct {
	Level string `json:"level"`
}

// Record is one decoded record of a stream. Byte strings in it are left out.
type Record struct {
	Offset uint64 `json:"offset"`
	Time   string `json:"time"`
	Data   any    `json:"data,omitempty"`
	// Problem is set if the record cannot be decoded.
	Problem string `json:"problem,omitempty"`
}

// Records is a part of a stream.
type Records struct {
	Stream  string   `json:"stream"`
	First   uint64   `json:"first"`
	Next    uint64   `json:"next"`
	Records []Record `json:"records"`
}
