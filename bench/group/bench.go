package group

import (
	"fmt"

	"github.com/sourcegraph/conc/iter"

	"github.com/heatherrail/heatherrail/bench"
)

// Options choose what is played.
type Options struct {
	Seed    uint64
	Seeds   int
	Pattern string // of Patterns; empty: all
	Shape   string // of Shapes; empty: all
}

type playOf struct {
	shape   *Shape
	pattern *Pattern
	policy  Policy
	figures Figures
}

// Run plays the patterns with all policies and reports the means over the seeds.
func Run(o Options) (*bench.Report, error) {
	var plays []playOf
	for s := range Shapes {
		for p := range Patterns {
			if o.Shape != "" && o.Shape != Shapes[s].Name || o.Pattern != "" && o.Pattern != Patterns[p].Name {
				continue
			}
			for _, policy := range Policies {
				plays = append(plays, playOf{shape: &Shapes[s], pattern: &Patterns[p], policy: policy})
			}
		}
	}
	if len(plays) == 0 {
		return nil, fmt.Errorf("no pattern %q with shape %q", o.Pattern, o.Shape)
	}
	iter.ForEach(plays, func(p *playOf) {
		var all []Figures
		for seed := range max(o.Seeds, 1) {
			all = append(all, play(p.shape, p.pattern, p.policy, o.Seed+uint64(seed)))
		}
		p.figures = mean(all)
	})
	r := bench.NewReport("load", o.Seed)
	for _, p := range plays {
		name := fmt.Sprintf("%s, %s, %s", p.shape.Name, p.pattern.Name, p.policy)
		f := &p.figures
		r.Add(name, "worth", "of all in aim", f.Worth())
		r.Add(name, "in aim", "share", f.InAim)
		r.Add(name, "late", "share", f.Late)
		r.Add(name, "refused at once", "share", f.Refused)
		r.Add(name, "refused after a wait", "share", f.RefusedLate)
		r.Add(name, "left without an answer", "share", f.Left)
		r.Add(name, "first event p50", "ms", f.First50)
		r.Add(name, "first event p95", "ms", f.First95)
		r.Add(name, "pass", "ms", f.PassMS)
	}
	return r, nil
}
