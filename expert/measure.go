package expert

import (
	"cmp"
	"slices"
)

// StepTimes are the predicted step times of a map under given loads, summed over the layers. Their
// unit is the time that a rank of speed 1 takes for one token.
type StepTimes struct {
	Longest    float64 // step time: sum over the layers of the slowest rank's time
	Ideal      float64 // step time if all ranks of each layer took equally long
	LowerBound float64 // lower bound of the step time for any map of the shape

	layerExcess []float64 // by layer: time of the slowest rank minus the layer's lower bound
	layerBounds []float64 // by layer: lower bound of the layer's time
}

// Skew returns the ratio of the step time to that of a perfectly balanced map.
func (s StepTimes) Skew() float64 { return ratio(s.Longest, s.Ideal) }

// SkewLowerBound returns a lower bound of the skew for any map of the shape.
func (s StepTimes) SkewLowerBound() float64 { return ratio(s.LowerBound, s.Ideal) }

// layersByExcess returns the layers, those with the highest excess first. It reuses the memory of
// order.
func (s StepTimes) layersByExcess(order []int) []int {
	order = order[:0]
	for l := range s.layerExcess {
		order = append(order, l)
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(s.layerExcess[b], s.layerExcess[a]) })
	return order
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 1
	}
	return a / b
}

// PredictStepTimes predicts the step times of a map. The copies of an expert share its load evenly.
// loads holds the tokens of each expert by layer, speeds the relative speed of each rank.
func PredictStepTimes(m *Map, loads, speeds []float64) StepTimes {
	s := m.Shape
	times := StepTimes{layerExcess: make([]float64, s.Layers), layerBounds: make([]float64, s.Layers)}
	copies := make([]int, s.Experts)
	total := sum(speeds)
	fastest := slices.Max(speeds)
	var bounder copyBounder
	for l := range s.Layers {
		layer := loads[l*s.Experts : (l+1)*s.Experts]
		slots := m.Layer(l)
		clear(copies)
		for _, e := range slots {
			copies[e]++
		}
		slowest := 0.0
		for r := range s.Ranks {
			t := 0.0
			for _, e := range slots[r*s.SlotsOfRank : (r+1)*s.SlotsOfRank] {
				t += layer[e] / float64(copies[e])
			}
			slowest = max(slowest, t/speeds[r])
		}
		ideal := sum(layer) / total
		times.Longest += slowest
		times.Ideal += ideal
		bound := max(ideal, bounder.heaviestCopy(layer, s.Slots(), s.Ranks)/fastest)
		times.LowerBound += bound
		times.layerExcess[l] = slowest - bound
		times.layerBounds[l] = bound
	}
	return times
}

func sum(v []float64) float64 {
	t := 0.0
	for _, x := range v {
		t += x
	}
	return t
}

// copyBounder holds the buffer of heaviestCopy.
type copyBounder struct{ copies []int }

// heaviestCopy returns the lowest load that the heaviest copy of a layer can have in any map. It
// has this load if each spare slot goes to the expert whose copies have the most load.
func (b *copyBounder) heaviestCopy(loads []float64, slots, ranks int) float64 {
	b.copies = assignCopies(b.copies, loads, slots, ranks)
	heaviest := 0.0
	for e, load := range loads {
		heaviest = max(heaviest, load/float64(b.copies[e]))
	}
	return heaviest
}

// assignCopies returns the number of copies of each expert. Each expert gets one copy; each spare slot
// goes to the expert whose copies have the most load. No expert gets more copies than there are
// ranks.
func assignCopies(copies []int, loads []float64, slots, ranks int) []int {
	copies = slices.Grow(copies[:0], len(loads))[:len(loads)]
	for e := range copies {
		copies[e] = 1
	}
	for range slots - len(loads) {
		best, heaviest := -1, -1.0
		for e, load := range loads {
			if w := load / float64(copies[e]); w > heaviest && copies[e] < ranks {
				best, heaviest = e, w
			}
		}
		if best < 0 {
			break
		}
		copies[best]++
	}
	return copies
}

// Recompute returns a map that is computed without regard to the map in use. Spare slots go to the
// experts whose copies have the most load. Copies are then placed in descending order of load, each
// on the rank that would finish first. Plans are compared with this map, and a group can start
// with it.
func Recompute(s Shape, loads, speeds []float64) *Map {
	m := InitialMap(s)
	p := packer{shape: s, speeds: speeds}
	for l := range s.Layers {
		p.pack(m.Layer(l), loads[l*s.Experts:(l+1)*s.Experts])
	}
	return m
}

// packer places the copies of one layer. It reuses its buffers.
type packer struct {
	shape  Shape
	speeds []float64
	copies []int
	items  []uint16
	times  []float64
	used   []int
}

// pack fills the slots of one layer.
func (p *packer) pack(slots []uint16, loads []float64) {
	p.copies = assignCopies(p.copies, loads, p.shape.Slots(), p.shape.Ranks)
	p.items = p.items[:0]
	for e, n := range p.copies {
		for range n {
			p.items = append(p.items, uint16(e))
		}
	}
	copyLoad := func(e uint16) float64 { return loads[e] / float64(p.copies[e]) }
	slices.SortStableFunc(p.items, func(a, b uint16) int {
		switch wa, wb := copyLoad(a), copyLoad(b); {
		case wa > wb:
			return -1
		case wa < wb:
			return 1
		}
		return 0
	})
	p.times = make([]float64, p.shape.Ranks)
	p.used = make([]int, p.shape.Ranks)
	k := p.shape.SlotsOfRank
	for _, e := range p.items {
		r := p.earliestRank(slots, e, copyLoad(e))
		slots[r*k+p.used[r]] = e
		p.used[r]++
		p.times[r] += copyLoad(e) / p.speeds[r]
	}
}

// earliestRank returns the rank with a free slot that would finish first with a copy of load w. A
// rank that already has the expert is used only if no other rank has a free slot.
func (p *packer) earliestRank(slots []uint16, e uint16, w float64) int {
	k := p.shape.SlotsOfRank
	best, bestTime, bestHasExpert := -1, 0.0, false
	for r, t := range p.times {
		if p.used[r] == k {
			continue
		}
		t += w / p.speeds[r]
		hasExpert := contains(slots[r*k:r*k+p.used[r]], e)
		if best < 0 || (bestHasExpert && !hasExpert) || (bestHasExpert == hasExpert && t < bestTime) {
			best, bestTime, bestHasExpert = r, t, hasExpert
		}
	}
	return best
}

// median sorts v and returns its middle value.
func median(v []float64) float64 {
	slices.Sort(v)
	return v[len(v)/2]
}
