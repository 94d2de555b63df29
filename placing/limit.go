package placing

import (
	"time"

	"github.com/heatherrail/heatherrail/internal/ablate"
	"github.com/heatherrail/heatherrail/serving"
)

// Parameters of the stream limit.
const (
	// passTimeShare is the share of the event-gap objective that passes may take in the mean. The
	// rest covers bursts of prompts and the delivery of events to the caller.
	passTimeShare = 0.95
	// copySlowdown is the factor on pass time while ranks copy experts, which they do after each
	// shift of demand. Source: the platform's statement.
	copySlowdown = 1.15
	// maxPlannedImbalance caps the recent peak imbalance from which the stream limit is computed. A
	// higher cap would admit fewer streams than the usual load of a group needs.
	maxPlannedImbalance = 3.5
	// initialImbalance is the imbalance of the expert map that engines start with. That map deals
	// out experts in turn, so the busiest rank holds several experts with a multiple of the mean
	// demand.
	initialImbalance = 3.5
	// defaultImbalance is assumed while no imbalance of the group is known.
	defaultImbalance = 2.5
	// minStreams is the smallest stream limit of a target. If the event-gap objective allows fewer
	// streams, the objective counts as unreachable and all slots may be used.
	minStreams = 3
)

// streamLimit returns how many streams a target may run so that passes stay within the event-gap
// objective. A pass has a fixed part, which lasts as long as the slowest rank needs, and a part for
// each stream, most of which is spent on the busiest expert.
//
// The limit guards against late streams when demand shifts, which happens every few seconds: until
// the expert map has been rebalanced, passes take two to three times as long, and with all slots in
// use every stream would be late.
//
// If no number of streams keeps passes short enough, all streams are late in any case. The limit is
// then the number of slots, because only throughput can still be saved.
//
// The limit is a mean over the targets of a group, since a pass lasts as long as all streams of the
// group need together. It need not be a whole number.
func streamLimit(model *serving.EngineModel, gapObjective time.Duration, imbalance, slowdown float64) float64 {
	return streamLimitAmong(model, gapObjective, imbalance, slowdown, 1)
}

// streamLimitAmong is streamLimit for a group of which only a share of the targets accept requests.
//
// The targets of an evacuated data centre and resting targets get no requests, but their engines
// still run their experts' part of each pass. The other targets may run more streams each: the experts' work
// depends on the streams of the whole group, and only the rest depends on the streams of one rank.
func streamLimitAmong(model *serving.EngineModel, gapObjective time.Duration, imbalance, slowdown, accepting float64) float64 {
	slots := float64(model.Slots)
	if gapObjective <= 0 || model.StepTimePerStream <= 0 || ablate.Off(ablate.Limit) {
		return slots
	}
	factor := (1 - model.ExpertShare) + model.ExpertShare*max(imbalance, 1)*accepting
	stepBudget := float64(gapObjective) * passTimeShare / copySlowdown / float64(max(model.StepsPerPass, 1))
	timePerStream := float64(model.StepTimePerStream) + prefillPerStep(model)
	streams := (stepBudget - float64(model.BaseStepTime)*max(slowdown, 1)) / (timePerStream * factor)
	if streams < minStreams {
		return slots
	}
	return min(streams, slots)
}

// prefillPerStep returns the time in nanoseconds that the prompt of a stream adds to each decode
// step, if the prefill is spread evenly over the steps of the response as under steady load. This
// time is a seventh of the cost of decoding.
func prefillPerStep(model *serving.EngineModel) float64 {
	if model.PrefillRate <= 0 || model.MeanOutputTokens <= 0 {
		return 0
	}
	return model.MeanPromptTokens / model.PrefillRate / model.MeanOutputTokens * float64(time.Second)
}

// groupStreamLimit returns how many streams a target of a group may run now, in the mean, if a
// share of the targets accept requests. The lock must be held.
func (tr *Tracker) groupStreamLimit(key groupKey, pool TargetPool, accepting float64, now time.Time) float64 {
	state := tr.group(key)
	if now.Sub(state.ReportedAt) > ReportTTL {
		// Without reports the expert map is not rebalanced either, so the recent peak imbalance is
		// expected.
		return streamLimitAmong(pool.Service.Engine, pool.EventGapObjective, max(defaultImbalance, min(state.PeakImbalance, maxPlannedImbalance)), max(state.MaxSlowdown, 1), accepting)
	}
	if state.Imbalance == 0 {
		// The group has just formed: it uses the initial expert map, and all queued requests arrive
		// at once.
		return streamLimitAmong(pool.Service.Engine, pool.EventGapObjective, initialImbalance, state.MaxSlowdown, accepting)
	}
	return streamLimitAmong(pool.Service.Engine, pool.EventGapObjective, max(state.Imbalance, min(state.PeakImbalance, maxPlannedImbalance)), state.MaxSlowdown, accepting)
}
