package placing

import (
	"math"
	"time"

	"github.com/heatherrail/heatherrail/internal/ablate"
	"github.com/heatherrail/heatherrail/serving"
)

// pauseShare is the share of the event-gap objective that the longest pass around a shift of demand
// may take by the measured time per stream. It is higher than passTimeShare: the measured time
// includes prompts, copies and the delivery of events.
const pauseShare = 0.97

// pauseStreamLimit returns how many streams a target may run, in the mean, so that the longest pass
// around a shift of demand stays within the event-gap objective by the time per stream that the
// leader of the group has measured. known is false if nothing has been measured.
//
// If only a share of the targets accept requests, the part of the time that experts take shrinks
// with it, as in streamLimitAmong.
func pauseStreamLimit(model *serving.EngineModel, gapObjective, streamTime time.Duration, slowdown, accepting float64) (streams float64, known bool) {
	if gapObjective <= 0 || streamTime <= 0 || ablate.Off(ablate.Limit) || ablate.Off(ablate.PauseLimit) {
		return 0, false
	}
	steps := float64(max(model.StepsPerPass, 1))
	ownPart := min((1-model.ExpertShare)*steps*float64(model.StepTimePerStream), float64(streamTime))
	timePerStream := ownPart + (float64(streamTime)-ownPart)*accepting
	streams = (pauseShare*float64(gapObjective) - steps*float64(model.BaseStepTime)*max(slowdown, 1)) / timePerStream
	return min(streams, float64(model.Slots)), true
}

// maxNewStreams returns the most streams that all entries together may start in a group until the
// next load report, so that processing their prompts does not lengthen a pass beyond the event-gap
// objective. It returns +Inf if there is no such bound.
//
// It guards against a group that has headroom while requests wait, as after a stall of its leader:
// if all of them started at once, their prompts would make the streams that run already late. The
// prompt of a stream takes about as long as the stream's part of five passes.
//
// The lock must be held.
func (tr *Tracker) maxNewStreams(p *groupPool, now time.Time) float64 {
	state, model := tr.group(p.key), p.Service.Engine
	if now.Sub(state.ReportedAt) >= ReportTTL || p.EventGapObjective <= 0 || model.PrefillRate <= 0 || len(p.Targets) == 0 || ablate.Off(ablate.PauseLimit) {
		return math.Inf(1)
	}
	if p.maxStreams >= float64(model.Slots) {
		// The limit leaves all slots to streams: either no number of streams is too many, or the
		// objective can't be met.
		return math.Inf(1)
	}
	steps, targets := float64(max(model.StepsPerPass, 1)), float64(len(p.Targets))
	excess := state.measuredExcess(model)
	imbalance := state.Imbalance
	if imbalance == 0 {
		imbalance = initialImbalance
	}
	factor := copySlowdown * excess * ((1 - model.ExpertShare) + model.ExpertShare*max(imbalance, 1))
	pass := copySlowdown*steps*float64(model.BaseStepTime)*max(state.MaxSlowdown, 1) +
		float64(state.TotalRequests)/targets*steps*float64(model.StepTimePerStream)*factor
	prompt := model.MeanPromptTokens / model.PrefillRate * float64(time.Second) * factor
	return max(pauseShare*float64(p.EventGapObjective)-pass, 0) / max(prompt, 1) * targets
}

// measuredExcess returns the measured time of a stream around a shift as a multiple of the time that
// the cost model states for the peak imbalance; at least 1.
func (g *groupTracker) measuredExcess(model *serving.EngineModel) float64 {
	imbalance := max(g.Imbalance, min(g.PeakImbalance, maxPlannedImbalance), 1)
	stated := copySlowdown * float64(max(model.StepsPerPass, 1)) * (float64(model.StepTimePerStream) + prefillPerStep(model)) *
		((1 - model.ExpertShare) + model.ExpertShare*imbalance)
	return max(float64(g.StreamTime)/max(stated, 1), 1)
}
