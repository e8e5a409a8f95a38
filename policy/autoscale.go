package policy

import (
	"math"
	"time"
)

const (
	// scaleDownReserve is the part of the target utilization up to which servers are
	// given up. The load has to grow by the rest before one of them is ordered again.
	scaleDownReserve = 0.85
	// maxScaleDownFraction is the largest part of the servers that is given up in one
	// window; at least one server is.
	maxScaleDownFraction = 0.2
	// scaleSettleTime is the time for which a view has to be complete before it is used.
	scaleSettleTime = 3 * time.Second
	// bootMargin is the time beyond the boot time after which a server that was ordered
	// counts as missing.
	bootMargin = 3 * time.Second
	// maxSampleGap is the longest time between two samples of a window without a gap, as a
	// part of the window.
	maxSampleGap = 1.0 / 3
	// orderRepeatInterval is the time between two orders of which the first has an unknown
	// result.
	orderRepeatInterval = 2 * time.Second
)

// ScaleLimits bound the number of servers of a service in an availability zone.
type ScaleLimits struct {
	Min, Max int
	// Boot is the time from an order until a server can serve.
	Boot time.Duration
	// Target is the part of the servers' slots that requests are to take at most.
	Target float64
	// Window is the time over which the highest demand decides whether servers are given
	// up. It should be longer than the period of waves in the load.
	Window time.Duration
}

// ScaleView is what is known of a service in an availability zone at one moment.
type ScaleView struct {
	// Complete is true if the demand of every instance is known.
	Complete bool
	// OutOfService is true if the zone is evacuated or no instance in it can be reached. Its
	// demand is then elsewhere, and comes back with the zone.
	OutOfService bool
	// Rollout is true while servers of two versions are present on purpose.
	Rollout bool
	// Running is the number of requests at the servers, running or waiting.
	Running int
	// Refused is the number of requests per second that found no server, ServerTime the
	// mean time of a request at a server.
	Refused    float64
	ServerTime time.Duration
	// Slots is the number of requests that a server runs concurrently, 0 if unknown.
	Slots int
	// Present is the number of servers that may get requests, of which Cold are cold, and
	// Draining that of those that are leaving.
	Present, Cold, Draining int
}

// demand returns the number of requests that would be at the servers if none were refused.
func (v *ScaleView) demand() float64 {
	return float64(v.Running) + v.Refused*v.ServerTime.Seconds()
}

// ScaleDecision is the result of Scaler.Decide.
type ScaleDecision struct {
	// Order is the number of servers to order, 0 if nothing is to be ordered.
	Order  int
	Reason Reason
	// Base is the number of servers so far. Need is the number that the demand needs now,
	// Peak that of the highest demand of the window before servers are given up; both are
	// within the limits.
	Base, Need, Peak int
}

// scaleSample is the demand at one time, in requests.
type scaleSample struct {
	at     time.Time
	demand float64
}

// Scaler decides how many servers of a service to order in an availability zone. Servers
// are added at once, and given up slowly: once the highest demand of a whole window needs
// fewer, at most a part of them in each window. Only the Scaler's own orders lower the
// number that it starts from: servers that are lost are not given up by that.
//
// The zero value is ready for use. It must not be used concurrently.
type Scaler struct {
	// samples holds the demand of the window, oldest first. There is no gap in it.
	samples []scaleSample
	// completeSince is the start of the time for which the view is complete; zero if it is not.
	completeSince time.Time
	// base is the number that was ordered last, or the most servers that were present if
	// none was; 0 if nothing is known. ordered is true for the former.
	base    int
	ordered bool
	// orderedAt is the time of the last order, unknown is true if its result is.
	orderedAt time.Time
	unknown   bool
	// shortSince is since when fewer servers than base are present; zero if they are not.
	shortSince time.Time
}

// Ordered records an order that was made. known is false if the platform may or may not
// have received it.
func (s *Scaler) Ordered(now time.Time, count int, known bool) {
	if !known {
		count = max(count, s.base)
	}
	s.base, s.ordered, s.unknown, s.orderedAt = count, true, !known, now
	s.shortSince = time.Time{}
}

