package forward

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/savoryfold/savoryfold/catalog"
	"github.com/savoryfold/savoryfold/internal/body"
	"github.com/savoryfold/savoryfold/internal/callerserver"
	"github.com/savoryfold/savoryfold/internal/membudget"
	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/platform"
	"github.com/savoryfold/savoryfold/policy"
)

const (
	// defaultMaxBodyBytes bounds the body of a request if the configuration does not.
	defaultMaxBodyBytes = 64 << 20
	// retryAfterNotReady is the retry delay for a caller of an instance that
	// has no configuration yet: about one read of the store.
	retryAfterNotReady = 500 * time.Millisecond
	// retryAfterBusy is the retry delay for a caller when no server is free.
	retryAfterBusy = 300 * time.Millisecond
	// defaultTimeout bounds a request whose route has no timeout.
	defaultTimeout = time.Minute
)

// request is one request of a caller in progress.
type request struct {
	call    platform.Call
	view    *catalog.Catalog
	route   *catalog.Route
	account *catalog.Account
	// caller names who sent the request, independent of the route.
	caller  string
	service *catalog.Service
	log     *kernel.RequestLog

	header http.Header
	method string
	uri    string
	host   string
	// body is nil for a request without a body.
	body *body.Body
	// memory counts the request and its body.
	memory *membudget.Hold
	// leaveService ends the request among those of its service; nil before it has begun.
	leaveService func()

	began    time.Time
	goal     time.Time
	deadline time.Time
	// versionDraw decides which version gets the request during a rollout of its service. It
	// is independent of the choice of the service: else the services of a traffic split would
	// get different shares than the rollout gives.
	versionDraw float64
	promptKey   uint64
	// fingerprint is equal for requests that differ only in their ID, their deadline and
	// the event after which they resume. It is 0 until the body is read.
	fingerprint uint64
	// sharedParts holds the IDs of the parts of the prompt that other requests share.
	sharedParts []uint64
	// parts holds sharedParts and, once the body is read, fingerprint: what may be found to
	// crash servers.
	parts []uint64
	// trial is true while the request runs although it is refused.
	trial bool
	// sharedTokens is the number of tokens in the part of the prompt that other
	// requests share.
	sharedTokens int
	// inputZone is the zone that holds most of the inputs, inputBytes the size
	// of all inputs. They are empty if the request has none.
	inputZone  string
	inputBytes int
	inputs     []string
	// tried holds the servers that are no candidates for the next send, sentTo those that
	// may have got the request.
	tried, sentTo map[string]bool
	// delay is the time until one of the servers that were last passed over may have a
	// turn for the request; 0 if none was.
	delay kernel.TurnDelay
	// begun is true once the server to which the request was last sent has begun to
	// respond.
	begun bool
	// versionObserved is true once the last send has counted in a version rollout.
	versionObserved bool
	// attempts counts the servers that may have run the request.
	attempts int
}

// accountName returns the name of the client account, empty on public routes.
func (r *request) accountName() string {
	if r.account == nil {
		return ""
	}
	return r.account.Name
}

// priority returns the rank of the request; 0 is the most urgent.
func (r *request) priority() int {
	if r.account != nil && r.account.HasPriority {
		return r.account.Priority
	}
	return r.route.Priority
}

// serve handles a request of a caller.
func (f *Forward) serve(w http.ResponseWriter, hr *http.Request) {
	now := time.Now()
	if f.leaving.Load() {
		// Closing the connection sends the caller's next request to an instance
		// that is not stopping.
		w.Header().Set("Connection", "close")
	}
	call, _ := platform.DecodeCall(hr.Header)
	r := &request{
		call: call, log: f.host.NewRequestLog(call.ID), began: now, versionDraw: rand.Float64(), sentTo: make(map[string]bool),
		header: hr.Header, method: hr.Method, uri: hr.RequestURI, host: hr.Host,
	}
	defer r.free()
	outcome := f.accept(w, hr, r)
	if outcome.Kind == "" {
		f.retryBudgets.countRequest(now, r.service.Name)
		ctx, cancel := context.WithDeadline(hr.Context(), r.deadline)
		stop := context.AfterFunc(f.requestsCtx, cancel)
		outcome = f.run(ctx, w, r)
		stop()
		cancel()
		if outcome.Kind == kernel.Served {
			f.stop.Observe(r.route.Name, time.Since(now))
		}
		if outcome.Reason == kernel.ReasonCallerGone && f.requestsCtx.Err() != nil {
			outcome.Reason, outcome.Detail, outcome.RetryAfter = kernel.ReasonLeaving, "the instance stops", retryAfterBusy
		}
	}
	f.finish(w, r, outcome)
}

