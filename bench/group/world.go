package group

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/heatherrail/heatherrail/bench"
	"github.com/heatherrail/heatherrail/placing"
	"github.com/heatherrail/heatherrail/serving"
)

// outcome is what a caller got.
type outcome uint8

const (
	open        outcome = iota
	whole               // its whole answer
	refused             // a refusal at once
	refusedLate         // a refusal after a wait
	left                // nothing: it left
)

// end ends a request that did not get its answer.
func (j *job) end(o outcome, now time.Time) {
	if j.outcome == open {
		j.outcome, j.ended = o, now
	}
}

// world is one play of a load.
type world struct {
	clock   clock
	rng     *rand.Rand
	seed    uint64
	shape   *Shape
	pattern *Pattern
	policy  Policy
	service serving.Service
	targets []*serving.Target
	rankOf  map[string]int
	engines *engines
	entries []*entry
	jobs    []*job

	reported report
}

// report is what the group's leader told last.
type report struct {
	loads map[string]placing.RankLoad
	state placing.GroupState
}

const (
	playTime = 20 * time.Second
	endTime  = playTime + 4*time.Second
)

// play plays a load and returns what became of it.
func play(shape *Shape, pattern *Pattern, policy Policy, seed uint64) Figures {
	w := newWorld(shape, pattern, policy, seed)
	w.clock.after(0, w.report)
	for _, e := range w.entries {
		w.clock.after(time.Duration(w.rng.Int64N(int64(pollEvery))), func() { w.polls(e) })
	}
	w.clock.after(0, w.arrive)
	w.clock.runUntil(w.engines.begun.Add(endTime))
	return w.figures()
}

func newWorld(shape *Shape, pattern *Pattern, policy Policy, seed uint64) *world {
	w := &world{
		rng: rand.New(rand.NewPCG(seed, 11)), seed: seed, shape: shape, pattern: pattern, policy: policy,
		service: serving.Service{Name: "s", Engine: &shape.Model},
		rankOf:  make(map[string]int),
	}
	w.clock.now = time.Unix(0, 0)
	w.engines = &engines{clock: &w.clock, shape: shape, pattern: pattern, ranks: make([]engine, shape.Ranks), begun: w.clock.now}
	for r := range shape.Ranks {
		t := &serving.Target{ID: fmt.Sprint(r), Address: fmt.Sprint(r), Service: "s", DataCentre: fmt.Sprint(r % 3)}
		w.targets = append(w.targets, t)
		w.rankOf[t.ID] = r
	}
	entries := shape.Entries
	if policy == PolicyOracle {
		entries = 1
	}
	for n := range entries {
		w.entries = append(w.entries, newEntry(w, n))
	}
	return w
}

// capacity returns the streams a second of a calm group with all places taken.
func (s *Shape) capacity() float64 {
	m := &s.Model
	each := bench.Millis(m.StepTimePerStream) * float64(m.Slots) * ((1 - m.ExpertShare) + m.ExpertShare*calm)
	pass := float64(m.StepsPerPass) * (bench.Millis(m.BaseStepTime) + each)
	passes := m.MeanOutputTokens/float64(m.StepsPerPass) + 1 // and one to read the prompt
	reading := m.MeanPromptTokens / m.PrefillRate * 1000 * float64(m.Slots)
	return float64(s.Ranks*m.Slots) / (passes*pass + reading) * 1000
}

// arrive brings a request, and the next one after a random time.
func (w *world) arrive() {
	t := w.clock.now.Sub(w.engines.begun)
	if t >= playTime {
		return
	}
	prompt, answer := w.shape.sizes(w.rng)
	j := &job{arrived: w.clock.now, prompt: prompt, read: prompt, write: answer, left: func() {}}
	w.jobs = append(w.jobs, j)
	w.clock.after(w.shape.Patience, func() { w.leave(j) })
	w.entries[w.rng.IntN(len(w.entries))].take(j)
	rate := w.pattern.load(t) * w.shape.capacity()
	w.clock.after(time.Duration(w.rng.ExpFloat64()/rate*float64(time.Second)), w.arrive)
}

// leave lets a caller go that has had no event.
func (w *world) leave(j *job) {
	if j.outcome != open || !j.first.IsZero() {
		return
	}
	j.end(left, w.clock.now)
	w.engines.ranks[j.rank].drop(j)
	j.left()
}

// report is the leader's look at the ranks.
func (w *world) report() {
	now := w.clock.now
	t := now.Sub(w.engines.begun)
	w.clock.after(reportEvery, w.report)
	if w.pattern.Frozen.has(t) {
		return
	}
	loads := make(map[string]placing.RankLoad, len(w.targets))
	for r, target := range w.targets {
		e := &w.engines.ranks[r]
		loads[target.Address] = placing.RankLoad{Running: len(e.running), Waiting: len(e.waiting), Slowdown: w.pattern.pace(r, t)}
	}
	imbalance, _ := w.pattern.imbalance(t)
	w.reported = report{loads: loads, state: placing.NewGroupState(loads, imbalance, w.pattern.worst(), w.wanting(), now)}
	if w.policy == PolicyOracle {
		w.entries[0].poll()
	}
}

// wanting returns how many requests the entries said that wait, when they asked last.
func (w *world) wanting() (n placing.QueueCounts) {
	for _, e := range w.entries {
		n.InTime += e.told.InTime
		n.Late += e.told.Late
	}
	return n
}

func (w *world) polls(e *entry) {
	e.poll()
	w.clock.after(pollEvery, func() { w.polls(e) })
}
