package losses

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

// Size and margins of the plot, in pixels.
const (
	plotWidth   = 900
	plotHeight  = 360
	plotMargin  = 50
	legendWidth = 190
	legendStep  = 16
)

// plotColours holds the colour of each cause, indexed by Cause.
var plotColours = [causeCount]string{"#bbb", "#777", "#9c6", "#c33", "#b8860b", "#639", "#333", "#a52", "#e80", "#fb3", "#1f5fa8", "#6bc", "#39a"}

func sortedKeys(counts map[string]int) []string { return slices.Sorted(maps.Keys(counts)) }

// WriteSVG writes a bar chart of the losses per second as SVG, stacked by cause.
func (r *Report) WriteSVG(w io.Writer) error {
	maxLosses, seconds := 1, 1
	for _, s := range r.Seconds {
		sum := 0
		for _, n := range s.Causes {
			sum += n
		}
		maxLosses, seconds = max(maxLosses, sum), max(seconds, s.Second+1)
	}
	barWidth := float64(plotWidth-plotMargin-legendWidth) / float64(seconds)
	lossHeight := float64(plotHeight-2*plotMargin) / float64(maxLosses)
	b := &strings.Builder{}
	fmt.Fprintf(b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="12">`+"\n", plotWidth, plotHeight)
	fmt.Fprintf(b, `<rect width="100%%" height="100%%" fill="white"/><text x="%d" y="24" font-size="14">requests late, refused or failed, a second</text>`+"\n", plotMargin)
	fmt.Fprintf(b, `<text x="%d" y="%d" text-anchor="end">%d</text><text x="%d" y="%d">%d s</text>`+"\n",
		plotMargin-6, plotMargin+4, maxLosses, plotWidth-legendWidth-20, plotHeight-plotMargin+18, seconds)
	for _, s := range r.Seconds {
		top := float64(plotHeight - plotMargin)
		for c := range NumCauses {
			n := s.Causes[Cause(c).String()]
			if n == 0 {
				continue
			}
			top -= float64(n) * lossHeight
			fmt.Fprintf(b, `<rect x="%.1f" y="%.1f" width="%.1f" height="%.1f" fill="%s"/>`+"\n",
				plotMargin+float64(s.Second)*barWidth, top, barWidth, float64(n)*lossHeight, plotColours[c])
		}
	}
	y := plotMargin
	for _, row := range r.Causes {
		c := causeOf(row.Cause)
		fmt.Fprintf(b, `<rect x="%d" y="%d" width="10" height="10" fill="%s"/><text x="%d" y="%d">%s: %d</text>`+"\n",
			plotWidth-legendWidth, y-10, plotColours[c], plotWidth-legendWidth+16, y, row.Cause, row.Late+row.Refused+row.Failed)
		y += legendStep
	}
	b.WriteString("</svg>\n")
	_, err := io.WriteString(w, b.String())
	return err
}

// causeOf returns the cause that has the given name in reports, or Backlog if no cause
// has that name.
func causeOf(name string) Cause {
	for c := range NumCauses {
		if Cause(c).String() == name {
			return Cause(c)
		}
	}
	return Backlog
}