// free frees the memory of a request once no server is sent its body any more.
func (r *request) free() {
	if r.leaveService != nil {
		r.leaveService()
	}
	if r.body == nil {
		r.memory.Close()
		return
	}
	r.body.Free(r.memory.Close)
}

// accept validates a request and reads its body. The outcome is empty if the
// request may proceed.
func (f *Forward) accept(w http.ResponseWriter, hr *http.Request, r *request) kernel.Outcome {
	r.view = f.awaitCatalog(hr.Context(), r)
	if r.view == nil {
		return kernel.Outcome{Kind: kernel.NotRun, Reason: kernel.ReasonNotReady, Detail: "no configuration yet", RetryAfter: retryAfterNotReady}
	}
	if r.call.ID == "" {
		return kernel.Outcome{Kind: kernel.Rejected, Reason: kernel.ReasonBadRequest, Detail: "the request has no ID"}
	}
	if r.route = findRoute(r.view, hr); r.route == nil {
		return kernel.Outcome{Kind: kernel.Rejected, Reason: kernel.ReasonUnknownRoute, Detail: "no such route"}
	}
	if r.view.Config.RequiresKey && !r.route.Public {
		if r.account = r.view.Account(r.call.APIKey); r.account == nil {
			return kernel.Outcome{Kind: kernel.Rejected, Reason: kernel.ReasonUnauthorized, Detail: "unknown API key"}
		}
	}
	if r.service = r.view.Service(pickService(r.route, rand.Float64())); r.service == nil {
		return kernel.Outcome{Kind: kernel.NotRun, Reason: kernel.ReasonNoServer, Detail: "the route's service is not configured", RetryAfter: retryAfterBusy}
	}
	r.setTimes()
	r.caller = caller(r.view, r.call.APIKey)
	r.promptKey, r.sharedTokens = promptKey(&r.call)
	r.sharedParts = sharedParts(&r.call)
	r.parts = slices.Clone(r.sharedParts)
	r.log.Add("accepted", "route", r.route.Name, "kind", r.route.Kind.String(), "service", r.service.Name, "account", r.accountName(),
		"config", r.view.Config.Version, "catalog_epoch", r.view.Epoch, "left", r.deadline.Sub(r.began))
	if out := f.checkStop(time.Now(), r, r.route.Name); out.Kind != "" {
		return out
	}
	r.memory = f.memory.requests.Open(r.caller, r.route.Name)
	bytes := f.callers.BytesPerRequest(f.entry.MaxConnections(), f.pool.ReceiveBuffer())
	if err := r.memory.Grow(bytes); err != nil {
		r.log.Add("request does not fit into the memory", "caller", r.caller, "held", f.memory.requests.Bytes())
		return kernel.Outcome{Kind: kernel.NotRun, Reason: kernel.ReasonOverload, Detail: "requests in progress fill the memory", RetryAfter: retryAfterBusy}
	}
	if out := f.readBody(w, hr, r); out.Kind != "" {
		return out
	}
	var fits bool
	if r.leaveService, fits = f.memory.complete.Enter(r.service.Name, bytes); !fits {
		r.log.Add("requests of the service fill the memory", "service", r.service.Name)
		f.host.Counter(`memory_refused{kind="requests",scope="service"}`).Inc(1)
		return kernel.Outcome{Kind: kernel.NotRun, Reason: kernel.ReasonOverload, Detail: "requests in progress of the service fill the memory", RetryAfter: retryAfterBusy}
	}
	callerserver.AbandonUnread(hr, r.memory)
	r.fingerprint = fingerprint(r)
	r.parts = append(r.parts, r.fingerprint)
	return kernel.Outcome{}
}

