package lockstep

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/expert"
	"github.com/heatherrail/heatherrail/serving"
)

// fullStreams run on each rank of a group at its usual load.
const fullStreams = 8

func planModel() *serving.EngineModel {
	return &serving.EngineModel{LayerSets: 4, Experts: 72, ExpertsPerRank: 8, SpareExperts: 3, ExpertBytes: 3.2e8, CopyRate: 2.25e10}
}

// spreadLoads draws how much each expert is wanted, and returns the first map of 12 ranks.
func spreadLoads(m *serving.EngineModel, rng *rand.Rand) (loads []float64, layouts []expert.Layout) {
	for range m.LayerSets {
		own := make([]float64, m.Experts)
		for i, e := range rng.Perm(m.Experts) {
			own[e] = 1 / float64(i+8)
		}
		loads = append(loads, own...)
		layouts = append(layouts, expert.InitialLayout(12, m.Experts))
	}
	return loads, layouts
}

// noisy returns loads that differ by chance, as two looks at the same demand do.
func noisy(loads []float64, by float64, rng *rand.Rand) []float64 {
	other := make([]float64, len(loads))
	for e, n := range loads {
		other[e] = n * (1 + by*rng.NormFloat64())
	}
	return other
}

// Demand stays as it is, and each look at it differs by chance. A switch makes
// every stream of the group wait, so following chance makes them pause several
// times a second for a map that is no better.
func TestChanceIsNotFollowed(t *testing.T) {
	g := NewWithT(t)
	m := planModel()
	rng := rand.New(rand.NewPCG(3, 1))
	loads, layouts := spreadLoads(m, rng)
	pl := planner{model: m, urgency: 0.5, costs: newSwitchMeter(), streams: fullStreams}
	for range 3 {
		layouts = pl.best(layouts, loads).layouts
	}
	switches := 0
	for range 40 {
		if p := pl.best(layouts, noisy(loads, 0.06, rng)); p.copies > 0 {
			switches++
			layouts = p.layouts
		}
	}
	g.Expect(switches).To(BeNumerically("<=", 4), "of 40 looks")
}

// A map is being copied. What the leader waits for is that all ranks have it, and
// looks without counts take a third of the time; if it also kept to its usual pause,
// passes would stay long for that much more.
func TestTheLeaderLooksOftenWhileAMapIsCopied(t *testing.T) {
	g := NewWithT(t)
	l := new(leader)
	g.Expect(l.wantsCounts()).To(BeTrue())
	g.Expect(l.pause()).To(Equal(roundEvery))
	l.pending = &pending{copying: 20 * time.Millisecond, sentAt: time.Now()}
	g.Expect(l.wantsCounts()).To(BeFalse())
	g.Expect(l.pause()).To(BeNumerically("<=", 20*time.Millisecond))
	l.pending.sentAt = time.Now().Add(-prepareSlack - time.Second)
	g.Expect(l.wantsCounts()).To(BeTrue(), "orders are lost, and demand may have moved again")
	g.Expect(l.pause()).To(Equal(pendingEvery))
}

// A leader looks every 60 ms at a group whose passes take 48 ms, and sees one or two begun
// in turn. Taken by the single look passes would seem to last 60 and 30 ms by turns, and
// plans be rated as for a busy group and for a calm one.
func TestPassesAreMeasuredOverSeveralLooks(t *testing.T) {
	g := NewWithT(t)
	const pass = 48 * time.Millisecond
	var m passMeter
	begun := time.Now()
	for look := range 60 {
		at := time.Duration(look) * roundEvery
		m.take(uint64(at/pass), begun.Add(at))
		if look > 10 {
			g.Expect(m.mean).To(BeNumerically("~", pass, pass/5), "look %d", look)
		}
	}
}

// Demand has moved a little, and passes take two fifths of the aim for pauses: a better map
// brings no request in time, and its copies are gigabytes on the engines' links. The same
// move in a group whose passes are near the aim is answered.
func TestACalmGroupCopiesNothingForALittle(t *testing.T) {
	g := NewWithT(t)
	m := planModel()
	m.ExpertBytes = 2.2e9
	rng := rand.New(rand.NewPCG(8, 1))
	loads, layouts := spreadLoads(m, rng)
	busy := planner{model: m, urgency: 1, costs: newSwitchMeter(), streams: fullStreams}
	for range 5 {
		layouts = busy.best(layouts, loads).layouts
	}
	moved := noisy(loads, 0.25, rng)
	before := imbalance(layouts, moved, nil, m)
	g.Expect(before).To(And(BeNumerically(">", 1.15), BeNumerically("<", farOff)), "the move is a little one")
	g.Expect(busy.best(layouts, moved).copies).To(BeNumerically(">", 0))
	calm := planner{model: m, urgency: 0.4, costs: newSwitchMeter(), streams: fullStreams}
	g.Expect(calm.best(layouts, moved).copies).To(BeZero())
}

// A group of a large fleet runs hardly any stream. Demand moves: passes stay far within the
// aim on any map, so gigabytes of copies would serve nobody. With a few streams on each rank
// the same move is answered.
func TestAnIdleGroupCopiesNothing(t *testing.T) {
	g := NewWithT(t)
	m := planModel()
	rng := rand.New(rand.NewPCG(8, 1))
	loads, layouts := spreadLoads(m, rng)
	g.Expect(imbalance(layouts, loads, nil, m)).To(BeNumerically(">", 1.2))
	pl := planner{model: m, urgency: 0.4, costs: newSwitchMeter(), streams: 0.3}
	g.Expect(pl.best(layouts, loads).copies).To(BeZero())
	pl.streams = 4
	g.Expect(pl.best(layouts, loads).copies).To(BeNumerically(">", 0))
}
