package policy

import "net/http"

// Refusal is an answer that says that the server did not run the request.
type Refusal struct {
	// IDMatches is true if the answer names the request.
	IDMatches bool
	// SentBefore is true if an earlier sending of the request may have reached the server,
	// which may then repeat what it answered to that one.
	SentBefore bool
}

// Credible reports whether the answer is certainly about the last sending of the request.
// If it is not, the request may run.
func (r Refusal) Credible() bool { return r.IDMatches && !r.SentBefore }

// PromisesNotRun reports whether callers take a status for a promise that the request has
// not run and never will.
func PromisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
