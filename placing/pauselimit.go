package placing

import (
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
