package lockstep

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/peers"
	"github.com/heatherrail/heatherrail/serving"
)

// fitModel has passes of 40 ms without streams.
var fitModel = &serving.EngineModel{Slots: 10, StepsPerPass: 8, BaseStepTime: 5 * time.Millisecond}

const fitObjective = 120 * time.Millisecond

// fitRun feeds a PauseFit with rounds every 60 ms.
type fitRun struct {
	fit PauseFit
	now time.Time
}

func newFitRun() *fitRun { return &fitRun{now: time.Unix(1000, 0)} }

// shift observes a shift with the given longest gap and streams per rank, and two more seconds. change
// may alter the observation of each round; round 0 is the one in which the shift is detected.
func (r *fitRun) shift(gap time.Duration, streams float64, change func(round int, o *PauseObservation)) {
	const rounds = 50
	for round := range rounds {
		r.now = r.now.Add(60 * time.Millisecond)
		o := PauseObservation{At: r.now, Shifted: round == 0, LongestGap: 80 * time.Millisecond, StreamsPerRank: streams, MaxSlowdown: 1}
		if round == 3 {
			o.LongestGap = gap
		}
		if change != nil {
			change(round, &o)
		}
		r.fit.Observe(o, fitModel, fitObjective)
	}
}

// The limit must hold from the second shift on, so one shift is enough for a fit. With several the fit
// is above their mean, as the limit would else be exceeded at half of the shifts, but a single outlier
// must not lower the limit.
func TestFitIsAHighQuantileOfShifts(t *testing.T) {
	g := NewWithT(t)
	r := newFitRun()
	g.Expect(r.fit.StreamTime(r.now)).To(BeZero(), "no shift")
	r.shift(120*time.Millisecond, 8, nil)
	g.Expect(r.fit.StreamTime(r.now)).To(Equal(10*time.Millisecond), "one shift")
	r.shift(136*time.Millisecond, 8, nil)
	g.Expect(r.fit.StreamTime(r.now)).To(Equal(11700 * time.Microsecond))
	for range 3 {
		r.shift(120*time.Millisecond, 8, nil)
	}
	r.shift(280*time.Millisecond, 8, nil)
	g.Expect(r.fit.StreamTime(r.now)).To(BeNumerically("<", 20*time.Millisecond), "an outlier of 30 ms for each stream")
}

// The fit must follow a change of the group: only the latest eight shifts of the last minute count.
func TestOldShiftsLeaveTheFit(t *testing.T) {
	g := NewWithT(t)
	r := newFitRun()
	r.shift(300*time.Millisecond, 8, nil)
	for range maxFitShifts {
		r.shift(120*time.Millisecond, 8, nil)
	}
	g.Expect(r.fit.StreamTime(r.now)).To(Equal(10 * time.Millisecond))
	g.Expect(r.fit.StreamTime(r.now.Add(fitShiftTTL))).To(BeZero())
}

// A slower rank lengthens the part of a pass that does not depend on streams. Its time must not count as
// a cost of streams.
func TestFitAllowsForTheSlowestRank(t *testing.T) {
	g := NewWithT(t)
	r := newFitRun()
	for range 2 {
		r.shift(140*time.Millisecond, 8, func(_ int, o *PauseObservation) { o.MaxSlowdown = 1.5 })
	}
	g.Expect(r.fit.StreamTime(r.now)).To(Equal(10 * time.Millisecond))
}

