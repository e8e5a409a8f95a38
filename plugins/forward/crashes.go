package forward

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/savoryfold/savoryfold/catalog"
	"github.com/savoryfold/savoryfold/internal/upstream"
	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/policy"
)

// retryAfterCrashes is the retry delay for a caller whose request was refused because
// servers crashed when they ran it, or when they began to respond to a part of its
// prompt.
const retryAfterCrashes = time.Minute

var partsRefused = kernel.Outcome{Kind: kernel.NotRun, Reason: kernel.ReasonCrashes, Detail: "servers crashed when they ran this request or its pieces, or began to respond to a part of its prompt", RetryAfter: retryAfterCrashes}

// fingerprint returns a hash of what a caller repeats unchanged when it sends a request
// again. Nothing in it may come from the configuration, which can change in between: not
// the route that the request matches, nor the service that runs it.
func fingerprint(r *request) uint64 {
	// The sizes keep the fields apart.
	var head []byte
	for _, field := range []string{r.caller, hostName(r.host), r.method, r.uri, r.call.Model, r.call.PieceKey} {
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
	if r.body != nil {
		_, _ = r.body.WriteTo(d)
	}
	return d.Sum64()
}

// caller names who sent a request, whether or not the route that it matches asks for the API
// key: the key's account, or else the key.
func caller(view *catalog.Catalog, apiKey string) string {
	if account := view.Account(apiKey); account != nil {
		return "account " + account.Name
	}
	return "key " + apiKey
}

// stagePart returns what identifies the pieces of one stage of a request and its repeats. The
// service that runs the stage may change, and may run several stages.
func stagePart(r *request, stage int) uint64 {
	return xxhash.Sum64String(strconv.FormatUint(r.fingerprint, 16) + "/" + strconv.Itoa(stage))
}

// refusesStages reports whether the request must not run because its pieces crash the
// servers of a stage.
func (f *Forward) refusesStages(now time.Time, r *request) bool {
	g := f.host.PartGuard
	if g == nil {
		return false
	}
	for i, s := range r.route.Stages {
		part := []uint64{stagePart(r, i)}
		if r.stagePieces(i) > 0 && g.RefuseParts(part) && !g.TryRequest(now, part) {
			r.log.Add("pieces of the request crash servers", "service", s.Service, "fingerprint", r.fingerprint, "part", part[0])
			return true
		}
	}
	return false
}

// refusesParts reports whether the request must not run, because of a part of its prompt
// or as a whole. One that may run as a trial does so until a server crashes.
func (f *Forward) refusesParts(now time.Time, r *request) bool {
	g := f.host.PartGuard
	if g == nil || r.trial || !g.RefuseParts(r.parts) {
		return false
	}
	if r.trial = g.TryRequest(now, r.parts); r.trial {
		r.log.Add("trial of a refused request", "fingerprint", r.fingerprint)
	}
	return !r.trial
}

// recordBegin records that a server began to respond to the request. It may still crash
// while it goes on, but not because of a part that requests share.
func (f *Forward) recordBegin(now time.Time, r *request) {
	r.begun = true
	f.recordSuccess(now, r.sharedParts)
}

// recordComplete records that a server ran the request to its end.
func (f *Forward) recordComplete(now time.Time, r *request) {
	f.recordSuccess(now, []uint64{r.fingerprint})
}

func (f *Forward) recordSuccess(now time.Time, parts []uint64) {
	if g := f.host.PartGuard; g != nil && len(parts) > 0 {
		g.PartsSucceeded(now, parts)
	}
}

// recordBreak records that the connection to a server broke while it ran the request.
func (f *Forward) recordBreak(now, sent time.Time, r *request, c choice, err error) {
	g := f.host.PartGuard
	if g == nil || !upstream.MaybeSent(err) || upstream.TimedOut(err) || upstream.EndCause(err) == policy.EndMalformed {
		return // bytes that are no response show that the server runs
	}
	r.trial = false
	parts := r.parts
	if r.begun {
		parts = []uint64{r.fingerprint}
	}
	g.PartsCrashed(now, sent, parts, c.server.StartName())
}