// awaitCatalog returns the current catalog. A request that arrives before this instance has
// read the first one waits for it.
func (f *Forward) awaitCatalog(ctx context.Context, r *request) *catalog.Catalog {
	if f.loaded.Load() {
		return f.host.Catalogs.Catalog()
	}
	waiting := f.waiting.Add(1)
	defer f.waiting.Add(-1)
	ctx, cancel := context.WithTimeout(ctx, policy.StartWait(int(waiting)-1, r.call.Timeout))
	defer cancel()
	stop := context.AfterFunc(f.requestsCtx, cancel)
	defer stop()
	view := f.host.Catalogs.AwaitCatalog(ctx)
	waited := time.Since(r.began)
	if view != nil && ctx.Err() == nil {
		f.loaded.Store(true)
	}
	f.host.Histogram("catalog_wait_seconds").Update(int64(waited))
	r.log.Add("waited for the first catalog", "waited", waited, "waiting", waiting, "found", view != nil)
	return view
}

// checkStop refuses work of a request that cannot end before this instance stops. The
// outcome is empty if the work may begin.
func (f *Forward) checkStop(now time.Time, r *request, kind string) kernel.Outcome {
	v := f.stop.Fits(now, kind, r.deadline)
	if v.Fits {
		return kernel.Outcome{}
	}
	r.log.Add("refused during a stop", "work", kind, "stop_left", v.Left, "expected", v.Expected, "expected_known", v.Known, "left", r.deadline.Sub(now))
	f.host.Counter("refused_during_stop").Inc(1)
	return kernel.Outcome{Kind: kernel.NotRun, Reason: kernel.ReasonLeaving, Detail: "the instance stops before the request could end", RetryAfter: retryAfterBusy}
}

// sendKind returns the kind of work that is sending a request of a route to a server, for
// the time that it takes.
func sendKind(r *request) string { return r.route.Name + "/send" }

// findRoute returns the route that matches the path and the host, with or
// without its port.
func findRoute(view *catalog.Catalog, hr *http.Request) *catalog.Route {
	path := hr.URL.EscapedPath()
	if r := view.Route(hr.Host, path); r != nil {
		return r
	}
	return view.Route(hostName(hr.Host), path)
}

// hostName returns the host of a Host header in lower case, without its port.
func hostName(hostport string) string {
	host, _, err := net.SplitHostPort(hostport)
	if err != nil {
		host = hostport
	}
	return strings.ToLower(host)
}

// setTimes sets the goal and the deadline of a request.
func (r *request) setTimes() {
	wait := r.route.Timeout
	if wait <= 0 {
		wait = defaultTimeout
	}
	if r.call.Timeout > 0 {
		wait = min(wait, r.call.Timeout)
	}
	r.deadline = r.began.Add(wait)
	r.goal = r.deadline
	if r.route.Goal > 0 {
		r.goal = r.began.Add(min(wait, r.route.Goal))
	}
}

// readBody reads the complete body before a server is chosen. The request can then
// be sent again, and a caller that sends slowly does not occupy a server.
func (f *Forward) readBody(w http.ResponseWriter, hr *http.Request, r *request) kernel.Outcome {
	if hr.ContentLength == 0 {
		return kernel.Outcome{}
	}
	maxBytes := r.view.Config.Limits.BodyBytes
	if maxBytes > 0 && hr.ContentLength > maxBytes {
		return kernel.Outcome{Kind: kernel.Rejected, Reason: kernel.ReasonTooLarge, Detail: "the body is too large"}
	}
	if maxBytes <= 0 {
		maxBytes = defaultMaxBodyBytes
	}
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(r.deadline); err != nil {
		r.log.Add("could not set read deadline", "error", err)
	}
	callerserver.Abandonable(r.memory, w)
	content, err := callerserver.ReadBody(hr.Body, r.memory, hr.ContentLength, maxBytes)
	if errors.Is(err, membudget.ErrNoMemory) {
		r.log.Add("request body does not fit into the memory", "caller", r.caller, "held", f.memory.requests.Bytes())
		return kernel.Outcome{Kind: kernel.NotRun, Reason: kernel.ReasonOverload, Detail: "request bodies fill the memory", RetryAfter: retryAfterBusy}
	}
	r.memory.MayAbandon(nil)
	if errors.Is(err, body.ErrTooLarge) {
		return kernel.Outcome{Kind: kernel.Rejected, Reason: kernel.ReasonTooLarge, Detail: "the body is too large"}
	}
	if err != nil {
		r.log.Add("could not read request body", "error", err)
		return kernel.Outcome{Kind: kernel.Rejected, Reason: kernel.ReasonBadRequest, Detail: "the body did not arrive whole"}
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		r.log.Add("could not clear read deadline", "error", err)
	}
	r.body = content
	return kernel.Outcome{}
}

