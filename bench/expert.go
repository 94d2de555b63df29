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

// expertPeriodSeconds is the interval between load reports, and between plans.
const expertPeriodSeconds = 60.0

// ExpertShapes are the group sizes that the expert benchmark measures.
var ExpertShapes = []expert.Shape{
	{Ranks: 8, Layers: 48, Experts: 32, SlotsOfRank: 5},
	{Ranks: 16, Layers: 48, Experts: 64, SlotsOfRank: 5},
	{Ranks: 64, Layers: 48, Experts: 128, SlotsOfRank: 3},
}

// policyRun is the state and the results of one planning policy over a trace.
type policyRun struct {
	name          string
	weights       expert.CostWeights
	kind          string
	trend         float64
	planner       expert.Planner
	loadEstimate  expert.LoadEstimator
	speedEstimate expert.SpeedEstimator

	current     *expert.Map
	next        *expert.Map // map that is being loaded; becomes current in the next period
	skewSamples []float64
	movedBytes  float64
	planCount   int
	planTimes   []time.Duration
	forecast    []float64
}

const (
	kindNone      = "none"      // keeps the initial map
	kindRecompute = "recompute" // computes a new map every period, without regard to the current one
	kindPlan      = "plan"      // uses the planner

	loadHalfLifeSeconds = 60.0
	gainLifeSeconds     = 1800.0 // time until the drift of the loads has used up the gain of a plan

	// Plans that took longer than remeasureThreshold are computed again, since on a busy
	// machine the longest times include waiting for a core.
	remeasureThreshold  = 12 * time.Millisecond
	maxRemeasurements   = 3
	storeBytesPerSecond = 2e9
)

// Cost weights of the two kinds of operator: SkewPolicy favours low skew (step time relative
// to that of a perfectly balanced map), CostPolicy few bytes moved.
var (
	SkewPolicy = expert.CostWeights{Skew: 3, Move: 1}
	CostPolicy = expert.CostWeights{Skew: 0.6, Move: 1}
)

// curveMovePrices are the prices of a moved gigabyte (CostWeights.Move) for the points on the curve
// of skew against bytes moved.
var curveMovePrices = []float64{0.03, 0.1, 1, 4, 10, 30}

// curveShape is the group size for which the curve of skew against bytes moved is drawn.
var curveShape = ExpertShapes[1]

// newPolicyRuns returns the policies under test. If curve is true, these include a policy that
// extrapolates the load trend, and one policy for each price in curveMovePrices.
func newPolicyRuns(curve bool) []*policyRun {
	list := []*policyRun{
		{name: "none", kind: kindNone},
		{name: "recompute", kind: kindRecompute},
		{name: "plan skew", kind: kindPlan, weights: SkewPolicy},
		{name: "plan cost", kind: kindPlan, weights: CostPolicy},
	}
	if !curve {
		return list
	}
	list = append(list, &policyRun{name: "plan skew, trend", kind: kindPlan, weights: SkewPolicy, trend: 0.5})
	for _, price := range curveMovePrices {
		name := fmt.Sprintf("plan at %g", price)
		list = append(list, &policyRun{name: name, kind: kindPlan, weights: expert.CostWeights{Skew: 1, Move: price}})
	}
	return list
}

// Expert measures the expert planner against its baselines over a generated trace of half a
// day. It returns the report, and the curve of skew against bytes moved as SVG.
func Expert(seed uint64) (r *Report, curve string) {
	r = NewReport("expert", seed)
	for _, s := range ExpertShapes {
		list := newPolicyRuns(s == curveShape)
		bounds := runExpertTrace(s, seed, list)
		points := addExpertRows(r, s, list, bounds)
		if s == curveShape {
			curve = plotCurve(fmt.Sprintf("%d ranks, %d experts, %d layers: skew against bytes moved", s.Ranks, s.Experts, s.Layers), points)
		}
	}
	return r, curve
}

// runExpertTrace runs all policies over a trace. It returns the lower bound of the skew in
// each period.
func runExpertTrace(s expert.Shape, seed uint64, list []*policyRun) (bounds []float64) {
	trace := NewExpertTrace(s, expertPeriodSeconds, seed)
	loads := trace.NextLoads(nil)
	initial := expert.Recompute(s, loads, trace.Speeds())
	for _, c := range list {
		c.current = initial
		c.loadEstimate.HalfLifeSeconds = loadHalfLifeSeconds
		c.loadEstimate.TrendShare = c.trend
	}
	for period := range trace.Periods - 1 {
		speeds := trace.Speeds()
		bounds = append(bounds, expert.PredictStepTimes(initial, loads, speeds).SkewLowerBound())
		lost := trace.IsReportLost()
		for _, c := range list {
			c.runPeriod(float64(period)*expertPeriodSeconds, trace, loads, lost)
		}
		loads = trace.NextLoads(loads)
	}
	return bounds
}

