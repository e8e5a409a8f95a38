package kernel

import (
	"time"
)

// CrashGuard recognises requests that crash the servers that run them. A
// fingerprint identifies a request over repeats.
type CrashGuard interface {
	// Refuse reports whether a request is refused for now.
	Refuse(now time.Time, fingerprint uint64) bool
	// Suspect reports whether a request must not share a server with another
	// suspect.
	Suspect(now time.Time, fingerprint uint64) bool
	// Broken notes that the connection to a server broke while it ran the
	// request.
	Broken(now time.Time, fingerprint uint64, server string)
	// Succeeded notes that a server ran the request without harm.
	Succeeded(now time.Time, fingerprint uint64)
}
