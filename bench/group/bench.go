package group

import (
	"fmt"

	"github.com/sourcegraph/conc/iter"

	"github.com/heatherrail/heatherrail/bench"
)

// Options select the simulations to run.
type Options struct {
	Seed    uint64 // first seed
	Seeds   int    // number of seeds, at least 1
	Pattern string // name in Patterns; empty: all
	Shape   string // name in Shapes; empty: all
}

// benchCase is one combination of group, pattern and policy, with its mean figures.
type benchCase struct {
	shape   *Shape
	pattern *Pattern
	policy  Policy
	figures Figures
}

// Run simulates the selected patterns with all policies, and reports the mean figures over the
// seeds. It fails if no pattern and shape match.
func Run(o Options) (*bench.Report, error) {
	var cases []benchCase
	for s := range Shapes {
		for p := range Patterns {
			if o.Shape != "" && o.Shape != Shapes[s].Name || o.Pattern != "" && o.Pattern != Patterns[p].Name {
				continue
			}
			for _, policy := range Policies {
				cases = append(cases, benchCase{shape: &Shapes[s], pattern: &Patterns[p], policy: policy})
			}
		}
	}
	if len(cases) == 0 {
		return nil, fmt.Errorf("no simulation matches pattern %q and shape %q", o.Pattern, o.Shape)
	}
	iter.ForEach(cases, func(p *benchCase) {
		var all []Figures
		for seed := range max(o.Seeds, 1) {
			all = append(all, simulate(p.shape, p.pattern, p.policy, o.Seed+uint64(seed)))
		}
		p.figures = mean(all)
	})
	r := bench.NewReport("load", o.Seed)
	for _, p := range cases {
		name := fmt.Sprintf("%s, %s, %s", p.shape.Name, p.pattern.Name, p.policy)
		f := &p.figures
		r.Add(name, "worth", "of all in aim", f.Worth())
		r.Add(name, "in aim", "share", f.MetObjectives)
		r.Add(name, "late", "share", f.Late)
		r.Add(name, "refused at once", "share", f.Rejected)
		r.Add(name, "refused after a wait", "share", f.RejectedAfterWait)
		r.Add(name, "left without an answer", "share", f.Abandoned)
		r.Add(name, "first event p50", "ms", f.FirstEventP50)
		r.Add(name, "first event p95", "ms", f.FirstEventP95)
		r.Add(name, "pass", "ms", f.PassMS)
	}
	return r, nil
}
