package policy

import (
	"slices"
	"time"
)

// Engine is what placement knows of a backend server that may get a request.
type Engine struct {
	// ID is a hash of the server's identity.
	ID uint64
	// Near is true if the request's inputs lie in the server's zone.
	Near bool
	// InFlight counts the requests of this instance on the server.
	InFlight int
	// Reported is the server's own count of requests, with what was sent and
	// finished since; negative if it is not known.
	Reported int
	// Slowness is how many times longer than its peers the server takes.
	Slowness float64
}

const (
	// engineSlack is how much more than the mean a server may bear before a
	// prompt that it holds goes elsewhere, and engineSlackRequests the requests
	// by which it may exceed it in any case.
	engineSlack         = 1.3
	engineSlackRequests = 3
	// engineSlow is the slowness from which on a server gets a request only if
	// all others are loaded.
	engineSlow = 2.5
)

// load is the number of requests that a server is taken to bear.
func (e *Engine) load(fleet int) int {
	if e.Reported >= 0 {
		return max(e.InFlight, e.Reported)
	}
	return e.InFlight * max(1, fleet)
}

// ChooseEngine returns the index of the server for a request, and why it was
// chosen. Requests with the same prompt key go to the same server of a zone
// while its load is bounded, wherever they arrive: instances agree without a
// message. Fleet is the number of instances. The order of engines does not
// matter. It returns NoServer if there is none.
func ChooseEngine(prompt uint64, random uint64, fleet int, engines []Engine) (int, Reason) {
	if len(engines) == 0 {
		return NoServer, reasonEmpty
	}
	bound := loadBound(fleet, engines)
	if i := best(prompt, random, fleet, bound, engines, true); i != NoServer {
		return i, "near"
	}
	if i := best(prompt, random, fleet, bound, engines, false); i != NoServer {
		return i, "bounded"
	}
	return leastLoaded(fleet, engines), "least-loaded"
}

// loadBound is the load up to which a server is preferred for its cache.
func loadBound(fleet int, engines []Engine) int {
	sum := 0
	for i := range engines {
		sum += engines[i].load(fleet)
	}
	return int(engineSlack*float64(sum)/float64(len(engines))) + engineSlackRequests
}

// best returns the server with the highest rendezvous weight among those within
// the bound.
func best(prompt, random uint64, fleet, bound int, engines []Engine, near bool) int {
	found := NoServer
	var weight uint64
	if prompt == 0 {
		prompt = random
	}
	for i := range engines {
		e := &engines[i]
		if near && !e.Near || e.Slowness >= engineSlow || e.load(fleet) >= bound {
			continue
		}
		if w := mix(prompt ^ e.ID); found == NoServer || w > weight {
			found, weight = i, w
		}
	}
	return found
}

// leastLoaded returns the server that bears least, as slow ones bear more.
func leastLoaded(fleet int, engines []Engine) int {
	found := 0
	least := -1.0
	for i := range engines {
		load := float64(engines[i].load(fleet)+1) * max(1, engines[i].Slowness)
		if least < 0 || load < least {
			found, least = i, load
		}
	}
	return found
}

// tokenBytes is the number of bytes of inputs that are moved between zones as
// soon as one shared token of a prompt is read again. The links between zones
// are shared and paid for, so a byte weighs more than the time it takes.
const tokenBytes = 500

// InputsBind reports whether a request should stay in the zone where its inputs
// lie, given their size and the tokens of its prompt that other requests share.
// Otherwise it should go to the server that holds these.
func InputsBind(bytes, sharedTokens int) bool {
	return sharedTokens == 0 || bytes > tokenBytes*sharedTokens
}

// zoneBytes is the size from which on data should stay in its zone: what is
// smaller takes a link of 10 Gbit/s less than a round trip between zones.
const zoneBytes = 128 << 10

// StageZone returns the zone in which a stage is best done: where its inputs lie,
// or where its result goes, whichever is more. It is empty if both are small.
func StageZone(inputZone string, inputBytes int, resultZone string, resultBytes int) string {
	zone, bytes := inputZone, inputBytes
	if resultBytes > inputBytes {
		zone, bytes = resultZone, resultBytes
	}
	if bytes < zoneBytes {
		return ""
	}
	return zone
}

// PlainServer is what the choice among servers without prompts knows of one.
type PlainServer struct {
	Near     bool
	InFlight int
	// Reported is as in Engine, Slots the calls that the server does at once.
	Reported, Slots int
	// Expected is the smoothed time of a call, 0 if unknown.
	Expected time.Duration
}

// plainRemote is what the way to another zone and back adds to a call.
const plainRemote = 3 * time.Millisecond

// ChoosePlain returns the index of the server that is expected to be done
// first, or NoServer if there is none.
func ChoosePlain(random uint64, fleet int, servers []PlainServer) int {
	found, least := NoServer, 0.0
	d := draw(random)
	for i := range servers {
		s := &servers[i]
		e := Engine{InFlight: s.InFlight, Reported: s.Reported}
		load := float64(e.load(fleet)+1) / float64(max(1, s.Slots))
		cost := float64(max(s.Expected, unknownTime)) * max(1, load)
		if !s.Near {
			cost += float64(plainRemote)
		}
		// A small random part keeps instances from following one another.
		cost *= 1 + float64(d.below(100))/1000
		if found == NoServer || cost < least {
			found, least = i, cost
		}
	}
	return found
}

// Median returns the median of values, 0 if there are none. It sorts them.
func Median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)/2]
}