// Decide returns what to order, given the view at a time.
func (s *Scaler) Decide(now time.Time, l ScaleLimits, v ScaleView) ScaleDecision {
	if !v.Complete || v.Slots <= 0 {
		s.completeSince = time.Time{}
		return ScaleDecision{Base: s.base, Reason: "partial view"}
	}
	if s.completeSince.IsZero() {
		s.completeSince = now
	}
	if v.OutOfService {
		return ScaleDecision{Base: s.base, Reason: "zone out of service"}
	}
	s.addSample(now, l.Window, v.demand())
	s.observePresent(now, l, v)
	d := ScaleDecision{Base: s.base, Need: l.servers(v.demand(), v.Slots, 1), Peak: l.servers(s.peak(), v.Slots, scaleDownReserve)}
	switch {
	case now.Sub(s.completeSince) < scaleSettleTime:
		d.Reason = "young view"
	case s.unknown && now.Sub(s.orderedAt) < orderRepeatInterval:
		d.Reason = "result of the last order unknown"
	case d.Need > s.base:
		d.Order, d.Reason = d.Need, "demand"
	case s.unknown:
		d.Order, d.Reason = s.base, "result of the last order unknown"
	case s.missing(now, l, v, d):
		d.Order, d.Reason = l.clamp(s.base), "servers missing"
	case d.Peak < s.base:
		// The servers that remain must be there, and be warm: those that are given up may be
		// the only others.
		n := l.clamp(max(d.Peak, s.base-max(1, int(maxScaleDownFraction*float64(s.base)))))
		if d.Reason = "less demand"; !v.Rollout && s.mayGiveUp(now, l) && v.Present-v.Cold >= n {
			d.Order = n
		}
	default:
		d.Reason = "enough"
	}
	return d
}

// servers returns the number of servers for a demand, within the limits. reserve is the
// part of the target utilization that is used.
func (l *ScaleLimits) servers(demand float64, slots int, reserve float64) int {
	return l.clamp(int(math.Ceil(min(demand/(float64(slots)*l.Target*reserve), float64(l.Max)))))
}

// clamp returns the number of servers within the limits that is next to n.
func (l *ScaleLimits) clamp(n int) int { return min(max(n, l.Min), l.Max) }

// addSample records the demand. Samples before a gap say nothing about the time since.
func (s *Scaler) addSample(now time.Time, window time.Duration, demand float64) {
	if n := len(s.samples); n > 0 && now.Sub(s.samples[n-1].at) > time.Duration(maxSampleGap*float64(window)) {
		s.samples = s.samples[:0]
	}
	s.samples = append(s.samples, scaleSample{now, demand})
	// The window is covered if one sample is as old as it.
	for len(s.samples) > 1 && now.Sub(s.samples[1].at) >= window {
		s.samples = s.samples[1:]
	}
}

// peak returns the highest demand of the window.
func (s *Scaler) peak() float64 {
	var peak float64
	for _, x := range s.samples {
		peak = max(peak, x.demand)
	}
	return peak
}

// observePresent records the number of servers that are present.
func (s *Scaler) observePresent(now time.Time, l ScaleLimits, v ScaleView) {
	if !s.ordered && !v.Rollout {
		s.base = max(s.base, min(v.Present, l.Max))
	}
	switch {
	case v.Present >= s.base || v.Rollout:
		s.shortSince = time.Time{}
	case s.shortSince.IsZero():
		s.shortSince = now
	}
}

// missing reports whether servers that the demand of the window needs have not been
// present for longer than the platform takes to start them.
func (s *Scaler) missing(now time.Time, l ScaleLimits, v ScaleView, d ScaleDecision) bool {
	return !s.shortSince.IsZero() && now.Sub(s.shortSince) >= l.Boot+bootMargin && v.Present < d.Peak
}

// mayGiveUp reports whether the demand of a whole window is known, and no order was made
// during it.
func (s *Scaler) mayGiveUp(now time.Time, l ScaleLimits) bool {
	return now.Sub(s.samples[0].at) >= l.Window && now.Sub(s.orderedAt) >= l.Window
}
