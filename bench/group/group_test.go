package group

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/bench"
)

func patternByName(name string) *Pattern {
	for i := range Patterns {
		if Patterns[i].Name == name {
			return &Patterns[i]
		}
	}
	panic(name)
}

// meanOverSeeds returns the mean figures of a pattern over two fixed seeds.
func meanOverSeeds(shape *Shape, pattern *Pattern, policy Policy) Figures {
	var all []Figures
	for seed := range uint64(2) {
		all = append(all, simulate(shape, pattern, policy, seed+1))
	}
	return mean(all)
}

// Guards against wrong pass times: a single stream needs one pass for its prompt, and each
// further pass yields one event.
func TestOneStreamGetsOneEventPerPassAfterItsPrompt(t *testing.T) {
	g := NewWithT(t)
	shape := Shapes[0]
	sim := newSimulation(&shape, &Pattern{}, PolicyRandom, 1)
	j := &job{arrived: sim.clock.now, prompt: 614, prefillLeft: 614, decodeLeft: 8, onEnd: func() {}}
	sim.group.enqueue(3, j)
	sim.clock.runUntil(sim.group.startedAt.Add(time.Second))
	prefillMS := 4*4.55 + (0.15+0.85/12*balancedImbalance)*10
	decodeMS := 4*4.55 + (0.15+0.85/12*balancedImbalance)*4*0.905
	g.Expect(j.outcome).To(Equal(complete))
	g.Expect(bench.Millis(j.firstEvent.Sub(j.arrived))).To(BeNumerically("~", prefillMS+decodeMS, 0.01))
	g.Expect(bench.Millis(j.maxGap)).To(BeNumerically("~", decodeMS, 0.01))
	g.Expect(sim.group.passCount).To(Equal(3))
}

// Guards against a nondeterministic simulation, which would make policies incomparable.
func TestTheSameSeedGivesTheSameFigures(t *testing.T) {
	g := NewWithT(t)
	for _, policy := range Policies {
		a := simulate(&Shapes[0], patternByName("full"), policy, 7)
		g.Expect(simulate(&Shapes[0], patternByName("full"), policy, 7)).To(Equal(a), string(policy))
	}
}

// Without an admission queue, long passes under overload and demand shifts make nearly all streams late
// or abandoned. With it, only rejections after a wait reduce on-time streams below those at full load.
func TestTheAdmissionQueueKeepsTheSupportedLoadOnTimeUnderOverload(t *testing.T) {
	for s := range Shapes {
		g := NewWithT(t)
		shape := &Shapes[s]
		overloaded := meanOverSeeds(shape, patternByName("twice too much"), PolicyHeatherrail)
		unlimited := meanOverSeeds(shape, patternByName("twice too much"), PolicyLeast)
		full := meanOverSeeds(shape, patternByName("full"), PolicyHeatherrail)
		g.Expect(overloaded.MetObjectives).To(BeNumerically(">", 5*unlimited.MetObjectives), shape.Name)
		absoluteOnTime := func(f Figures, p string) float64 { return f.MetObjectives * patternByName(p).Load }
		g.Expect(absoluteOnTime(overloaded, "twice too much")).To(BeNumerically(">", 0.75*absoluteOnTime(full, "full")), shape.Name)
		g.Expect(overloaded.Abandoned).To(BeNumerically("<", 0.01), "callers get an answer or a rejection")
	}
}

// Guards against a loss of Figures.Worth near capacity with 46 entries, whose load reports are up
// to 0.3 s old. The oracle is one entry that knows the current loads.
func TestManyEntriesComeCloseToTheOracle(t *testing.T) {
	g := NewWithT(t)
	shape := &Shapes[1]
	for _, name := range []string{"demand moves", "full", "bursts", "frozen leader"} {
		got, oracle := meanOverSeeds(shape, patternByName(name), PolicyHeatherrail), meanOverSeeds(shape, patternByName(name), PolicyOracle)
		g.Expect(got.Worth()).To(BeNumerically(">", 0.9*oracle.Worth()), name)
	}
}

// Guards against entries that consider targets empty and overload them while the leader, frozen for
// four seconds during a demand shift, sends no load reports.
func TestPlacementBeatsLeastOutstandingWhileTheLeaderIsFrozen(t *testing.T) {
	g := NewWithT(t)
	for s := range Shapes {
		got := meanOverSeeds(&Shapes[s], patternByName("frozen leader"), PolicyHeatherrail)
		baseline := meanOverSeeds(&Shapes[s], patternByName("frozen leader"), PolicyLeast)
		g.Expect(got.Worth()).To(BeNumerically(">", baseline.Worth()+0.03), Shapes[s].Name)
	}
}
