package forward

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/savoryfold/savoryfold/catalog"
	"github.com/savoryfold/savoryfold/platform"
	"github.com/savoryfold/savoryfold/policy"
)

// choice is a server that is to get a request.
type choice struct {
	server *catalog.Server
	state  *serverState
	reason policy.Reason
	// candidates is the number of servers that it was chosen from.
	candidates int
}

// target draws the service that runs a request, by the weights of its route.
func target(r *catalog.Route, random float64) string {
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

// promptKey identifies requests that share all of a prompt but the last part,
// which is the request's own or its session's, and counts the tokens that are
// shared. The key is 0 if nothing is shared.
func promptKey(c *platform.Call) (key uint64, tokens int) {
	if len(c.Parts) == 0 {
		return 0, 0
	}
	shared := c.Parts[:max(1, len(c.Parts)-1)]
	d := xxhash.New()
	_, _ = d.WriteString(c.Model) // hashing takes every write
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

// choose returns the server for a request, or none. Servers that were tried are
// left out while others are there.
func (f *Forward) choose(now time.Time, r *request) (choice, bool) {
	usable, looks := f.candidates(now, r)
	for n := len(usable); len(usable) > 0; {
		i, reason := f.pick(r, usable, looks, policy.InputsBind(r.inputBytes, r.sharedTokens))
		if i == policy.NoServer {
			return choice{}, false
		}
		c := usable[i]
		if f.coldAllows(now, r.service, c.server, c.state) {
			c.reason, c.candidates = reason, n
			return c, true
		}
		usable = append(usable[:i], usable[i+1:]...)
		looks = append(looks[:i], looks[i+1:]...)
	}
	return choice{}, false
}

// homeZone is the zone of the server that would get a request now if its inputs
// lay beside it; empty if there is none.
func (f *Forward) homeZone(now time.Time, r *request) string {
	usable, looks := f.candidates(now, r)
	i, _ := f.pick(r, usable, looks, false)
	if i == policy.NoServer {
		return ""
	}
	return usable[i].server.Zone
}

// candidates returns the servers that may get a request now.
func (f *Forward) candidates(now time.Time, r *request) ([]choice, []look) {
	// Servers may have left while the request was in its stages.
	view := f.host.Catalogs.Catalog()
	servers := view.Servers(r.service.Name)
	var allow func(version string) bool
	if f.host.Versioning != nil {
		allow = f.host.Versioning.PickVersion(now, r.service.Name, r.random)
	}
	usable := make([]choice, 0, len(servers))
	looks := make([]look, 0, len(servers))
	for _, s := range servers {
		if !view.Usable(s) || r.tried[s.ID] || allow != nil && !allow(s.Version) {
			continue
		}
		state := f.servers.get(s)
		if l := state.look(now); l.usable {
			usable = append(usable, choice{server: s, state: state})
			looks = append(looks, l)
		}
	}
	return usable, looks
}

// pick chooses among usable servers, those in the zone of the inputs first if
// these bind the request.
func (f *Forward) pick(r *request, usable []choice, looks []look, bound bool) (int, policy.Reason) {
	fleet := len(f.members())
	zone := r.zone
	if zone == "" {
		zone = f.host.Zone()
	}
	if r.service.Engine == nil {
		plain := make([]policy.PlainServer, len(usable))
		for i, c := range usable {
			slots := max(c.server.Slots, looks[i].slots)
			plain[i] = policy.PlainServer{Near: c.server.Zone == zone, InFlight: looks[i].inFlight, Reported: looks[i].reported, Slots: slots, Expected: looks[i].first}
		}
		return policy.ChoosePlain(rand.Uint64(), fleet, plain), "soonest"
	}
	usual := usualFirst(looks)
	engines := make([]policy.Engine, len(usable))
	for i, c := range usable {
		engines[i] = policy.Engine{ID: c.state.hash, Near: !bound || c.server.Zone == zone, InFlight: looks[i].inFlight, Reported: looks[i].reported, Slowness: 1}
		if usual > 0 && looks[i].samples >= slowSamples {
			engines[i].Slowness = float64(looks[i].first) / usual
		}
	}
	return policy.ChooseEngine(r.prompt, rand.Uint64(), fleet, engines)
}

// usualFirst is the median of the servers' times to the first byte in
// nanoseconds, 0 if too few are known.
func usualFirst(looks []look) float64 {
	times := make([]float64, 0, len(looks))
	for _, l := range looks {
		if l.samples >= slowSamples {
			times = append(times, float64(l.first))
		}
	}
	if len(times) < slowSamples {
		return 0
	}
	return policy.Median(times)
}
