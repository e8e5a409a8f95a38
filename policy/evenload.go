package policy

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// EvenServer describes a candidate server to ChooseEven and ChooseEvenPlain. Work is
// counted in mean requests of the service.
type EvenServer struct {
	// ID is a hash of the server's identity.
	ID uint64
	// Near is as in Engine.
	Near bool
	// InFlight is the work of this instance's requests on the server.
	InFlight float64
	// Reported is the work on the server by the latest report, adjusted by what this
	// instance sent and finished since; negative if there is none. Age is the age of the
	// report.
	Reported float64
	Age      time.Duration
	// Pace is how long work takes on the server's machine by the same report, RestPace how
	// long it takes there when nothing disturbs it, if unknown that of its peers. Both are 0
	// if nothing is known. The unit is the same for all servers.
	Pace, RestPace float64
	// Slowness is the ratio of the server's smoothed response time to that of its peers, as
	// far as the pace does not explain it; 1 if unknown.
	Slowness float64
	// Slots is the number of requests that the server runs concurrently. Expected is the
	// smoothed duration of a request, 0 if unknown. Only ChooseEvenPlain uses them.
	Slots    int
	Expected time.Duration
}

// EvenRequest describes a request to ChooseEven and ChooseEvenPlain.
type EvenRequest struct {
	// Prompt is the key of the shared parts of the prompt, 0 if there is none.
	Prompt uint64
	// Holders is the number of servers that keep these parts, at least 1.
	Holders int
	// Work is the predicted work of the request at a server that keeps the parts, Reread
	// the additional work at any other.
	Work, Reread float64
	// Random is a random number for this request.
	Random uint64
	// Instances is the number of instances, 0 if it is unknown.
	Instances int
}

const (
	// loadLifetime is the time constant with which a reported load loses its weight in
	// favor of the mean of all servers: the order of the duration of a request.
	loadLifetime = 500 * time.Millisecond
	// paceLifetime is the same for a reported pace in favor of the pace at rest.
	paceLifetime = 150 * time.Millisecond
	// MaxFigureAge is the age from which on a report is ignored.
	MaxFigureAge = 5 * time.Second
	// slownessTolerance is the ratio of response times up to which servers count as
	// equally fast: prompts differ in size.
	slownessTolerance = 1.5
	// A server whose slowness is at least evenSlowThreshold gets a request only if there is no
	// other. Few requests of different sizes differ by more than engineSlowThreshold, and a
	// server that is left loses its prompts.
	evenSlowThreshold = 4
	// A request leaves a server that keeps its prompt only if the work on the other is less
	// by evenMargin requests.
	evenMargin = 2
	// restPaceExponent is the power of the pace at rest by which a server keeps fewer
	// prompts. With 1, each would need the same time for its requests; above, the faster
	// ones are used more, which is better while they have free slots.
	restPaceExponent = 2
	// A pace at rest below minRestPace or above maxRestPace counts as that: a server that
	// reports a wrong one must not get most prompts.
	minRestPace, maxRestPace = 0.25, 4
	// evenLoadFactor and evenLoadMargin are as engineLoadFactor and engineLoadMargin.
	evenLoadFactor = 1.3
	evenLoadMargin = 3
	// plainLoadWeight is the part of its duration by which a request at a server without
	// free slots less is preferred: servers are loaded evenly also below their slots.
	plainLoadWeight = 0.25
)

// figureWeight returns the weight of a figure, from 1 when it is taken to 0.
func figureWeight(age, lifetime time.Duration) float64 {
	return math.Exp(-float64(max(0, age)) / float64(lifetime))
}

// evenLoads returns the expected work on each server, and its mean. The age of a report is
// its weight: an old one says that the server is like the others.
func evenLoads(instances int, servers []EvenServer) (loads []float64, mean float64) {
	var sum, weights, inFlight float64
	for i := range servers {
		s := &servers[i]
		inFlight += s.InFlight
		if s.Reported >= 0 {
			w := figureWeight(s.Age, loadLifetime)
			sum += w * s.Reported
			weights += w
		}
	}
	mean = inFlight * float64(max(1, instances)) / float64(len(servers))
	if weights > 0 {
		mean = sum / weights
	}
	loads = make([]float64, len(servers))
	for i := range servers {
		s := &servers[i]
		expected := mean
		if s.Reported >= 0 {
			expected += figureWeight(s.Age, loadLifetime) * (s.Reported - mean)
		}
		loads[i] = max(s.InFlight, expected)
	}
	return loads, mean
}

