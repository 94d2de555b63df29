// Package group simulates a group of lock-step model engines in virtual time. It compares the
// placement of the gateway with simpler policies under several load patterns. The duration of a
// pass follows the engines' published cost model. A pattern defines how demand shifts between
// experts, and when the expert map is adapted to a shift.
package group

import (
	"math/rand/v2"
	"time"

	"github.com/heatherrail/heatherrail/bench"
	"github.com/heatherrail/heatherrail/placing"
	"github.com/heatherrail/heatherrail/serving"
)

// Shape is the size and cost model of a group, and the objectives and timeout of its callers.
type Shape struct {
	Name              string
	Ranks             int
	Entries           int // number of entries that send to the group
	Model             serving.EngineModel
	PrefillChunk      int // prompt tokens that a rank processes in one step
	EventGapObjective time.Duration
	LatencyObjective  time.Duration // time limit for the first event
	FirstEventTimeout time.Duration // callers disconnect if they get no first event in this time
}

// Shapes are the groups of the users' current deployments, by their published figures.
var Shapes = []Shape{
	{
		Name: "12 ranks", Ranks: 12, Entries: 8, PrefillChunk: 512,
		EventGapObjective: 120 * time.Millisecond, LatencyObjective: 500 * time.Millisecond, FirstEventTimeout: 2 * time.Second,
		Model: serving.EngineModel{
			Slots: 12, StepsPerPass: 4, BaseStepTime: 4550 * time.Microsecond, StepTimePerStream: 905 * time.Microsecond,
			PrefillRate: 61400, LayerSets: 4, Experts: 72, ExpertShare: 0.85, MeanPromptTokens: 800, MeanOutputTokens: 97,
		},
	},
	{
		Name: "63 ranks", Ranks: 63, Entries: 46, PrefillChunk: 512,
		EventGapObjective: 150 * time.Millisecond, LatencyObjective: 500 * time.Millisecond, FirstEventTimeout: 2 * time.Second,
		Model: serving.EngineModel{
			Slots: 10, StepsPerPass: 5, BaseStepTime: 4550 * time.Microsecond, StepTimePerStream: 1090 * time.Microsecond,
			PrefillRate: 61400, LayerSets: 8, Experts: 252, ExpertShare: 0.85, MeanPromptTokens: 800, MeanOutputTokens: 95,
		},
	},
}

// job is the state of one stream that a caller has requested.
type job struct {
	arrived     time.Time
	prefillLeft float64 // prompt tokens still to be processed
	prompt      float64
	decodeLeft  float64 // tokens still to be generated
	firstEvent  time.Time
	lastEvent   time.Time // latest event
	maxGap      time.Duration
	ended       time.Time
	outcome     outcome
	rank        int
	request     placing.Request
	onEnd       func() // called when the caller has disconnected or the stream has ended
}

// rank is the engine of one rank with its streams.
type rank struct {
	waiting []*job
	running []*job
}

// rankGroup is a group of ranks that run each pass together.
type rankGroup struct {
	clock     *clock
	shape     *Shape
	pattern   *Pattern
	ranks     []rank
	startedAt time.Time
	isRunning bool
	passCount int
	passTime  time.Duration
}

// enqueue adds a stream to a rank, and starts a pass if the group is idle.
func (g *rankGroup) enqueue(rank int, j *job) {
	j.rank = rank
	g.ranks[rank].waiting = append(g.ranks[rank].waiting, j)
	if !g.isRunning {
		g.runPass()
	}
}

