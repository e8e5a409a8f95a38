package forward

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/savoryfold/savoryfold/catalog"
	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/platform"
	"github.com/savoryfold/savoryfold/policy"
)

// choice is a server chosen for a request, or a candidate for it.
type choice struct {
	server *catalog.Server
	state  *serverState
	reason policy.Reason
	// candidates is the number of servers that it was chosen from.
	candidates int
	// work is the predicted work of the request, in mean requests of the service.
	work float64
}

// pickService picks the service that runs a request, by the weights of the
// route's targets. Random is in [0, 1).
func pickService(r *catalog.Route, random float64) string {
	var sum float64
	for _, t := range r.Targets {
		sum += t.Weight
	}
	random *= sum
	for _, t := range r.Targets {
		if random < t.Weight {
			return t.Service
		}
		random -= t.Weight
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[len(r.Targets)-1].Service
}

// promptKey returns a hash that is equal for requests whose prompts differ only
// in the last part, which belongs to the request or its session, and the number
// of tokens in the shared parts. A prompt of one part counts as shared. The key
// is 0 if nothing is shared.
func promptKey(c *platform.Call) (key uint64, tokens int) {
	if len(c.Parts) == 0 {
		return 0, 0
	}
	shared := c.Parts[:max(1, len(c.Parts)-1)]
	d := xxhash.New()
	_, _ = d.WriteString(c.Model) // writes to a hash do not fail
	for _, p := range shared {
		var b [8]byte
		for i := range b {
			b[i] = byte(p.ID >> (8 * i))
		}
		_, _ = d.Write(b[:])
		tokens += p.Tokens
	}
	return d.Sum64(), tokens
}

// sharedParts returns the IDs of all parts of a prompt but the last, which belongs to
// the request or its session.
func sharedParts(c *platform.Call) []uint64 {
	var ids []uint64
	for _, p := range c.Parts[:max(0, len(c.Parts)-1)] {
		ids = append(ids, p.ID)
	}
	return ids
}

// maxTurnRequests bounds the servers that one request asks for a turn before it is
// sent. Each may take a call to another instance.
const maxTurnRequests = 8

// choose returns a server for a request, and whether there is one. Servers that were
// tried before are excluded, and those without a turn for the request.
func (f *Forward) choose(ctx context.Context, now time.Time, r *request) (choice, bool) {
	usable, snapshots := f.candidates(now, r)
	n := len(usable)
	work := f.even.count(now, r)
	usable, snapshots, r.delay = f.withTurn(now, r, usable, snapshots)
	for asked := 0; len(usable) > 0 && asked < maxTurnRequests; asked++ {
		i, reason := f.pick(r, usable, snapshots, policy.PreferInputZone(r.inputBytes, r.sharedTokens))
		if i == policy.NoServer {
			return choice{}, false
		}
		c := usable[i]
		turn := f.host.AcquireTurn(ctx, turnRequest(r, c, snapshots[i]))
		if turn.Granted && !f.stillUsable(c.server) {
			r.log.Add("server left while its turn was asked for", "server", c.server.ID)
			usable = append(usable[:i], usable[i+1:]...)
			snapshots = append(snapshots[:i], snapshots[i+1:]...)
			continue
		}
		if turn.Granted {
			c.reason, c.candidates, c.work = reason, n, work
			f.even.chosen(r, snapshots[i], reason)
			if r.delay.For > 0 {
				r.log.Add("servers without a turn passed over", "servers", n-len(usable), "paused", r.delay.Paused, "retry_in", r.delay.For)
			}
			return c, true
		}
		r.log.Add("server has no turn", "server", c.server.ID, "rate", turn.Rate, "paused", turn.Delay.Paused, "retry_in", turn.Delay.For)
		r.delay = r.delay.Shorter(turn.Delay)
		usable = append(usable[:i], usable[i+1:]...)
		snapshots = append(snapshots[:i], snapshots[i+1:]...)
	}
	return choice{}, false
}

// stillUsable reports whether a server that was a candidate may get a request now.
func (f *Forward) stillUsable(server *catalog.Server) bool {
	view := f.host.Catalogs.Catalog()
	current := view.Server(server.ID)
	return current != nil && current.StartUnixMilli == server.StartUnixMilli && view.Usable(current)
}

// anyUsable reports whether a service has a server that may get requests, now or later.
func (f *Forward) anyUsable(service string) bool {
	view := f.host.Catalogs.Catalog()
	return slices.ContainsFunc(view.Servers(service), view.Usable)
}

func turnRequest(r *request, c choice, l serverSnapshot) kernel.TurnRequest {
	return kernel.TurnRequest{Server: c.server, Cold: l.cold, Priority: r.priority(), Running: l.inFlight}
}

// withTurn returns those of the usable servers that may have a turn for a request, and
// the shortest time until another one may; 0 if there is none.
func (f *Forward) withTurn(now time.Time, r *request, usable []choice, snapshots []serverSnapshot) ([]choice, []serverSnapshot, kernel.TurnDelay) {
	var shortest kernel.TurnDelay
	n := 0
	for i, c := range usable {
		if delay := f.host.TurnDelay(now, turnRequest(r, c, snapshots[i])); delay.For > 0 {
			shortest = shortest.Shorter(delay)
			continue
		}
		usable[n], snapshots[n] = c, snapshots[i]
		n++
	}
	return usable[:n], snapshots[:n], shortest
}

// noTurnFor returns the time for which no server is known to have a turn for a request,
// 0 if one may have.
func (f *Forward) noTurnFor(now time.Time, r *request) kernel.TurnDelay {
	usable, snapshots := f.candidates(now, r)
	usable, _, delay := f.withTurn(now, r, usable, snapshots)
	if len(usable) > 0 {
		return kernel.TurnDelay{}
	}
	return delay
}

// minTurnRetryAfter is the least retry delay given to a caller that waits for a turn: a
// few round trips.
const minTurnRetryAfter = 50 * time.Millisecond

// noTurn returns the outcome of a request for which no server has a turn for a time.
func noTurn(delay kernel.TurnDelay) kernel.Outcome {
	if delay.Paused {
		return kernel.Outcome{Kind: kernel.NotRun, Reason: kernel.ReasonServerPause, Detail: "the servers have asked for a pause", RetryAfter: delay.For}
	}
	return kernel.Outcome{Kind: kernel.NotRun, Reason: kernel.ReasonRateLimit, Detail: "the request rates of the servers are used up", RetryAfter: max(delay.For, minTurnRetryAfter)}
}

// bestServerZone returns the zone of the server that would be chosen now if the
// location of the inputs did not matter. It is empty if there is none.
func (f *Forward) bestServerZone(now time.Time, r *request) string {
	usable, snapshots := f.candidates(now, r)
	i, _ := f.pick(r, usable, snapshots, false)
	if i == policy.NoServer {
		return ""
	}
	return usable[i].server.Zone
}

// candidates returns the servers that may get a request now, and their states.
func (f *Forward) candidates(now time.Time, r *request) ([]choice, []serverSnapshot) {
	// The snapshot from the start of the request may be outdated: servers may
	// have left while the request was in its stages.
	view := f.host.Catalogs.Catalog()
	servers := view.Servers(r.service.Name)
	var allow func(version string) bool
	if f.host.VersionPicker != nil {
		allow = f.host.VersionPicker.PickVersion(now, r.service.Name, r.route.Name, r.versionDraw)
	}
	usable := make([]choice, 0, len(servers))
	snapshots := make([]serverSnapshot, 0, len(servers))
	for _, s := range servers {
		if !view.Usable(s) || r.tried[s.ID] || allow != nil && !allow(s.Version) {
			continue
		}
		state := f.servers.get(s)
		if l := state.snapshot(now); l.usable {
			usable = append(usable, choice{server: s, state: state})
			snapshots = append(snapshots, l)
		}
	}
	return f.withinReach(now, usable, snapshots)
}

// pick chooses among usable servers. Servers in the zone of the inputs, or in that
// of this instance if there are none, count as near. If zoneBound is false, all
// engines count as near.
func (f *Forward) pick(r *request, usable []choice, snapshots []serverSnapshot, zoneBound bool) (int, policy.Reason) {
	fleet := f.fleetSize()
	zone := r.inputZone
	if zone == "" {
		zone = f.host.Zone()
	}
	if f.even.active(snapshots) {
		return f.even.pick(r, usable, snapshots, zone, zoneBound, fleet)
	}
	if r.service.Engine == nil {
		plain := make([]policy.PlainServer, len(usable))
		for i, c := range usable {
			slots := max(c.server.Slots, snapshots[i].slots)
			plain[i] = policy.PlainServer{Near: c.server.Zone == zone, InFlight: snapshots[i].inFlight, Reported: snapshots[i].load, Slots: slots, Expected: snapshots[i].firstByteTime}
		}
		return policy.ChoosePlain(rand.Uint64(), fleet, plain), "soonest"
	}
	median := medianFirstByteTime(snapshots)
	engines := make([]policy.Engine, len(usable))
	for i, c := range usable {
		engines[i] = policy.Engine{ID: c.state.hash, Near: !zoneBound || c.server.Zone == zone, InFlight: snapshots[i].inFlight, Reported: snapshots[i].load, Slowness: 1}
		if median > 0 && snapshots[i].samples >= minSlownessSamples {
			engines[i].Slowness = float64(snapshots[i].firstByteTime) / median
		}
	}
	return policy.ChooseEngine(r.promptKey, rand.Uint64(), fleet, engines)
}

// medianFirstByteTime returns the median of the servers' times to the first
// byte in nanoseconds, 0 if too few are known.
func medianFirstByteTime(snapshots []serverSnapshot) float64 {
	times := make([]float64, 0, len(snapshots))
	for _, l := range snapshots {
		if l.samples >= minSlownessSamples {
			times = append(times, float64(l.firstByteTime))
		}
	}
	if len(times) < minSlownessSamples {
		return 0
	}
	return policy.Median(times)
}
