package placing

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/serving"
)

// pauseTestPool is a pool of one group of 24 targets. With the imbalance of pauseTestState the stated
// model allows 8.1 streams per target.
func pauseTestPool() TargetPool {
	return TargetPool{
		Service: &serving.Service{Name: "s", Engine: &serving.EngineModel{
			Slots: 10, StepsPerPass: 6, BaseStepTime: 5850 * time.Microsecond, StepTimePerStream: 426 * time.Microsecond,
			PrefillRate: 61400, LayerSets: 16, Experts: 96, ExpertShare: 0.85, MeanPromptTokens: 800, MeanOutputTokens: 138,
		}},
		EventGapObjective: 120 * time.Millisecond,
		EntryCount:        33,
	}
}

func pauseTestState(streamTime time.Duration, now time.Time) GroupState {
	return GroupState{Complete: true, Imbalance: 1.15, PeakImbalance: 2.8, MaxSlowdown: 1, ReportedAt: now, StreamTime: streamTime}
}

// Passes after a shift take longer than stated. The limit must follow the measured time of a stream, but
// must never exceed the stated model's limit, as a measurement at a quiet time may be too low.
func TestLimitIsTheSmallerOfTheStatedAndTheMeasuredOne(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	pool := pauseTestPool()
	limit := func(streamTime time.Duration, accepting float64, at time.Time) float64 {
		tr := testTracker()
		tr.ApplyLoadReport("s", nil, nil, pauseTestState(streamTime, now))
		return tr.groupStreamLimit(groupKey{service: "s"}, pool, accepting, at)
	}
	stated := limit(0, 1, now)
	g.Expect(stated).To(BeNumerically("~", 8.1, 0.1))
	g.Expect(limit(12*time.Millisecond, 1, now)).To(BeNumerically("~", (0.97*120-6*5.85)/12, 0.01))
	g.Expect(limit(8*time.Millisecond, 1, now)).To(Equal(stated))
	g.Expect(limit(40*time.Millisecond, 1, now)).To(BeEquivalentTo(10), "the objective can't be met: throughput")
	g.Expect(limit(12*time.Millisecond, 1, now.Add(ReportTTL+time.Millisecond))).To(Equal(limit(0, 1, now.Add(ReportTTL+time.Millisecond))), "no reports")
	// Half of the targets accept requests: the experts' part of the time halves, the rest does not.
	own := 0.15 * 6 * 0.426
	g.Expect(limit(20*time.Millisecond, 0.5, now)).To(BeNumerically("~", (0.97*120-6*5.85)/(own+(20-own)/2), 0.01))
}

// A slower rank takes longer for the part of a pass that does not depend on streams.
func TestMeasuredLimitAllowsForTheSlowestRank(t *testing.T) {
	g := NewWithT(t)
	pool := pauseTestPool()
	streams, known := pauseStreamLimit(pool.Service.Engine, pool.EventGapObjective, 10*time.Millisecond, 1.5, 1)
	g.Expect(known).To(BeTrue())
	g.Expect(streams).To(BeNumerically("~", (0.97*120-6*5.85*1.5)/10, 0.01))
	_, known = pauseStreamLimit(pool.Service.Engine, 0, 10*time.Millisecond, 1, 1)
	g.Expect(known).To(BeFalse(), "no objective")
}

// A group with headroom gets new streams only as far as their prompts fit into a pass beside the running
// streams. A bound that remained without reports, or where the objective can't be met, would leave the
// group idle.
func TestNewStreamsAreBoundedByTheirPrompts(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	pool := pauseTestPool()
	for range 24 {
		pool.Targets = append(pool.Targets, &serving.Target{Service: "s"})
	}
	bound := func(change func(s *GroupState, p *groupPool), at time.Time) float64 {
		p := &groupPool{TargetPool: pool, key: groupKey{service: "s"}, maxStreams: 8}
		state := pauseTestState(0, now)
		state.TotalRequests = 24 * 4
		if change != nil {
			change(&state, p)
		}
		tr := testTracker()
		tr.ApplyLoadReport("s", nil, nil, state)
		return tr.maxNewStreams(p, at)
	}
	factor := 1.15 * (0.15 + 0.85*1.15)
	pass, prompt := 1.15*6*5.85+4*6*0.426*factor, 800/61.4*factor
	g.Expect(bound(nil, now)).To(BeNumerically("~", 24*(0.97*120-pass)/prompt, 0.01))
	afterShift := bound(func(s *GroupState, _ *groupPool) { s.Imbalance = 2.8 }, now)
	g.Expect(afterShift).To(And(BeNumerically(">", 0), BeNumerically("<", 0.4*bound(nil, now))))
	g.Expect(bound(func(s *GroupState, _ *groupPool) { s.Imbalance, s.StreamTime = 2.8, 12*time.Millisecond }, now)).To(BeNumerically("<", afterShift), "measured excess")
	g.Expect(bound(func(s *GroupState, _ *groupPool) { s.Imbalance, s.TotalRequests, s.MaxSlowdown = 2.8, 24*9, 1.5 }, now)).To(BeZero(), "no time left")
	unbounded := BeNumerically(">", 1e6)
	g.Expect(bound(nil, now.Add(ReportTTL))).To(unbounded, "no reports")
	g.Expect(bound(func(_ *GroupState, p *groupPool) { p.EventGapObjective = 0 }, now)).To(unbounded, "no objective")
	g.Expect(bound(func(_ *GroupState, p *groupPool) { p.maxStreams = 10 }, now)).To(unbounded, "objective can't be met")
}
