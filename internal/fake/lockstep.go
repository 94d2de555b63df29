package fake

import (
	"fmt"
	"sync"
	"time"

	"github.com/heatherrail/heatherrail/expert"
)

// LockStep is a rank group that uses expert maps. In each tick, every rank whose position
// allows it enters its next step. A step completes when all live ranks have entered the
// step. An engine that is down does not block the group. A restarted engine blocks the
// group until the engine gets the number of the step at which it is to join.
type LockStep struct {
	ExpertBytes int64 // size of the weights of one expert, in bytes

	weights   *WeightStore
	mu        sync.Mutex
	shape     expert.Shape
	ranks     []*Rank
	loads     []float64 // load of each expert of each layer, in tokens per step
	speeds    []float64 // computing speed of each rank; 1 is normal
	steps     uint64
	idle      uint64 // ticks without a completed step although no engine was stalled or down
	mapOfStep map[uint64]expert.MapID
	mixed     error // error of the first step with two maps or with a map that was not loaded, see Mixed
	stop      chan struct{}
	done      chan struct{}
}

// retainedSteps is the number of recent steps for which LockStep keeps the map that ranks used.
const retainedSteps = 1024

// firstStep is the number of a group's first step. A rank that does not know its step uses 0.
const firstStep = 1

// NewLockStep starts a group that tries to complete one step every step interval. All
// ranks have loaded the initial map.
func NewLockStep(step time.Duration, s expert.Shape, w *WeightStore, engines ...*Engine) *LockStep {
	g := &LockStep{
		ExpertBytes: 1 << 20,
		weights:     w,
		shape:       s,
		loads:       make([]float64, s.Layers*s.Experts),
		speeds:      make([]float64, s.Ranks),
		mapOfStep:   make(map[uint64]expert.MapID),
		stop:        make(chan struct{}),
		done:        make(chan struct{}),
	}
	initial := expert.InitialMap(s)
	for i := range g.loads {
		g.loads[i] = 1
	}
	for i, e := range engines {
		r := &Rank{group: g, index: i, engine: e, maps: []*expert.Map{initial}}
		r.pos = expert.Position{Start: 1, Joined: true, Next: firstStep, Map: initial.ID()}
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
	live, impaired := g.live()
	for _, r := range live {
		if !r.engine.Stalled() {
			g.enterStep(r)
		}
	}
	if g.completeStep(live) {
		g.steps++
		for _, r := range live {
			r.engine.step()
		}
	} else if !impaired {
		g.idle++
	}
}

// live returns the ranks whose engines are not down. impaired is true if at least one
// engine of the group is stalled or down.
func (g *LockStep) live() (live []*Rank, impaired bool) {
	for _, r := range g.ranks {
		if r.engine.isDown() {
			impaired = true
			continue
		}
		impaired = impaired || r.engine.Stalled()
		live = append(live, r)
	}
	return live, impaired
}

// enterStep lets a rank enter its next step if the rank's position allows that. It sets
// g.mixed if the rank has not loaded its map, or uses another map than other ranks in that
// step.
func (g *LockStep) enterStep(r *Rank) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.pos.CanEnterStep() {
		return
	}
	step := r.pos.Next
	m := r.pos.EnterStep()
	if r.findMap(m) == nil && g.mixed == nil {
		g.mixed = fmt.Errorf("step %d: rank %d has not loaded map %016x", step, r.index, uint64(m))
	}
	if u, ok := g.mapOfStep[step]; ok && u != m && g.mixed == nil {
		g.mixed = fmt.Errorf("step %d: rank %d uses map %016x, others %016x", step, r.index, uint64(m), uint64(u))
	}
	g.mapOfStep[step] = m
	delete(g.mapOfStep, step-retainedSteps)
}

// completeStep completes the lowest step that all live ranks have entered. It returns
// true if a step was completed and all live ranks are at the same step.
func (g *LockStep) completeStep(live []*Rank) bool {
	minStep, maxStep := ^uint64(0), uint64(0)
	for _, r := range live {
		r.mu.Lock()
		joined, next := r.pos.Joined, r.pos.Next
		r.mu.Unlock()
		if !joined {
			return false
		}
		minStep, maxStep = min(minStep, next), max(maxStep, next)
	}
	completed := false
	for _, r := range live {
		r.mu.Lock()
		if r.pos.Inside && r.pos.Next <= minStep {
			r.pos.CompleteStep()
			completed = true
		}
		r.mu.Unlock()
	}
	return completed && minStep == maxStep
}

// Steps returns the number of completed steps.
func (g *LockStep) Steps() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.steps
}

// Idle returns the number of ticks without a completed step although no engine was stalled
// or down. That is the delay caused by holds, in steps.
func (g *LockStep) Idle() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.idle
}

// Mixed returns an error for the first step in which ranks used two maps, or a map whose
// weights were not loaded. It returns nil if there was no such step.
func (g *LockStep) Mixed() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.mixed
}

// Map returns the ID of the map that rank 0 uses.
func (g *LockStep) Map() expert.MapID {
	r := g.ranks[0]
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pos.Map
}

// SetLoads sets the loads of all experts of all layers, in tokens per step.
func (g *LockStep) SetLoads(loads []float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.loads = append([]float64(nil), loads...)
}

// Loads set by SetPopular, in tokens per step.
const (
	normalLoad  = 10
	popularLoad = 100
)

// SetPopular gives one expert of each layer ten times the load of the others.
func (g *LockStep) SetPopular(popular int) {
	loads := make([]float64, g.shape.Layers*g.shape.Experts)
	for i := range loads {
		loads[i] = normalLoad
		if i%g.shape.Experts == popular {
			loads[i] = popularLoad
		}
	}
	g.SetLoads(loads)
}

// SetSpeed sets the computing speed of a rank; 1 is normal.
func (g *LockStep) SetSpeed(rank int, speed float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.speeds[rank] = speed
}

// loadsOfRank returns the loads of a rank under a map in tokens per step, and the rank's
// computing speed.
func (g *LockStep) loadsOfRank(rank int, m *expert.Map) (tokens []float64, speed float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return m.RankLoads(rank, m.SplitLoads(g.loads)), g.speeds[rank]
}

// Close stops the group and waits for its goroutine.
func (g *LockStep) Close() {
	close(g.stop)
	<-g.done
}
