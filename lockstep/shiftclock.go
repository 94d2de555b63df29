package lockstep

import (
	"slices"
	"time"
)

// shiftClock keeps the latest shifts of demand and tells when the next one is expected, if they are
// regular.
type shiftClock struct {
	shifts []time.Time // oldest first
}

// Parameters of the shift clock.
const (
	// sameShiftTime is the time within which detected shifts count as one. The groups of a service
	// shift within 0.3 s.
	sameShiftTime = 500 * time.Millisecond
	// minRegularIntervals is the number of consecutive intervals that must be alike before a shift is
	// expected.
	minRegularIntervals = 4
	maxKeptShifts       = 2*minRegularIntervals + 1
	// regularShare is the largest difference of an interval from the mean, as a share of the mean.
	regularShare = 0.25
	// maxOverdue is the longest time for which a shift that has not come is still expected. While it
	// is expected, maps are not changed.
	maxOverdue = time.Second
)

// observe records a shift that was detected at a time. It returns false if the shift is known already.
func (c *shiftClock) observe(at time.Time) bool {
	if n := len(c.shifts); n > 0 && at.Sub(c.shifts[n-1]) < sameShiftTime {
		return false
	}
	c.shifts = append(c.shifts, at)
	if len(c.shifts) > maxKeptShifts {
		c.shifts = slices.Delete(c.shifts, 0, 1)
	}
	return true
}

// latest returns the time of the latest shift; zero: none.
func (c *shiftClock) latest() time.Time {
	if len(c.shifts) == 0 {
		return time.Time{}
	}
	return c.shifts[len(c.shifts)-1]
}

// untilNext returns the time until the next shift is expected, 0 if it is overdue; false if it is
// unknown.
func (c *shiftClock) untilNext(now time.Time) (time.Duration, bool) {
	mean := c.regularInterval()
	if mean == 0 {
		return 0, false
	}
	left := c.latest().Add(mean).Sub(now)
	overdue := min(time.Duration(regularShare*float64(mean)), maxOverdue)
	return max(left, 0), left >= -overdue
}

// regularInterval returns the mean of the longest run of regular intervals up to the latest shift; 0:
// the latest intervals are too few or not regular.
func (c *shiftClock) regularInterval() time.Duration {
	for from := range c.shifts {
		n := len(c.shifts) - 1 - from
		if n < minRegularIntervals {
			break
		}
		mean := c.latest().Sub(c.shifts[from]) / time.Duration(n)
		if isRegular(c.shifts[from:], mean) {
			return mean
		}
	}
	return 0
}

// isRegular reports whether all intervals between shifts are close to their mean.
func isRegular(shifts []time.Time, mean time.Duration) bool {
	for i := 1; i < len(shifts); i++ {
		if (shifts[i].Sub(shifts[i-1]) - mean).Abs() > time.Duration(regularShare*float64(mean)) {
			return false
		}
	}
	return true
}
