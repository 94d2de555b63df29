package placing

import (
	"slices"
	"time"

	"github.com/heatherrail/heatherrail/internal/ablate"
	"github.com/heatherrail/heatherrail/serving"
)

// Weights of a placement, in requests running at a target.
const (
	distanceWeight = 0.1    // another data centre; decides only between equals
	readWeight     = 0.0015 // a prompt token that is still to be read
	// slowWeight is for each time that a target takes as long as usual beyond the
	// first: all ranks of a group wait for a slow one, so it gets work last.
	slowWeight = 10.0
	slowPace   = 1.3
	// avoidPace is where a rank is so slow that it gets nothing. Each of its streams, and
	// each prompt that it reads, makes the passes of all ranks longer by that many times
	// what it would elsewhere.
	avoidPace = 2.0
)

// withoutSlow leaves out the targets on ranks that are many times as slow as usual, as
// long as they are few.
//
// Load pattern: one rank of a full group takes many times as long. Streams on that rank make
// the passes of all so long that none can end in time; its fixed part alone is longer than
// passes usually are, so the other ranks may be full beside it at no cost.
//
// The lock must be held.
func (b *Tracker) withoutSlow(targets []*serving.Target, now time.Time) []*serving.Target {
	left := make([]*serving.Target, 0, len(targets))
	for _, t := range targets {
		a := b.accounts[t.Run()]
		if a == nil || now.Sub(a.others.at) >= ReportTTL || a.others.Slowdown < avoidPace {
			left = append(left, t)
		}
	}
	if 2*len(left) < len(targets) || ablate.Off(ablate.SlowLeftOut) {
		return targets
	}
	return left
}

// Place chooses the target of a try: the one with the least work of those that
// drop does not exclude; nil if there is none. drop must not use the book.
func (b *Tracker) Place(targets []*serving.Target, drop func(*serving.Target) bool, now time.Time) *serving.Target {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.place(targets, drop, now)
}

func (b *Tracker) place(targets []*serving.Target, drop func(*serving.Target) bool, now time.Time) *serving.Target {
	runs := make([]serving.Run, 0, len(targets))
	for _, t := range targets {
		runs = append(runs, t.Run())
	}
	skip := b.ejector.Excluded(runs, now, b.rng.Float64)
	best := b.least(targets, func(t *serving.Target) bool { return drop(t) || skip[t.Run()] }, now)
	if best == nil && len(skip) > 0 {
		best = b.least(targets, drop, now)
	}
	return best
}

// hasSlowRank tells whether a rank of some group is many times as slow as usual.
func (b *Tracker) hasSlowRank(lanes []groupLane, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.ContainsFunc(lanes, func(l groupLane) bool {
		state := b.group(l.key)
		return now.Sub(state.ReportedAt) < ReportTTL && state.MaxSlowdown >= avoidPace
	})
}

// usable tells whether a target takes requests at all, as far as is known.
func (b *Tracker) usable(t *serving.Target) bool {
	a := b.accounts[t.Run()]
	return t.IsAvailable() && (a == nil || !a.gone)
}

// sample is how many targets a placement compares. All entries have the same
// reports, a moment old; if each compared all targets they would all send to the
// same one until the next report.
const sample = 3

// least returns the target with the least work among some that are drawn.
func (b *Tracker) least(targets []*serving.Target, drop func(*serving.Target) bool, now time.Time) *serving.Target {
	usable := make([]*serving.Target, 0, len(targets))
	for _, t := range targets {
		if b.usable(t) && !b.limits.closed(t.Run(), now) && !drop(t) {
			usable = append(usable, t)
		}
	}
	compared := sample
	if ablate.Off(ablate.Sample) {
		compared = len(usable)
	}
	kept, dial := b.keptOf(usable), 0.0
	if len(kept) > 0 {
		compared, dial = compared-1, dialWeight
	}
	candidates := append(b.drawTargets(usable, compared), b.drawTargets(kept, 1)...)
	var best *serving.Target
	var bestWork float64
	for _, t := range candidates {
		work := b.work(t, now)
		if dial > 0 && !b.kept(t.Run()) {
			work += dial
		}
		if best == nil || work < bestWork {
			best, bestWork = t, work
		}
	}
	return best
}

const (
	// fewTargets are no more than two samples. An entry that keeps connections to more is busy
	// enough to have one to most targets that it draws.
	fewTargets = 2 * sample
	// dialWeight decides only between targets with as many requests.
	dialWeight = 0.25
)

// drawTargets draws some of the targets, whose order it changes.
func (b *Tracker) drawTargets(targets []*serving.Target, count int) []*serving.Target {
	count = min(count, len(targets))
	for i := range count {
		j := i + b.rng.IntN(len(targets)-i)
		targets[i], targets[j] = targets[j], targets[i]
	}
	return slices.Clone(targets[:count])
}

// keptOf returns the targets to which a connection is open and idle, if they are few among many.
//
// Load pattern: each of many entries has a request now and then, for one of many targets. Drawn
// anew for each request, a target has hardly ever been sent to from here a moment ago, so every
// request waits for a new connection and its target pays for it.
func (b *Tracker) keptOf(targets []*serving.Target) []*serving.Target {
	if b.kept == nil || len(targets) <= fewTargets {
		return nil
	}
	var kept []*serving.Target
	for _, t := range targets {
		if b.kept(t.Run()) {
			kept = append(kept, t)
		}
	}
	if len(kept) > fewTargets {
		return nil
	}
	return kept
}

// work rates what a target has to do.
func (b *Tracker) work(t *serving.Target, now time.Time) float64 {
	work := float64(b.load(t, now))
	if t.DataCentre != b.dataCentre {
		work += distanceWeight
	}
	a := b.accounts[t.Run()]
	if a == nil {
		return work
	}
	work += readWeight * a.reading
	if now.Sub(a.others.at) < ReportTTL && a.others.Slowdown > slowPace && !ablate.Off(ablate.SlowWeight) {
		work += slowWeight * (a.others.Slowdown - 1)
	}
	return work
}
