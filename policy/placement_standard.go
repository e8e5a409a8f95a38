package policy

import "time"

const (
	// randomTries is the number of random draws for a free server before a
	// linear scan.
	randomTries = 4
	// A call leaves the availability zone if the local server takes longer than
	// remoteAdvantage times the remote one plus remoteRoundTrip, the round trip
	// time to another zone.
	remoteAdvantage = 2
	remoteRoundTrip = 3 * time.Millisecond
	// defaultCallTime is the assumed call time of a server without any calls so
	// far.
	defaultCallTime = time.Millisecond
	// A server is preferred for a prefix while its load is at most that of the
	// alternative times affinitySlackQuarters/4, plus affinitySlackCalls.
	affinitySlackQuarters = 5
	affinitySlackCalls    = 1
	// hintSaving is the fraction of a call's time that a fully cached prefix
	// saves.
	hintSaving = 0.5
)

// Reasons of StandardPlacement.
const (
	reasonEmpty      Reason = "empty"
	reasonFull       Reason = "full"
	reasonLocal      Reason = "local-two-choices"
	reasonAffinity   Reason = "prefix-affinity"
	reasonRemoteOnly Reason = "remote-no-local-slot"
	reasonRemote     Reason = "remote-local-slower"
)

// StandardPlacement prefers the instance's availability zone, chooses the better
// of two random servers by expected completion time, and sends calls with the
// same prefix to the same server of the zone while its load is within a bound.
type StandardPlacement struct{}

// Choose implements Placement.
func (StandardPlacement) Choose(_ time.Time, c Call, v View) Choice {
	n := v.Len()
	if n == 0 {
		return Choice{Index: NoServer, Reason: reasonEmpty}
	}
	random := prng(c.Random)
	locals := v.Locals()
	local := betterOfTwo(v, 0, locals, &random)
	remote := betterOfTwo(v, locals, n, &random)
	choice := localOrRemote(local, remote)
	if c.Prefix == 0 || choice.Index == NoServer {
		return choice
	}
	return preferAffinity(c.Prefix, v, choice, local, remote)
}

// option is a server that is considered for the call.
type option struct {
	index      int
	load       int
	completion time.Duration
}

var noOption = option{index: NoServer}

// optionAt returns the option for the server at an index.
func optionAt(v View, index int) option {
	c := v.At(index)
	return option{index: index, load: max(c.InFlight, c.Reported), completion: completion(&c)}
}

// completion estimates the time until a new call on the server is finished: the
// time of one call, multiplied by the number of calls including the new one, and
// divided by the server's concurrency limit. A cached prefix reduces it.
func completion(c *Candidate) time.Duration {
	t := float64(max(c.Expected, defaultCallTime))
	load := float64(max(c.InFlight, c.Reported)+1) / float64(max(1, c.Total))
	return time.Duration(t * load * (1 - hintSaving*c.CacheHint))
}

// betterOfTwo draws two free servers of an index range and returns the one with
// the lower completion time.
func betterOfTwo(v View, from, to int, random *prng) option {
	first := drawFree(v, from, to, NoServer, random)
	if first == NoServer {
		return noOption
	}
	second := drawFree(v, from, to, first, random)
	a := optionAt(v, first)
	if second == NoServer {
		return a
	}
	b := optionAt(v, second)
	if b.completion < a.completion {
		return b
	}
	return a
}

// drawFree draws a free server of an index range other than except. It returns
// NoServer if there is none.
func drawFree(v View, from, to, except int, random *prng) int {
	n := to - from
	if n <= 0 {
		return NoServer
	}
	for range randomTries {
		if i := from + random.intn(n); i != except && v.Free(i) {
			return i
		}
	}
	start := random.intn(n)
	for k := range n {
		if i := from + (start+k)%n; i != except && v.Free(i) {
			return i
		}
	}
	return NoServer
}

// localOrRemote chooses between a server of the local zone and one of another
// zone.
func localOrRemote(local, remote option) Choice {
	switch {
	case local.index == NoServer && remote.index == NoServer:
		return Choice{Index: NoServer, Reason: reasonFull}
	case local.index == NoServer:
		return Choice{Index: remote.index, Reason: reasonRemoteOnly}
	case remote.index != NoServer && remoteAdvantage*remote.completion+remoteRoundTrip < local.completion:
		return Choice{Index: remote.index, Reason: reasonRemote}
	}
	return Choice{Index: local.index, Reason: reasonLocal}
}

// preferAffinity replaces a choice by the server with the highest rendezvous
// weight for the prefix, or the second highest. It considers only local servers if
// the choice is local, and only remote ones otherwise. It keeps the choice if both
// are full or clearly more loaded.
func preferAffinity(prefix uint64, v View, choice Choice, local, remote option) Choice {
	from, to, alternative := 0, v.Locals(), local
	if choice.Index >= v.Locals() {
		from, to, alternative = v.Locals(), v.Len(), remote
	}
	first, second := highestTwo(prefix, v.IDs()[from:to])
	for _, i := range [...]int{first, second} {
		if i == NoServer || !v.Free(from+i) {
			continue
		}
		o := optionAt(v, from+i)
		if o.load <= alternative.load*affinitySlackQuarters/4+affinitySlackCalls {
			return Choice{Index: o.index, Reason: reasonAffinity}
		}
	}
	return choice
}

// highestTwo returns the indices of the IDs with the two highest rendezvous
// weights for the prefix, or NoServer.
func highestTwo(prefix uint64, ids []uint64) (first, second int) {
	first, second = NoServer, NoServer
	var high, next uint64
	for i, id := range ids {
		w := mix(prefix ^ id)
		if w <= next {
			continue
		}
		if w > high {
			next, second = high, first
			high, first = w, i
			continue
		}
		next, second = w, i
	}
	return first, second
}

// mix is the finalizer of SplitMix64: each input bit affects all output bits.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// prng is a SplitMix64 pseudo-random number generator; its value is the state.
type prng uint64

// intn returns a random number from 0 to n-1.
func (r *prng) intn(n int) int {
	*r += 0x9e3779b97f4a7c15
	return int((mix(uint64(*r)) >> 32) * uint64(n) >> 32)
}
