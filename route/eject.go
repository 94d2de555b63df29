package route

import (
	"slices"
	"time"
)

// Ejector keeps failing targets, named by T, out for a time. It is not safe for
// concurrent use.
type Ejector[T comparable] struct {
	targets map[T]*health
}

type health struct {
	failures int // in a row
	times    int // ejections without a good spell between
	until    time.Time
}

// Bounds of ejection.
const (
	ejectAfter  = 5 // failures in a row
	ejectFirst  = 2 * time.Second
	ejectMax    = time.Minute
	rampUp      = 10 * time.Second
	rampMinimum = 0.1 // share of draws that a target gets right after its ejection
)

// NewEjector returns an Ejector that knows no target.
func NewEjector[T comparable]() *Ejector[T] { return &Ejector[T]{targets: make(map[T]*health)} }

// RecordResult books the end of one try.
func (j *Ejector[T]) RecordResult(target T, ok bool, now time.Time) {
	h := j.targets[target]
	switch {
	case ok && h == nil:
	case ok:
		h.failures = 0
		if now.After(h.until.Add(rampUp)) {
			delete(j.targets, target)
		}
	default:
		if h == nil {
			h = new(health)
			j.targets[target] = h
		}
		if h.failures++; h.failures >= ejectAfter {
			j.Eject(target, now)
		}
	}
}

// Eject keeps a target out from now on, each time longer.
func (j *Ejector[T]) Eject(target T, now time.Time) {
	h := j.targets[target]
	if h == nil {
		h = new(health)
		j.targets[target] = h
	}
	h.failures = 0
	if now.Before(h.until) {
		return
	}
	h.until = now.Add(min(ejectFirst<<min(h.times, 16), ejectMax))
	h.times++
}

// EjectMinimum keeps a target out for the shortest time from now on.
func (j *Ejector[T]) EjectMinimum(target T, now time.Time) {
	h := j.targets[target]
	if h == nil {
		h = new(health)
		j.targets[target] = h
	}
	if until := now.Add(ejectFirst); until.After(h.until) {
		h.until = until
	}
}

// Excluded returns the targets to keep out of one placement. draw gives a number in
// [0,1) for each target that is coming back: its share grows from a tenth to the
// whole, so that a target that is not well yet fails few requests. At most half
// of the targets are kept out: if more fail, the cause is not in them, and the
// rest would break under the load of all.
func (j *Ejector[T]) Excluded(names []T, now time.Time, draw func() float64) map[T]bool {
	skip := make(map[T]bool)
	if len(j.targets) == 0 {
		return skip
	}
	var out []T
	for _, name := range names {
		h := j.targets[name]
		if h == nil || h.until.IsZero() {
			continue
		}
		back := float64(now.Sub(h.until)) / float64(rampUp)
		if back < 0 || (back < 1 && draw() >= max(back, rampMinimum)) {
			out = append(out, name)
		}
	}
	slices.SortFunc(out, func(a, b T) int { return j.targets[b].until.Compare(j.targets[a].until) })
	for _, name := range out[:min(len(out), len(names)/2)] {
		skip[name] = true
	}
	return skip
}