// Gaps that come from faults must not lower the stream limit: after recovery of a hold, without all
// ranks, beside a very slow rank, after a stall of the leader, or far longer than any pass. Few
// streams say nothing about the cost of a stream.
func TestDisturbedShiftsDoNotChangeTheFit(t *testing.T) {
	stall := func(r *fitRun) func(int, *PauseObservation) {
		return func(round int, o *PauseObservation) {
			if round == 2 {
				r.now = r.now.Add(4 * time.Second)
				o.At = r.now
			}
		}
	}
	for name, disturb := range map[string]func(r *fitRun){
		"held or ranks missing": func(r *fitRun) {
			r.shift(300*time.Millisecond, 8, func(round int, o *PauseObservation) { o.Disturbed = round == 2 })
		},
		"held just before": func(r *fitRun) {
			r.shift(300*time.Millisecond, 8, func(round int, o *PauseObservation) { o.Shifted, o.Disturbed = round == 2, round == 0 })
		},
		"slow rank": func(r *fitRun) {
			r.shift(300*time.Millisecond, 8, func(_ int, o *PauseObservation) { o.MaxSlowdown = 2 })
		},
		"stalled leader": func(r *fitRun) { r.shift(300*time.Millisecond, 8, stall(r)) },
		"few streams":    func(r *fitRun) { r.shift(110*time.Millisecond, 2, nil) },
		"no gaps reported": func(r *fitRun) {
			r.shift(0, 8, func(_ int, o *PauseObservation) { o.LongestGap = 0 })
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			r := newFitRun()
			for range 2 {
				r.shift(120*time.Millisecond, 8, nil)
			}
			disturb(r)
			g.Expect(r.fit.StreamTime(r.now)).To(Equal(10 * time.Millisecond))
		})
	}
	t.Run("gap over three objectives", func(t *testing.T) {
		g := NewWithT(t)
		r := newFitRun()
		for range 2 {
			r.shift(120*time.Millisecond, 8, func(round int, o *PauseObservation) {
				if round == 5 {
					o.LongestGap = 361 * time.Millisecond
				}
			})
		}
		g.Expect(r.fit.StreamTime(r.now)).To(Equal(10 * time.Millisecond))
	})
}

// Without an event-gap objective there is no stream limit, and nothing to measure.
func TestNoFitWithoutAnObjective(t *testing.T) {
	g := NewWithT(t)
	var fit PauseFit
	now := time.Unix(1000, 0)
	for round := range 100 {
		now = now.Add(60 * time.Millisecond)
		fit.Observe(PauseObservation{At: now, Shifted: round%40 == 0, LongestGap: 100 * time.Millisecond, StreamsPerRank: 8, MaxSlowdown: 1}, fitModel, 0)
	}
	g.Expect(fit.StreamTime(now)).To(BeZero())
}

// In a large group each agent is queried by one or two entries. A single stalled entry must not count
// there either, as its gap would lower the stream limit of the whole group for a minute.
func TestAStalledEntryDoesNotCountInALargeGroup(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(newSimGroup(treeTestRanks, 1, treeTestRanks, 7))
	now := time.Now()
	f.agents[0].entryReports.record(&peers.LoadsQuery{Entry: "stalled", LongestGapMS: 300}, now)
	s := peers.RankState{Subtree: []peers.RankState{{LongestGapMS: 90}, {}, {LongestGapMS: 92}}}
	f.agents[0].addEntryReports(&s)
	g.Expect(s.LongestGapMS).To(BeEquivalentTo(92))

	l := newLeader(f.agents[0])
	f.agents[0].entryReports.record(&peers.LoadsQuery{Entry: "e", LongestGapMS: 91}, now)
	l.buildLoads([]rank{{member: &member{}, state: peers.RankState{LongestGapMS: 300}}, {member: &member{}, state: peers.RankState{LongestGapMS: 90}}}, peers.RankState{})
	g.Expect(l.longestGap).To(Equal(91 * time.Millisecond))
}

// The fit must reach the entries at every agent of a large group, from gaps that they report to different
// agents. A single entry with long gaps, because it stalls or its callers read slowly, must not change it.
func TestTheFitReachesAllEntriesOfALargeGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		group := newSimGroup(treeTestRanks, 1, treeTestRanks, 7)
		f := newFleet(group)
		for _, a := range f.agents {
			a.opts.DecodeConfig = func(string, []byte) (serving.Config, bool, error) {
				c := simConfig(group)
				c.Routes = []serving.Route{{Name: "r", Prefix: "/", Kind: serving.KindStream, ServiceWeights: []serving.ServiceWeight{{Service: "s", Weight: 1}}, EventGapObjective: fitObjective}}
				return c, true, nil
			}
		}
		f.start()
		time.Sleep(2 * time.Second)
		for range 4 {
			group.shiftDemand()
			for poll := range 24 {
				for rank := range f.agents {
					q := &peers.LoadsQuery{Entry: engineAddress(rank), LongestGapMS: 80}
					switch {
					case rank == 7:
						q.LongestGapMS = 340
					case poll == 2:
						q.LongestGapMS = 110
					}
					queryLoads(t, f, rank, q)
				}
				time.Sleep(125 * time.Millisecond)
			}
		}
		var streamTimes []float32
		for rank := range f.agents {
			streamTimes = append(streamTimes, queryLoads(t, f, rank, &peers.LoadsQuery{}).StreamTimeMS)
		}
		f.stop()
		g.Expect(streamTimes).To(HaveEach(BeNumerically("~", 110.0/4, 0.1)))
	})
}
