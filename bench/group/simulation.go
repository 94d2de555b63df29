package group

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/heatherrail/heatherrail/bench"
	"github.com/heatherrail/heatherrail/placing"
	"github.com/heatherrail/heatherrail/serving"
)

// outcome is the result of a request as its caller sees it.
type outcome uint8

const (
	pending           outcome = iota
	complete                  // the whole answer
	rejected                  // rejected on arrival
	rejectedAfterWait         // rejected after waiting in the queue
	abandoned                 // the caller disconnected without an event
)

// finish records the outcome of a request that has none yet.
func (j *job) finish(o outcome, now time.Time) {
	if j.outcome == pending {
		j.outcome, j.ended = o, now
	}
}

// simulation is one run of a pattern with a policy.
type simulation struct {
	clock   clock
	rng     *rand.Rand
	seed    uint64
	shape   *Shape
	pattern *Pattern
	policy  Policy
	service serving.Service
	targets []*serving.Target
	rankOf  map[string]int
	group   *rankGroup
	entries []*entry
	jobs    []*job

	lastReport loadReport
}

// loadReport is the latest load report of the group's leader.
type loadReport struct {
	loads map[string]placing.RankLoad
	state placing.GroupState
}

const (
	arrivalTime   = 20 * time.Second            // requests arrive in this time from the start
	simulatedTime = arrivalTime + 4*time.Second // whole time; after arrivalTime the last requests can end
)

// simulate runs a pattern with a policy and returns its figures.
func simulate(shape *Shape, pattern *Pattern, policy Policy, seed uint64) Figures {
	sim := newSimulation(shape, pattern, policy, seed)
	sim.clock.after(0, sim.reportLoads)
	for _, e := range sim.entries {
		sim.clock.after(time.Duration(sim.rng.Int64N(int64(pollInterval))), func() { sim.schedulePolls(e) })
	}
	sim.clock.after(0, sim.arrive)
	sim.clock.runUntil(sim.group.startedAt.Add(simulatedTime))
	return sim.figures()
}

func newSimulation(shape *Shape, pattern *Pattern, policy Policy, seed uint64) *simulation {
	sim := &simulation{
		rng: rand.New(rand.NewPCG(seed, 11)), seed: seed, shape: shape, pattern: pattern, policy: policy,
		service: serving.Service{Name: "s", Engine: &shape.Model},
		rankOf:  make(map[string]int),
	}
	sim.clock.now = time.Unix(0, 0)
	sim.group = &rankGroup{clock: &sim.clock, shape: shape, pattern: pattern, ranks: make([]rank, shape.Ranks), startedAt: sim.clock.now}
	for r := range shape.Ranks {
		t := &serving.Target{ID: fmt.Sprint(r), Address: fmt.Sprint(r), Service: "s", DataCentre: fmt.Sprint(r % 3)}
		sim.targets = append(sim.targets, t)
		sim.rankOf[t.ID] = r
	}
	entries := shape.Entries
	if policy == PolicyOracle {
		entries = 1
	}
	for n := range entries {
		sim.entries = append(sim.entries, newEntry(sim, n))
	}
	return sim
}

// capacity returns the streams per second of a group with a balanced map and all slots in
// use.
func (s *Shape) capacity() float64 {
	m := &s.Model
	streamTime := bench.Millis(m.StepTimePerStream) * float64(m.Slots) * ((1 - m.ExpertShare) + m.ExpertShare*balancedImbalance)
	passMS := float64(m.StepsPerPass) * (bench.Millis(m.BaseStepTime) + streamTime)
	passes := m.MeanOutputTokens/float64(m.StepsPerPass) + 1 // and one pass for the prompt
	prefillMS := m.MeanPromptTokens / m.PrefillRate * 1000 * float64(m.Slots)
	return float64(s.Ranks*m.Slots) / (passes*passMS + prefillMS) * 1000
}

// arrive creates a request and schedules the next one after an exponentially distributed
// time.
func (sim *simulation) arrive() {
	sinceStart := sim.clock.now.Sub(sim.group.startedAt)
	if sinceStart >= arrivalTime {
		return
	}
	promptTokens, outputTokens := sim.shape.drawSizes(sim.rng)
	j := &job{arrived: sim.clock.now, prompt: promptTokens, prefillLeft: promptTokens, decodeLeft: outputTokens, onEnd: func() {}}
	sim.jobs = append(sim.jobs, j)
	sim.clock.after(sim.shape.FirstEventTimeout, func() { sim.abandonOnTimeout(j) })
	sim.entries[sim.rng.IntN(len(sim.entries))].place(j)
	rate := sim.pattern.loadAt(sinceStart) * sim.shape.capacity()
	sim.clock.after(time.Duration(sim.rng.ExpFloat64()/rate*float64(time.Second)), sim.arrive)
}

// abandonOnTimeout ends a request whose caller has had no event by the first-event timeout.
func (sim *simulation) abandonOnTimeout(j *job) {
	if j.outcome != pending || !j.firstEvent.IsZero() {
		return
	}
	j.finish(abandoned, sim.clock.now)
	sim.group.ranks[j.rank].removeWaiting(j)
	j.onEnd()
}

// reportLoads creates a load report of the leader and schedules the next one. While the leader is
// frozen, reportLoads creates no report.
func (sim *simulation) reportLoads() {
	now := sim.clock.now
	t := now.Sub(sim.group.startedAt)
	sim.clock.after(reportInterval, sim.reportLoads)
	if sim.pattern.Frozen.contains(t) {
		return
	}
	loads := make(map[string]placing.RankLoad, len(sim.targets))
	for r, target := range sim.targets {
		e := &sim.group.ranks[r]
		loads[target.Address] = placing.RankLoad{Running: len(e.running), Waiting: len(e.waiting), Slowdown: sim.pattern.slowdownAt(r, t)}
	}
	imbalance, _ := sim.pattern.imbalanceAt(t)
	sim.lastReport = loadReport{loads: loads, state: placing.NewGroupState(loads, imbalance, sim.pattern.peakImbalance(), sim.queuedRequests(), now)}
	if sim.policy == PolicyOracle {
		sim.entries[0].applyReport()
	}
}

// queuedRequests returns the number of waiting requests that the entries sent with their latest
// load queries.
func (sim *simulation) queuedRequests() (n placing.QueueCounts) {
	for _, e := range sim.entries {
		n.OnTime += e.reportedCounts.OnTime
		n.Late += e.reportedCounts.Late
	}
	return n
}

// schedulePolls runs a load query of an entry now, and again every pollInterval.
func (sim *simulation) schedulePolls(e *entry) {
	e.applyReport()
	sim.clock.after(pollInterval, func() { sim.schedulePolls(e) })
}