// rest returns the time of work on the server when nothing disturbs it.
func (s *EvenServer) rest() float64 {
	if s.RestPace > 0 {
		return min(max(minRestPace, s.RestPace), maxRestPace)
	}
	return 1
}

// speed returns the expected time of work on the server now.
func (s *EvenServer) speed() float64 {
	f := s.rest()
	if s.Pace > 0 {
		f += figureWeight(s.Age, paceLifetime) * (s.Pace - f)
	}
	return f * max(1, s.Slowness/slownessTolerance)
}

// promptWeight returns the weight of the server for a prompt: the one with the highest is
// the first to keep it. A server keeps fewer prompts the slower it is.
func (s *EvenServer) promptWeight(prompt uint64) float64 {
	fraction := (float64(mix(prompt^s.ID)>>(64-fractionBits)) + 0.5) / (1 << fractionBits)
	return -math.Pow(s.rest(), -restPaceExponent) / math.Log(fraction)
}

// ChooseEven returns the index of the model engine for a request, and the reason, or
// NoServer if servers is empty. Whatever the figures say, a request goes to one of two
// servers that do not depend on them, unless one is overloaded or slow: a server that many
// instances believe idle gets at most twice its share until they know better. For requests
// with a prompt, these are the first two of its rendezvous order that are near, so that all
// instances agree on them and its parts are kept at few servers; for others, two random
// ones. The order of servers does not matter.
func ChooseEven(q EvenRequest, servers []EvenServer) (int, Reason) {
	if len(servers) == 0 {
		return NoServer, reasonEmpty
	}
	loads, mean := evenLoads(q.Instances, servers)
	set := evenSet(servers, loads, evenLoadFactor*mean+evenLoadMargin)
	cost := func(i int, work float64) float64 { return (loads[i] + work) * servers[i].speed() }
	rng := prng(q.Random)
	if q.Prompt == 0 || len(set) == 1 {
		a, b := twoOf(&rng, set)
		if cost(b, q.Work) < cost(a, q.Work) {
			a = b
		}
		return a, "two-choices"
	}
	holders := min(max(1, q.Holders), len(set)-1)
	weights := make([]float64, len(servers))
	for _, i := range set {
		weights[i] = servers[i].promptWeight(q.Prompt)
	}
	slices.SortFunc(set, func(a, b int) int { return cmp.Compare(weights[b], weights[a]) })
	a, b := twoOf(&rng, set[:holders])
	if cost(b, q.Work) < cost(a, q.Work) {
		a = b
	}
	if next := set[holders]; cost(next, q.Work+q.Reread+evenMargin) < cost(a, q.Work) {
		return next, "next-holder"
	}
	return a, "holder"
}

// evenSet returns the indices of the servers from which one is chosen: those that are near,
// not slow and below the bound, else all that are not slow and below the bound, else all.
func evenSet(servers []EvenServer, loads []float64, bound float64) []int {
	set := make([]int, 0, len(servers))
	for _, near := range []bool{true, false} {
		for i := range servers {
			if (!near || servers[i].Near) && servers[i].Slowness < evenSlowThreshold && loads[i] < bound {
				set = append(set, i)
			}
		}
		if len(set) > 0 {
			return set
		}
	}
	for i := range servers {
		set = append(set, i)
	}
	return set
}

// twoOf returns two random elements, the same one twice if there is no other.
func twoOf(rng *prng, set []int) (int, int) {
	i := rng.intn(len(set))
	if len(set) == 1 {
		return set[i], set[i]
	}
	j := rng.intn(len(set) - 1)
	if j >= i {
		j++
	}
	return set[i], set[j]
}

