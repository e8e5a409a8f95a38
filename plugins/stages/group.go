package stages

import (
	"cmp"
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/savoryfold/savoryfold/catalog"
	"github.com/savoryfold/savoryfold/internal/upstream"
	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/platform"
	"github.com/savoryfold/savoryfold/policy"
)

const (
	// maxAttempts bounds the calls that include the same job.
	maxAttempts = 4
	// overdueFactor is the multiple of a call's baseline duration after which
	// its jobs are sent to another server too.
	overdueFactor = 2
	// overdueSlack is added to that for the network round trip.
	overdueSlack = 100 * time.Millisecond
	// slownessWeight is the weight of a new sample in a server's smoothed
	// slowness.
	slownessWeight = 0.5
	// maxSlowness bounds the slowness that one call can indicate.
	maxSlowness = 16
	// slownessHalfLife is the time without a sample in which the excess
	// slowness of a server halves, so that a slow server is tried again.
	slownessHalfLife = 2 * time.Second
	// minRetryAfter is the least retry delay given to a refused caller: about
	// one call.
	minRetryAfter = 300 * time.Millisecond
)

// group schedules and makes the calls to a group of stage servers.
type group struct {
	stages *Stages
	key    groupKey

	mu      sync.Mutex
	service *catalog.Batch          // guarded by mu
	epoch   uint64                  // of the current catalog snapshot; guarded by mu
	queue   policy.PieceQueue       // guarded by mu
	jobs    map[uint64]*job         // those in the queue; guarded by mu
	servers map[string]*stageServer // by ID; guarded by mu
	calls   map[*call]bool          // in progress; guarded by mu
	sole    policy.SoleCaller       // guarded by mu
	// fill is that of policy.PieceLoad; guarded by mu.
	fill float64
	// versionDraw decides which version gets the next call during a rollout of the service,
	// in [0, 1); guarded by mu.
	versionDraw float64
}

// job is the pieces of one request that go into one call together.
type job struct {
	policy.PieceJob
	pieces []platform.Piece
	part   uint64 // kernel.StageRequest.Part
	// inputs holds the results that only this job needs, and inputBytes the size of what
	// each piece fetches.
	inputs     []string
	inputBytes int64
	// inputsReleased is true once the inputs are no longer kept: the job cannot be called
	// again.
	inputsReleased bool
	done           chan jobResult // receives one result
	// settled is true once done has its result or the request has ended.
	settled  bool
	attempts int
	// running counts the calls in progress that include the job.
	running int
}

type jobResult struct {
	handles []string
	zone    string
	failure *kernel.StageFailure
	// inputsReleased is that of the job.
	inputsReleased bool
}

// stageServer is the group's state of one server.
type stageServer struct {
	server   *catalog.Server
	usable   bool
	inFlight int
	// slowness is the smoothed ratio of the duration of calls to their baseline.
	slowness float64
	// cooldownUntil is the time until which a server that failed gets no calls.
	cooldownUntil time.Time
	// turnAt is when the server's turn for the next call was granted, if its rate is
	// limited; zero if there is none. It is known to have none until noTurnUntil.
	turnAt, noTurnUntil time.Time
	// callRate is the number of calls per second that the server accepts, 0 if it is
	// not limited.
	callRate      float64
	askingForTurn bool
	failures      int
	lastCall      time.Time // start of the last call
	measuredAt    time.Time // time of the last slowness sample
	memory        memory
	returned      returnedResults
}

func newGroup(s *Stages, key groupKey) *group {
	return &group{
		stages: s, key: key,
		jobs: make(map[uint64]*job), servers: make(map[string]*stageServer), calls: make(map[*call]bool), versionDraw: rand.Float64(),
	}
}

