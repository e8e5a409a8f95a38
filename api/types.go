// Package api defines the administration API of an instance: its OpenAPI
// specification, its message types and a client.
package api

import (
	_ "embed" // for OpenAPISpec

	"github.com/savoryfold/savoryfold/config"
	"github.com/savoryfold/savoryfold/kernel"
)

// OpenAPISpec is the OpenAPI 3 specification of the API, in YAML.
//
//go:embed openapi.yaml
var OpenAPISpec []byte

// State is the state of the instance: starting, ready, leaving or stopped.
type State struct {
	State string `json:"state"`
}

// Tables holds all sections that are active at one instance.
type Tables struct {
	Revision uint64           `json:"revision"`
	Sections []config.Section `json:"sections"`
}

// Applied states on how many instances a revision, or a newer one, is active.
type Applied struct {
	Revision  uint64 `json:"revision"`
	Instances int    `json:"instances"`
	Active    int    `json:"in_force"`
	// Behind lists the IDs of the instances that have an older revision.
	Behind []string `json:"behind"`
}

// Settlement is an operator's decision on a claim in doubt.
type Settlement struct {
	Claim   kernel.ClaimInfo `json:"claim"`
	Verdict kernel.Verdict   `json:"verdict"`
}

// LogLevel is the lowest level that the instance logs.
type LogLevel struct {
	Level string `json:"level"`
}

// Record is one decoded record of a stream. Byte strings in it are replaced by
// their length.
type Record struct {
	Offset uint64 `json:"offset"`
	Time   string `json:"time"`
	Data   any    `json:"data,omitempty"`
	// Problem is the decoding error, if the record cannot be decoded.
	Problem string `json:"problem,omitempty"`
}

// Records is a range of a stream. The stream holds offsets from First up to, but
// not including, Next.
type Records struct {
	Stream  string   `json:"stream"`
	First   uint64   `json:"first"`
	Next    uint64   `json:"next"`
	Records []Record `json:"records"`
}
