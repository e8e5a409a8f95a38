package kernel

import "time"

// PartGuard detects parts of prompts that crash the servers that begin to respond to
// them. Parts are given by their IDs.
type PartGuard interface {
	// RefuseParts reports whether a request with the parts must not run.
	RefuseParts(parts []uint64) bool
	// PartsCrashed records that the connection to a server broke before the server
	// began to respond to a request with the parts. The name of a server differs for
	// each of its starts.
	PartsCrashed(now time.Time, parts []uint64, server string)
	// PartsSucceeded records that a server began to respond to a request with the
	// parts.
	PartsSucceeded(now time.Time, parts []uint64)
}
