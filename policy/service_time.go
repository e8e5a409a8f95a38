package policy

import "time"

const (
	// serviceWeight is the weight of a new sample.
	serviceWeight = 1.0 / 16
	// highDeviations is the number of mean deviations above the mean at which
	// the high quantile is taken: about 19 in 20 calls take less, whether their
	// times are spread evenly, normally or exponentially.
	highDeviations = 2.5
)

// ServiceTime follows the mean and a high quantile of the time of calls in
// constant memory. It is not safe for concurrent use.
type ServiceTime struct {
	mean, deviation float64 // nanoseconds
	samples         int64
}

// Observe takes the time of a call.
func (s *ServiceTime) Observe(took time.Duration) {
	x := float64(took)
	s.samples++
	weight := max(serviceWeight, 1/float64(s.samples))
	s.deviation += (max(x-s.mean, s.mean-x) - s.deviation) * weight
	if s.samples == 1 {
		s.deviation = 0
	}
	s.mean += (x - s.mean) * weight
}

// Mean returns the mean, 0 before the first sample.
func (s *ServiceTime) Mean() time.Duration { return time.Duration(s.mean) }

// High returns the high quantile, 0 before the first sample.
func (s *ServiceTime) High() time.Duration {
	return time.Duration(s.mean + highDeviations*s.deviation)
}

// Class returns the number of a size class, from 0 to Classes-1.
func Class(name string) int { return classIndex(name) }

// Classes is the number of size classes.
const Classes = sizeClasses