// ChooseEvenPlain returns the index of the server without a prompt cache for a request, or
// NoServer if servers is empty: the one of two random servers that completes it sooner. A
// server in another zone is compared with them, so that no zone is overloaded.
func ChooseEvenPlain(q EvenRequest, servers []EvenServer) int {
	if len(servers) == 0 {
		return NoServer
	}
	loads, _ := evenLoads(q.Instances, servers)
	var near, far []int
	for i := range servers {
		if servers[i].Near {
			near = append(near, i)
		} else {
			far = append(far, i)
		}
	}
	rng := prng(q.Random)
	var considered []int
	for _, set := range [][]int{near, far} {
		if len(set) > 0 {
			a, b := twoOf(&rng, set)
			considered = append(considered, a, b)
		}
	}
	found, least := NoServer, 0.0
	for _, i := range considered {
		s := &servers[i]
		used := (loads[i] + q.Work) / float64(max(1, s.Slots))
		cost := float64(max(s.Expected, defaultCallTime)) * (max(1, used) + plainLoadWeight*min(1, used)) * s.speed()
		if !s.Near {
			cost += float64(plainRemoteRoundTrip)
		}
		if found == NoServer || cost < least {
			found, least = i, cost
		}
	}
	return found
}

const (
	// restPaceWindow is the time in which a pace is seen at rest: machines are disturbed for
	// parts of a second.
	restPaceWindow = 2 * time.Second
	// restPaceSpan is the time between the first two reports that count: a disturbance seldom
	// lasts as long.
	restPaceSpan = 500 * time.Millisecond
)

// RestPace is the lowest of the paces that a server reported lately: in the current window
// and in the last one with a report. The zero value is ready.
type RestPace struct {
	current, previous float64
	first, since      time.Time
	known             bool
}

// Add adds a reported pace.
func (p *RestPace) Add(now time.Time, pace float64) {
	if p.first.IsZero() {
		p.first = now
	}
	p.known = p.known || now.Sub(p.first) >= restPaceSpan
	if now.Sub(p.since) >= restPaceWindow {
		p.previous, p.current, p.since = p.current, pace, now
		return
	}
	p.current = min(p.current, pace)
}

// Adopt takes over the pace at rest that another instance knows, unless one is known.
func (p *RestPace) Adopt(now time.Time, rest float64) {
	if !p.known && rest > 0 {
		*p = RestPace{current: rest, first: now, since: now, known: true}
	}
}

// Value returns the pace at rest, 0 if it is unknown.
func (p *RestPace) Value() float64 {
	switch {
	case !p.known:
		return 0
	case p.previous > 0:
		return min(p.current, p.previous)
	}
	return p.current
}

const (
	// partWindow is the time after which a counted request has half its weight.
	partWindow = 5 * time.Second
	// maxCountedParts bounds the number of parts that are counted.
	maxCountedParts = 4096
	// chanceDeviations is the part of a count, in standard deviations, that is put down to
	// chance.
	chanceDeviations = 1
	// holderShare is the part of a server's fair share of requests that the requests with
	// one part take at each of its first servers at most.
	holderShare = 1.5
)

// PartCounts counts how often parts of prompts occur among the requests of this instance. As
// callers choose their instance regardless of the prompt, that is an estimate for all
// instances which needs no message. The zero value is ready.
type PartCounts struct {
	counts map[uint64]float64
	total  float64
	halved time.Time
}

// Count counts a request with the parts.
func (p *PartCounts) Count(now time.Time, parts ...uint64) {
	if p.counts == nil {
		p.counts, p.halved = make(map[uint64]float64), now
	}
	if passed := now.Sub(p.halved); passed >= partWindow {
		factor := math.Exp2(-float64(passed / partWindow))
		p.total *= factor
		for part := range p.counts {
			if p.counts[part] *= factor; p.counts[part] < 0.5 {
				delete(p.counts, part)
			}
		}
		p.halved = now
	}
	p.total++
	for _, part := range parts {
		if _, ok := p.counts[part]; ok || len(p.counts) < maxCountedParts {
			p.counts[part]++
		}
	}
}

// Holders returns the number of servers, of the given number, that should keep a part: 1, or
// as many as its requests need.
func (p *PartCounts) Holders(part uint64, servers int) int {
	n := p.counts[part]
	if n -= chanceDeviations * math.Sqrt(n); n <= 0 || p.total <= 0 {
		return 1
	}
	return min(max(1, int(math.Ceil(n/p.total*float64(servers)/holderShare))), max(1, servers))
}
