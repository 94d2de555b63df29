package bench

import (
	"fmt"
	"math"
	"strings"
)

// point is one policy on the curve of skew against bytes.
type point struct {
	name  string
	share float64 // bytes moved, relative to those of a full recompute
	skew  float64 // mean skew, relative to the lower bound
}

// Size and margins of the plot in pixels, and the range of its logarithmic x axis.
const (
	plotWidth     = 640
	plotHeight    = 400
	plotMargin    = 60
	minMovedShare = 1e-4
	plotDecades   = 4
)

// plotCurve draws the skew, relative to its lower bound, against the bytes moved as SVG.
func plotCurve(title string, points []point) string {
	top := 1.0
	for _, p := range points {
		top = max(top, p.skew)
	}
	top = math.Ceil(top*20) / 20
	x := func(share float64) float64 {
		d := math.Log10(max(share, minMovedShare)/minMovedShare) / plotDecades
		return plotMargin + d*(plotWidth-2*plotMargin)
	}
	y := func(skew float64) float64 {
		return plotHeight - plotMargin - (skew-1)/(top-1)*(plotHeight-2*plotMargin)
	}
	var b strings.Builder
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="12">`+"\n", plotWidth, plotHeight)
	fmt.Fprintf(&b, `<rect width="100%%" height="100%%" fill="white"/><text x="%d" y="24" font-size="14">%s</text>`+"\n", plotMargin, title)
	for d := range plotDecades + 1 {
		share := minMovedShare * math.Pow10(d)
		fmt.Fprintf(&b, `<path d="M%.1f %d V%d" stroke="#ddd"/><text x="%.1f" y="%d" text-anchor="middle">%g %%</text>`+"\n",
			x(share), plotMargin, plotHeight-plotMargin, x(share), plotHeight-plotMargin+18, share*100)
	}
	for s := 1.0; s <= top+1e-9; s += 0.1 {
		fmt.Fprintf(&b, `<path d="M%d %.1f H%d" stroke="#ddd"/><text x="%d" y="%.1f" text-anchor="end">%.2f</text>`+"\n",
			plotMargin, y(s), plotWidth-plotMargin, plotMargin-6, y(s)+4, s)
	}
	for i, p := range points {
		// Adjacent points lie close together, so every other label is drawn below its point.
		labelOffset := -6.0
		if i%2 == 1 {
			labelOffset = 16
		}
		fmt.Fprintf(&b, `<circle cx="%.1f" cy="%.1f" r="4" fill="#1f5fa8"/><text x="%.1f" y="%.1f" text-anchor="middle">%s</text>`+"\n",
			x(p.share), y(p.skew), x(p.share), y(p.skew)+labelOffset, p.name)
	}
	fmt.Fprintf(&b, `<text x="%d" y="%d" text-anchor="middle">bytes moved, share of a full recompute</text>`+"\n", plotWidth/2, plotHeight-16)
	fmt.Fprintf(&b, `<text x="14" y="%d" text-anchor="middle" transform="rotate(-90 14 %d)">mean skew over the lower bound</text></svg>`+"\n", plotHeight/2, plotHeight/2)
	return b.String()
}