// refresh applies a new catalog snapshot.
func (g *group) refresh(view *catalog.Catalog) {
	if view == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if view.Epoch < g.epoch {
		return // a newer snapshot was applied first
	}
	g.epoch = view.Epoch
	if c := view.Service(g.key.service); c != nil {
		g.service = c.Batch
	}
	known := make(map[string]bool)
	groups := g.stages.groupsOf(view, g.key.service)
	for _, server := range view.Servers(g.key.service) {
		// A server whose zone no longer has a group stays with the group that
		// already has it.
		if group, ok := groups[server.Zone]; ok && group != g.key.zone || !ok && g.servers[server.ID] == nil {
			continue
		}
		known[server.ID] = true
		old := g.servers[server.ID]
		if old == nil || old.server.StartUnixMilli != server.StartUnixMilli {
			old = &stageServer{slowness: 1}
			g.servers[server.ID] = old
		}
		old.server, old.usable = server, view.Usable(server)
	}
	for id := range g.servers {
		if !known[id] {
			delete(g.servers, id)
		}
	}
	g.schedule(time.Now())
}

// run runs a stage of a request and waits for its results.
func (g *group) run(ctx context.Context, r kernel.StageRequest) (kernel.StageResult, error) {
	jobs, failure := g.submit(r)
	if failure != nil {
		return kernel.StageResult{}, failure
	}
	var result kernel.StageResult
	for i, j := range jobs {
		select {
		case done := <-j.done:
			if done.failure != nil {
				g.drop(jobs[i:])
				g.stages.Release(result.Handles)
				return kernel.StageResult{}, done.failure
			}
			result.Handles = append(result.Handles, done.handles...)
			result.Zone, result.InputsReleased = done.zone, done.inputsReleased
		case <-ctx.Done():
			g.drop(jobs[i:])
			g.stages.Release(result.Handles)
			return kernel.StageResult{}, g.stages.contextFailure(ctx)
		}
	}
	return result, nil
}

// submit queues the pieces of a request, in as few jobs as the maximum number of
// pieces per call allows. It refuses at once a request that is expected to miss
// its deadline.
func (g *group) submit(r kernel.StageRequest) ([]*job, *kernel.StageFailure) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.service == nil {
		return nil, &kernel.StageFailure{Reason: kernel.ReasonNoServer, Detail: "no stage service " + g.key.service, RetryAfter: minRetryAfter}
	}
	if !g.anyUsable() {
		return nil, &kernel.StageFailure{Reason: kernel.ReasonNoServer, Detail: "no server of stage service " + g.key.service, RetryAfter: minRetryAfter}
	}
	if pause := g.pausedFor(now); pause > 0 {
		return nil, g.pauseFailure(pause)
	}
	g.sole.Work(now)
	baseline := g.baseline()
	forecast := g.forecastLocked(now)
	call := baseline.Duration(min(r.Pieces, baseline.MaxPieces))
	wait := forecast.InTime
	if now.Add(wait + call).After(r.Goal) {
		wait = forecast.Late
	}
	if now.Add(wait + call).After(r.Deadline) {
		if noTurn := g.noTurnFor(now); noTurn > 0 {
			return nil, &kernel.StageFailure{Reason: kernel.ReasonRateLimit, Detail: "the request rates of stage service " + g.key.service + " are used up", RetryAfter: max(noTurn, minRetryAfter)}
		}
		return nil, &kernel.StageFailure{Reason: kernel.ReasonOverload, Detail: "the queue of stage service " + g.key.service + " is too long", RetryAfter: max(wait/2, minRetryAfter)}
	}
	var jobs []*job
	for first := 0; first < r.Pieces; first += baseline.MaxPieces {
		jobs = append(jobs, g.newJob(now, r, first, min(r.Pieces, first+baseline.MaxPieces)))
	}
	if r.LastUse && len(jobs) == 1 {
		jobs[0].inputs = r.Inputs
	}
	for _, j := range jobs {
		g.jobs[j.ID] = j
		g.queue.Push(j.PieceJob)
	}
	g.schedule(now)
	return jobs, nil
}

// anyUsable reports whether any server may get calls, now or after a cool-down.
// The caller holds mu.
func (g *group) anyUsable() bool {
	for _, s := range g.servers {
		if s.usable {
			return true
		}
	}
	return false
}

// newJob returns a job of the pieces from first up to, but not including, last.
func (g *group) newJob(now time.Time, r kernel.StageRequest, first, last int) *job {
	j := &job{done: make(chan jobResult, 1), part: r.Part, inputBytes: int64(r.InputBytes)}
	j.PieceJob = policy.PieceJob{
		ID: g.stages.nextID.Add(1), Pieces: last - first, Bytes: int64(r.ResultBytes), Goal: r.Goal, Deadline: r.Deadline, Priority: r.Priority, Zone: r.Zone, QueuedAt: now,
	}
	for i := first; i < last; i++ {
		j.pieces = append(j.pieces, platform.Piece{Request: r.Request, Stage: r.Stage, Index: i, Key: r.Key, Inputs: r.Inputs})
	}
	return j
}

