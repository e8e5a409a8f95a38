package policy

import "time"

const (
	// serviceWeight is the weight of a new sample in the mean.
	serviceWeight = 1.0 / 32
	// serviceQuantile is the high quantile that is followed, serviceStep the
	// part of the mean by which its estimate moves.
	serviceQuantile = 0.95
	serviceStep     = 0.1
)

// ServiceTime follows the mean and a high quantile of the time of calls in
// constant memory. It is not safe for concurrent use.
type ServiceTime struct {
	mean, high float64 // nanoseconds
	samples    int64
}

// Observe takes the time of a call.
func (s *ServiceTime) Observe(took time.Duration) {
	x := float64(took)
	s.samples++
	s.mean += (x - s.mean) * max(serviceWeight, 1/float64(s.samples))
	if s.samples <= 1/serviceWeight {
		s.high = max(s.high, x)
		return
	}
	// The estimate rests where a sample is above it with probability
	// 1-serviceQuantile.
	step := s.mean * serviceStep
	if x > s.high {
		s.high += step * serviceQuantile
		return
	}
	s.high = max(s.mean, s.high-step*(1-serviceQuantile))
}

// Mean returns the mean, 0 before the first sample.
func (s *ServiceTime) Mean() time.Duration { return time.Duration(s.mean) }

// High returns the high quantile, 0 before the first sample.
func (s *ServiceTime) High() time.Duration { return time.Duration(s.high) }

// Class returns the number of a size class, from 0 to Classes-1.
func Class(name string) int { return classIndex(name) }

// Classes is the number of size classes.
const Classes = sizeClasses
