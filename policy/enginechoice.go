package policy

import (
	"slices"
	"time"
)

// Engine describes a candidate server with a prompt cache to ChooseEngine.
type Engine struct {
	// ID is a hash of the server's identity.
	ID uint64
	// Near is true if the server is in the zone that the request prefers, or if
	// the request prefers none.
	Near bool
	// InFlight is the number of this instance's requests on the server.
	InFlight int
	// Reported is the server's own count of requests, adjusted by those that this
	// instance sent and finished since the report; negative if it is unknown.
	Reported int
	// Slowness is the ratio of the server's response time to that of its peers.
	Slowness float64
}

const (
	// A server is preferred for the prompts that it holds while its load is below
	// engineLoadFactor times the mean load plus engineLoadMargin requests.
	engineLoadFactor = 1.3
	engineLoadMargin = 3
	// A server whose slowness is at least engineSlowThreshold gets a request only
	// if all other servers are loaded.
	engineSlowThreshold = 2.5
)

// load estimates the number of requests on the server. Without a report it
// assumes that all instances send the server as many as this one.
func (e *Engine) load(instances int) int {
	if e.Reported >= 0 {
		return max(e.InFlight, e.Reported)
	}
	return e.InFlight * max(1, instances)
}

// ChooseEngine returns the index of the server for a request, and the reason.
// Requests with the same prompt key go to the same server of a zone while its
// load is within the bound, regardless of the instance at which they arrive:
// instances agree by rendezvous hashing, without messages. prompt is the prompt
// key, or 0 if there is none, and random a random number for this request.
// instances is the number of instances. The order of engines does not matter.
// ChooseEngine returns NoServer if engines is empty.
func ChooseEngine(prompt uint64, random uint64, instances int, engines []Engine) (int, Reason) {
	if len(engines) == 0 {
		return NoServer, reasonEmpty
	}
	bound := loadBound(instances, engines)
	if i := bestWithinBound(prompt, random, instances, bound, engines, true); i != NoServer {
		return i, "near"
	}
	if i := bestWithinBound(prompt, random, instances, bound, engines, false); i != NoServer {
		return i, "bounded"
	}
	return leastLoaded(instances, engines), "least-loaded"
}

// loadBound returns the load below which a server is preferred for its cache.
func loadBound(instances int, engines []Engine) int {
	sum := 0
	for i := range engines {
		sum += engines[i].load(instances)
	}
	return int(engineLoadFactor*float64(sum)/float64(len(engines))) + engineLoadMargin
}

// bestWithinBound returns the index of the server with the highest rendezvous
// weight among those whose load is below the bound and that are not slow, or
// NoServer. If near is true, only servers with Near set count.
func bestWithinBound(prompt, random uint64, instances, bound int, engines []Engine, near bool) int {
	found := NoServer
	var weight uint64
	if prompt == 0 {
		prompt = random
	}
	for i := range engines {
		e := &engines[i]
		if near && !e.Near || e.Slowness >= engineSlowThreshold || e.load(instances) >= bound {
			continue
		}
		if w := mix(prompt ^ e.ID); found == NoServer || w > weight {
			found, weight = i, w
		}
	}
	return found
}

// leastLoaded returns the index of the server with the lowest load, multiplied by
// its slowness.
func leastLoaded(instances int, engines []Engine) int {
	found := 0
	least := -1.0
	for i := range engines {
		load := float64(engines[i].load(instances)+1) * max(1, engines[i].Slowness)
		if least < 0 || load < least {
			found, least = i, load
		}
	}
	return found
}

// bytesPerSharedToken is the input size whose transfer between zones costs as
// much as the recomputation of one shared prompt token. The links between zones
// are shared and paid for, so a byte costs more than its transfer time.
const bytesPerSharedToken = 500

// PreferInputZone reports whether a request should stay in the zone of its
// inputs, given their size and the number of its prompt tokens that other
// requests share. Otherwise it should go to the server that caches these tokens.
func PreferInputZone(bytes, sharedTokens int) bool {
	return sharedTokens == 0 || bytes > bytesPerSharedToken*sharedTokens
}

// minZoneBytes is the minimum size of data that should stay in its zone. Over a
// 10 Gbit/s link, the transfer of smaller data takes less than a round trip
// between zones.
const minZoneBytes = 128 << 10

// StageZone returns the preferred zone for a stage: the zone of its inputs or of
// the receiver of its result, whichever data is larger. It is empty if both are
// smaller than minZoneBytes.
func StageZone(inputZone string, inputBytes int, resultZone string, resultBytes int) string {
	zone, bytes := inputZone, inputBytes
	if resultBytes > inputBytes {
		zone, bytes = resultZone, resultBytes
	}
	if bytes < minZoneBytes {
		return ""
	}
	return zone
}

// PlainServer describes a backend server without a prompt cache to ChoosePlain.
type PlainServer struct {
	// Near and InFlight are as in Engine.
	Near     bool
	InFlight int
	// Reported is as in Engine, and Slots is the number of calls that the server
	// runs concurrently.
	Reported, Slots int
	// Expected is the smoothed duration of a call, 0 if unknown.
	Expected time.Duration
}

// plainRemoteRoundTrip is the round trip time to another zone.
const plainRemoteRoundTrip = 3 * time.Millisecond

// ChoosePlain returns the index of the server with the lowest expected completion
// time, or NoServer if servers is empty. random is a random number for this
// request, and instances the number of instances.
func ChoosePlain(random uint64, instances int, servers []PlainServer) int {
	found, least := NoServer, 0.0
	rng := prng(random)
	for i := range servers {
		s := &servers[i]
		e := Engine{InFlight: s.InFlight, Reported: s.Reported}
		load := float64(e.load(instances)+1) / float64(max(1, s.Slots))
		cost := float64(max(s.Expected, defaultCallTime)) * max(1, load)
		if !s.Near {
			cost += float64(plainRemoteRoundTrip)
		}
		// Up to 10% of jitter keeps the instances from all choosing the same server.
		cost *= 1 + float64(rng.intn(100))/1000
		if found == NoServer || cost < least {
			found, least = i, cost
		}
	}
	return found
}

// sharedConnectionFraction is the fraction of a server's connections that the
// instances divide among themselves. The rest is a reserve for instances that
// disagree on their number.
const sharedConnectionFraction = 0.9

// assumedInstances is the number of instances that is assumed while it is unknown: that
// of a large fleet.
const assumedInstances = 100

// ConnectionShare returns the number of connections to a server that one instance may
// open, at least 1. limit is the number that the server accepts from all instances
// together, and instances their number, 0 if it is unknown.
func ConnectionShare(limit, instances int) int {
	if instances <= 0 {
		instances = assumedInstances
	}
	return max(1, int(sharedConnectionFraction*float64(limit))/instances)
}

// Median returns the median of values (the upper one if their number is even), or
// 0 if there are none. It sorts values.
func Median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)/2]
}
