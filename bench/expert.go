package bench

import (
	"fmt"
	"math"
	"runtime"
	"slices"
	"time"

	"github.com/heatherrail/heatherrail/expert"
	"github.com/heatherrail/heatherrail/wire"
)

// expertPeriod is how often loads are reported and plans are made, in seconds.
const expertPeriod = 60.0

// ExpertShapes are the sizes that the bench measures.
var ExpertShapes = []expert.Shape{
	{Ranks: 8, Layers: 48, Experts: 32, SlotsOfRank: 5},
	{Ranks: 16, Layers: 48, Experts: 64, SlotsOfRank: 5},
	{Ranks: 64, Layers: 48, Experts: 128, SlotsOfRank: 3},
}

// contestant decides on a map each period.
type contestant struct {
	name     string
	weights  expert.CostWeights
	kind     string
	trend    float64
	planner  expert.Planner
	estimate expert.LoadEstimator
	speeds   expert.SpeedEstimator

	live  *expert.Map
	next  *expert.Map // loading; live from the next period on
	skews []float64
	bytes float64
	plans int
	times []time.Duration
	buf   []float64
}

const (
	kindNone      = "none"
	kindRecompute = "recompute"
	kindPlan      = "plan"

	estimateHalfLife = 60.0
	gainLife         = 1800.0

	// A decision that took long is timed again: on a busy machine the longest times
	// are those of waiting for a core.
	retimeAbove = 12 * time.Millisecond
	retimes     = 3
	storeRate   = 2e9
)

// Policies of the two kinds of operator.
var (
	SkewPolicy = expert.CostWeights{Skew: 3, Move: 1}
	CostPolicy = expert.CostWeights{Skew: 0.6, Move: 1}
)

// curvePrices are the prices of a gigabyte along the curve of skew against bytes.
var curvePrices = []float64{0.03, 0.1, 1, 4, 10, 30}

// curveShape is the size that the curve is drawn for.
var curveShape = ExpertShapes[1]

func expertContestants(curve bool) []*contestant {
	list := []*contestant{
		{name: "none", kind: kindNone},
		{name: "recompute", kind: kindRecompute},
		{name: "plan skew", kind: kindPlan, weights: SkewPolicy},
		{name: "plan cost", kind: kindPlan, weights: CostPolicy},
	}
	if !curve {
		return list
	}
	list = append(list, &contestant{name: "plan skew, trend", kind: kindPlan, weights: SkewPolicy, trend: 0.5})
	for _, price := range curvePrices {
		name := fmt.Sprintf("plan at %g", price)
		list = append(list, &contestant{name: name, kind: kindPlan, weights: expert.CostWeights{Skew: 1, Move: price}})
	}
	return list
}

// Expert measures the planner against its baselines over a generated half day. It
// also returns the curve of skew against bytes as SVG.
func Expert(seed uint64) (r *Report, curve string) {
	r = NewReport("expert", seed)
	for _, s := range ExpertShapes {
		list := expertContestants(s == curveShape)
		bound := runExpert(s, seed, list)
		points := reportExpert(r, s, list, bound)
		if s == curveShape {
			curve = plotCurve(fmt.Sprintf("%d ranks, %d experts, %d layers: what a byte buys", s.Ranks, s.Experts, s.Layers), points)
		}
	}
	return r, curve
}

func runExpert(s expert.Shape, seed uint64, list []*contestant) (bound []float64) {
	trace := NewExpertTrace(s, expertPeriod, seed)
	loads := trace.Next(nil)
	first := expert.Recompute(s, loads, trace.Speeds())
	for _, c := range list {
		c.live = first
		c.estimate.HalfLifeSeconds = estimateHalfLife
		c.estimate.TrendShare = c.trend
	}
	for p := range trace.Periods - 1 {
		speeds := trace.Speeds()
		bound = append(bound, expert.PredictStepTimes(first, loads, speeds).SkewLowerBound())
		lost := trace.Lost()
		for _, c := range list {
			c.period(float64(p)*expertPeriod, trace, loads, lost)
		}
		loads = trace.Next(loads)
	}
	return bound
}

func (c *contestant) period(now float64, trace *ExpertTrace, loads []float64, lost bool) {
	speeds := trace.Speeds()
	if c.next != nil {
		c.live, c.next = c.next, nil
	}
	c.skews = append(c.skews, expert.PredictStepTimes(c.live, loads, speeds).Skew())
	if c.kind == kindNone || lost {
		return
	}
	c.learn(now, trace.Report(c.live, loads), loads, speeds)
	begin := time.Now()
	c.next = c.decide(now)
	took := time.Since(begin)
	for range retimes {
		if took < retimeAbove {
			break
		}
		begin = time.Now()
		c.decide(now) // the same input: the same work, without this time's preemption
		took = min(took, time.Since(begin))
	}
	c.times = append(c.times, took)
	if c.next != nil {
		c.plans++
		c.bytes += float64(c.live.Moves(c.next)) * expertMegabytes * 1e6
	}
}

