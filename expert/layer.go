package expert

import "slices"

const (
	maxStepsPerLayer = 64 // limit on the search steps in one layer, for one plan
	// maxStepsPerPlan is the limit on the search steps of one plan in all layers. It bounds the
	// time that a plan takes to compute. The next plan continues the search.
	maxStepsPerPlan = 800
	// boundTolerance is the ratio of a layer's time to its lower bound at which the search in the
	// layer ends. The remaining excess is then below the noise of the loads.
	boundTolerance = 1.002
	// minSavingShare is the minimum time that each moved expert must save, as a share of the mean
	// time of a layer. With a lower share, plans would follow noise, or rounding errors in layers
	// with hardly any load.
	minSavingShare = 0.001
)

// slotChange puts an expert into a slot of a layer.
type slotChange struct {
	slot   int
	expert uint16
}

// change is a candidate change: a swap of the experts of two slots, or a new expert in one slot.
type change struct {
	first, second slotChange
	isSwap        bool
}

// cost returns the number of experts that ranks must load for the change.
func (c *change) cost() int {
	if c.isSwap {
		return 2
	}
	return 1
}

// layerSearch improves one layer step by step. Each step takes load off the slowest rank. Its
// buffers are reused for the next layer.
type layerSearch struct {
	shape        Shape
	slots        []uint16
	loads        []float64
	inverseSpeed []float64 // 1/speed of each rank
	copies       []int     // number of copies of each expert
	copyLoad     []float64 // load of one copy of each expert
	rankTimes    []float64
	holders      [][]int // slots that hold each expert
	applied      []slotChange
	stepsLeft    int // remaining search steps of this plan

	slowestTime, secondTime float64 // times of the slowest and the second slowest rank before a step
	bestChange              change
	hasChange               bool
	bestScore               float64
	maxTime                 [2]float64 // time below which a change is better than bestChange, for changes of cost 1 and 2
}

// layerPrices holds the values that decide whether a change of a layer is worth its cost.
type layerPrices struct {
	lowerBound   float64 // lower bound of the layer's time for any map
	gainPerTime  float64 // gain of saving one unit of layer time
	pricePerMove float64 // price of moving one expert
	minSaving    float64 // layer time that each moved expert must save
}

// improve searches for steps that lower a layer's time and returns the first steps, up to the one
// with the highest net gain. isUneven is true if the layer was further from its lower bound than
// the tolerance.
func (s *layerSearch) improve(slots []uint16, shape Shape, loads, speeds []float64, p layerPrices) (best improvement, isUneven bool) {
	s.reset(slots, shape, loads, speeds)
	startTime, _ := s.slowestRank(-1)
	if startTime == 0 {
		return best, false
	}
	currentTime, cost, bestNet := startTime, 0, 0.0
	bestLength := 0
	for range min(maxStepsPerLayer, s.stepsLeft) {
		if currentTime <= p.lowerBound*boundTolerance {
			break
		}
		isUneven = true
		// Even if one more step took the layer to its lower bound, the net gain would not exceed
		// the best.
		if (startTime-p.lowerBound)*p.gainPerTime-float64(cost+1)*p.pricePerMove <= bestNet {
			break
		}
		c, ok := s.findChange()
		if !ok {
			break
		}
		s.stepsLeft--
		s.apply(&c)
		cost += c.cost()
		currentTime, _ = s.slowestRank(-1)
		if net := (startTime-currentTime)*p.gainPerTime - float64(cost)*p.pricePerMove; net > bestNet && startTime-currentTime >= p.minSaving*float64(cost) {
			bestNet, bestLength = net, len(s.applied)
			best.moves, best.savedTime = cost, startTime-currentTime
		}
	}
	best.changes = s.applied[:bestLength]
	return best, isUneven
}

