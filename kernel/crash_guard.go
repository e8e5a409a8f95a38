package kernel

import (
	"time"
)

// CrashGuard detects requests that crash the servers that run them. A
// fingerprint identifies a request across retries.
type CrashGuard interface {
	// Refuse reports whether a request is refused for now.
	Refuse(now time.Time, fingerprint uint64) bool
	// Suspect reports whether a request is suspected of crashing servers. It must
	// not share a server with another suspect request.
	Suspect(now time.Time, fingerprint uint64) bool
	// ConnectionBroken records that the connection to a server broke while the
	// server ran the request, which was sent at a time.
	ConnectionBroken(now, sent time.Time, fingerprint uint64, server string)
	// Succeeded records that a server ran the request without a crash.
	Succeeded(now time.Time, fingerprint uint64)
}
