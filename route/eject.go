package route

import (
	"slices"
	"time"
)

// Ejector does outlier ejection: it takes failing targets, identified by T, out of
// rotation for a time. It is not safe for concurrent use.
type Ejector[T comparable] struct {
	targets map[T]*targetHealth
}

type targetHealth struct {
	consecutiveFailures int
	ejections           int // number of ejections; reset by a success later than rampUp after the last one
	ejectedUntil        time.Time
}

const (
	failuresToEject = 5               // consecutive failures after which a target is ejected
	minEjection     = 2 * time.Second // duration of the first ejection
	maxEjection     = time.Minute
	rampUp          = 10 * time.Second // time in which a target returns to its full share
	minRampShare    = 0.1              // share of its usual requests that a target gets right after its ejection has ended
)

// NewEjector returns an Ejector without any recorded results.
func NewEjector[T comparable]() *Ejector[T] { return &Ejector[T]{targets: make(map[T]*targetHealth)} }

// RecordResult records the result of one attempt at a target. The target is ejected after
// failuresToEject consecutive failures.
func (j *Ejector[T]) RecordResult(target T, ok bool, now time.Time) {
	h := j.targets[target]
	switch {
	case ok && h == nil:
	case ok:
		h.consecutiveFailures = 0
		if now.After(h.ejectedUntil.Add(rampUp)) {
			delete(j.targets, target)
		}
	default:
		if h == nil {
			h = new(targetHealth)
			j.targets[target] = h
		}
		if h.consecutiveFailures++; h.consecutiveFailures >= failuresToEject {
			j.Eject(target, now)
		}
	}
}

// Eject ejects a target, unless it is ejected already. Each ejection lasts twice as long
// as the one before, up to maxEjection.
func (j *Ejector[T]) Eject(target T, now time.Time) {
	h := j.targets[target]
	if h == nil {
		h = new(targetHealth)
		j.targets[target] = h
	}
	h.consecutiveFailures = 0
	if now.Before(h.ejectedUntil) {
		return
	}
	h.ejectedUntil = now.Add(min(minEjection<<min(h.ejections, 16), maxEjection))
	h.ejections++
}

// EjectMinimum ejects a target for minEjection from now on.
func (j *Ejector[T]) EjectMinimum(target T, now time.Time) {
	h := j.targets[target]
	if h == nil {
		h = new(targetHealth)
		j.targets[target] = h
	}
	if until := now.Add(minEjection); until.After(h.ejectedUntil) {
		h.ejectedUntil = until
	}
}

// Excluded returns the targets to leave out of one placement. A target whose ejection has
// ended is included with a probability that grows from minRampShare to 1 over rampUp, so
// that few requests fail at a target that has not recovered; draw returns a random number
// in [0,1) for each such target. At most half of the targets are excluded: if more fail,
// the cause is not in the targets, and all requests together would overload the rest.
func (j *Ejector[T]) Excluded(names []T, now time.Time, draw func() float64) map[T]bool {
	excluded := make(map[T]bool)
	if len(j.targets) == 0 {
		return excluded
	}
	var candidates []T
	for _, name := range names {
		h := j.targets[name]
		if h == nil || h.ejectedUntil.IsZero() {
			continue
		}
		ramp := float64(now.Sub(h.ejectedUntil)) / float64(rampUp)
		if ramp < 0 || (ramp < 1 && draw() >= max(ramp, minRampShare)) {
			candidates = append(candidates, name)
		}
	}
	slices.SortFunc(candidates, func(a, b T) int { return j.targets[b].ejectedUntil.Compare(j.targets[a].ejectedUntil) })
	for _, name := range candidates[:min(len(candidates), len(names)/2)] {
		excluded[name] = true
	}
	return excluded
}