// reset prepares the search for a layer.
func (s *layerSearch) reset(slots []uint16, shape Shape, loads, speeds []float64) {
	s.shape, s.loads = shape, loads
	s.inverseSpeed = s.inverseSpeed[:0]
	for _, v := range speeds {
		s.inverseSpeed = append(s.inverseSpeed, 1/v)
	}
	s.slots = append(s.slots[:0], slots...)
	s.copies = slices.Grow(s.copies[:0], shape.Experts)[:shape.Experts]
	s.copyLoad = slices.Grow(s.copyLoad[:0], shape.Experts)[:shape.Experts]
	s.rankTimes = slices.Grow(s.rankTimes[:0], shape.Ranks)[:shape.Ranks]
	s.holders = slices.Grow(s.holders[:0], shape.Experts)[:shape.Experts]
	s.applied = s.applied[:0]
	clear(s.copies)
	clear(s.rankTimes)
	for e := range s.holders {
		s.holders[e] = s.holders[e][:0]
	}
	for i, e := range s.slots {
		s.copies[e]++
		s.holders[e] = append(s.holders[e], i)
	}
	for e := range s.copyLoad {
		s.copyLoad[e] = loads[e] / float64(s.copies[e])
	}
	for i, e := range s.slots {
		s.rankTimes[s.rankOfSlot(i)] += s.copyLoad[e] * s.inverseSpeed[s.rankOfSlot(i)]
	}
}

func (s *layerSearch) rankOfSlot(slot int) int { return slot / s.shape.SlotsOfRank }

func (s *layerSearch) expertsOfRank(r int) []uint16 {
	k := s.shape.SlotsOfRank
	return s.slots[r*k : (r+1)*k]
}

// slowestRank returns the highest time of a rank, and that rank. It leaves out the rank except; if
// except is -1, it leaves out none.
func (s *layerSearch) slowestRank(except int) (float64, int) {
	slowest, rank := 0.0, -1
	for r, v := range s.rankTimes {
		if r != except && v > slowest {
			slowest, rank = v, r
		}
	}
	return slowest, rank
}

// findChange returns the change with the highest score: the time that it saves on the slowest rank,
// divided by the number of experts that ranks must load for it.
func (s *layerSearch) findChange() (change, bool) {
	var slowest int
	s.slowestTime, slowest = s.slowestRank(-1)
	s.secondTime, _ = s.slowestRank(slowest)
	s.hasChange, s.maxTime = false, [2]float64{s.slowestTime, s.slowestTime}
	k := s.shape.SlotsOfRank
	for i := slowest * k; i < (slowest+1)*k; i++ {
		s.trySwaps(i)
		s.tryExtraCopies(i)
		s.tryReplacedCopies(i)
	}
	return s.bestChange, s.hasChange
}

// secondRankShare is the weight of savings that have no effect yet because the second slowest rank
// takes longer. They take effect when a later step takes load off that rank.
const secondRankShare = 0.1

// score rates a change after which the ranks that it touches take at most longest. It falls as
// longest grows.
func (s *layerSearch) score(longest float64, cost int) float64 {
	saved := s.slowestTime - max(longest, s.secondTime)
	return (saved + secondRankShare*(s.slowestTime-longest)) / float64(cost)
}

// consider records a change that is better than the best one, and the times that a still better one
// must be below. The inner loops then only compare times.
func (s *layerSearch) consider(c change, longest float64) {
	s.bestChange, s.hasChange = c, true
	s.bestScore = s.score(longest, c.cost())
	s.maxTime[0] = s.timeForScore(s.bestScore, 1)
	s.maxTime[1] = s.timeForScore(s.bestScore, 2)
}

// timeForScore is the inverse of score. It returns the rank time longest for which score, with the
// same cost, returns the given score.
func (s *layerSearch) timeForScore(score float64, cost int) float64 {
	score *= float64(cost)
	if t := s.slowestTime - score/(1+secondRankShare); t >= s.secondTime {
		return t
	}
	return s.slowestTime - (score-(s.slowestTime-s.secondTime))/secondRankShare
}

// trySwaps considers swaps of the expert in slot i of the slowest rank with an expert of lower load.
func (s *layerSearch) trySwaps(i int) {
	slowest, x := s.rankOfSlot(i), s.slots[i]
	ownExperts := s.expertsOfRank(slowest)
	k := s.shape.SlotsOfRank
	for other, t := range s.rankTimes {
		if other == slowest {
			continue
		}
		otherExperts := s.slots[other*k : (other+1)*k]
		for n, y := range otherExperts {
			diff := s.copyLoad[x] - s.copyLoad[y]
			longest := max(t+diff*s.inverseSpeed[other], s.slowestTime-diff*s.inverseSpeed[slowest])
			if diff <= 0 || longest >= s.maxTime[1] || contains(ownExperts, y) || contains(otherExperts, x) {
				continue
			}
			s.consider(change{first: slotChange{i, y}, second: slotChange{other*k + n, x}, isSwap: true}, longest)
		}
	}
}

