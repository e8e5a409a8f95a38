package policy

import "time"

const (
	// probes is the number of random draws for one free server; a scan follows.
	probes = 4
	// remoteGain is how many times longer the local server must take before a
	// call leaves the availability zone, remoteDelay what the way there and
	// back adds.
	remoteGain  = 2
	remoteDelay = 3 * time.Millisecond
	// unknownTime stands for the call time of a server that had no call yet.
	unknownTime = time.Millisecond
	// affinitySlack bounds the load of the server that a prefix prefers: in
	// quarters of the load of the alternative, and in calls.
	affinitySlackQuarters = 5
	affinitySlackCalls    = 1
	// hintSaving is the part of a call's time that a fully cached prefix saves.
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

// StandardPlacement prefers the instance's availability zone, takes the better
// of two random servers by expected completion, and sends calls with the same
// prefix to the same server of the zone while its load is bounded.
type StandardPlacement struct{}

// Choose implements Placement.
func (StandardPlacement) Choose(_ time.Time, c Call, v View) Choice {
	n := v.Len()
	if n == 0 {
		return Choice{Index: NoServer, Reason: reasonEmpty}
	}
	random := draw(c.Random)
	locals := v.Locals()
	local := betterOfTwo(v, 0, locals, &random)
	remote := betterOfTwo(v, locals, n, &random)
	choice := nearer(local, remote)
	if c.Prefix == 0 || choice.Index == NoServer {
		return choice
	}
	return preferred(c.Prefix, v, choice, local, remote)
}

// option is a server that may get the call.
type option struct {
	index      int
	load       int
	completion time.Duration
}

var noOption = option{index: NoServer}

// optionAt weighs the server at an index.
func optionAt(v View, index int) option {
	c := v.At(index)
	return option{index: index, load: max(c.InFlight, c.Reported), completion: completion(&c)}
}

// completion weighs the expected time until a call on the server is done: the
// time of a call for each call on the server and the new one, over the calls
// that the server bears at once.
func completion(c *Candidate) time.Duration {
	t := float64(max(c.Expected, unknownTime))
	load := float64(max(c.InFlight, c.Reported)+1) / float64(max(1, c.Total))
	return time.Duration(t * load * (1 - hintSaving*c.CacheHint))
}

// betterOfTwo draws two free servers of a range and returns the better one.
func betterOfTwo(v View, from, to int, random *draw) option {
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

// drawFree draws a free server of a range, but for one.
func drawFree(v View, from, to, but int, random *draw) int {
	n := to - from
	if n <= 0 {
		return NoServer
	}
	for range probes {
		if i := from + random.below(n); i != but && v.Free(i) {
			return i
		}
	}
	start := random.below(n)
	for k := range n {
		if i := from + (start+k)%n; i != but && v.Free(i) {
			return i
		}
	}
	return NoServer
}

// nearer chooses between the zone's own server and one of another zone.
func nearer(local, remote option) Choice {
	switch {
	case local.index == NoServer && remote.index == NoServer:
		return Choice{Index: NoServer, Reason: reasonFull}
	case local.index == NoServer:
		return Choice{Index: remote.index, Reason: reasonRemoteOnly}
	case remote.index != NoServer && remoteGain*remote.completion+remoteDelay < local.completion:
		return Choice{Index: remote.index, Reason: reasonRemote}
	}
	return Choice{Index: local.index, Reason: reasonLocal}
}

// preferred replaces a choice by the server that the prefix prefers in the same
// part of the pool, unless that server is full or clearly more loaded.
func preferred(prefix uint64, v View, choice Choice, local, remote option) Choice {
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

// highestTwo returns the indices of the two highest rendezvous weights.
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

// mix spreads the bits of a number over all bits of the result.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// draw is a sequence of random numbers made from one.
type draw uint64

// below returns a random number from 0 to n-1.
func (d *draw) below(n int) int {
	*d += 0x9e3779b97f4a7c15
	return int((mix(uint64(*d)) >> 32) * uint64(n) >> 32)
}
