package bench

import (
	"slices"
	"time"
)

// Quantile returns the q-quantile of v (0 <= q <= 1), or 0 if v is empty. It sorts v.
func Quantile(v []float64, q float64) float64 {
	if len(v) == 0 {
		return 0
	}
	slices.Sort(v)
	return v[int(q*float64(len(v)-1))]
}

// Millis returns a duration in milliseconds.
func Millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