// baseline describes a hypothetical server that runs at the configured speed and
// holds no results. The caller holds mu.
func (g *group) baseline() policy.PieceServer {
	return policy.PieceServer{
		MaxPieces: g.service.MaxPieces, CallTime: g.service.CallTime, PieceTime: g.service.PieceTime,
		FreeBytes: g.usableResultMemory(), Slowness: 1,
	}
}

// load returns the load from which the queue wait is estimated. The caller
// holds mu.
func (g *group) load(now time.Time) policy.PieceLoad {
	l := policy.PieceLoad{Waiting: g.queue.Pieces(), Fill: g.fill}
	unlimited := false
	allows := g.versions(now)
	for _, s := range g.servers {
		if !s.usable || allows(s.server.Version) == versionBarred || now.Before(s.cooldownUntil) {
			continue
		}
		l.Servers++
		ps := g.policyServer(now, s)
		l.Slowness += ps.Slowness
		if !ps.Slow() {
			l.Normal++
		}
		if s.inFlight < g.service.Slots && !now.Before(s.noTurnUntil) {
			l.Idle++
		}
		l.CallRate += s.callRate
		unlimited = unlimited || s.callRate == 0
	}
	if unlimited {
		l.CallRate = 0
	}
	l.Slowness /= float64(max(1, l.Servers))
	if l.Idle == 0 {
		l.NextFreeIn = max(g.nextCompletion(now), g.noTurnFor(now))
	}
	return l
}

// nextCompletion returns the expected time until a call in progress ends, at
// most CallTime. The caller holds mu.
func (g *group) nextCompletion(now time.Time) time.Duration {
	least := g.service.CallTime
	for c := range g.calls {
		least = min(least, max(0, c.expectedEnd.Sub(now)))
	}
	return least
}

// forecast returns the expected queue wait of a job that is submitted now.
func (g *group) forecast(now time.Time) kernel.StageForecast {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.service == nil {
		return kernel.StageForecast{}
	}
	return g.forecastLocked(now)
}

// forecastLocked is like forecast. The caller holds mu.
func (g *group) forecastLocked(now time.Time) kernel.StageForecast {
	l, baseline := g.load(now), g.baseline()
	f := kernel.StageForecast{Late: policy.PieceWait(l, baseline)}
	l.Waiting = g.queue.InTime(now, baseline)
	f.InTime = policy.PieceWait(l, baseline)
	return f
}

// drop removes jobs whose request has ended.
func (g *group) drop(jobs []*job) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, j := range jobs {
		j.settled = true
		if g.queue.Remove(j.ID) {
			delete(g.jobs, j.ID)
		}
	}
}

// schedule assigns waiting jobs to free servers, the fastest server first. The
// caller holds mu.
func (g *group) schedule(now time.Time) {
	if g.service == nil || g.queue.Len() == 0 {
		return
	}
	g.expire(now)
	g.failPaused(now)
	free := g.free(now)
	for _, s := range free {
		if g.queue.Len() == 0 {
			return
		}
		ps := g.policyServer(now, s)
		ps.FreeIn = g.freeIn(now)
		if policy.SkipSlow(g.load(now), ps) || !g.hasTurn(now, s) {
			continue
		}
		if jobs := g.take(now, ps); len(jobs) > 0 {
			g.startCall(now, s, jobs)
			if g.countVersion(now, s) {
				g.schedule(now)
				return
			}
		}
	}
}

func (g *group) host() *kernel.Host { return g.stages.host }

// policyServer returns a server in the form that the policy takes. The caller
// holds mu.
func (g *group) policyServer(now time.Time, s *stageServer) policy.PieceServer {
	ps := g.baseline()
	decay := math.Exp2(-float64(now.Sub(s.measuredAt)) / float64(slownessHalfLife))
	ps.ID, ps.Zone, ps.Slowness = s.server.ID, s.server.Zone, 1+(s.slowness-1)*decay
	ps.FreeBytes -= s.memory.used
	return ps
}

