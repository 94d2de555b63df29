package placing

import (
	"time"

	"github.com/heatherrail/heatherrail/internal/ablate"
	"github.com/heatherrail/heatherrail/serving"
)

// Figures of the limit.
const (
	// gapShare of the aim for pauses is what passes may take in the mean: prompts come
	// in bursts, and an event has its way to the caller.
	gapShare = 0.95
	// copySlows: passes take longer by 15 in 100 while ranks copy experts, which they
	// do whenever demand has moved. Source: the platform's statement.
	copySlows = 1.15
	// bornImbalance is the most that the gate makes room for: with fewer streams than
	// that allows, the group would not keep up with its usual load.
	bornImbalance = 3.5
	// firstImbalance is what the map that engines start with has: it deals experts out in
	// turn, and the busiest rank holds some that are wanted several times as much as the
	// mean.
	firstImbalance = 3.5
	// calmImbalance is expected where nothing is known of the group's map yet.
	calmImbalance = 2.5
	// leastRunning keeps a target useful whatever the figures say.
	leastRunning = 3
)

// limit returns how many streams a target may run, so that passes stay within the
// aim for pauses: each has a fixed part, for which the group waits for its slowest
// rank, and a part for each stream, most of it with the busiest expert.
//
// Load pattern: demand moves every few seconds, and until the map follows passes
// take two to three times as long. With as many streams as targets have places each
// of these moments makes every stream late; with the limit none.
//
// If no number of streams keeps passes that short, all are late whatever is done,
// and as many run as the target takes: what is left to save is throughput.
//
// The limit is a mean over the targets of a group, since passes last for as long as
// all streams of the group together need, and so need not be a whole number.
func limit(m *serving.EngineModel, gapAim time.Duration, imbalance, pace float64) float64 {
	return limitAmong(m, gapAim, imbalance, pace, 1)
}

// limitAmong is limit where only a share of the targets get work.
//
// Load pattern: a data centre is evacuated, whose engines go on doing their experts' part of each
// pass. The others may run more streams each: what experts do goes by the streams of the whole
// group, and only the rest by those of one rank.
func limitAmong(m *serving.EngineModel, gapAim time.Duration, imbalance, pace, share float64) float64 {
	slots := float64(m.Slots)
	if gapAim <= 0 || m.StepTimePerStream <= 0 || ablate.Off(ablate.Limit) {
		return slots
	}
	factor := (1 - m.ExpertShare) + m.ExpertShare*max(imbalance, 1)*share
	step := float64(gapAim) * gapShare / copySlows / float64(max(m.StepsPerPass, 1))
	each := float64(m.StepTimePerStream) + readShare(m)
	n := (step - float64(m.BaseStepTime)*max(pace, 1)) / (each * factor)
	if n < leastRunning {
		return slots
	}
	return min(n, slots)
}

// readShare returns what the prompt of a stream costs each step of its answer, in
// nanoseconds: where streams come and go steadily, that much is read in each step for
// each that is written. It is a seventh of what writing costs.
func readShare(m *serving.EngineModel) float64 {
	if m.PrefillRate <= 0 || m.MeanOutputTokens <= 0 {
		return 0
	}
	return m.MeanPromptTokens / m.PrefillRate / m.MeanOutputTokens * float64(time.Second)
}

// openShare returns which share of some targets get work.
func openShare(targets []*serving.Target) float64 {
	return float64(openOf(targets)) / float64(max(len(targets), 1))
}

// openOf returns how many of some targets are in no evacuated data centre.
func openOf(targets []*serving.Target) int {
	open := 0
	for _, t := range targets {
		if !t.Evacuated {
			open++
		}
	}
	return open
}

// limitOf returns how many streams a target of a group may run now, in the mean, if a share of
// them get work. The lock must be held.
func (b *Tracker) limitOf(k groupKey, l TargetPool, share float64, now time.Time) float64 {
	state := b.group(k)
	if now.Sub(state.ReportedAt) > ReportTTL {
		// Nobody reports, so the map does not follow either: what was worst lately comes.
		return limitAmong(l.Service.Engine, l.EventGapObjective, max(calmImbalance, min(state.PeakImbalance, bornImbalance)), max(state.MaxSlowdown, 1), share)
	}
	if state.Imbalance == 0 {
		// The group has just been formed: it uses the map that engines start with, and
		// what waited for it comes all at once.
		return limitAmong(l.Service.Engine, l.EventGapObjective, firstImbalance, state.MaxSlowdown, share)
	}
	return limitAmong(l.Service.Engine, l.EventGapObjective, max(state.Imbalance, min(state.PeakImbalance, bornImbalance)), state.MaxSlowdown, share)
}
