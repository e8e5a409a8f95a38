package policy

// coldRateFraction is the fraction of a cold server's request rate that all
// instances use together.
const coldRateFraction = 0.9

// minInstanceRate is the lowest rate of one instance, in requests per second. If
// more instances sent at lower rates, their first requests alone would exceed the
// server's rate.
const minInstanceRate = 2

// ColdShare returns the rate, in requests per second, at which one instance may
// send to a cold server. rate is the total rate that the server can sustain, and
// rank is the instance's rank for this server, from 0 to instances-1. If the rate
// is too low for all instances, only those with the lowest ranks send.
func ColdShare(rate float64, rank, instances int) float64 {
	rate *= coldRateFraction
	senders := min(max(1, instances), max(1, int(rate/minInstanceRate)))
	if rank >= senders {
		return 0
	}
	return rate / float64(senders)
}
