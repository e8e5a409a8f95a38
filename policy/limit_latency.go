package policy

import "time"

// Latencies are compared within a size class, since small and large requests
// take different times.
const sizeClasses = 2

// largeClass is the name of the size class that is not the small one.
const largeClass = "large"

// classIndex is the place of a size class in arrays.
func classIndex(class string) int {
	if class == largeClass {
		return 1
	}
	return 0
}

const (
	// latencyWeight is the weight of a new sample in the smoothed latency.
	latencyWeight = 1.0 / 8
	// latencyFirst is the number of samples whose mean begins the smoothing.
	latencyFirst = 8
	// highRatio and jumpRatio are multiples of the floor.
	highRatio = 2.0
	jumpRatio = 4.0
	// jumpRun is the number of samples in a row that make a jump.
	jumpRun = 4
	// floorWindow is how long a floor is remembered at least, and half as long
	// as it is remembered at most.
	floorWindow = 2 * time.Minute
)

// latencyState is what a sample says about a server.
type latencyState int

const (
	latencyNormal latencyState = iota
	latencyHigh
	latencyJump
)

// classLatency follows the latency of one size class on one server against its
// own floor, the lowest smoothed latency of the last windows.
type classLatency struct {
	smoothed float64 // nanoseconds
	floor    float64 // lowest smoothed value of this window and the last
	next     float64 // lowest smoothed value of this window
	window   time.Time
	samples  int32
	slow     int32 // samples in a row above jumpRatio
}

// add takes a sample.
func (c *classLatency) add(now time.Time, latency time.Duration) latencyState {
	x := float64(latency)
	if c.samples < latencyFirst {
		c.begin(now, x)
		return latencyNormal
	}
	c.slow++
	if x <= jumpRatio*c.floor {
		c.slow = 0
	}
	// One outlier must not pass for congestion.
	x = min(x, 2*jumpRatio*c.floor)
	c.smoothed += (x - c.smoothed) * latencyWeight
	c.roll(now)
	if c.slow >= jumpRun {
		c.slow = 0
		return latencyJump
	}
	if c.smoothed > highRatio*c.floor {
		return latencyHigh
	}
	return latencyNormal
}

// cut takes a call that took at least the latency, and reports whether it is
// the last of a jump.
func (c *classLatency) cut(latency time.Duration) bool {
	if c.samples < latencyFirst || float64(latency) <= jumpRatio*c.floor {
		return false
	}
	c.slow++
	if c.slow < jumpRun {
		return false
	}
	c.slow = 0
	return true
}

// begin takes one of the first samples, from which the floor is set.
func (c *classLatency) begin(now time.Time, x float64) {
	c.samples++
	c.smoothed += (x - c.smoothed) / float64(c.samples)
	c.floor, c.next = c.smoothed, c.smoothed
	c.window = now
}

// roll lowers the floor, and lets it rise when a window has passed.
func (c *classLatency) roll(now time.Time) {
	c.floor = min(c.floor, c.smoothed)
	c.next = min(c.next, c.smoothed)
	if now.Sub(c.window) < floorWindow {
		return
	}
	c.floor, c.next = c.next, c.smoothed
	c.window = now
}

// restart forgets the smoothed latency and keeps the floor.
func (c *classLatency) restart() {
	c.smoothed = c.floor
	c.slow = 0
}
