package forward

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/savoryfold/savoryfold/catalog"
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

// choose returns a server for a request, and whether there is one. Servers that
// were tried before are excluded.
func (f *Forward) choose(now time.Time, r *request) (choice, bool) {
	usable, snapshots := f.candidates(now, r)
	for n := len(usable); len(usable) > 0; {
		i, reason := f.pick(r, usable, snapshots, policy.PreferInputZone(r.inputBytes, r.sharedTokens))
		if i == policy.NoServer {
			return choice{}, false
		}
		c := usable[i]
		if f.allowCold(now, r.service, c.server, c.state) {
			c.reason, c.candidates = reason, n
			return c, true
		}
		usable = append(usable[:i], usable[i+1:]...)
		snapshots = append(snapshots[:i], snapshots[i+1:]...)
	}
	return choice{}, false
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
		allow = f.host.VersionPicker.PickVersion(now, r.service.Name, r.random)
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
	return usable, snapshots
}

// pick chooses among usable servers. Servers in the zone of the inputs, or in that
// of this instance if there are none, count as near. If zoneBound is false, all
// engines count as near.
func (f *Forward) pick(r *request, usable []choice, snapshots []serverSnapshot, zoneBound bool) (int, policy.Reason) {
	fleet := len(f.members())
	zone := r.inputZone
	if zone == "" {
		zone = f.host.Zone()
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
