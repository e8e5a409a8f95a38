package policy

import "time"

// sizeClasses is the number of size classes. Latencies are compared only within
// a size class, since small and large requests take different times.
const sizeClasses = 2

// largeClass is the name of the size class of large requests. Every other name
// belongs to the small class.
const largeClass = "large"

// classIndex returns the index of a size class in arrays.
func classIndex(class string) int {
	if class == largeClass {
		return 1
	}
	return 0
}

const (
	// smoothingWeight is the weight of a new sample in the smoothed latency, an
	// exponentially weighted moving average.
	smoothingWeight = 1.0 / 8
	// initialSamples is the number of samples whose mean is the initial value of
	// the smoothed latency.
	initialSamples = 8
	// highLatencyRatio and latencyJumpRatio are multiples of the latency floor.
	// A smoothed latency above highLatencyRatio is high. A single sample above
	// latencyJumpRatio counts towards a jump. The function Stalled uses
	// latencyJumpRatio as well, as a multiple of a high quantile of the call time.
	highLatencyRatio = 2.0
	latencyJumpRatio = 4.0
	// latencyJumpSamples is the number of consecutive samples above
	// latencyJumpRatio that make a jump.
	latencyJumpSamples = 4
	// floorWindow is the length of a window of the latency floor. A low value
	// determines the floor for one to two windows.
	floorWindow = 2 * time.Minute
)

// latencyState classifies a server's latency after a sample.
type latencyState int

const (
	latencyNormal latencyState = iota
	latencyHigh
	latencyJump
)

// classLatency compares the latency of one size class on one server with its
// floor, the lowest smoothed latency of the current and the previous window.
type classLatency struct {
	smoothed        float64 // nanoseconds
	floor           float64 // nanoseconds; lowest smoothed value of this window and the last
	windowFloor     float64 // nanoseconds; lowest smoothed value of this window
	windowStart     time.Time
	samples         int32
	consecutiveSlow int32 // consecutive samples above latencyJumpRatio
}

// add records a sample and returns the resulting state.
func (c *classLatency) add(now time.Time, latency time.Duration) latencyState {
	x := float64(latency)
	if c.samples < initialSamples {
		c.addInitial(now, x)
		return latencyNormal
	}
	c.consecutiveSlow++
	if x <= latencyJumpRatio*c.floor {
		c.consecutiveSlow = 0
	}
	// Limit the weight of a single outlier, which is no sign of congestion.
	x = min(x, 2*latencyJumpRatio*c.floor)
	c.smoothed += (x - c.smoothed) * smoothingWeight
	c.updateFloor(now)
	if c.consecutiveSlow >= latencyJumpSamples {
		c.consecutiveSlow = 0
		return latencyJump
	}
	if c.smoothed > highLatencyRatio*c.floor {
		return latencyHigh
	}
	return latencyNormal
}

// addDeadlineExceeded records a call that was ended by its deadline after the
// given time, and reports whether it completes a latency jump.
func (c *classLatency) addDeadlineExceeded(latency time.Duration) bool {
	if c.samples < initialSamples || float64(latency) <= latencyJumpRatio*c.floor {
		return false
	}
	c.consecutiveSlow++
	if c.consecutiveSlow < latencyJumpSamples {
		return false
	}
	c.consecutiveSlow = 0
	return true
}

// addInitial records one of the first initialSamples samples. Their mean is the
// initial floor.
func (c *classLatency) addInitial(now time.Time, x float64) {
	c.samples++
	c.smoothed += (x - c.smoothed) / float64(c.samples)
	c.floor, c.windowFloor = c.smoothed, c.smoothed
	c.windowStart = now
}

// updateFloor lowers the floor to the smoothed latency if that is lower. Once
// floorWindow has passed, it starts a new window, and the floor can rise.
func (c *classLatency) updateFloor(now time.Time) {
	c.floor = min(c.floor, c.smoothed)
	c.windowFloor = min(c.windowFloor, c.smoothed)
	if now.Sub(c.windowStart) < floorWindow {
		return
	}
	c.floor, c.windowFloor = c.windowFloor, c.smoothed
	c.windowStart = now
}

// resetSmoothed sets the smoothed latency to the floor and keeps the floor.
func (c *classLatency) resetSmoothed() {
	c.smoothed = c.floor
	c.consecutiveSlow = 0
}
