package group

import "time"

// Pattern defines the load on a group and the faults during a simulation.
type Pattern struct {
	Name          string
	Load          float64       // relative to the capacity of the group with a balanced map
	ShiftInterval time.Duration // time between demand shifts; 0: no shifts
	MapSteps      []MapStep     // imbalance over the time after each shift
	BurstFactor   float64       // factor on Load in one second of every four; 0: none
	// Frozen is the span in which the leader sends no load reports and no new map.
	Frozen Span
	// Outage is the span in which entries with an admission queue dispatch nothing to the group.
	Outage Span
	// Slow is the span in which the rank slowRankIndex is slower by the factor Slowdown.
	Slow     Span
	Slowdown float64
}

// MapStep is the imbalance until a given time after a demand shift.
type MapStep struct {
	Until     time.Duration // since the shift
	Imbalance float64       // time that the most loaded rank takes, relative to its time under even loads
	Copying   bool          // expert weights are being copied, which slows passes
}

// Span is a part of the simulated time, including From and excluding To.
type Span struct{ From, To time.Duration }

func (s Span) contains(t time.Duration) bool { return t >= s.From && t < s.To }

// balancedImbalance is the imbalance of a map that suits the current demand.
const balancedImbalance = 1.15

// Map steps after a demand shift. fastMapSteps are those of the current leader. slowMapSteps are
// those of an earlier leader, which read the counts of only a quarter of the ranks and sent each map
// to all ranks itself. Source: the leader's log on a deployment of 63 ranks.
var (
	fastMapSteps = []MapStep{{150 * time.Millisecond, 2.8, false}, {290 * time.Millisecond, 2.8, true}, {400 * time.Millisecond, 1.5, false}, {540 * time.Millisecond, 1.5, true}}
	slowMapSteps = []MapStep{{250 * time.Millisecond, 2.8, false}, {550 * time.Millisecond, 2.8, true}, {750 * time.Millisecond, 1.6, false}, {1070 * time.Millisecond, 1.6, true}}
)

// Patterns are the load patterns that are compared.
var Patterns = []Pattern{
	{Name: "calm", Load: 0.75},
	{Name: "demand moves", Load: 0.75, ShiftInterval: 2330 * time.Millisecond, MapSteps: fastMapSteps},
	{Name: "demand moves, slow maps", Load: 0.75, ShiftInterval: 2330 * time.Millisecond, MapSteps: slowMapSteps},
	{Name: "full", Load: 0.9, ShiftInterval: 2330 * time.Millisecond, MapSteps: fastMapSteps},
	{Name: "twice too much", Load: 1.7, ShiftInterval: 2330 * time.Millisecond, MapSteps: fastMapSteps},
	{Name: "bursts", Load: 0.6, BurstFactor: 1.7, ShiftInterval: 2330 * time.Millisecond, MapSteps: fastMapSteps},
	{Name: "frozen leader", Load: 0.75, ShiftInterval: 2330 * time.Millisecond, MapSteps: fastMapSteps, Frozen: Span{8 * time.Second, 12 * time.Second}},
	{Name: "after an outage", Load: 0.75, ShiftInterval: 2330 * time.Millisecond, MapSteps: fastMapSteps, Outage: Span{8 * time.Second, 10 * time.Second}},
	{Name: "slow rank", Load: 0.75, ShiftInterval: 2330 * time.Millisecond, MapSteps: fastMapSteps, Slow: Span{8 * time.Second, 16 * time.Second}, Slowdown: 12},
}

// imbalanceAt returns the imbalance at time t, and whether experts are being copied.
func (p *Pattern) imbalanceAt(t time.Duration) (factor float64, copying bool) {
	if p.ShiftInterval == 0 {
		return balancedImbalance, false
	}
	if p.Frozen.contains(t) {
		return p.MapSteps[0].Imbalance, false
	}
	sinceShift := t % p.ShiftInterval
	for _, step := range p.MapSteps {
		if sinceShift < step.Until {
			return step.Imbalance, step.Copying
		}
	}
	return balancedImbalance, false
}

// peakImbalance returns the highest imbalance of the pattern.
func (p *Pattern) peakImbalance() float64 {
	if p.ShiftInterval == 0 {
		return balancedImbalance
	}
	return p.MapSteps[0].Imbalance
}

const slowRankIndex = 5

// slowdownAt returns the factor by which a rank is slower than normal at time t.
func (p *Pattern) slowdownAt(rank int, t time.Duration) float64 {
	if rank == slowRankIndex && p.Slow.contains(t) {
		return p.Slowdown
	}
	return 1
}

// loadAt returns the load at time t, relative to the capacity of the group.
func (p *Pattern) loadAt(t time.Duration) float64 {
	if p.BurstFactor > 0 && t%(4*time.Second) < time.Second {
		return p.Load * p.BurstFactor
	}
	return p.Load
}
