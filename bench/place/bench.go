package place

import (
	"fmt"
	"time"

	"github.com/heatherrail/heatherrail/bench"
	"github.com/heatherrail/heatherrail/route"
)

// Sizes of the runs.
const (
	benchEngines = 12
	benchEntries = 8
	benchDCs     = 3
	benchQueue   = 256
	benchLag     = time.Second
	benchTime    = 60 * time.Second
	warmUp       = 10 * time.Second // not counted
	longDeadline = time.Hour
	deadline     = 10 * time.Second
)

var loads = []float64{0.7, 0.9, 1.2, 2.0}

// Run makes all runs and returns their figures. The error is the reports' part:
// the rest runs in virtual time and can't fail.
func Run(seed uint64) (*bench.Report, error) {
	b := &suite{report: bench.NewReport("place", seed), seed: seed, known: make(map[string]float64)}
	b.firstTokens()
	b.overload()
	b.teams()
	bytes, blocks := route.NewCacheIndex(indexBlocks).Bytes()
	b.report.Add("cache index", "memory a block", "B", float64(bytes)/float64(blocks))
	b.report.Add("cache index", "memory a target", "B", float64(bytes)/route.IndexTargets)
	if err := b.reports(); err != nil {
		return nil, fmt.Errorf("load reports: %w", err)
	}
	return b.report, nil
}

type suite struct {
	report *bench.Report
	seed   uint64
	known  map[string]float64 // capacity by what it depends on
}

func (b *suite) base() options {
	return options{seed: b.seed, engines: benchEngines, entries: benchEntries, dcs: benchDCs, queue: benchQueue, lag: benchLag}
}

// capacity returns the requests a second that the engines complete when all of
// them always have work.
func (b *suite) capacity(o options) float64 {
	key := fmt.Sprint(o.load.tail, o.load.families, o.slow)
	if held, ok := b.known[key]; ok {
		return held
	}
	const rate, took = 1000, 30 * time.Second
	o.policy = baselines()[len(baselines())-1]
	o.queue = 2 * engineSlots
	o.load.rate, o.load.duration, o.load.deadline, o.load.burst = rate, took, longDeadline, false
	w := run(o)
	n := 0
	for _, r := range w.ended {
		if !r.refused && r.done > warmUp && r.done < took {
			n++
		}
	}
	b.known[key] = float64(n) / (took - warmUp).Seconds()
	return b.known[key]
}

// scenario is one kind of load.
type scenario struct {
	name string
	load float64 // of the capacity
	set  func(o *options)
}

func scenarios() []scenario {
	return []scenario{
		{"long-tailed", 0.7, func(*options) {}},
		{"long-tailed", 0.9, func(*options) {}},
		{"even-sized", 0.9, func(o *options) { o.load.tail = false }},
		{"burst", 0.9, func(o *options) { o.load.burst = true }},
		{"straggler", 0.9, func(o *options) { o.slow = true }},
		{"drifting-prefixes", 0.9, func(o *options) { o.load.families = 200 }},
		{"reports-fresh", 0.9, func(o *options) { o.lag = 0 }},
		{"reports-half-lost", 0.9, func(o *options) { o.lost = 0.5 }},
		{"reports-none", 0.9, func(o *options) { o.lost = 1 }},
	}
}

// firstTokens compares the time to the first token below capacity.
func (b *suite) firstTokens() {
	for _, s := range scenarios() {
		o := b.base()
		o.load.tail = true
		s.set(&o)
		rate := s.load * b.capacity(o)
		o.load.rate, o.load.duration, o.load.deadline = rate, benchTime, longDeadline
		p99 := make(map[string]float64)
		for _, p := range append(baselines(), heatherrail()) {
			o.policy = p
			f := figuresOf(run(o).ended)
			name := fmt.Sprintf("%s load=%.1f %s", s.name, s.load, p.name)
			b.addFirst(name, f)
			p99[p.name] = f.p99
		}
		name := fmt.Sprintf("%s load=%.1f", s.name, s.load)
		b.report.Add(name, "p99 over least-outstanding", "ratio", p99["heatherrail"]/p99["least-outstanding"])
		b.report.Add(name, "p99 over oracle", "ratio", p99["heatherrail"]/p99["oracle"])
		b.report.Add(name, "oracle p99 over least-outstanding", "ratio", p99["oracle"]/p99["least-outstanding"])
	}
}

