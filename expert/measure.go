package expert

import (
	"cmp"
	"slices"
)

// StepTimes are predicted step times of a map under loads, in tokens at speed 1,
// summed over the layers.
type StepTimes struct {
	Longest    float64 // each layer's longest rank
	Ideal      float64 // all ranks busy to the end
	LowerBound float64 // no map of the shape can be below

	excess []float64 // of each layer's longest rank over its bound
	bounds []float64 // of each layer
}

// Skew returns the step time over that of a perfectly even map; 1 is perfect.
func (s StepTimes) Skew() float64 { return ratio(s.Longest, s.Ideal) }

// SkewLowerBound returns the skew that no map can be below.
func (s StepTimes) SkewLowerBound() float64 { return ratio(s.LowerBound, s.Ideal) }

func (s StepTimes) worstFirst(order []int) []int {
	order = order[:0]
	for l := range s.excess {
		order = append(order, l)
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(s.excess[b], s.excess[a]) })
	return order
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 1
	}
	return a / b
}

// PredictStepTimes predicts step times. The copies of an expert share its load evenly.
func PredictStepTimes(m *Map, loads, speeds []float64) StepTimes {
	s := m.Shape
	st := StepTimes{excess: make([]float64, s.Layers), bounds: make([]float64, s.Layers)}
	copies := make([]int, s.Experts)
	total := sum(speeds)
	fastest := slices.Max(speeds)
	var b bounder
	for l := range s.Layers {
		layer := loads[l*s.Experts : (l+1)*s.Experts]
		slots := m.Layer(l)
		clear(copies)
		for _, e := range slots {
			copies[e]++
		}
		longest := 0.0
		for r := range s.Ranks {
			t := 0.0
			for _, e := range slots[r*s.SlotsOfRank : (r+1)*s.SlotsOfRank] {
				t += layer[e] / float64(copies[e])
			}
			longest = max(longest, t/speeds[r])
		}
		ideal := sum(layer) / total
		st.Longest += longest
		st.Ideal += ideal
		bound := max(ideal, b.heaviestCopy(layer, s.Slots(), s.Ranks)/fastest)
		st.LowerBound += bound
		st.excess[l] = longest - bound
		st.bounds[l] = bound
	}
	return st
}

func sum(v []float64) float64 {
	t := 0.0
	for _, x := range v {
		t += x
	}
	return t
}

// bounder keeps the memory of heaviestCopy.
type bounder struct{ copies []int }

// heaviestCopy returns the least possible load of the heaviest copy: spare slots
// go, one by one, to the expert whose copies are heaviest.
func (b *bounder) heaviestCopy(loads []float64, slots, ranks int) float64 {
	b.copies = spread(b.copies, loads, slots, ranks)
	heaviest := 0.0
	for e, load := range loads {
		heaviest = max(heaviest, load/float64(b.copies[e]))
	}
	return heaviest
}

// spread returns the copies of each expert: one each, and spare slots to the
// heaviest copies; no expert has two copies on a rank.
func spread(copies []int, loads []float64, slots, ranks int) []int {
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

// Recompute packs every layer anew without regard to the map in use: spare slots
// to the heaviest copies, then the heaviest copy first onto the rank that is done
// soonest. It is what plans are measured against, and the first map of a group.
func Recompute(s Shape, loads, speeds []float64) *Map {
	m := InitialMap(s)
	g := packer{shape: s, speeds: speeds}
	for l := range s.Layers {
		g.pack(m.Layer(l), loads[l*s.Experts:(l+1)*s.Experts])
	}
	return m
}

type packer struct {
	shape  Shape
	speeds []float64
	copies []int
	items  []uint16
	times  []float64
	used   []int
}

func (g *packer) pack(slots []uint16, loads []float64) {
	g.copies = spread(g.copies, loads, g.shape.Slots(), g.shape.Ranks)
	g.items = g.items[:0]
	for e, n := range g.copies {
		for range n {
			g.items = append(g.items, uint16(e))
		}
	}
	weight := func(e uint16) float64 { return loads[e] / float64(g.copies[e]) }
	slices.SortStableFunc(g.items, func(a, b uint16) int {
		switch wa, wb := weight(a), weight(b); {
		case wa > wb:
			return -1
		case wa < wb:
			return 1
		}
		return 0
	})
	g.times = make([]float64, g.shape.Ranks)
	g.used = make([]int, g.shape.Ranks)
	k := g.shape.SlotsOfRank
	for _, e := range g.items {
		r := g.soonest(slots, e, weight(e))
		slots[r*k+g.used[r]] = e
		g.used[r]++
		g.times[r] += weight(e) / g.speeds[r]
	}
}

// soonest returns the rank with room that would be done first; one that has the
// expert already is taken only if no other has room.
func (g *packer) soonest(slots []uint16, e uint16, w float64) int {
	k := g.shape.SlotsOfRank
	best, bestTime, bestHas := -1, 0.0, false
	for r, t := range g.times {
		if g.used[r] == k {
			continue
		}
		t += w / g.speeds[r]
		has := contains(slots[r*k:r*k+g.used[r]], e)
		if best < 0 || (bestHas && !has) || (bestHas == has && t < bestTime) {
			best, bestTime, bestHas = r, t, has
		}
	}
	return best
}

func median(v []float64) float64 {
	slices.Sort(v)
	return v[len(v)/2]
}
