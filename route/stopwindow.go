package route

import "time"

// StopWindow decides which requests an entry still passes on while it stops. The end of the process cuts
// off what is not answered then, so the entry takes a request only if it is answered before, by its
// deadline at the latest. In the first seconds it takes any request, since callers that still have the
// entry in their directory answers would have to repeat most of them.
type StopWindow struct {
	AnyUntil time.Time // any request is taken before this time
	DoneBy   time.Time // afterwards a request is taken if its deadline is not later than this
}

const (
	// takeAnyShare and maxTakeAny bound the time during which any request is taken: a share of the grace, so that
	// most of it is left for the answers.
	takeAnyShare = 0.35
	maxTakeAny   = 2800 * time.Millisecond
	// writeReserve is the time between a request's deadline and the end of the process, in which its
	// response is written.
	writeReserve = 200 * time.Millisecond
)

// NewStopWindow returns the window of an entry that begins to stop at start and has run for its grace, or
// the shorter time that is left for requests, when the process ends.
func NewStopWindow(start time.Time, grace, left time.Duration) StopWindow {
	return StopWindow{
		AnyUntil: start.Add(min(time.Duration(takeAnyShare*float64(grace)), maxTakeAny)),
		DoneBy:   start.Add(left - writeReserve),
	}
}

// Takes reports whether a request with this deadline may be passed on to a target now.
func (w StopWindow) Takes(now, deadline time.Time) bool {
	return now.Before(w.AnyUntil) || !deadline.After(w.DoneBy)
}
