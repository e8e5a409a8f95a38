package policy

import "time"

const (
	// serviceTimeWeight is the weight of a new sample in the moving averages.
	serviceTimeWeight = 1.0 / 16
	// highDeviations is the number of mean absolute deviations by which the high
	// quantile exceeds the mean. About 19 in 20 calls take less, whether their
	// durations are distributed uniformly, normally or exponentially.
	highDeviations = 2.5
)

// ServiceTime estimates the mean and a high quantile of the duration of calls in
// constant memory, by exponentially weighted moving averages. It is not safe for
// concurrent use.
type ServiceTime struct {
	mean, deviation float64 // nanoseconds
	samples         int64
}

// Observe records the duration of a call.
func (s *ServiceTime) Observe(took time.Duration) {
	x := float64(took)
	s.samples++
	weight := max(serviceTimeWeight, 1/float64(s.samples))
	s.deviation += (max(x-s.mean, s.mean-x) - s.deviation) * weight
	if s.samples == 1 {
		s.deviation = 0
	}
	s.mean += (x - s.mean) * weight
}

// Mean returns the estimated mean, 0 before the first sample.
func (s *ServiceTime) Mean() time.Duration { return time.Duration(s.mean) }

// High returns the estimated high quantile, 0 before the first sample.
func (s *ServiceTime) High() time.Duration {
	return time.Duration(s.mean + highDeviations*s.deviation)
}

// Class returns the index of a size class, from 0 to Classes-1.
func Class(name string) int { return classIndex(name) }

// Classes is the number of size classes.
const Classes = sizeClasses
