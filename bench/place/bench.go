package place

import (
	"fmt"
	"time"

	"github.com/heatherrail/heatherrail/bench"
	"github.com/heatherrail/heatherrail/route"
)

// Sizes and times of the simulations.
const (
	benchEngines        = 12
	benchEntries        = 8
	benchDataCentres    = 3
	benchQueueLimit     = 256
	benchReportDelay    = time.Second
	benchDuration       = 60 * time.Second
	warmUpTime          = 10 * time.Second // requests that arrive in this time are not counted
	unreachableDeadline = time.Hour        // deadline of requests in benchmarks that do not test deadlines
	deadline            = 10 * time.Second // deadline of requests in benchOverload and benchTeams
)

// overloadFactors are the loads of benchOverload, relative to the capacity.
var overloadFactors = []float64{0.7, 0.9, 1.2, 2.0}

// Run runs all placement benchmarks and reports their figures. Only the load reports, which
// are measured on a real agent, can fail; the other benchmarks run in virtual time.
func Run(seed uint64) (*bench.Report, error) {
	b := &suite{report: bench.NewReport("place", seed), seed: seed, capacities: make(map[string]float64)}
	b.benchFirstTokens()
	b.benchOverload()
	b.benchTeams()
	bytes, blocks := route.NewCacheIndex(indexBlocks).Bytes()
	b.report.Add("cache index", "memory a block", "B", float64(bytes)/float64(blocks))
	b.report.Add("cache index", "memory a target", "B", float64(bytes)/route.IndexTargets)
	if err := b.benchReports(); err != nil {
		return nil, fmt.Errorf("load reports: %w", err)
	}
	return b.report, nil
}

// suite runs the benchmarks of one report.
type suite struct {
	report     *bench.Report
	seed       uint64
	capacities map[string]float64 // capacity in requests/s, by the options that affect the capacity
}

func (b *suite) baseOptions() options {
	return options{seed: b.seed, engines: benchEngines, entries: benchEntries, dataCentres: benchDataCentres, queueLimit: benchQueueLimit, reportDelay: benchReportDelay}
}

// capacity returns the requests per second that the engines complete when all of them always
// have work. It is measured once for each kind of load.
func (b *suite) capacity(o options) float64 {
	key := fmt.Sprint(o.load.longTailed, o.load.prefixFamilies, o.slowEngine)
	if known, ok := b.capacities[key]; ok {
		return known
	}
	const rate, duration = 1000, 30 * time.Second
	o.policy = baselines()[len(baselines())-1]
	o.queueLimit = 2 * engineSlots
	o.load.rate, o.load.duration, o.load.deadline, o.load.ramp = rate, duration, unreachableDeadline, false
	sim := run(o)
	completed := 0
	for _, r := range sim.endedRequests {
		if !r.rejected && r.endedAt > warmUpTime && r.endedAt < duration {
			completed++
		}
	}
	b.capacities[key] = float64(completed) / (duration - warmUpTime).Seconds()
	return b.capacities[key]
}

// scenario is one kind of load, with the options that it changes.
type scenario struct {
	name      string
	load      float64 // relative to the capacity
	configure func(o *options)
}

func scenarios() []scenario {
	return []scenario{
		{"long-tailed", 0.7, func(*options) {}},
		{"long-tailed", 0.9, func(*options) {}},
		{"even-sized", 0.9, func(o *options) { o.load.longTailed = false }},
		{"burst", 0.9, func(o *options) { o.load.ramp = true }},
		{"straggler", 0.9, func(o *options) { o.slowEngine = true }},
		{"drifting-prefixes", 0.9, func(o *options) { o.load.prefixFamilies = 200 }},
		{"reports-fresh", 0.9, func(o *options) { o.reportDelay = 0 }},
		{"reports-half-lost", 0.9, func(o *options) { o.reportLossShare = 0.5 }},
		{"reports-none", 0.9, func(o *options) { o.reportLossShare = 1 }},
	}
}