// freeIn returns, by zone, the time until a server of normal speed is free. The
// caller holds mu.
func (g *group) freeIn(now time.Time) map[string]time.Duration {
	busy := make(map[*stageServer]time.Duration, len(g.calls))
	for c := range g.calls {
		busy[c.server] = max(busy[c.server], c.expectedEnd.Sub(now))
	}
	in := make(map[string]time.Duration)
	for _, s := range g.servers {
		if !s.usable || now.Before(s.cooldownUntil) || now.Before(s.noTurnUntil) || g.policyServer(now, s).Slow() {
			continue
		}
		wait := time.Duration(0)
		if s.inFlight >= g.service.Slots {
			wait = max(0, busy[s])
		}
		if least, ok := in[s.server.Zone]; !ok || wait < least {
			in[s.server.Zone] = wait
		}
	}
	return in
}

// free returns the servers that can take a call, the fastest first. The caller
// holds mu.
func (g *group) free(now time.Time) []*stageServer {
	var free []*stageServer
	allows := g.versions(now)
	for _, s := range g.servers {
		if s.usable && allows(s.server.Version) != versionBarred && s.inFlight < g.service.Slots && !now.Before(s.cooldownUntil) && !now.Before(s.noTurnUntil) {
			free = append(free, s)
		}
	}
	slices.SortFunc(free, func(a, b *stageServer) int {
		if c := cmp.Compare(allows(a.server.Version), allows(b.server.Version)); c != 0 {
			return c
		}
		if c := cmp.Compare(a.slowness, b.slowness); c != 0 {
			return c
		}
		return a.lastCall.Compare(b.lastCall)
	})
	return free
}

// versionUse says whether a version of the service gets the next call during a rollout.
type versionUse int

// The uses of a version, the preferred one first.
const (
	versionDrawn versionUse = iota
	versionAllowed
	versionBarred
)

// countVersion counts a call that was started, and reports whether the next one may be for
// another version.
func (g *group) countVersion(now time.Time, s *stageServer) bool {
	picker := g.host().VersionPicker
	if picker == nil || picker.PickVersion(now, g.key.service, kernel.StageCalls, g.versionDraw) == nil {
		return false
	}
	picker.CountVersion(g.key.service, kernel.StageCalls, s.server.Version)
	g.versionDraw = rand.Float64()
	return true
}

// largestDraw is the draw for which a version on trial gets nothing.
const largestDraw = 1 - 1e-9

// versions returns a function that says how a version is used for the next call. A call that
// a version on trial is to get goes to another version if no server of it is free. The
// caller holds mu.
func (g *group) versions(now time.Time) func(version string) versionUse {
	picker := g.host().VersionPicker
	if picker == nil {
		return func(string) versionUse { return versionDrawn }
	}
	drawn := picker.PickVersion(now, g.key.service, kernel.StageCalls, g.versionDraw)
	if drawn == nil {
		return func(string) versionUse { return versionDrawn }
	}
	others := picker.PickVersion(now, g.key.service, kernel.StageCalls, largestDraw)
	return func(version string) versionUse {
		switch {
		case drawn(version):
			return versionDrawn
		case others != nil && others(version):
			return versionAllowed
		}
		return versionBarred
	}
}

// observeVersion records a call that has ended as evidence for or against the version of its
// server. Calls are compared by their duration relative to the configured one. The caller
// holds mu.
func (g *group) observeVersion(now time.Time, c *call, results []platform.PieceResult, err error) {
	picker := g.host().VersionPicker
	if picker == nil || g.service == nil || c.baseline <= 0 || c.server.server.Cold(now) {
		return
	}
	took := time.Duration(float64(now.Sub(c.began)) / float64(c.baseline) * float64(g.service.CallTime))
	failed := slices.ContainsFunc(results, func(r platform.PieceResult) bool { return r.Failure == platform.PieceError })
	if err != nil {
		switch {
		case !upstream.MaybeSent(err), errors.Is(err, errRefused), errors.Is(err, errRepeatedResponse):
			return
		case upstream.EndCause(err) == policy.EndDeadline:
			if !picker.SlowResponse(g.key.service, kernel.StageCalls, took) {
				return
			}
		default:
			failed = true
		}
	}
	picker.ObserveVersion(now, g.key.service, kernel.StageCalls, c.server.server.Version, failed, took)
}

