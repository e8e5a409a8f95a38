package stages

import (
	"cmp"
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/savoryfold/savoryfold/catalog"
	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/platform"
	"github.com/savoryfold/savoryfold/policy"
)

const (
	// maxAttempts bounds the calls that one job is part of.
	maxAttempts = 4
	// overdue is how many times longer than expected a call may take before its
	// jobs are given to another server too.
	overdue = 2
	// overdueSlack is added to that, for the ways to the server and back.
	overdueSlack = 100 * time.Millisecond
	// slownessWeight is the weight of a new sample in a server's slowness.
	slownessWeight = 0.5
	// maxSlowness bounds what one call can say of a server.
	maxSlowness = 16
	// slownessHalfLife is the time after which a server that was not called is
	// taken to be half as slow, so that it is tried again.
	slownessHalfLife = 2 * time.Second
	// retryAfterMin is the least time after which a refused caller is asked to
	// return: about one call.
	retryAfterMin = 300 * time.Millisecond
)

// group makes the calls of a group of stage servers.
type group struct {
	stages *Stages
	key    groupKey

	mu      sync.Mutex
	service *catalog.Batch          // guarded by mu
	epoch   uint64                  // of the view in force; guarded by mu
	queue   policy.PieceQueue       // guarded by mu
	jobs    map[uint64]*job         // those that wait; guarded by mu
	servers map[string]*stageServer // by ID; guarded by mu
	calls   map[*call]bool          // in progress; guarded by mu
}

// job is the pieces of one request that go together.
type job struct {
	policy.PieceJob
	pieces []platform.Piece
	done   chan jobResult // takes one result
	// settled is true once done has its result.
	settled  bool
	attempts int
	// running counts the calls in progress that the job is part of.
	running int
}

type jobResult struct {
	handles []string
	zone    string
	failure *kernel.StageFailure
}

// stageServer is what the group knows of one server.
type stageServer struct {
	server   *catalog.Server
	usable   bool
	calls    int
	slowness float64
	// rest is the time until which a server that failed gets nothing.
	rest     time.Time
	failures int
	called   time.Time // when the last call began
	measured time.Time // when slowness was last seen
	memory   memory
}

func newGroup(s *Stages, key groupKey) *group {
	return &group{
		stages: s, key: key,
		jobs: make(map[uint64]*job), servers: make(map[string]*stageServer), calls: make(map[*call]bool),
	}
}

// refresh takes a new view of the servers.
func (g *group) refresh(view *catalog.Catalog) {
	if view == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if view.Epoch < g.epoch {
		return // a newer one came first
	}
	g.epoch = view.Epoch
	if c := view.Service(g.key.service); c != nil {
		g.service = c.Batch
	}
	known := make(map[string]bool)
	groups := g.stages.groupsOf(view, g.key.service)
	for _, server := range view.Servers(g.key.service) {
		// Servers that get nothing more stay with the group that knows them.
		if group, ok := groups[server.Zone]; ok && group != g.key.zone || !ok && g.servers[server.ID] == nil {
			continue
		}
		known[server.ID] = true
		old := g.servers[server.ID]
		if old == nil || old.server.Born != server.Born {
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

// run does a stage of a request.
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
			result.Zone = done.zone
		case <-ctx.Done():
			g.drop(jobs[i:])
			g.stages.Release(result.Handles)
			return kernel.StageResult{}, g.stages.ended(ctx)
		}
	}
	return result, nil
}

