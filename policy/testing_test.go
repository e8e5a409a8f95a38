package policy

import (
	"slices"

	_ "github.com/savoryfold/savoryfold/test/rapidseed" // fixed seed for the property tests
)

// quantileOf returns the quantile q of values, for q from 0 to 1.
func quantileOf(values []float64, q float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[int(q*float64(len(sorted)-1))]
}