// take removes the jobs of a server's next call from the queue and returns
// them. The caller holds mu.
func (g *group) take(now time.Time, s policy.PieceServer) []*job {
	var jobs []*job
	waiting := g.queue.Pieces()
	taken := g.queue.Take(now, s)
	g.recordFill(waiting, g.queue.Pieces())
	for _, p := range taken {
		j := g.jobs[p.ID]
		delete(g.jobs, p.ID)
		if j != nil && !j.settled {
			jobs = append(jobs, j)
		}
	}
	return jobs
}

// fillWeight is the weight of a new call in the smoothed number of pieces of calls.
const fillWeight = 0.2

// recordFill records how many of the waiting pieces a call took. The caller holds mu.
func (g *group) recordFill(before, after int) {
	switch n := float64(before - after); {
	case after == 0:
		g.fill = 0
	case n > 0 && g.fill == 0:
		g.fill = n
	case n > 0:
		g.fill += fillWeight * (n - g.fill)
	}
}

// expire fails the jobs that can no longer meet their deadline. The caller
// holds mu.
func (g *group) expire(now time.Time) {
	for _, p := range g.queue.Expire(now, g.baseline()) {
		j := g.jobs[p.ID]
		delete(g.jobs, p.ID)
		if j != nil {
			g.settle(j, jobResult{failure: &kernel.StageFailure{Reason: kernel.ReasonDeadline, Detail: "no call of stage service " + g.key.service + " in time", RetryAfter: minRetryAfter}})
		}
	}
}

// settle delivers the result of a job unless the job is settled, and reports
// whether it did. The caller holds mu.
func (g *group) settle(j *job, r jobResult) bool {
	if j.settled {
		return false
	}
	j.settled = true
	if g.queue.Remove(j.ID) {
		delete(g.jobs, j.ID)
	}
	j.done <- r
	return true
}

// requeue queues a job for another call, on a server other than avoid if there
// is one. After maxAttempts calls the job fails, and sooner if its part was found to crash
// servers. The caller holds mu.
func (g *group) requeue(j *job, avoid string) {
	if j.settled || g.jobs[j.ID] != nil {
		return
	}
	if j.inputsReleased {
		if j.running == 0 {
			g.failJob(j, platform.PieceInputGone)
		}
		return
	}
	if j.attempts >= maxAttempts {
		g.settle(j, jobResult{failure: &kernel.StageFailure{Reason: kernel.ReasonStageFailed, Detail: "stage service " + g.key.service + " failed again and again"}})
		return
	}
	if guard := g.stages.host.PartGuard; guard != nil && guard.RefuseParts([]uint64{j.part}) {
		g.settle(j, jobResult{failure: &kernel.StageFailure{Reason: kernel.ReasonCrashes, Detail: "servers of stage service " + g.key.service + " crashed when they ran pieces of this request"}})
		return
	}
	j.Avoid = avoid
	if g.usableExcept(avoid) == 0 {
		j.Avoid = ""
	}
	g.jobs[j.ID] = j
	g.queue.Push(j.PieceJob)
}

// usableExcept returns the number of usable servers other than the given one.
// The caller holds mu.
func (g *group) usableExcept(id string) int {
	n := 0
	for _, s := range g.servers {
		if s.usable && s.server.ID != id {
			n++
		}
	}
	return n
}

// tick queues the jobs of overdue calls for other servers too (hedging),
// removes expired results, sends releases and schedules waiting jobs.
func (g *group) tick(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.calls {
		g.releaseInputs(now, c)
		if c.hedged || now.Before(c.overdueAt) {
			continue
		}
		c.hedged = true
		c.server.slowness = min(max(c.server.slowness, float64(now.Sub(c.began))/float64(c.baseline)), maxSlowness)
		c.server.measuredAt = now
		g.stages.host.Counter(`stage_calls_overdue{service="` + g.key.service + `"}`).Inc(1)
		for _, j := range c.jobs {
			g.requeue(j, c.server.server.ID)
		}
	}
	for _, s := range g.servers {
		s.memory.expire(now)
	}
	g.sendReleases()
	g.schedule(now)
}