// runPass runs one pass of all ranks and schedules the next one. The group becomes idle when
// no rank has a running stream.
func (g *rankGroup) runPass() {
	m := &g.shape.Model
	now := g.clock.now.Sub(g.startedAt)
	imbalance, copying := g.pattern.imbalanceAt(now)
	var totalWork, maxOwnPart float64 // total token work of all ranks, and the longest non-expert part of a rank, in ms
	hasWork := false
	prefilled := make([]map[*job]float64, len(g.ranks))
	for r := range g.ranks {
		e := &g.ranks[r]
		e.startWaiting(m.Slots)
		hasWork = hasWork || len(e.running) > 0
		work, rankPrefilled := e.passWork(g.shape)
		prefilled[r] = rankPrefilled
		totalWork += work
		slowdown := g.pattern.slowdownAt(r, now)
		baseTime := float64(m.StepsPerPass) * bench.Millis(m.BaseStepTime)
		maxOwnPart = max(maxOwnPart, slowdown*(baseTime+(1-m.ExpertShare)*work))
	}
	g.isRunning = hasWork
	if !hasWork {
		return
	}
	ms := maxOwnPart + m.ExpertShare*totalWork/float64(len(g.ranks))*imbalance
	if copying {
		ms *= copySlowdown
	}
	passTime := time.Duration(ms * float64(time.Millisecond))
	g.passCount++
	g.passTime += passTime
	g.clock.after(passTime, func() {
		for r := range g.ranks {
			g.ranks[r].finishPass(g.clock.now, prefilled[r], float64(m.StepsPerPass))
		}
		g.runPass()
	})
}

// copySlowdown is the factor by which passes take longer while experts are copied. Source:
// the statement of the platform.
const copySlowdown = 1.15

// startWaiting starts waiting streams, in order, while slots are free.
func (e *rank) startWaiting(slots int) {
	for len(e.waiting) > 0 && len(e.running) < slots {
		e.running = append(e.running, e.waiting[0])
		e.waiting = e.waiting[1:]
	}
}

// passWork returns the milliseconds that the tokens of a rank take in one pass, and how many prompt
// tokens of each stream the pass processes.
func (e *rank) passWork(s *Shape) (ms float64, prefilled map[*job]float64) {
	budget := float64(s.PrefillChunk * s.Model.StepsPerPass)
	prefilled = make(map[*job]float64)
	decoding := 0
	for _, j := range e.running {
		if j.prefillLeft <= 0 {
			decoding++
			continue
		}
		n := min(j.prefillLeft, budget)
		budget -= n
		prefilled[j] = n
		ms += n / s.Model.PrefillRate * 1000
	}
	ms += float64(s.Model.StepsPerPass) * bench.Millis(s.Model.StepTimePerStream) * float64(decoding)
	return ms, prefilled
}

// finishPass applies a completed pass to one rank: prefill advances, and each decoding stream
// emits an event.
func (e *rank) finishPass(now time.Time, prefilled map[*job]float64, stepsPerPass float64) {
	var remaining []*job
	for _, j := range e.running {
		if j.outcome != pending {
			continue // its caller has disconnected
		}
		if n, inPrefill := prefilled[j]; inPrefill || j.prefillLeft > 0 {
			j.prefillLeft -= n
			remaining = append(remaining, j)
			continue
		}
		j.recordEvent(now)
		if j.decodeLeft -= stepsPerPass; j.decodeLeft > 0 {
			remaining = append(remaining, j)
			continue
		}
		j.outcome, j.ended = complete, now
		j.onEnd()
	}
	e.running = remaining
}

// recordEvent records the time of an event and the gap since the previous one.
func (j *job) recordEvent(now time.Time) {
	if j.firstEvent.IsZero() {
		j.firstEvent = now
	} else {
		j.maxGap = max(j.maxGap, now.Sub(j.lastEvent))
	}
	j.lastEvent = now
}

// removeWaiting removes a stream whose caller has disconnected from the waiting streams.
func (e *rank) removeWaiting(j *job) {
	for i, waiting := range e.waiting {
		if waiting == j {
			e.waiting = append(e.waiting[:i:i], e.waiting[i+1:]...)
			return
		}
	}
}

// drawSizes draws the prompt and output tokens of a stream, distributed with a long tail like
// the users' requests.
func (s *Shape) drawSizes(rng *rand.Rand) (promptTokens, outputTokens float64) {
	promptTokens = min(s.Model.MeanPromptTokens*(0.3+0.7*rng.ExpFloat64()), 3.2*s.Model.MeanPromptTokens)
	outputTokens = min(s.Model.MeanOutputTokens*(0.3+0.7*rng.ExpFloat64()), 2.5*s.Model.MeanOutputTokens)
	return promptTokens, max(outputTokens, 1)
}
