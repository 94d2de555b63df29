// Package group emulates a group of model engines whose ranks run each pass
// together, in virtual time, and plays loads against it with the placing of the
// gateway and with simpler ones. Costs follow the engines' published model; how
// demand moves and how soon maps follow is given by a pattern.
package group

import (
	"math/rand/v2"
	"time"

	"github.com/heatherrail/heatherrail/bench"
	"github.com/heatherrail/heatherrail/placing"
	"github.com/heatherrail/heatherrail/serving"
)

// Shape is the size of a group and what its callers want.
type Shape struct {
	Name     string
	Ranks    int
	Entries  int // that send to it
	Model    serving.EngineModel
	Chunk    int // prompt tokens that a rank reads in one step
	GapAim   time.Duration
	Aim      time.Duration // for the first event
	Patience time.Duration // callers leave without a first event
}

// Shapes are the groups of the users' deployments of today, by their published
// figures.
var Shapes = []Shape{
	{
		Name: "12 ranks", Ranks: 12, Entries: 8, Chunk: 512,
		GapAim: 120 * time.Millisecond, Aim: 500 * time.Millisecond, Patience: 2 * time.Second,
		Model: serving.EngineModel{
			Slots: 12, StepsPerPass: 4, BaseStepTime: 4550 * time.Microsecond, StepTimePerStream: 905 * time.Microsecond,
			PrefillRate: 61400, LayerSets: 4, Experts: 72, ExpertShare: 0.85, MeanPromptTokens: 800, MeanOutputTokens: 97,
		},
	},
	{
		Name: "63 ranks", Ranks: 63, Entries: 46, Chunk: 512,
		GapAim: 150 * time.Millisecond, Aim: 500 * time.Millisecond, Patience: 2 * time.Second,
		Model: serving.EngineModel{
			Slots: 10, StepsPerPass: 5, BaseStepTime: 4550 * time.Microsecond, StepTimePerStream: 1090 * time.Microsecond,
			PrefillRate: 61400, LayerSets: 8, Experts: 252, ExpertShare: 0.85, MeanPromptTokens: 800, MeanOutputTokens: 95,
		},
	},
}

// job is one caller's stream.
type job struct {
	arrived time.Time
	read    float64 // prompt tokens that are still to be read
	prompt  float64
	write   float64 // tokens that are still to be written
	first   time.Time
	last    time.Time // latest event
	gap     time.Duration
	ended   time.Time
	outcome outcome
	rank    int
	request placing.Request
	left    func() // the caller has gone, or the stream has ended
}

// engine is one rank.
type engine struct {
	waiting []*job
	running []*job
}

// engines are the group.
type engines struct {
	clock   *clock
	shape   *Shape
	pattern *Pattern
	ranks   []engine
	begun   time.Time
	passing bool
	passes  int
	passed  time.Duration
}

// add sends a stream to a rank.
func (g *engines) add(rank int, j *job) {
	j.rank = rank
	g.ranks[rank].waiting = append(g.ranks[rank].waiting, j)
	if !g.passing {
		g.pass()
	}
}

// pass runs one pass of all ranks, and the next one after it.
func (g *engines) pass() {
	m := &g.shape.Model
	now := g.clock.now.Sub(g.begun)
	imbalance, copying := g.pattern.imbalance(now)
	var total, own float64 // milliseconds of work for tokens; of the slowest rank's own part
	busy := false
	reads := make([]map[*job]float64, len(g.ranks))
	for r := range g.ranks {
		e := &g.ranks[r]
		e.admit(m.Slots)
		busy = busy || len(e.running) > 0
		work, read := e.work(g.shape)
		reads[r] = read
		total += work
		pace := g.pattern.pace(r, now)
		fixed := float64(m.StepsPerPass) * bench.Millis(m.BaseStepTime)
		own = max(own, pace*(fixed+(1-m.ExpertShare)*work))
	}
	g.passing = busy
	if !busy {
		return
	}
	ms := own + m.ExpertShare*total/float64(len(g.ranks))*imbalance
	if copying {
		ms *= copySlows
	}
	took := time.Duration(ms * float64(time.Millisecond))
	g.passes++
	g.passed += took
	g.clock.after(took, func() {
		for r := range g.ranks {
			g.ranks[r].advance(g.clock.now, reads[r], float64(m.StepsPerPass))
		}
		g.pass()
	})
}

// copySlows: passes take 15 in 100 longer while experts are copied. Source: the
// platform's statement.
const copySlows = 1.15

// admit lets waiting streams run as far as there are places.
func (e *engine) admit(slots int) {
	for len(e.waiting) > 0 && len(e.running) < slots {
		e.running = append(e.running, e.waiting[0])
		e.waiting = e.waiting[1:]
	}
}

// work returns the milliseconds that a rank's tokens take in one pass, and the
// prompt tokens that are read in it.
func (e *engine) work(s *Shape) (ms float64, read map[*job]float64) {
	budget := float64(s.Chunk * s.Model.StepsPerPass)
	read = make(map[*job]float64)
	writers := 0
	for _, j := range e.running {
		if j.read <= 0 {
			writers++
			continue
		}
		n := min(j.read, budget)
		budget -= n
		read[j] = n
		ms += n / s.Model.PrefillRate * 1000
	}
	ms += float64(s.Model.StepsPerPass) * bench.Millis(s.Model.StepTimePerStream) * float64(writers)
	return ms, read
}

// advance ends a pass of one rank: prompts are read, writers have an event.
func (e *engine) advance(now time.Time, read map[*job]float64, stride float64) {
	var still []*job
	for _, j := range e.running {
		if j.outcome != open {
			continue // its caller has left
		}
		if n, reads := read[j]; reads || j.read > 0 {
			j.read -= n
			still = append(still, j)
			continue
		}
		j.event(now)
		if j.write -= stride; j.write > 0 {
			still = append(still, j)
			continue
		}
		j.outcome, j.ended = whole, now
		j.left()
	}
	e.running = still
}

func (j *job) event(now time.Time) {
	if j.first.IsZero() {
		j.first = now
	} else {
		j.gap = max(j.gap, now.Sub(j.last))
	}
	j.last = now
}

// drop takes a stream out whose caller has left.
func (e *engine) drop(j *job) {
	for i, o := range e.waiting {
		if o == j {
			e.waiting = append(e.waiting[:i:i], e.waiting[i+1:]...)
			return
		}
	}
}

// sizes draws the tokens of a stream: prompts and answers spread as the users'
// requests do, with a long tail.
func (s *Shape) sizes(rng *rand.Rand) (prompt, answer float64) {
	prompt = min(s.Model.MeanPromptTokens*(0.3+0.7*rng.ExpFloat64()), 3.2*s.Model.MeanPromptTokens)
	answer = min(s.Model.MeanOutputTokens*(0.3+0.7*rng.ExpFloat64()), 2.5*s.Model.MeanOutputTokens)
	return prompt, max(answer, 1)
}