// submit queues a request's pieces, in as few jobs as the calls allow. It
// refuses at once what cannot be done in time.
func (g *group) submit(r kernel.StageRequest) ([]*job, *kernel.StageFailure) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.service == nil {
		return nil, &kernel.StageFailure{Reason: kernel.ReasonNoServer, Detail: "no stage service " + g.key.service, RetryAfter: retryAfterMin}
	}
	if !g.anyUsable() {
		return nil, &kernel.StageFailure{Reason: kernel.ReasonNoServer, Detail: "no server of stage service " + g.key.service, RetryAfter: retryAfterMin}
	}
	usual := g.usual()
	waits := g.waits(now)
	call := usual.Duration(min(r.Pieces, usual.MaxPieces))
	wait := waits.InTime
	if now.Add(wait + call).After(r.Goal) {
		wait = waits.Late
	}
	if now.Add(wait + call).After(r.Deadline) {
		return nil, &kernel.StageFailure{Reason: kernel.ReasonOverload, Detail: "the queue of stage service " + g.key.service + " is too long", RetryAfter: max(wait/2, retryAfterMin)}
	}
	var jobs []*job
	for first := 0; first < r.Pieces; first += usual.MaxPieces {
		jobs = append(jobs, g.newJob(now, r, first, min(r.Pieces, first+usual.MaxPieces)))
	}
	for _, j := range jobs {
		g.jobs[j.ID] = j
		g.queue.Push(j.PieceJob)
	}
	g.schedule(now)
	return jobs, nil
}

// anyUsable reports whether a server may get work, now or after a rest. The
// caller holds mu.
func (g *group) anyUsable() bool {
	for _, s := range g.servers {
		if s.usable {
			return true
		}
	}
	return false
}

// newJob makes a job of the pieces from first to behind last.
func (g *group) newJob(now time.Time, r kernel.StageRequest, first, last int) *job {
	j := &job{done: make(chan jobResult, 1)}
	j.PieceJob = policy.PieceJob{
		ID: g.stages.nextID.Add(1), Pieces: last - first, Bytes: int64(r.ResultBytes), Goal: r.Goal, Deadline: r.Deadline, Priority: r.Priority, Zone: r.Zone, Asked: now,
	}
	for i := first; i < last; i++ {
		j.pieces = append(j.pieces, platform.Piece{Request: r.Request, Stage: r.Stage, Index: i, Key: r.Key, Inputs: r.Inputs})
	}
	return j
}

// usual is a server of the group that works as stated. The caller holds mu.
func (g *group) usual() policy.PieceServer {
	return policy.PieceServer{
		MaxPieces: g.service.MaxPieces, CallTime: g.service.CallTime, PieceTime: g.service.PieceTime,
		Room: g.room(), Slowness: 1,
	}
}

// load is what bears on the wait now. The caller holds mu.
func (g *group) load(now time.Time) policy.PieceLoad {
	l := policy.PieceLoad{Waiting: g.queue.Pieces()}
	for _, s := range g.servers {
		if !s.usable || now.Before(s.rest) {
			continue
		}
		l.Servers++
		if !g.policyServer(now, s).Slow() {
			l.Usual++
		}
		if s.calls < g.service.Slots {
			l.Idle++
		}
	}
	if l.Idle == 0 {
		l.Soonest = g.soonest(now)
	}
	return l
}

// soonest is the time until the first call in progress is expected to end. The
// caller holds mu.
func (g *group) soonest(now time.Time) time.Duration {
	least := g.service.CallTime
	for c := range g.calls {
		least = min(least, max(0, c.expected.Sub(now)))
	}
	return least
}

// forecast is the expected wait for a call of a job that is queued now.
func (g *group) forecast(now time.Time) kernel.StageForecast {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.service == nil {
		return kernel.StageForecast{}
	}
	return g.waits(now)
}

// waits is forecast for a caller that holds mu.
func (g *group) waits(now time.Time) kernel.StageForecast {
	l, usual := g.load(now), g.usual()
	f := kernel.StageForecast{Late: policy.PieceWait(l, usual)}
	l.Waiting = g.queue.InTime(now, usual)
	f.InTime = policy.PieceWait(l, usual)
	return f
}

// drop takes jobs out whose request has ended.
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

// schedule gives waiting jobs to servers that are free, the fastest first. The
// caller holds mu.
func (g *group) schedule(now time.Time) {
	if g.service == nil || g.queue.Len() == 0 {
		return
	}
	g.expire(now)
	free := g.free(now)
	for _, s := range free {
		if g.queue.Len() == 0 {
			return
		}
		ps := g.policyServer(now, s)
		ps.FreeIn = g.freeIn(now)
		if policy.SpareSlow(g.load(now), ps) {
			continue
		}
		if jobs := g.take(now, ps); len(jobs) > 0 {
			g.start(now, s, jobs)
		}
	}
}