// tryExtraCopies considers another copy of the expert in slot i of the slowest rank, in place of an
// expert that has several copies.
func (s *layerSearch) tryExtraCopies(i int) {
	slowest, x := s.rankOfSlot(i), s.slots[i]
	if s.copies[x] >= s.shape.Ranks {
		return
	}
	newLoadX := s.loads[x] / float64(s.copies[x]+1)
	relief := s.copyLoad[x] - newLoadX
	slowestAfter := s.slowestTime - relief*s.inverseSpeed[slowest]
	if slowestAfter >= s.maxTime[0] {
		return
	}
	k := s.shape.SlotsOfRank
	for other, t := range s.rankTimes {
		if other == slowest {
			continue
		}
		otherExperts := s.slots[other*k : (other+1)*k]
		for n, z := range otherExperts {
			if s.copies[z] < 2 || z == x {
				continue
			}
			longest := max(slowestAfter, t+(newLoadX-s.copyLoad[z])*s.inverseSpeed[other])
			if longest >= s.maxTime[0] || contains(otherExperts, x) {
				continue
			}
			if longest = max(longest, s.longestWithoutCopy(z, other*k+n, x, relief)); longest < s.maxTime[0] {
				s.consider(change{first: slotChange{other*k + n, x}}, longest)
			}
		}
	}
}

// longestWithoutCopy returns the highest time of the other ranks that hold expert z when its copy in
// slot j is removed. On ranks that also hold x, the load drops by relief.
func (s *layerSearch) longestWithoutCopy(z uint16, j int, x uint16, relief float64) float64 {
	extra := s.loads[z]/float64(s.copies[z]-1) - s.copyLoad[z]
	longest := 0.0
	for _, h := range s.holders[z] {
		if h == j {
			continue
		}
		r := s.rankOfSlot(h)
		t := s.rankTimes[r] + extra*s.inverseSpeed[r]
		if t > longest && relief > 0 && contains(s.expertsOfRank(r), x) {
			t -= relief * s.inverseSpeed[r]
		}
		longest = max(longest, t)
	}
	return longest
}

// tryReplacedCopies considers replacing the copy in slot i of the slowest rank by an additional copy
// of an expert with less load.
func (s *layerSearch) tryReplacedCopies(i int) {
	slowest, x := s.rankOfSlot(i), s.slots[i]
	if s.copies[x] < 2 {
		return
	}
	otherRanks := s.longestWithoutCopy(x, i, x, 0)
	if otherRanks >= s.maxTime[0] {
		return
	}
	ownExperts := s.expertsOfRank(slowest)
	for y, load := range s.loads {
		newLoadY := load / float64(s.copies[y]+1)
		longest := max(otherRanks, s.slowestTime+(newLoadY-s.copyLoad[x])*s.inverseSpeed[slowest])
		if longest < s.maxTime[0] && !contains(ownExperts, uint16(y)) {
			s.consider(change{first: slotChange{i, uint16(y)}}, longest)
		}
	}
}

func (s *layerSearch) apply(c *change) {
	s.fillSlot(c.first)
	if c.isSwap {
		s.fillSlot(c.second)
	}
}

// fillSlot puts an expert into a slot and updates the copy loads and rank times.
func (s *layerSearch) fillSlot(c slotChange) {
	old := s.slots[c.slot]
	s.applied = append(s.applied, c)
	r := s.rankOfSlot(c.slot)
	s.rankTimes[r] -= s.copyLoad[old] * s.inverseSpeed[r]
	s.holders[old] = slices.DeleteFunc(s.holders[old], func(h int) bool { return h == c.slot })
	s.copies[old]--
	s.updateCopyLoad(old)
	s.slots[c.slot] = c.expert
	s.rankTimes[r] += s.copyLoad[c.expert] * s.inverseSpeed[r]
	s.holders[c.expert] = append(s.holders[c.expert], c.slot)
	s.copies[c.expert]++
	s.updateCopyLoad(c.expert)
}

// updateCopyLoad divides the load of an expert by its number of copies. In the middle of a swap an
// expert may have no copy; its copy load is then left as it is.
func (s *layerSearch) updateCopyLoad(e uint16) {
	if s.copies[e] == 0 {
		return
	}
	newLoad := s.loads[e] / float64(s.copies[e])
	diff := newLoad - s.copyLoad[e]
	s.copyLoad[e] = newLoad
	for _, h := range s.holders[e] {
		r := s.rankOfSlot(h)
		s.rankTimes[r] += diff * s.inverseSpeed[r]
	}
}