// run runs the stages of an accepted request and sends it to a server. If the
// inputs are gone before the request has run, the stages are run once more.
func (f *Forward) run(ctx context.Context, w http.ResponseWriter, r *request) kernel.Outcome {
	if f.refusesParts(time.Now(), r) {
		return partsRefused
	}
	a := f.newResponseWriter(w, r)
	for round := 0; ; round++ {
		if out := f.runStages(ctx, r); out.Kind != "" {
			if out.Reason == kernel.ReasonStageInputLost && round == 0 && f.canMeetGoal(time.Now(), r) {
				r.log.Add("inputs of a stage gone, running the stages again")
				continue
			}
			return out
		}
		out := f.send(ctx, a, r)
		f.demand.refused(r.service, out)
		out.Truncated = out.Truncated || a.started && out.Kind != kernel.Served
		f.host.ReleaseResults(r.inputs)
		// Once a server may have run the request, another round could end in a
		// refusal, which would be wrong.
		if out.Reason != kernel.ReasonStageInputLost || out.Kind != kernel.NotRun || round > 0 {
			return out
		}
		r.log.Add("inputs gone, running the stages again")
	}
}

// canMeetGoal reports whether a request whose stages begin now is expected to meet its goal.
func (f *Forward) canMeetGoal(now time.Time, r *request) bool {
	return !now.Add(f.forecast(now, r, -1).InTime).After(r.goal)
}

// finish logs the outcome of a request and writes the response unless a
// server's response was forwarded.
func (f *Forward) finish(w http.ResponseWriter, r *request, out kernel.Outcome) {
	route := "unknown"
	if r.route != nil {
		route = r.route.Name
	}
	took := time.Since(r.began)
	f.host.CountRequest(route, out, took)
	keep := out.Kind != kernel.Served || took > r.goal.Sub(r.began) && r.route != nil && r.route.Kind != catalog.Streaming
	r.log.End(keep, "finished", "outcome", string(out.Kind), "reason", string(out.Reason), "detail", out.Detail,
		"retry_after", out.RetryAfter, "attempts", r.attempts, "took", took)
	switch {
	case out.Kind == kernel.Served:
	case out.Truncated:
		// Aborts the connection, so that the caller does not take the response
		// for a complete one.
		panic(http.ErrAbortHandler)
	default:
		writeErrorResponse(w, r, out)
	}
}

// writeErrorResponse writes a response that comes from this instance, not from a
// server.
func writeErrorResponse(w http.ResponseWriter, r *request, out kernel.Outcome) {
	platform.EchoID(w.Header(), r.call.ID)
	if out.RetryAfter > 0 && out.Kind == kernel.NotRun {
		w.Header().Set("Retry-After", platform.FormatRetryAfter(out.RetryAfter))
	}
	http.Error(w, out.Detail, statusOf(out))
}

// statusOf maps an outcome to an HTTP status. Statuses 429 and 503 guarantee
// that the request has not run and never will.
func statusOf(out kernel.Outcome) int {
	switch out.Kind {
	case kernel.NotRun:
		return http.StatusServiceUnavailable
	case kernel.Unknown, kernel.Incomplete:
		if out.Reason == kernel.ReasonDeadline {
			return http.StatusGatewayTimeout
		}
		return http.StatusBadGateway
	}
	return out.Reason.RejectedStatus()
}
