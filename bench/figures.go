package bench

import (
	"slices"
	"time"
)

// Quantile returns the value below which a part of the values lies; 0 without any. It
// sorts them.
func Quantile(v []float64, q float64) float64 {
	if len(v) == 0 {
		return 0
	}
	slices.Sort(v)
	return v[int(q*float64(len(v)-1))]
}

// Millis returns a time in milliseconds.
func Millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
