package group

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/bench"
)

func patternOf(name string) *Pattern {
	for i := range Patterns {
		if Patterns[i].Name == name {
			return &Patterns[i]
		}
	}
	panic(name)
}

// meanOf plays a pattern over fixed seeds.
func meanOf(shape *Shape, pattern *Pattern, policy Policy) Figures {
	var all []Figures
	for seed := range uint64(2) {
		all = append(all, play(shape, pattern, policy, seed+1))
	}
	return mean(all)
}

// One stream runs alone. Its prompt is read in one pass, and each pass after that
// brings one event.
func TestPassesOfOneStream(t *testing.T) {
	g := NewWithT(t)
	shape := Shapes[0]
	w := newWorld(&shape, &Pattern{}, PolicyRandom, 1)
	j := &job{arrived: w.clock.now, prompt: 614, read: 614, write: 8, left: func() {}}
	w.engines.add(3, j)
	w.clock.runUntil(w.engines.begun.Add(time.Second))
	reading := 4*4.55 + (0.15+0.85/12*calm)*10
	writing := 4*4.55 + (0.15+0.85/12*calm)*4*0.905
	g.Expect(j.outcome).To(Equal(whole))
	g.Expect(bench.Millis(j.first.Sub(j.arrived))).To(BeNumerically("~", reading+writing, 0.01))
	g.Expect(bench.Millis(j.gap)).To(BeNumerically("~", writing, 0.01))
	g.Expect(w.engines.passes).To(Equal(3))
}

// The same seed gives the same figures, or no two policies could be compared.
func TestPlaysRepeat(t *testing.T) {
	g := NewWithT(t)
	for _, policy := range Policies {
		a := play(&Shapes[0], patternOf("full"), policy, 7)
		g.Expect(play(&Shapes[0], patternOf("full"), policy, 7)).To(Equal(a), string(policy))
	}
}

// Twice as many requests come as a group bears while demand moves. Without a limit
// every pass is too long and nearly all streams are late or given up; with it as many
// are in time as at the load that the group bears, less a part for those that are
// turned away late.
func TestTheGateKeepsWhatAGroupBearsInTime(t *testing.T) {
	for s := range Shapes {
		g := NewWithT(t)
		shape := &Shapes[s]
		twice := meanOf(shape, patternOf("twice too much"), PolicyOurs)
		plain := meanOf(shape, patternOf("twice too much"), PolicyLeast)
		full := meanOf(shape, patternOf("full"), PolicyOurs)
		g.Expect(twice.InAim).To(BeNumerically(">", 5*plain.InAim), shape.Name)
		inTime := func(f Figures, p string) float64 { return f.InAim * patternOf(p).Load }
		g.Expect(inTime(twice, "twice too much")).To(BeNumerically(">", 0.75*inTime(full, "full")), shape.Name)
		g.Expect(twice.Left).To(BeNumerically("<", 0.01), "callers get an answer or a refusal")
	}
}

// A group runs near what it bears, and 46 entries know its load by reports that are
// up to 0.3 s old. They must come close to one entry that knows all loads as they are.
func TestManyEntriesComeCloseToOneThatKnowsAll(t *testing.T) {
	g := NewWithT(t)
	shape := &Shapes[1]
	for _, name := range []string{"demand moves", "full", "bursts", "frozen leader"} {
		ours, oracle := meanOf(shape, patternOf(name), PolicyOurs), meanOf(shape, patternOf(name), PolicyOracle)
		g.Expect(ours.Worth()).To(BeNumerically(">", 0.9*oracle.Worth()), name)
	}
}

// The agent that reports for a group stands still for four seconds in which demand
// has moved. Entries that then believed targets to be empty would fill them.
func TestAFrozenLeaderCostsLittleMoreThanItsMaps(t *testing.T) {
	g := NewWithT(t)
	for s := range Shapes {
		ours := meanOf(&Shapes[s], patternOf("frozen leader"), PolicyOurs)
		plain := meanOf(&Shapes[s], patternOf("frozen leader"), PolicyLeast)
		g.Expect(ours.Worth()).To(BeNumerically(">", plain.Worth()+0.03), Shapes[s].Name)
	}
}
