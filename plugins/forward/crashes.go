package forward

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/savoryfold/savoryfold/internal/upstream"
	"github.com/savoryfold/savoryfold/kernel"
)

// retryAfterCrashes is the retry delay for a caller whose request was refused because
// servers crashed when they began to respond to a part of its prompt.
const retryAfterCrashes = time.Minute

var partsRefused = kernel.Outcome{Kind: kernel.NotRun, Reason: kernel.ReasonCrashes, Detail: "backend servers crashed when they began to respond to a part of this prompt", RetryAfter: retryAfterCrashes}

// fingerprint returns a hash of what a caller repeats unchanged when it sends a request
// again.
func fingerprint(r *request) uint64 {
	// The sizes keep the fields apart.
	var head []byte
	for _, field := range []string{r.accountName(), r.route.Name, r.method, r.uri, r.call.Model, r.call.PieceKey} {
		head = strconv.AppendInt(head, int64(len(field)), 10)
		head = append(head, ':')
		head = append(head, field...)
	}
	for _, p := range r.call.Parts {
		head = strconv.AppendUint(append(head, 'p'), p.ID, 16)
		head = strconv.AppendInt(append(head, ':'), int64(p.Tokens), 10)
	}
	for _, n := range r.call.Pieces {
		head = strconv.AppendInt(append(head, 's'), int64(n), 10)
	}
	d := xxhash.New()
	_, _ = d.Write(append(head, '\n')) // writes to a hash do not fail
	_, _ = d.Write(r.body)
	return d.Sum64()
}

// refusesParts reports whether the request must not run because of a part of its
// prompt.
func (f *Forward) refusesParts(r *request) bool {
	g := f.host.PartGuard
	return g != nil && len(r.sharedParts) > 0 && g.RefuseParts(r.sharedParts)
}

// recordBegin records that a server began to respond to the request.
func (f *Forward) recordBegin(now time.Time, r *request) {
	r.begun = true
	if g := f.host.PartGuard; g != nil && len(r.sharedParts) > 0 {
		g.PartsSucceeded(now, r.sharedParts)
	}
}

// recordBreak records that the connection to a server broke. A server that has begun
// to respond to a request was not crashed by it.
func (f *Forward) recordBreak(now, sent time.Time, r *request, c choice, err error) {
	if g := f.host.PartGuard; g != nil && len(r.sharedParts) > 0 && !r.begun && upstream.MaybeSent(err) && !upstream.TimedOut(err) {
		g.PartsCrashed(now, sent, r.sharedParts, c.server.ID+"/"+strconv.FormatInt(c.server.StartUnixMilli, 10))
	}
}
