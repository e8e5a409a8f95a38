package policy

import (
	"slices"

	_ "github.com/savoryfold/savoryfold/test/rapidseed" // property tests repeat themselves
)

// quantileOf returns a quantile of values.
func quantileOf(values []float64, q float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[int(q*float64(len(sorted)-1))]
}
