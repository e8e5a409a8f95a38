// Package httpapi contains the parts that the HTTP servers of an instance share:
// error responses as problem+json (RFC 9457), header names, bearer tokens and TLS
// certificates.
package httpapi

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// HTTP headers of savoryfold.
const (
	// HeaderOutcome is the kind of a request's outcome.
	HeaderOutcome = "Savoryfold-Outcome"
	// HeaderReason is the reason for the outcome.
	HeaderReason = "Savoryfold-Reason"
	// HeaderCost is a trailer with each stage's cost as JSON.
	HeaderCost = "Savoryfold-Cost"
	// HeaderDeadline is the caller's timeout as a Go duration.
	HeaderDeadline = "Savoryfold-Deadline"
	// HeaderRequestID identifies a request in its response.
	HeaderRequestID = "Savoryfold-Request-Id"
	// HeaderRevision is the revision of the configuration tables that a request used.
	HeaderRevision = "Savoryfold-Revision"
	// HeaderReplayed is "true" on a stored response of an earlier request.
	HeaderReplayed = "Savoryfold-Replayed"
	// HeaderIdempotencyKey identifies a request across retries.
	HeaderIdempotencyKey = "Idempotency-Key"

	// HeaderCallID identifies a stage call; the backend server echoes it.
	HeaderCallID = "Savoryfold-Call-Id"
	// HeaderDeadlineMS is the remaining time of a stage call in milliseconds.
	HeaderDeadlineMS = "Savoryfold-Deadline-Ms"
	// HeaderPriority is a stage call's priority, from 0 to 9.
	HeaderPriority = "Savoryfold-Priority"
	// HeaderNotRun is "true" if the backend server rejected a call without running it.
	HeaderNotRun = "Savoryfold-Not-Run"
	// HeaderEngineMS and HeaderTokens are the engine time in milliseconds and the
	// number of tokens of a call, as the backend server reports them.
	HeaderEngineMS = "Savoryfold-Engine-Ms"
	HeaderTokens   = "Savoryfold-Tokens"
	// HeaderLoad is the load report of a backend server as JSON.
	HeaderLoad = "Savoryfold-Load"
)

// Problem is the body of an error response (RFC 9457).
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Outcome and Reason repeat the headers, for requests to a route.
	Outcome string `json:"outcome,omitempty"`
	Reason  string `json:"reason,omitempty"`
}

// WriteProblem writes an error response. An empty Type becomes about:blank, and an
// empty Title the text of the status.
func WriteProblem(w http.ResponseWriter, p Problem) {
	if p.Type == "" {
		p.Type = "about:blank"
	}
	if p.Title == "" {
		p.Title = http.StatusText(p.Status)
	}
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}

// WriteJSON writes a response with v as indented JSON.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	_ = enc.Encode(v)
}

// RetryAfter formats a duration for the Retry-After header: in seconds, rounded up,
// and at least 1.
func RetryAfter(d time.Duration) string {
	return strconv.Itoa(max(1, int(math.Ceil(d.Seconds()))))
}

// Bearer returns the bearer token of the Authorization header, or "" if there is
// none.
func Bearer(h http.Header) string {
	scheme, token, _ := strings.Cut(h.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(token)
}

// HashToken returns the SHA-256 of a token in hexadecimal. Settings and tables store
// keys and tokens in this form.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// EqualHash compares two hashes in constant time.
func EqualHash(a, b string) bool {
	return subtle.ConstantTimeCompare([]byte(a), []byte(b)) == 1
}