func (b *suite) addFirst(name string, f figures) {
	b.report.Add(name, "first token p50", "ms", f.p50)
	b.report.Add(name, "first token p95", "ms", f.p95)
	b.report.Add(name, "first token p99", "ms", f.p99)
	b.report.Add(name, "between tokens mean", "ms", f.between)
	b.report.Add(name, "between tokens p95", "ms", f.between95)
	b.report.Add(name, "cache hits of prompt tokens", "share", f.hits)
	b.report.Add(name, "tries a request", "count", f.tries)
	b.report.Add(name, "refused", "share", f.refused)
}

// overload compares goodput from below to far above capacity: answers that were
// whole before their deadline, in generated tokens a second.
func (b *suite) overload() {
	o := b.base()
	o.load.tail = true
	capacity := b.capacity(o)
	policies := append(baselines(), heatherrail())
	peak := make(map[string]float64)
	for _, load := range loads {
		o.load.rate, o.load.duration, o.load.deadline = load*capacity, benchTime, deadline
		for _, p := range policies {
			o.policy = p
			f := figuresOf(run(o).ended)
			name := fmt.Sprintf("overload load=%.1f %s", load, p.name)
			peak[p.name] = max(peak[p.name], f.goodput)
			b.report.Add(name, "goodput", "tokens/s", f.goodput)
			b.report.Add(name, "refused", "share", f.refused)
			b.report.Add(name, "refusal p99", "ms", f.refusal99)
			b.report.Add(name, "first token p99", "ms", f.p99)
			if load == loads[len(loads)-1] {
				b.report.Add(name, "goodput over peak", "ratio", f.goodput/peak[p.name])
			}
		}
	}
}

// teams measures what a team at ten times its share does to five small ones.
func (b *suite) teams() {
	const small, largeName = 5, "large"
	o := b.base()
	o.load.tail = true
	capacity := b.capacity(o)
	share := capacity / (small + 1)
	o.load.duration, o.load.deadline = benchTime, deadline
	policies := []policy{baselines()[2], baselines()[4], heatherrail()}
	for _, p := range policies {
		o.policy = p
		var before float64
		for _, times := range []float64{1, 10} {
			o.load.teams = []teamLoad{{name: largeName, rate: times * share, weight: 1}}
			for i := range small {
				o.load.teams = append(o.load.teams, teamLoad{name: fmt.Sprintf("small-%d", i), rate: 0.6 * share, weight: 1})
			}
			ended := run(o).ended
			others := figuresOf(ofTeams(ended, func(t string) bool { return t != largeName }))
			large := figuresOf(ofTeams(ended, func(t string) bool { return t == largeName }))
			name := fmt.Sprintf("teams large=%.0fx %s", times, p.name)
			b.report.Add(name, "small teams' first token p50", "ms", others.p50)
			b.report.Add(name, "small teams' first token p99", "ms", others.p99)
			b.report.Add(name, "small teams refused", "share", others.refused)
			b.report.Add(name, "large team refused", "share", large.refused)
			b.report.Add(name, "large team's first token p99", "ms", large.p99)
			b.report.Add(name, "Jain index of satisfied shares", "index", jain(ended, share*meanOutput))
			b.report.Add(name, "goodput", "tokens/s", others.goodput+large.goodput)
			if times == 1 {
				before = others.p99
			} else {
				b.report.Add(name, "small teams' p99 over that at 1x", "ratio", others.p99/before)
			}
		}
	}
}
