package lockstep

import (
	"time"

	"github.com/heatherrail/heatherrail/expert"
	"github.com/heatherrail/heatherrail/serving"
)

// demand is how much each expert is wanted lately.
type demand struct {
	loads []float64
	total float64 // choices that loads rest on, aged alike
	last  time.Time
}

// Figures of the demand.
const (
	// demandHalfLife: demand keeps for some seconds and then moves; half a second
	// of choices is some hundred thousand, which tell it well.
	demandHalfLife = 500 * time.Millisecond
	// enoughChoices for each expert tell demand from chance within a few percent.
	enoughChoices = 200
)

func newDemand(experts int) *demand { return &demand{loads: make([]float64, experts)} }

// observe takes the choices since the last time.
func (d *demand) observe(now time.Time, counts []float64) {
	sum := 0.0
	for _, n := range counts {
		sum += n
	}
	if sum == 0 {
		d.last = now
		return
	}
	keep := 0.0
	if !d.last.IsZero() {
		keep = halved(now.Sub(d.last), demandHalfLife)
	}
	d.last = now
	d.total = d.total*keep + sum
	for e := range d.loads {
		d.loads[e] = d.loads[e]*keep + counts[e]
	}
}

// halved returns what is left of 1 after a time, linearly within a half-life.
func halved(t, half time.Duration) float64 {
	left := 1.0
	for t >= half && left > 0.01 {
		left /= 2
		t -= half
	}
	if t < half {
		left *= 1 - 0.5*float64(t)/float64(half)
	}
	return left
}

func (d *demand) enough() bool { return d.total > enoughChoices*float64(len(d.loads)) }

// plan is a change of the maps of all sets.
type plan struct {
	layouts       []expert.Layout
	before, after float64 // longest rank over the mean, summed over the sets
	copies        int     // experts that ranks must copy
	most          int     // by one rank
}

// Figures of a plan.
const (
	balanceSteps = 60
	// copyPrice is what one copied expert must gain in the sum of the powers of the
	// ranks' loads.
	copyPrice = 0.02
	// leastGain is the share of the experts' time that a switch must save; the
	// copies slow passes by 15 in 100 while they last.
	leastGain = 0.06
)

// planMaps balances all sets.
func planMaps(layouts []expert.Layout, loads []float64, m *serving.EngineModel) plan {
	var p plan
	var before, after, mean float64
	fresh := make([]int, len(layouts[0]))
	for s, layout := range layouts {
		own := loads[s*m.Experts : (s+1)*m.Experts]
		next := expert.Balance(layout, own, expert.BalanceLimits{Places: m.Places, Fresh: m.Spare, Price: copyPrice, Steps: balanceSteps})
		longest, even := layout.Longest(own)
		better, _ := next.Longest(own)
		if better >= longest {
			next, better = layout, longest
		}
		p.layouts = append(p.layouts, next)
		before += longest
		after += better
		mean += even
		countFresh(fresh, layout, next)
	}
	if mean > 0 {
		p.before, p.after = before/mean, after/mean
	}
	for _, n := range fresh {
		p.copies += n
		p.most = max(p.most, n)
	}
	return p
}

func countFresh(fresh []int, before, after expert.Layout) {
	for r, list := range after {
		had := make(map[uint16]bool, len(before[r]))
		for _, e := range before[r] {
			had[e] = true
		}
		for _, e := range list {
			if !had[e] {
				fresh[r]++
			}
		}
	}
}

// worth tells whether the change pays.
func (p *plan) worth() bool { return p.copies > 0 && p.before-p.after > leastGain*p.before }