// benchFirstTokens compares the policies by the time to the first token, below capacity.
func (b *suite) benchFirstTokens() {
	for _, s := range scenarios() {
		o := b.baseOptions()
		o.load.longTailed = true
		s.configure(&o)
		rate := s.load * b.capacity(o)
		o.load.rate, o.load.duration, o.load.deadline = rate, benchDuration, unreachableDeadline
		p99 := make(map[string]float64)
		for _, p := range append(baselines(), heatherrail()) {
			o.policy = p
			f := figuresOf(run(o).endedRequests)
			name := fmt.Sprintf("%s load=%.1f %s", s.name, s.load, p.name)
			b.addFirstTokenRows(name, f)
			p99[p.name] = f.p99
		}
		name := fmt.Sprintf("%s load=%.1f", s.name, s.load)
		b.report.Add(name, "p99 over least-outstanding", "ratio", p99["heatherrail"]/p99["least-outstanding"])
		b.report.Add(name, "p99 over oracle", "ratio", p99["heatherrail"]/p99["oracle"])
		b.report.Add(name, "oracle p99 over least-outstanding", "ratio", p99["oracle"]/p99["least-outstanding"])
	}
}

// addFirstTokenRows adds the figures of one run of benchFirstTokens.
func (b *suite) addFirstTokenRows(name string, f figures) {
	b.report.Add(name, "first token p50", "ms", f.p50)
	b.report.Add(name, "first token p95", "ms", f.p95)
	b.report.Add(name, "first token p99", "ms", f.p99)
	b.report.Add(name, "between tokens mean", "ms", f.meanTokenGap)
	b.report.Add(name, "between tokens p95", "ms", f.tokenGap95)
	b.report.Add(name, "cache hits of prompt tokens", "share", f.cacheHitShare)
	b.report.Add(name, "tries a request", "count", f.attempts)
	b.report.Add(name, "refused", "share", f.rejectedShare)
}

// benchOverload compares the policies by goodput, from below to far above capacity. Goodput is
// the generated tokens per second of answers that were complete before their deadline.
func (b *suite) benchOverload() {
	o := b.baseOptions()
	o.load.longTailed = true
	capacity := b.capacity(o)
	policies := append(baselines(), heatherrail())
	peak := make(map[string]float64)
	for _, load := range overloadFactors {
		o.load.rate, o.load.duration, o.load.deadline = load*capacity, benchDuration, deadline
		for _, p := range policies {
			o.policy = p
			f := figuresOf(run(o).endedRequests)
			name := fmt.Sprintf("overload load=%.1f %s", load, p.name)
			peak[p.name] = max(peak[p.name], f.goodput)
			b.report.Add(name, "goodput", "tokens/s", f.goodput)
			b.report.Add(name, "refused", "share", f.rejectedShare)
			b.report.Add(name, "refusal p99", "ms", f.rejection99)
			b.report.Add(name, "first token p99", "ms", f.p99)
			if load == overloadFactors[len(overloadFactors)-1] {
				b.report.Add(name, "goodput over peak", "ratio", f.goodput/peak[p.name])
			}
		}
	}
}

// benchTeams measures how a team that sends ten times its share affects five small teams.
func (b *suite) benchTeams() {
	const small, largeName = 5, "large"
	o := b.baseOptions()
	o.load.longTailed = true
	capacity := b.capacity(o)
	share := capacity / (small + 1)
	o.load.duration, o.load.deadline = benchDuration, deadline
	policies := []policy{baselines()[2], baselines()[4], heatherrail()}
	for _, p := range policies {
		o.policy = p
		var baseP99 float64
		for _, factor := range []float64{1, 10} {
			o.load.teams = []teamLoad{{name: largeName, rate: factor * share, weight: 1}}
			for i := range small {
				o.load.teams = append(o.load.teams, teamLoad{name: fmt.Sprintf("small-%d", i), rate: 0.6 * share, weight: 1})
			}
			ended := run(o).endedRequests
			others := figuresOf(ofTeams(ended, func(t string) bool { return t != largeName }))
			large := figuresOf(ofTeams(ended, func(t string) bool { return t == largeName }))
			name := fmt.Sprintf("teams large=%.0fx %s", factor, p.name)
			b.report.Add(name, "small teams' first token p50", "ms", others.p50)
			b.report.Add(name, "small teams' first token p99", "ms", others.p99)
			b.report.Add(name, "small teams refused", "share", others.rejectedShare)
			b.report.Add(name, "large team refused", "share", large.rejectedShare)
			b.report.Add(name, "large team's first token p99", "ms", large.p99)
			b.report.Add(name, "Jain index of satisfied shares", "index", jainIndex(ended, share*meanOutput))
			b.report.Add(name, "goodput", "tokens/s", others.goodput+large.goodput)
			if factor == 1 {
				baseP99 = others.p99
			} else {
				b.report.Add(name, "small teams' p99 over that at 1x", "ratio", others.p99/baseP99)
			}
		}
	}
}
