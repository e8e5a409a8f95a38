// Package httpapi holds what the HTTP servers of an instance share: errors as
// problem+json (RFC 9457), header names and bearer tokens.
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

// Headers of savoryfold.
const (
	// HeaderOutcome carries the kind of a request's outcome.
	HeaderOutcome = "Savoryfold-Outcome"
	// HeaderReason carries the outcome's reason.
	HeaderReason = "Savoryfold-Reason"
	// HeaderCost is a trailer with each stage's cost as JSON.
	HeaderCost = "Savoryfold-Cost"
	// HeaderDeadline is a caller's time limit, a Go duration.
	HeaderDeadline = "Savoryfold-Deadline"
	// HeaderRequestID identifies a request in answers.
	HeaderRequestID = "Savoryfold-Request-Id"
	// HeaderRevision is the revision of the tables that a request saw.
	HeaderRevision = "Savoryfold-Revision"
	// HeaderReplayed is "true" on an answer kept from an earlier request.
	HeaderReplayed = "Savoryfold-Replayed"
	// HeaderIdempotencyKey identifies a request over repeats.
	HeaderIdempotencyKey = "Idempotency-Key"

	// HeaderCallID identifies a stage call; the backend server echoes it.
	HeaderCallID = "Savoryfold-Call-Id"
	// HeaderDeadlineMS is the time left for a stage call in milliseconds.
	HeaderDeadlineMS = "Savoryfold-Deadline-Ms"
	// HeaderPriority is a stage call's priority, from 0 to 9.
	HeaderPriority = "Savoryfold-Priority"
	// HeaderNotRun is "true" on a backend server's refusal of a call.
	HeaderNotRun = "Savoryfold-Not-Run"
	// HeaderEngineMS and HeaderTokens are a backend server's account of a call.
	HeaderEngineMS = "Savoryfold-Engine-Ms"
	HeaderTokens   = "Savoryfold-Tokens"
	// HeaderLoad is a backend server's load report as JSON.
	HeaderLoad = "Savoryfold-Load"
)

// Problem is an error answer in the form of RFC 9457.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Outcome and Reason repeat the headers, for requests on a route.
	Outcome string `json:"outcome,omitempty"`
	Reason  string `json:"reason,omitempty"`
}

// WriteProblem writes an error answer.
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

// WriteJSON writes a value as JSON.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	_ = enc.Encode(v)
}

// RetryAfter formats a duration for the header Retry-After, in whole seconds
// and at least one.
func RetryAfter(d time.Duration) string {
	return strconv.Itoa(max(1, int(math.Ceil(d.Seconds()))))
}

// Bearer returns the bearer token that a header holds, or "".
func Bearer(h http.Header) string {
	scheme, token, _ := strings.Cut(h.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(token)
}

// HashToken returns the SHA-256 of a token in hexadecimal, the form in which
// keys and tokens stand in settings and tables.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// EqualHash compares two hashes in constant time.
func EqualHash(a, b string) bool {
	return subtle.ConstantTimeCompare([]byte(a), []byte(b)) == 1
}
