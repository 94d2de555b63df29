package expert

import "slices"

const (
	maxRounds = 64 // steps in one layer for one plan
	// maxSteps bounds a plan's time; what is left over is found by the next plan.
	maxSteps = 800
	// evenEnough ends the search in a layer: this close to the bound, what is left
	// is less than the noise of the loads.
	evenEnough = 1.002
	// leastSaving is the least share of a mean layer's time that one moved expert
	// must save; below it a plan would follow the noise, or the rounding of floats
	// in a layer that hardly computes.
	leastSaving = 0.001
)

// slotChange puts an expert into a slot of a layer.
type slotChange struct {
	slot   int
	expert uint16
}

// change is one candidate: a swap of two slots, or one slot filled anew.
type change struct {
	first, second slotChange
	isSwap        bool
}

func (c *change) cost() int {
	if c.isSwap {
		return 2
	}
	return 1
}

// layerSearch improves one layer step by step: each step takes load off the rank
// that is done last. It keeps its memory between layers.
type layerSearch struct {
	shape   Shape
	slots   []uint16
	loads   []float64
	inverse []float64 // of the ranks' speeds
	copies  []int
	weight  []float64 // load of one copy of each expert
	times   []float64 // of each rank
	holders [][]int   // slots of each expert
	ops     []slotChange
	budget  int // steps left for this plan

	top, second float64 // longest rank times before a step
	best        change
	found       bool
	bestScore   float64
	below       [2]float64 // time that a better change of cost 1 or 2 must stay below
}

// layerPrices say when a change of a layer pays.
type layerPrices struct {
	bound float64 // no map can make the layer shorter
	worth float64 // of one unit of layer time
	price float64 // of one expert moved
	least float64 // time that one expert moved must save
}

// run returns the prefix of improving steps whose worth exceeds its price by
// most. any reports whether the layer was uneven at all.
func (s *layerSearch) run(slots []uint16, shape Shape, loads, speeds []float64, p layerPrices) (best improvement, any bool) {
	s.load(slots, shape, loads, speeds)
	start, _ := s.longest(-1)
	if start == 0 {
		return best, false
	}
	now, cost, bestNet := start, 0, 0.0
	kept := 0
	for range min(maxRounds, s.budget) {
		if now <= p.bound*evenEnough {
			break
		}
		any = true
		// Not even a perfect layer would pay for one more step.
		if (start-p.bound)*p.worth-float64(cost+1)*p.price <= bestNet {
			break
		}
		c, ok := s.step()
		if !ok {
			break
		}
		s.budget--
		s.apply(&c)
		cost += c.cost()
		now, _ = s.longest(-1)
		if net := (start-now)*p.worth - float64(cost)*p.price; net > bestNet && start-now >= p.least*float64(cost) {
			bestNet, kept = net, len(s.ops)
			best.cost, best.saved = cost, start-now
		}
	}
	best.ops = s.ops[:kept]
	return best, any
}

func (s *layerSearch) load(slots []uint16, shape Shape, loads, speeds []float64) {
	s.shape, s.loads = shape, loads
	s.inverse = s.inverse[:0]
	for _, v := range speeds {
		s.inverse = append(s.inverse, 1/v)
	}
	s.slots = append(s.slots[:0], slots...)
	s.copies = slices.Grow(s.copies[:0], shape.Experts)[:shape.Experts]
	s.weight = slices.Grow(s.weight[:0], shape.Experts)[:shape.Experts]
	s.times = slices.Grow(s.times[:0], shape.Ranks)[:shape.Ranks]
	s.holders = slices.Grow(s.holders[:0], shape.Experts)[:shape.Experts]
	s.ops = s.ops[:0]
	clear(s.copies)
	clear(s.times)
	for e := range s.holders {
		s.holders[e] = s.holders[e][:0]
	}
	for i, e := range s.slots {
		s.copies[e]++
		s.holders[e] = append(s.holders[e], i)
	}
	for e := range s.weight {
		s.weight[e] = loads[e] / float64(s.copies[e])
	}
	for i, e := range s.slots {
		s.times[s.rank(i)] += s.weight[e] * s.inverse[s.rank(i)]
	}
}

func (s *layerSearch) rank(slot int) int { return slot / s.shape.SlotsOfRank }

func (s *layerSearch) ofRank(r int) []uint16 {
	k := s.shape.SlotsOfRank
	return s.slots[r*k : (r+1)*k]
}

// longest returns the longest rank time, leaving one rank out.
func (s *layerSearch) longest(except int) (float64, int) {
	t, rank := 0.0, -1
	for r, v := range s.times {
		if r != except && v > t {
			t, rank = v, r
		}
	}
	return t, rank
}

// step finds the change that saves most for each expert moved.
func (s *layerSearch) step() (change, bool) {
	var a int
	s.top, a = s.longest(-1)
	s.second, _ = s.longest(a)
	s.found, s.below = false, [2]float64{s.top, s.top}
	k := s.shape.SlotsOfRank
	for i := a * k; i < (a+1)*k; i++ {
		s.swaps(i)
		s.copiesElsewhere(i)
		s.copiesGivenUp(i)
	}
	return s.best, s.found
}

// nextRankShare is what a saving counts that the second-longest rank hides for
// now: that rank comes next.
const nextRankShare = 0.1

