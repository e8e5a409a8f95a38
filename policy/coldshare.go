package policy

// coldMargin is the part of a cold server's rate that instances use together.
const coldMargin = 0.9

// minColdRate is the least rate of one instance, in requests a second: with
// less, the first request of each instance would exceed the rate by itself.
const minColdRate = 2

// ColdShare returns the rate, in requests a second, at which one instance may
// send to a cold server that bears the given rate from all. Rank is the
// instance's place among the fleet for this server, from 0. If the rate is too
// small for all, only the first instances send.
func ColdShare(rate float64, rank, fleet int) float64 {
	rate *= coldMargin
	senders := min(max(1, fleet), max(1, int(rate/minColdRate)))
	if rank >= senders {
		return 0
	}
	return rate / float64(senders)
}
