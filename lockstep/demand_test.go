package lockstep

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/serving"
)

const (
	simReaders    = 4
	simSelections = 540.0 // mean selections per expert and pass at the usual load
	simFits       = 1.25  // imbalance at which the map fits the demand
	simPassMS     = 62.0  // pass time at an imbalance of 1
)

// Guards against plans from selections that mix the demand before and after a shift. Each such plan was
// followed by a second one with as many copies, and the group had long passes until then. Also guards
// against small plans in the rest of the interval, each of which stalls the group.
func TestOneShiftCausesOnePlan(t *testing.T) {
	for name := range simModels {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			before, after := runShifts(name, simSelections, 5, true), runShifts(name, simSelections, 5, false)
			t.Logf("before %+v", before)
			t.Logf("after  %+v", after)
			g.Expect(before.plans).To(BeNumerically(">", 2), "the simulation shows the fault")
			g.Expect(after.plans).To(BeNumerically("<=", 1.25))
			g.Expect(after.copies).To(BeNumerically("<", 0.9*before.copies))
			g.Expect(after.fitMS).To(BeNumerically("<", before.fitMS-60))
			g.Expect(after.excessMS).To(BeNumerically("<", before.excessMS))
		})
	}
}

// A group with few streams has too few selections in a pass to plan from. It must still get a map after
// each shift: on a map that does not fit, passes are long, and so selections stay few.
func TestGroupWithFewSelectionsFollowsShifts(t *testing.T) {
	g := NewWithT(t)
	r := runShifts("32 ranks", 100, 4, false)
	t.Logf("%+v", r)
	g.Expect(r.plans).To(BeNumerically("<=", 1.5))
	g.Expect(r.longestFitMS).To(BeNumerically("<", 1000))
}

// observeSamples feeds a demand estimate one sample per 100 ms, each with the given passes and the
// selections of one pass per load vector.
type observeSamples struct {
	d    *demand
	rng  *rand.Rand
	now  time.Time
	step uint64
}

func newObserveSamples(experts int) *observeSamples {
	return &observeSamples{d: newDemand(experts), rng: rand.New(rand.NewPCG(5, 5)), now: time.Unix(1000, 0), step: 1}
}

// sample adds one sample that covers a pass of each of the loads. It reports whether a shift was detected.
func (o *observeSamples) sample(loads ...[]float64) bool {
	counts := make([]float64, len(loads[0]))
	for _, l := range loads {
		for e, load := range l {
			mean := simSelections * load
			counts[e] += max(mean+math.Sqrt(mean)*o.rng.NormFloat64(), 0)
		}
	}
	o.step += uint64(len(loads))
	o.now = o.now.Add(100 * time.Millisecond)
	o.d.setSteps(o.step, o.step)
	o.d.roundTime = roundInterval
	o.d.observe(o.now, counts)
	return o.d.detectShift(nil, nil)
}

// twoDemands returns two demands of which half is the same, with a mean load of 1.
func twoDemands(experts int) (before, after []float64) {
	s := &shiftSim{rng: rand.New(rand.NewPCG(8, 8)), model: &serving.EngineModel{LayerSets: 1, Experts: experts}}
	s.truth = s.drawDemand()
	before = s.truth
	s.shift()
	return before, s.truth
}

// The shift falls between passes that one round collects together. No plan may use that mixture; the
// next sample must replace it, and must not count as another shift.
func TestMixedSampleIsNotPlannedFrom(t *testing.T) {
	before, after := twoDemands(96)
	for name, c := range map[string]struct {
		mixture  [][]float64
		detected bool // the mixture differs enough to show the shift
	}{
		"half":       {[][]float64{before, after}, false},
		"two thirds": {[][]float64{before, after, after}, true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			o := newObserveSamples(96)
			for range 10 {
				g.Expect(o.sample(before)).To(BeFalse())
				g.Expect(o.d.isSettled(o.now)).To(BeTrue())
			}
			g.Expect(o.sample(c.mixture...)).To(Equal(c.detected))
			g.Expect(o.d.isSettled(o.now)).To(BeFalse(), "the sample may be a mixture")
			g.Expect(o.sample(after)).To(Equal(!c.detected))
			g.Expect(o.d.isSettled(o.now)).To(BeTrue())
			g.Expect(compareLoads(o.d.loads(), after).difference).To(BeNumerically("<", 0.01))
			for range 10 {
				g.Expect(o.sample(after)).To(BeFalse())
			}
		})
	}
}

// A sample that covers a single pass is of one demand. Waiting for another one would delay the plan by
// a pass while passes are longest.
func TestSinglePassAfterShiftIsPlannedFromAtOnce(t *testing.T) {
	g := NewWithT(t)
	before, after := twoDemands(96)
	o := newObserveSamples(96)
	for range 10 {
		o.sample(before)
	}
	g.Expect(o.sample(after)).To(BeTrue())
	g.Expect(o.d.isSettled(o.now)).To(BeTrue())
	g.Expect(compareLoads(o.d.loads(), after).difference).To(BeNumerically("<", 0.01))
}

// After a shift no further sample arrives, for example because agents do not answer. Plans must not
// wait for it for longer than a pass.
func TestPlansWaitForASecondSampleOnlyBriefly(t *testing.T) {
	g := NewWithT(t)
	before, after := twoDemands(96)
	o := newObserveSamples(96)
	for range 10 {
		o.sample(before)
	}
	g.Expect(o.sample(after, after)).To(BeTrue())
	g.Expect(o.d.isSettled(o.now)).To(BeFalse())
	g.Expect(o.d.isSettled(o.now.Add(settleTimeout))).To(BeTrue())
}

// With nearly uniform demand, most of the variation between experts is chance. It must not count as a
// shift: each one would restart the estimate from a single noisy sample.
func TestUniformDemandDoesNotShift(t *testing.T) {
	g := NewWithT(t)
	uniform := make([]float64, 96)
	for e := range uniform {
		uniform[e] = 1
	}
	o := newObserveSamples(96)
	for range 200 {
		g.Expect(o.sample(uniform)).To(BeFalse())
	}
}

// Selections of one stream resemble each other, so chance is greater than that of independent selections,
// most of all in a group with few streams. It must not count as a shift.
func TestFewDependentSelectionsAreNoShift(t *testing.T) {
	g := NewWithT(t)
	before, _ := twoDemands(96)
	o := newObserveSamples(96)
	for range 200 {
		counts := make([]float64, len(before))
		for e, load := range before {
			mean := 60 * (0.7 + 0.3*load)
			counts[e] = max(mean+2*math.Sqrt(mean)*o.rng.NormFloat64(), 0)
		}
		o.step++
		o.now = o.now.Add(100 * time.Millisecond)
		o.d.setSteps(o.step, o.step)
		o.d.observe(o.now, counts)
		g.Expect(o.d.detectShift(nil, nil)).To(BeFalse())
	}
}
