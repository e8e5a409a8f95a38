package forward

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/platform"
	"github.com/savoryfold/savoryfold/policy"
)

// The values of the setting balance.
const (
	balanceCounts = "counts"
	balanceEven   = "even"
)

const (
	// outputTokenWork is the work of an output token, in prompt tokens.
	outputTokenWork = 10
	// meanWorkWeight is the weight of a new request in the mean work of a service.
	meanWorkWeight = 0.02
	// minWork and maxWork bound the predicted work of one request, in mean requests.
	minWork, maxWork = 0.1, 10
	// maxSharedAge is the age from which on a load is not reported to other instances.
	maxSharedAge = time.Second
)

// evenLoad decides and keeps what is particular to the setting balance = even. Which
// services it concerns follows from what their servers report.
type evenLoad struct {
	on      bool
	host    *kernel.Host
	servers *serverStates
	recent  recentReports

	mu       sync.Mutex
	meanWork map[string]float64 // in prompt tokens, by service; guarded by mu
	parts    policy.PartCounts  // guarded by mu
}

// active reports whether to choose evenly among candidates.
func (e *evenLoad) active(snapshots []serverSnapshot) bool {
	return e.on && slices.ContainsFunc(snapshots, func(l serverSnapshot) bool { return l.figure.pace > 0 })
}

// outputTokens returns the expected number of output tokens.
func outputTokens(r *request) int {
	if r.call.ExpectedOutput > 0 {
		return r.call.ExpectedOutput
	}
	return r.call.OutputTokens
}

// tokens returns the work of a request in prompt tokens, without the shared parts of its
// prompt; 0 if it has no prompt.
func tokens(r *request) int {
	if r.call.InputTokens <= 0 {
		return 0
	}
	return max(0, r.call.InputTokens-r.sharedTokens) + outputTokenWork*outputTokens(r)
}