// policyServer is a server as the policy sees it. The caller holds mu.
func (g *group) policyServer(now time.Time, s *stageServer) policy.PieceServer {
	ps := g.usual()
	fade := math.Exp2(-float64(now.Sub(s.measured)) / float64(slownessHalfLife))
	ps.ID, ps.Zone, ps.Slowness = s.server.ID, s.server.Zone, 1+(s.slowness-1)*fade
	ps.Room -= s.memory.used
	return ps
}

// freeIn is, by zone, the time until a server that works as usual is free. The
// caller holds mu.
func (g *group) freeIn(now time.Time) map[string]time.Duration {
	busy := make(map[*stageServer]time.Duration, len(g.calls))
	for c := range g.calls {
		busy[c.server] = max(busy[c.server], c.expected.Sub(now))
	}
	in := make(map[string]time.Duration)
	for _, s := range g.servers {
		if !s.usable || now.Before(s.rest) || g.policyServer(now, s).Slow() {
			continue
		}
		wait := time.Duration(0)
		if s.calls >= g.service.Slots {
			wait = max(0, busy[s])
		}
		if least, ok := in[s.server.Zone]; !ok || wait < least {
			in[s.server.Zone] = wait
		}
	}
	return in
}

// free returns the servers that can take a call. The caller holds mu.
func (g *group) free(now time.Time) []*stageServer {
	var free []*stageServer
	for _, s := range g.servers {
		if s.usable && s.calls < g.service.Slots && !now.Before(s.rest) {
			free = append(free, s)
		}
	}
	slices.SortFunc(free, func(a, b *stageServer) int {
		if c := cmp.Compare(a.slowness, b.slowness); c != 0 {
			return c
		}
		return a.called.Compare(b.called)
	})
	return free
}

// take returns the jobs of the next call of a server. The caller holds mu.
func (g *group) take(now time.Time, s policy.PieceServer) []*job {
	var jobs []*job
	for _, p := range g.queue.Take(now, s) {
		j := g.jobs[p.ID]
		delete(g.jobs, p.ID)
		if j != nil && !j.settled {
			jobs = append(jobs, j)
		}
	}
	return jobs
}

// expire ends the jobs that can no longer be done in time. The caller holds mu.
func (g *group) expire(now time.Time) {
	for _, p := range g.queue.Expire(now, g.usual()) {
		j := g.jobs[p.ID]
		delete(g.jobs, p.ID)
		if j != nil {
			g.settle(j, jobResult{failure: &kernel.StageFailure{Reason: kernel.ReasonDeadline, Detail: "no call of stage service " + g.key.service + " in time", RetryAfter: retryAfterMin}})
		}
	}
}

// settle gives a job its result, and reports whether it had none. The caller
// holds mu.
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

// requeue lets a job wait for another call. The caller holds mu.
func (g *group) requeue(j *job, avoid string) {
	if j.settled || g.jobs[j.ID] != nil {
		return
	}
	if j.attempts >= maxAttempts {
		g.settle(j, jobResult{failure: &kernel.StageFailure{Reason: kernel.ReasonStageFailed, Detail: "stage service " + g.key.service + " failed again and again"}})
		return
	}
	j.Avoid = avoid
	if g.usableBeside(avoid) == 0 {
		j.Avoid = ""
	}
	g.jobs[j.ID] = j
	g.queue.Push(j.PieceJob)
}

// usableBeside counts the servers that may get work but for one. The caller
// holds mu.
func (g *group) usableBeside(id string) int {
	n := 0
	for _, s := range g.servers {
		if s.usable && s.server.ID != id {
			n++
		}
	}
	return n
}

// tick gives the jobs of calls that take too long to other servers too, and
// ends those that are late.
func (g *group) tick(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.calls {
		if c.hedged || now.Before(c.overdue) {
			continue
		}
		c.hedged = true
		c.server.slowness = min(max(c.server.slowness, float64(now.Sub(c.began))/float64(c.usual)), maxSlowness)
		c.server.measured = now
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