// runPeriod records the skew of the current map and plans the next one. If lost is true, the load
// reports of the period do not arrive and no plan is made.
func (c *policyRun) runPeriod(now float64, trace *ExpertTrace, loads []float64, lost bool) {
	speeds := trace.Speeds()
	if c.next != nil {
		c.current, c.next = c.next, nil
	}
	c.skewSamples = append(c.skewSamples, expert.PredictStepTimes(c.current, loads, speeds).Skew())
	if c.kind == kindNone || lost {
		return
	}
	c.observe(now, trace.ReportedLoads(c.current, loads), loads, speeds)
	start := time.Now()
	c.next = c.nextMap(now)
	elapsed := time.Since(start)
	for range maxRemeasurements {
		if elapsed < remeasureThreshold {
			break
		}
		start = time.Now()
		c.nextMap(now) // repeats the plan with the same input, to get a time without preemption
		elapsed = min(elapsed, time.Since(start))
	}
	c.planTimes = append(c.planTimes, elapsed)
	if c.next != nil {
		c.planCount++
		c.movedBytes += float64(c.current.Moves(c.next)) * expertMegabytes * 1e6
	}
}

// observe passes the reported loads to the load estimator. It passes the tokens of each rank, and
// the seconds that the rank needs to reach the barrier, to the speed estimator.
func (c *policyRun) observe(now float64, report, loads, speeds []float64) {
	c.loadEstimate.Observe(now, report)
	tokens := rankTokens(c.current, loads)
	seconds := make([]float64, len(tokens))
	for r := range tokens {
		seconds[r] = tokens[r] / speeds[r]
	}
	c.speedEstimate.Observe(tokens, seconds)
}

// rankTokens returns the tokens that each rank computes in a step under a map. The load of an
// expert is split evenly over its copies.
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

// nextMap returns the map that the policy chooses for the next period; nil if planning fails.
func (c *policyRun) nextMap(now float64) *expert.Map {
	c.forecast = c.loadEstimate.Forecast(now+expertPeriodSeconds, c.forecast[:0])
	if c.kind == kindRecompute {
		return expert.Recompute(c.current.Shape, c.forecast, c.speedEstimate.RankSpeeds())
	}
	plan, err := c.planner.Plan(&expert.PlanInput{
		Map:                 c.current,
		Loads:               c.forecast,
		RankSpeeds:          c.speedEstimate.RankSpeeds(),
		ExpertBytes:         expertMegabytes * 1e6,
		StoreBytesPerSecond: storeBytesPerSecond,
		GainLifeSeconds:     gainLifeSeconds,
		CostWeights:         c.weights,
	})
	if err != nil {
		return nil
	}
	return plan.Map
}

// addExpertRows adds the figures of all policies for one group size, and returns the points
// of the curve.
func addExpertRows(r *Report, s expert.Shape, list []*policyRun, bounds []float64) (points []point) {
	size := fmt.Sprintf("%dx%d", s.Ranks, s.Experts)
	r.Add(size+" bound", "skew_mean", "ratio", mean(bounds))
	recomputeBytes := 0.0
	for _, c := range list {
		if c.kind == kindRecompute {
			recomputeBytes = c.movedBytes
		}
	}
	for _, c := range list {
		name := size + " " + c.name
		if c.trend == 0 {
			points = append(points, point{name: c.name, share: c.movedBytes / recomputeBytes, skew: mean(c.skewSamples) / mean(bounds)})
		}
		r.Add(name, "skew_mean", "ratio", mean(c.skewSamples))
		r.Add(name, "skew_p99", "ratio", percentile(c.skewSamples, 0.99))
		r.Add(name, "skew_over_bound", "ratio", mean(c.skewSamples)/mean(bounds))
		r.Add(name, "moved", "GB", c.movedBytes/1e9)
		r.Add(name, "moved_share", "of recompute", c.movedBytes/recomputeBytes)
		r.Add(name, "plans", "count", float64(c.planCount))
		if len(c.planTimes) > 0 {
			slices.Sort(c.planTimes)
			r.Add(name, "plan_time_median", "ms", ms(c.planTimes[len(c.planTimes)/2]))
			r.Add(name, "plan_time_p99", "ms", ms(c.planTimes[len(c.planTimes)*99/100]))
		}
	}
	r.Add(size, "planner_memory", "KB", plannerMemoryKB(s))
	r.Add(size, "loads_of_rank", "bytes", float64(loadReportBytes(s)))
	r.Add(size, "loads_of_group", "bytes/s at 30 s", float64(loadReportBytes(s)*s.Ranks)/30)
	return points
}

// loadReportBytes returns the encoded size of one rank's load report in bytes, with all values at
// their maximum.
func loadReportBytes(s expert.Shape) int {
	reply := wire.RankReply{
		Incarnation: math.MaxUint64, Start: math.MaxUint32, Entered: true, Next: math.MaxUint32, Map: math.MaxUint64,
		Loaded: []uint64{math.MaxUint64, math.MaxUint64},
		Unit:   1.5, Bands: make([]byte, s.Layers*s.SlotsOfRank), Seconds: 1.5,
	}
	raw, err := reply.MarshalMsg(nil)
	if err != nil {
		return 0 // encoding a plain struct cannot fail
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

// plannerMemoryKB returns the heap in KiB that the owner of a group needs for planner, map and loads.
func plannerMemoryKB(s expert.Shape) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	trace := NewExpertTrace(s, expertPeriodSeconds, 1)
	loads := trace.NextLoads(nil)
	c := &policyRun{kind: kindPlan, weights: SkewPolicy, current: expert.InitialMap(s)}
	c.loadEstimate.HalfLifeSeconds = loadHalfLifeSeconds
	c.runPeriod(0, trace, loads, false)
	trace = nil
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(c)
	return float64(after.HeapAlloc-min(before.HeapAlloc, after.HeapAlloc)) / 1024
}
