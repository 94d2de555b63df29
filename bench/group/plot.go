package group

import (
	"fmt"
	"strings"

	"github.com/sourcegraph/conc/iter"
)

// Size and margins of the plot, in pixels.
const (
	plotWidth  = 640
	plotHeight = 400
	plotMargin = 60
	plotLoad   = 2.0 // largest load on the x axis
)

var plotColours = map[Policy]string{PolicyRandom: "#999", PolicyLeast: "#c80", PolicyHeatherrail: "#1f5fa8", PolicyOracle: "#393"}

// Plot draws the worth of the answers (Figures.Worth) against the load while demand shifts, for the
// largest group and each policy, as SVG.
func Plot(seed uint64, seeds int) string {
	loads := []float64{0.4, 0.6, 0.8, 1, 1.25, 1.5, 2}
	type line struct {
		policy Policy
		worth  []float64
	}
	var lines []line
	for _, p := range Policies {
		lines = append(lines, line{policy: p})
	}
	shape := &Shapes[len(Shapes)-1]
	iter.ForEach(lines, func(l *line) {
		for _, load := range loads {
			pattern := Pattern{Load: load, ShiftInterval: Patterns[1].ShiftInterval, MapSteps: fastMapSteps}
			var all []Figures
			for s := range max(seeds, 1) {
				all = append(all, simulate(shape, &pattern, l.policy, seed+uint64(s)))
			}
			m := mean(all)
			l.worth = append(l.worth, m.Worth())
		}
	})
	x := func(load float64) float64 { return plotMargin + load/plotLoad*(plotWidth-2*plotMargin) }
	y := func(worth float64) float64 { return plotHeight - plotMargin - worth*(plotHeight-2*plotMargin) }
	var b strings.Builder
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="12">`+"\n", plotWidth, plotHeight)
	fmt.Fprintf(&b, `<rect width="100%%" height="100%%" fill="white"/><text x="%d" y="24" font-size="14">%s, demand shifts: worth of the answers</text>`+"\n", plotMargin, shape.Name)
	for _, v := range []float64{0, 0.25, 0.5, 0.75, 1} {
		fmt.Fprintf(&b, `<path d="M%d %.1f H%d" stroke="#ddd"/><text x="%d" y="%.1f" text-anchor="end">%.2f</text>`+"\n",
			plotMargin, y(v), plotWidth-plotMargin, plotMargin-6, y(v)+4, v)
		fmt.Fprintf(&b, `<text x="%.1f" y="%d" text-anchor="middle">%.1f</text>`+"\n", x(2*v), plotHeight-plotMargin+18, 2*v)
	}
	for i, l := range lines {
		var path []string
		for k, load := range loads {
			path = append(path, fmt.Sprintf("%.1f,%.1f", x(load), y(l.worth[k])))
		}
		fmt.Fprintf(&b, `<polyline points="%s" fill="none" stroke="%s" stroke-width="2"/>`+"\n", strings.Join(path, " "), plotColours[l.policy])
		fmt.Fprintf(&b, `<text x="%d" y="%d" fill="%s">%s</text>`+"\n", plotWidth-plotMargin-120, plotMargin+16*i, plotColours[l.policy], l.policy)
	}
	fmt.Fprintf(&b, `<text x="%d" y="%d" text-anchor="middle">load relative to the capacity of the group</text></svg>`+"\n", plotWidth/2, plotHeight-16)
	return b.String()
}