// count counts a request before it is first sent, and returns its predicted work in mean
// requests of its service.
func (e *evenLoad) count(now time.Time, r *request) float64 {
	if !e.on {
		return 1
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	work := float64(tokens(r))
	if work > 0 && len(r.sentTo) == 0 {
		if e.meanWork == nil {
			e.meanWork = make(map[string]float64)
		}
		mean, ok := e.meanWork[r.service.Name]
		if !ok {
			mean = work
		}
		e.meanWork[r.service.Name] = mean + meanWorkWeight*(work-mean)
		e.parts.Count(now, append(slices.Clone(r.sharedParts), r.promptKey)...)
	}
	return e.relativeWork(r.service.Name, work)
}

// relativeWork converts work in prompt tokens to mean requests. The caller holds mu.
func (e *evenLoad) relativeWork(service string, work float64) float64 {
	mean := e.meanWork[service]
	if mean <= 0 || work <= 0 {
		return 1
	}
	return min(max(minWork, work/mean), maxWork)
}

// pick is the choice of Forward.pick for services that are chosen for evenly.
func (e *evenLoad) pick(r *request, usable []choice, snapshots []serverSnapshot, zone string, zoneBound bool, fleet int) (int, policy.Reason) {
	median, medianRest := medianFirstByteTime(snapshots), medianRestPace(snapshots)
	engine := r.service.Engine != nil
	servers := make([]policy.EvenServer, len(usable))
	near := 0
	for i, c := range usable {
		l := snapshots[i]
		s := policy.EvenServer{
			ID: c.state.hash, Near: c.server.Zone == zone || engine && !zoneBound, InFlight: l.figure.work,
			Reported: -1, Age: l.figure.age, Pace: l.figure.pace, RestPace: cmp.Or(l.figure.rest, medianRest), Slowness: 1,
			Slots: max(c.server.Slots, l.slots), Expected: l.firstByteTime,
		}
		if l.figure.known && l.figure.age < policy.MaxFigureAge {
			s.Reported = l.figure.load
		}
		if engine && median > 0 && l.samples >= minSlownessSamples {
			s.Slowness = float64(l.firstByteTime) / median
			if l.figure.rest > 0 {
				s.Slowness /= max(1, l.figure.rest/medianRest)
			}
		}
		if s.Near {
			near++
		}
		servers[i] = s
	}
	q := e.request(r, near, fleet)
	if !engine {
		return policy.ChooseEvenPlain(q, servers), "sooner-of-two"
	}
	return policy.ChooseEven(q, servers)
}

// medianRestPace returns the median pace at rest of the servers that report it.
func medianRestPace(snapshots []serverSnapshot) float64 {
	var paces []float64
	for _, l := range snapshots {
		if l.figure.rest > 0 {
			paces = append(paces, l.figure.rest)
		}
	}
	return policy.Median(paces)
}

// request describes a request to the decision. near is the number of near servers.
func (e *evenLoad) request(r *request, near, fleet int) policy.EvenRequest {
	e.mu.Lock()
	defer e.mu.Unlock()
	q := policy.EvenRequest{Random: rand.Uint64(), Instances: fleet, Work: e.relativeWork(r.service.Name, float64(tokens(r)))}
	if r.promptKey == 0 {
		return q
	}
	q.Prompt, q.Holders = r.promptKey, e.parts.Holders(r.promptKey, near)
	reread := 0
	for _, p := range r.call.Parts[:len(r.sharedParts)] {
		if e.parts.Holders(p.ID, near) < near {
			reread += p.Tokens
		}
	}
	if mean := e.meanWork[r.service.Name]; mean > 0 {
		q.Reread = float64(reread) / mean
	}
	return q
}

// chosen counts and logs a choice.
func (e *evenLoad) chosen(r *request, l serverSnapshot, reason policy.Reason) {
	if !e.on || l.figure.pace == 0 {
		return
	}
	service := `{service="` + r.service.Name + `"`
	e.host.Counter("balance_choices" + service + `,reason="` + string(reason) + `"}`).Inc(1)
	r.log.Add("chosen evenly", "reason", string(reason), "load", l.figure.load, "load_age", l.figure.age, "pace", l.figure.pace, "rest_pace", l.figure.rest)
	e.host.Histogram("balance_figure_age_seconds" + service + "}").Update(int64(l.figure.age))
}

// publish updates the gauges of the spread: the load of the busiest server of a service in
// percent of the mean, by the figures that this instance has.
func (e *evenLoad) publish(now time.Time) {
	if !e.on || e.host.Catalogs == nil {
		return
	}
	view := e.host.Catalogs.Catalog()
	if view == nil {
		return
	}
	for name := range view.Config.Services {
		n, sum, busiest := 0, 0.0, 0.0
		for _, s := range view.Servers(name) {
			if l := e.servers.get(s).snapshot(now).figure; l.known && l.pace > 0 && l.age < policy.MaxFigureAge {
				n++
				sum += l.load
				busiest = max(busiest, l.load)
			}
		}
		if n > 0 {
			e.host.Gauge(`balance_known_servers{service="` + name + `"}`).Update(int64(n))
		}
		if sum > 0 {
			e.host.Gauge(`balance_busiest_percent{service="` + name + `"}`).Update(int64(100 * busiest * float64(n) / sum))
		}
	}
}

// recentServers is the number of servers whose loads may be passed on: those of the last
// reports.
const recentServers = 64

// recentReports lists the servers whose loads this instance learnt last, for messages to
// other instances: many messages are sent, so that not all servers are looked at.
type recentReports struct {
	mu    sync.Mutex
	ring  [recentServers]*serverState // guarded by mu
	added int                         // guarded by mu
}

func (r *recentReports) add(s *serverState) {
	r.mu.Lock()
	r.ring[r.added%recentServers] = s
	r.added++
	r.mu.Unlock()
}

// list returns the servers, the last first.
func (r *recentReports) list() []*serverState {
	r.mu.Lock()
	defer r.mu.Unlock()
	states := make([]*serverState, 0, min(r.added, recentServers))
	for i := 1; i <= min(r.added, recentServers); i++ {
		if s := r.ring[(r.added-i)%recentServers]; !slices.Contains(states, s) {
			states = append(states, s)
		}
	}
	return states
}

// recordLoad records the load that a server reports in a response.
func (f *Forward) recordLoad(now time.Time, s *serverState, a platform.ResponseInfo) {
	s.recordLoad(now, a)
	if f.even.on && a.HasLoad && a.Pace > 0 {
		f.even.recent.add(s)
	}
}

// RecentLoads implements kernel.LoadFigures.
func (f *Forward) RecentLoads(now time.Time, most int) []kernel.LoadFigure {
	if !f.even.on {
		return nil
	}
	var figures []kernel.LoadFigure
	for _, s := range f.even.recent.list() {
		if len(figures) == most {
			break
		}
		s.mu.Lock()
		if age := now.Sub(s.reportedAt); s.pace > 0 && age < maxSharedAge {
			figures = append(figures, kernel.LoadFigure{Server: s.hash, Requests: s.running + s.waiting, Pace: int(s.pace * percent), RestPace: int(s.rest.Value() * percent), AgeMillis: max(0, age.Milliseconds())})
		}
		s.mu.Unlock()
	}
	return figures
}

// percent is the unit of kernel.LoadFigure.Pace.
const percent = 100

// ObserveLoads implements kernel.LoadFigures. The own requests since such a figure are not
// known; those in flight bound the load from below.
func (f *Forward) ObserveLoads(now time.Time, figures []kernel.LoadFigure) {
	if !f.even.on || len(figures) == 0 {
		return
	}
	for _, g := range figures {
		s := f.servers.withHash(g.Server)
		if s == nil || g.Requests < 0 || g.Pace <= 0 || g.RestPace < 0 || g.AgeMillis < 0 || g.AgeMillis > policy.MaxFigureAge.Milliseconds() {
			continue
		}
		at := now.Add(-time.Duration(g.AgeMillis) * time.Millisecond)
		s.mu.Lock()
		newer := at.After(s.reportedAt) && at.After(s.createdAt)
		if newer {
			s.running, s.waiting, s.reportedAt = g.Requests, 0, at
			s.rest.Adopt(at, float64(g.RestPace)/percent)
			s.recordPace(at, float64(g.Pace)/percent)
			s.sent, s.done, s.sentWork, s.doneWork = 0, 0, 0, 0
		}
		s.mu.Unlock()
		if newer {
			f.even.recent.add(s)
		}
	}
}
