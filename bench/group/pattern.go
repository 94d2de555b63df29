package group

import "time"

// Pattern is what happens to a group while a load is played.
type Pattern struct {
	Name  string
	Load  float64       // of what the group bears when calm and full
	Every time.Duration // demand moves; 0: never
	Maps  []MapStep     // after each move
	Burst float64       // load in one second of four, in times of Load; 0: none
	// Frozen is the time in which nothing is reported and no map follows.
	Frozen Span
	// Outage is the time in which the group runs nothing, and requests wait for it.
	Outage Span
	// Slow is the time in which rank 5 takes SlowPace times as long.
	Slow     Span
	SlowPace float64
}

// MapStep is the imbalance until some time after a move.
type MapStep struct {
	Until     time.Duration
	Imbalance float64
	Copying   bool
}

// Span is a part of the time that is played.
type Span struct{ From, To time.Duration }

func (s Span) has(t time.Duration) bool { return t >= s.From && t < s.To }

// calm is the imbalance of a map that fits.
const calm = 1.15

// Steps of the maps after a move: of today, and of the slower way before, when the
// leader read counts of a quarter of the ranks and sent each map to all by itself.
// Both are read off the leader's log on a deployment of 63 ranks.
var (
	quickMaps = []MapStep{{150 * time.Millisecond, 2.8, false}, {290 * time.Millisecond, 2.8, true}, {400 * time.Millisecond, 1.5, false}, {540 * time.Millisecond, 1.5, true}}
	slowMaps  = []MapStep{{250 * time.Millisecond, 2.8, false}, {550 * time.Millisecond, 2.8, true}, {750 * time.Millisecond, 1.6, false}, {1070 * time.Millisecond, 1.6, true}}
)

// Patterns are the loads that are played.
var Patterns = []Pattern{
	{Name: "calm", Load: 0.75},
	{Name: "demand moves", Load: 0.75, Every: 2330 * time.Millisecond, Maps: quickMaps},
	{Name: "demand moves, slow maps", Load: 0.75, Every: 2330 * time.Millisecond, Maps: slowMaps},
	{Name: "full", Load: 0.9, Every: 2330 * time.Millisecond, Maps: quickMaps},
	{Name: "twice too much", Load: 1.7, Every: 2330 * time.Millisecond, Maps: quickMaps},
	{Name: "bursts", Load: 0.6, Burst: 1.7, Every: 2330 * time.Millisecond, Maps: quickMaps},
	{Name: "frozen leader", Load: 0.75, Every: 2330 * time.Millisecond, Maps: quickMaps, Frozen: Span{8 * time.Second, 12 * time.Second}},
	{Name: "after an outage", Load: 0.75, Every: 2330 * time.Millisecond, Maps: quickMaps, Outage: Span{8 * time.Second, 10 * time.Second}},
	{Name: "slow rank", Load: 0.75, Every: 2330 * time.Millisecond, Maps: quickMaps, Slow: Span{8 * time.Second, 16 * time.Second}, SlowPace: 12},
}

// imbalance returns how many times as long as even loads the ranks take at a time.
func (p *Pattern) imbalance(t time.Duration) (times float64, copying bool) {
	if p.Every == 0 {
		return calm, false
	}
	if p.Frozen.has(t) {
		return p.Maps[0].Imbalance, false
	}
	since := t % p.Every
	for _, s := range p.Maps {
		if since < s.Until {
			return s.Imbalance, s.Copying
		}
	}
	return calm, false
}

func (p *Pattern) worst() float64 {
	if p.Every == 0 {
		return calm
	}
	return p.Maps[0].Imbalance
}

const slowRank = 5

func (p *Pattern) pace(rank int, t time.Duration) float64 {
	if rank == slowRank && p.Slow.has(t) {
		return p.SlowPace
	}
	return 1
}

// load returns the load at a time.
func (p *Pattern) load(t time.Duration) float64 {
	if p.Burst > 0 && t%(4*time.Second) < time.Second {
		return p.Load * p.Burst
	}
	return p.Load
}