// score values a change after which the ranks that it touches take at most
// longest; it falls as longest grows.
func (s *layerSearch) score(longest float64, cost int) float64 {
	saved := s.top - max(longest, s.second)
	return (saved + nextRankShare*(s.top-longest)) / float64(cost)
}

// consider keeps the best change and the times that a better one must stay
// below; comparing times is all that the inner loops do.
func (s *layerSearch) consider(c change, longest float64) {
	s.best, s.found = c, true
	s.bestScore = s.score(longest, c.cost())
	s.below[0] = s.timeOf(s.bestScore, 1)
	s.below[1] = s.timeOf(s.bestScore, 2)
}

// timeOf is the inverse of score.
func (s *layerSearch) timeOf(score float64, cost int) float64 {
	score *= float64(cost)
	if t := s.top - score/(1+nextRankShare); t >= s.second {
		return t
	}
	return s.top - (score-(s.top-s.second))/nextRankShare
}

// swaps exchanges the expert of a slot of the longest rank with a lighter one.
func (s *layerSearch) swaps(i int) {
	a, x := s.rank(i), s.slots[i]
	mine := s.ofRank(a)
	k := s.shape.SlotsOfRank
	for b, t := range s.times {
		if b == a {
			continue
		}
		theirs := s.slots[b*k : (b+1)*k]
		for n, y := range theirs {
			d := s.weight[x] - s.weight[y]
			longest := max(t+d*s.inverse[b], s.top-d*s.inverse[a])
			if d <= 0 || longest >= s.below[1] || contains(mine, y) || contains(theirs, x) {
				continue
			}
			s.consider(change{first: slotChange{i, y}, second: slotChange{b*k + n, x}, isSwap: true}, longest)
		}
	}
}

// copiesElsewhere gives the expert of a slot of the longest rank one more copy,
// in the place of an expert that has several.
func (s *layerSearch) copiesElsewhere(i int) {
	a, x := s.rank(i), s.slots[i]
	if s.copies[x] >= s.shape.Ranks {
		return
	}
	wx := s.loads[x] / float64(s.copies[x]+1)
	relief := s.weight[x] - wx
	ta := s.top - relief*s.inverse[a]
	if ta >= s.below[0] {
		return
	}
	k := s.shape.SlotsOfRank
	for b, t := range s.times {
		if b == a {
			continue
		}
		theirs := s.slots[b*k : (b+1)*k]
		for n, z := range theirs {
			if s.copies[z] < 2 || z == x {
				continue
			}
			longest := max(ta, t+(wx-s.weight[z])*s.inverse[b])
			if longest >= s.below[0] || contains(theirs, x) {
				continue
			}
			if longest = max(longest, s.without(z, b*k+n, x, relief)); longest < s.below[0] {
				s.consider(change{first: slotChange{b*k + n, x}}, longest)
			}
		}
	}
}

// without returns the longest time of the ranks that keep expert z when its copy
// in slot j goes; ranks that also hold x get lighter by relief.
func (s *layerSearch) without(z uint16, j int, x uint16, relief float64) float64 {
	extra := s.loads[z]/float64(s.copies[z]-1) - s.weight[z]
	longest := 0.0
	for _, h := range s.holders[z] {
		if h == j {
			continue
		}
		r := s.rank(h)
		t := s.times[r] + extra*s.inverse[r]
		if t > longest && relief > 0 && contains(s.ofRank(r), x) {
			t -= relief * s.inverse[r]
		}
		longest = max(longest, t)
	}
	return longest
}

// copiesGivenUp drops a copy that the longest rank holds and puts another copy of
// a lighter expert there.
func (s *layerSearch) copiesGivenUp(i int) {
	a, x := s.rank(i), s.slots[i]
	if s.copies[x] < 2 {
		return
	}
	others := s.without(x, i, x, 0)
	if others >= s.below[0] {
		return
	}
	mine := s.ofRank(a)
	for y, load := range s.loads {
		wy := load / float64(s.copies[y]+1)
		longest := max(others, s.top+(wy-s.weight[x])*s.inverse[a])
		if longest < s.below[0] && !contains(mine, uint16(y)) {
			s.consider(change{first: slotChange{i, uint16(y)}}, longest)
		}
	}
}

func (s *layerSearch) apply(c *change) {
	s.put(c.first)
	if c.isSwap {
		s.put(c.second)
	}
}

// put fills a slot anew and brings weights and times up to date.
func (s *layerSearch) put(op slotChange) {
	old := s.slots[op.slot]
	s.ops = append(s.ops, op)
	r := s.rank(op.slot)
	s.times[r] -= s.weight[old] * s.inverse[r]
	s.holders[old] = slices.DeleteFunc(s.holders[old], func(h int) bool { return h == op.slot })
	s.copies[old]--
	s.reweigh(old)
	s.slots[op.slot] = op.expert
	s.times[r] += s.weight[op.expert] * s.inverse[r]
	s.holders[op.expert] = append(s.holders[op.expert], op.slot)
	s.copies[op.expert]++
	s.reweigh(op.expert)
}

// reweigh spreads an expert's load over its copies. In the midst of a swap an
// expert may have no copy for a moment; its weight then waits.
func (s *layerSearch) reweigh(e uint16) {
	if s.copies[e] == 0 {
		return
	}
	w := s.loads[e] / float64(s.copies[e])
	d := w - s.weight[e]
	s.weight[e] = w
	for _, h := range s.holders[e] {
		r := s.rank(h)
		s.times[r] += d * s.inverse[r]
	}
}