// learn takes the loads, and each rank's time before the barrier.
func (c *contestant) learn(now float64, report, loads, speeds []float64) {
	c.estimate.Observe(now, report)
	tokens := rankTokens(c.live, loads)
	seconds := make([]float64, len(tokens))
	for r := range tokens {
		seconds[r] = tokens[r] / speeds[r]
	}
	c.speeds.Observe(tokens, seconds)
}

func rankTokens(m *expert.Map, loads []float64) []float64 {
	s := m.Shape
	tokens := make([]float64, s.Ranks)
	copies := make([]int, s.Experts)
	for l := range s.Layers {
		clear(copies)
		for _, e := range m.Layer(l) {
			copies[e]++
		}
		for r := range s.Ranks {
			for _, e := range m.RankLayer(l, r) {
				tokens[r] += loads[l*s.Experts+int(e)] / float64(copies[e])
			}
		}
	}
	return tokens
}

func (c *contestant) decide(now float64) *expert.Map {
	c.buf = c.estimate.Forecast(now+expertPeriod, c.buf[:0])
	if c.kind == kindRecompute {
		return expert.Recompute(c.live.Shape, c.buf, c.speeds.RankSpeeds())
	}
	plan, err := c.planner.Plan(&expert.PlanInput{
		Map:                 c.live,
		Loads:               c.buf,
		RankSpeeds:          c.speeds.RankSpeeds(),
		ExpertBytes:         expertMegabytes * 1e6,
		StoreBytesPerSecond: storeRate,
		GainLifeSeconds:     gainLife,
		CostWeights:         c.weights,
	})
	if err != nil {
		return nil
	}
	return plan.Map
}

func reportExpert(r *Report, s expert.Shape, list []*contestant, bound []float64) (points []point) {
	size := fmt.Sprintf("%dx%d", s.Ranks, s.Experts)
	r.Add(size+" bound", "skew_mean", "ratio", mean(bound))
	all := 0.0
	for _, c := range list {
		if c.kind == kindRecompute {
			all = c.bytes
		}
	}
	for _, c := range list {
		name := size + " " + c.name
		if c.trend == 0 {
			points = append(points, point{name: c.name, share: c.bytes / all, skew: mean(c.skews) / mean(bound)})
		}
		r.Add(name, "skew_mean", "ratio", mean(c.skews))
		r.Add(name, "skew_p99", "ratio", percentile(c.skews, 0.99))
		r.Add(name, "skew_over_bound", "ratio", mean(c.skews)/mean(bound))
		r.Add(name, "moved", "GB", c.bytes/1e9)
		r.Add(name, "moved_share", "of recompute", c.bytes/all)
		r.Add(name, "plans", "count", float64(c.plans))
		if len(c.times) > 0 {
			slices.Sort(c.times)
			r.Add(name, "plan_time_median", "ms", ms(c.times[len(c.times)/2]))
			r.Add(name, "plan_time_p99", "ms", ms(c.times[len(c.times)*99/100]))
		}
	}
	r.Add(size, "planner_memory", "KB", plannerMemory(s))
	r.Add(size, "loads_of_rank", "bytes", float64(reportBytes(s)))
	r.Add(size, "loads_of_group", "bytes/s at 30 s", float64(reportBytes(s)*s.Ranks)/30)
	return points
}

// reportBytes returns the size of one rank's answer on loads, as it is sent.
func reportBytes(s expert.Shape) int {
	reply := wire.RankReply{
		Incarnation: math.MaxUint64, Start: math.MaxUint32, Entered: true, Next: math.MaxUint32, Map: math.MaxUint64,
		Loaded: []uint64{math.MaxUint64, math.MaxUint64},
		Unit:   1.5, Bands: make([]byte, s.Layers*s.SlotsOfRank), Seconds: 1.5,
	}
	raw, err := reply.MarshalMsg(nil)
	if err != nil {
		return 0 // plain structs always encode
	}
	return len(raw)
}

func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func mean(v []float64) float64 {
	t := 0.0
	for _, x := range v {
		t += x
	}
	return t / float64(len(v))
}

func percentile(v []float64, q float64) float64 {
	sorted := slices.Clone(v)
	slices.Sort(sorted)
	return sorted[int(q*float64(len(sorted)-1))]
}

// plannerMemory returns what one owner keeps for a group: planner, map and loads.
func plannerMemory(s expert.Shape) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	trace := NewExpertTrace(s, expertPeriod, 1)
	loads := trace.Next(nil)
	c := &contestant{kind: kindPlan, weights: SkewPolicy, live: expert.InitialMap(s)}
	c.estimate.HalfLifeSeconds = estimateHalfLife
	c.period(0, trace, loads, false)
	trace = nil
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(c)
	return float64(after.HeapAlloc-min(before.HeapAlloc, after.HeapAlloc)) / 1024
}
