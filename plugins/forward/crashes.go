package forward

import (
	"strconv"
	"time"

	"github.com/savoryfold/savoryfold/internal/upstream"
	"github.com/savoryfold/savoryfold/kernel"
)

// retryAfterCrashes is the retry delay for a caller whose request was refused because
// servers crashed when they began to respond to a part of its prompt.
const retryAfterCrashes = time.Minute

var partsRefused = kernel.Outcome{Kind: kernel.NotRun, Reason: kernel.ReasonCrashes, Detail: "backend servers crashed when they began to respond to a part of this prompt", RetryAfter: retryAfterCrashes}

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
func (f *Forward) recordBreak(now time.Time, r *request, c choice, err error) {
	if g := f.host.PartGuard; g != nil && len(r.sharedParts) > 0 && !r.begun && upstream.MaybeSent(err) && !upstream.TimedOut(err) {
		g.PartsCrashed(now, r.sharedParts, c.server.ID+"/"+strconv.FormatInt(c.server.StartUnixMilli, 10))
	}
}
