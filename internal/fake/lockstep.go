package fake

import (
	"fmt"
	"sync"
	"time"

	"github.com/heatherrail/heatherrail/expert"
)

// LockStep is a rank group that runs on expert maps. In each tick every rank that
// may enters its next step; a step ends when all ranks are in it. An engine that
// is down does not hold the group; one that has come back does, until it is told
// where to join.
type LockStep struct {
	ExpertBytes int64

	weights *WeightStore
	mu      sync.Mutex
	shape   expert.Shape
	ranks   []*Rank
	loads   []float64 // of experts, tokens of a step
	speeds  []float64
	steps   uint64
	idle    uint64 // ticks without a step although no engine was stalled or down
	used    map[uint64]expert.MapID
	mixed   error
	stop    chan struct{}
	done    chan struct{}
}

// keptSteps bounds how long the map of a step is remembered.
const keptSteps = 1024

// firstStep is where groups begin; 0 stays free for ranks that know no step.
const firstStep = 1

// NewLockStep starts a group on its first map, which all ranks hold.
func NewLockStep(step time.Duration, s expert.Shape, w *WeightStore, engines ...*Engine) *LockStep {
	g := &LockStep{
		ExpertBytes: 1 << 20,
		weights:     w,
		shape:       s,
		loads:       make([]float64, s.Layers*s.Experts),
		speeds:      make([]float64, s.Ranks),
		used:        make(map[uint64]expert.MapID),
		stop:        make(chan struct{}),
		done:        make(chan struct{}),
	}
	first := expert.InitialMap(s)
	for i := range g.loads {
		g.loads[i] = 1
	}
	for i, e := range engines {
		r := &Rank{group: g, index: i, engine: e, maps: []*expert.Map{first}}
		r.pos = expert.Position{Start: 1, Joined: true, Next: firstStep, Map: first.ID()}
		e.setRank(r)
		g.ranks = append(g.ranks, r)
		g.speeds[i] = 1
	}
	go g.run(step)
	return g
}

func (g *LockStep) run(step time.Duration) {
	defer close(g.done)
	ticker := time.NewTicker(step)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			g.tick()
		case <-g.stop:
			return
		}
	}
}

func (g *LockStep) tick() {
	g.mu.Lock()
	defer g.mu.Unlock()
	live, quiet := g.live()
	for _, r := range live {
		if !r.engine.Stalled() {
			g.enter(r)
		}
	}
	if g.complete(live) {
		g.steps++
		for _, r := range live {
			r.engine.step()
		}
	} else if !quiet {
		g.idle++
	}
}

// live returns the ranks whose engines run; quiet tells that one of them stands
// still by itself or is down.
func (g *LockStep) live() (live []*Rank, quiet bool) {
	for _, r := range g.ranks {
		if r.engine.isDown() {
			quiet = true
			continue
		}
		quiet = quiet || r.engine.Stalled()
		live = append(live, r)
	}
	return live, quiet
}

func (g *LockStep) enter(r *Rank) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.pos.CanEnterStep() {
		return
	}
	step := r.pos.Next
	m := r.pos.EnterStep()
	if r.find(m) == nil && g.mixed == nil {
		g.mixed = fmt.Errorf("step %d: rank %d has not loaded map %016x", step, r.index, uint64(m))
	}
	if u, ok := g.used[step]; ok && u != m && g.mixed == nil {
		g.mixed = fmt.Errorf("step %d: rank %d uses map %016x, others %016x", step, r.index, uint64(m), uint64(u))
	}
	g.used[step] = m
	delete(g.used, step-keptSteps)
}

// complete ends the step that the last ranks have entered.
func (g *LockStep) complete(live []*Rank) bool {
	least, most := ^uint64(0), uint64(0)
	for _, r := range live {
		r.mu.Lock()
		joined, next := r.pos.Joined, r.pos.Next
		r.mu.Unlock()
		if !joined {
			return false
		}
		least, most = min(least, next), max(most, next)
	}
	ended := false
	for _, r := range live {
		r.mu.Lock()
		if r.pos.Inside && r.pos.Next <= least {
			r.pos.CompleteStep()
			ended = true
		}
		r.mu.Unlock()
	}
	return ended && least == most
}

// Steps returns how many steps the group has taken.
func (g *LockStep) Steps() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.steps
}

// Idle returns how many ticks passed without a step although every engine could
// have run: the stall that holds have caused, in steps.
func (g *LockStep) Idle() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.idle
}

// Mixed returns the first step with two maps, or without weights; nil if all were
// right.
func (g *LockStep) Mixed() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.mixed
}

// Map returns the map of the newest step.
func (g *LockStep) Map() expert.MapID {
	r := g.ranks[0]
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pos.Map
}

// SetLoads sets the loads of all experts, in tokens of a step.
func (g *LockStep) SetLoads(loads []float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.loads = append([]float64(nil), loads...)
}

// Loads of SetPopular, in tokens of a step.
const (
	usualLoad   = 10
	popularLoad = 100
)

// SetPopular gives one expert of each layer ten times the load of the others.
func (g *LockStep) SetPopular(popular int) {
	loads := make([]float64, g.shape.Layers*g.shape.Experts)
	for i := range loads {
		loads[i] = usualLoad
		if i%g.shape.Experts == popular {
			loads[i] = popularLoad
		}
	}
	g.SetLoads(loads)
}

// SetSpeed makes a rank compute slower or faster than 1.
func (g *LockStep) SetSpeed(rank int, speed float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.speeds[rank] = speed
}

func (g *LockStep) loadsOf(rank int, m *expert.Map) (tokens []float64, speed float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return m.RankLoads(rank, m.SplitLoads(g.loads)), g.speeds[rank]
}

// Close stops the group.
func (g *LockStep) Close() {
	close(g.stop)
	<-g.done
}
