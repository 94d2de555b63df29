package expert

import (
	"cmp"
	"slices"
)

// BalanceLimits bounds one change of a layout.
type BalanceLimits struct {
	Base           Layout    // experts that ranks hold and need not copy; nil: the layout itself
	ExpertsPerRank int       // maximum number of experts on one rank
	MaxNewPerRank  int       // maximum number of experts that one rank gets and does not hold in Base
	MaxNewByRank   []int     // by rank, a maximum like MaxNewPerRank; the lower one applies; nil: only MaxNewPerRank
	Slowdown       []float64 // by rank, factor by which it is slower than usual; nil: 1 for all
	PricePerCopy   float64   // minimum gain of a step for each expert that must be copied
	MaxSteps       int       // maximum number of search steps
}

// maxNew returns the maximum number of new experts on a rank.
func (l *BalanceLimits) maxNew(rank int) int {
	if l.MaxNewByRank == nil {
		return l.MaxNewPerRank
	}
	return min(l.MaxNewPerRank, l.MaxNewByRank[rank])
}

// Balance changes a layout so that its busiest rank gets less load. Each step takes load off the
// rank that is busiest at that point: it adds a copy of an expert elsewhere, moves an expert,
// exchanges two, or shares an expert with another rank that passes one on in return. A step is taken if it lowers the sum of the sixth powers of all rank times by more
// than the price of the copies it needs. The sum is dominated by the busiest rank, but ranks that
// are nearly as busy count too, since they come next. With the sixth power, a rank at twice the
// mean outweighs sixty ranks at the mean.
func Balance(l Layout, loads []float64, lim BalanceLimits) Layout {
	b := newBalancer(l, loads, lim)
	for range lim.MaxSteps {
		if !b.improve() {
			break
		}
	}
	return b.layout
}

type balancer struct {
	lim          BalanceLimits
	layout       Layout
	loads        []float64 // load of each expert, in units of the mean load of a rank
	heldBefore   [][]bool  // by rank and expert: whether the rank holds the expert in the base layout
	newExperts   []int     // by rank: number of its experts that are not in its base layout
	copies       []int     // number of copies of each expert
	copyLoad     []float64 // load of one copy of each expert
	rankLoad     []float64
	timePower    []float64 // sixth power of each rank's time
	holders      [][]int   // ranks that hold each expert
	ranksByTime  []int     // all ranks, fastest first
	loadDelta    []float64 // change of each rank's load by the candidate
	changedRanks []int     // ranks whose loadDelta is set
}

// balanceChange is a candidate change of two ranks: the receiver and the busiest rank. The receiver
// gets the expert given. If replaced is set, the receiver loses the expert replaced for it. If
// dropped is set, the busiest rank loses the expert dropped. If returned is set, the busiest rank
// gets the expert returned.
type balanceChange struct {
	receiver                    int
	given, dropped              int // experts; -1: none
	replaced, returned          int
	gain                        float64
	newOnReceiver, newOnBusiest int
}

func newBalancer(l Layout, loads []float64, lim BalanceLimits) *balancer {
	b := &balancer{
		lim:        lim,
		layout:     l.Clone(),
		loads:      slices.Clone(loads),
		heldBefore: make([][]bool, len(l)),
		newExperts: make([]int, len(l)),
		copies:     make([]int, len(loads)),
		copyLoad:   make([]float64, len(loads)),
		rankLoad:   make([]float64, len(l)),
		timePower:  make([]float64, len(l)),
		holders:    make([][]int, len(loads)),
		loadDelta:  make([]float64, len(l)),
	}
	total := 0.0
	for _, v := range loads {
		total += v
	}
	for e := range b.loads {
		if total > 0 {
			b.loads[e] *= float64(len(l)) / total
		}
	}
	base := lim.Base
	if base == nil {
		base = l
	}
	for r, list := range l {
		b.heldBefore[r] = make([]bool, len(loads))
		b.ranksByTime = append(b.ranksByTime, r)
		for _, e := range base[r] {
			b.heldBefore[r][e] = true
		}
		for _, e := range list {
			b.copies[e]++
			b.holders[e] = append(b.holders[e], r)
			b.newExperts[r] += b.copiesNeeded(r, int(e))
		}
	}
	for e := range b.loads {
		b.updateCopyLoad(e)
	}
	b.updateRankLoads()
	return b
}

// updateCopyLoad computes the load of one copy of an expert.
func (b *balancer) updateCopyLoad(e int) { b.copyLoad[e] = b.loads[e] / float64(b.copies[e]) }

// updateRankLoads computes the loads of all ranks.
func (b *balancer) updateRankLoads() {
	for r, list := range b.layout {
		b.rankLoad[r] = 0
		for _, e := range list {
			b.rankLoad[r] += b.copyLoad[e]
		}
		b.timePower[r] = sixthPower(b.rankTime(r, 0))
	}
}

// rankTime returns the time of a rank whose load changes by d.
func (b *balancer) rankTime(r int, d float64) float64 {
	return (b.rankLoad[r] + d) * slowdownOf(b.lim.Slowdown, r)
}

func (b *balancer) loadPerCopy(e int) float64 { return b.copyLoad[e] }

// maxReceivers is the number of ranks, the fastest ones, that are considered as receivers of an
// expert.
const maxReceivers = 16

// improve applies the best candidate change. It returns false if none gains enough.
func (b *balancer) improve() bool {
	busiest := 0
	for r := range b.rankLoad {
		if b.rankTime(r, 0) > b.rankTime(busiest, 0) {
			busiest = r
		}
	}
	slices.SortFunc(b.ranksByTime, func(x, y int) int {
		return cmp.Or(cmp.Compare(b.rankTime(x, 0), b.rankTime(y, 0)), x-y)
	})
	best := b.bestChange(busiest, b.tryReceiver)
	if best.gain <= 0 {
		best = b.bestChange(busiest, b.tryShare)
	}
	if best.gain <= 0 {
		return false
	}
	b.apply(busiest, best)
	return true
}

// bestChange returns the best of the candidates that try considers, for all experts of the busiest
// rank and all receivers. Its gain is 0 if there is none.
func (b *balancer) bestChange(busiest int, try func(best *balanceChange, busiest, r, x int)) balanceChange {
	best := balanceChange{gain: 0}
	for _, x := range b.layout[busiest] {
		for _, r := range b.ranksByTime[:min(maxReceivers, len(b.ranksByTime))] {
			if r != busiest && !slices.Contains(b.layout[r], x) {
				try(&best, busiest, r, int(x))
			}
		}
	}
	return best
}

// tryReceiver considers the changes that give expert x of the busiest rank to rank r.
func (b *balancer) tryReceiver(best *balanceChange, busiest, r, x int) {
	newOnReceiver := b.copiesNeeded(r, x)
	if b.newExperts[r]+newOnReceiver > b.lim.maxNew(r) {
		b.trySwapOfNew(best, busiest, r, x)
		return
	}
	if len(b.layout[r]) < b.lim.ExpertsPerRank {
		b.consider(best, busiest, balanceChange{receiver: r, given: x, dropped: -1, replaced: -1, returned: -1, newOnReceiver: newOnReceiver})
		b.consider(best, busiest, balanceChange{receiver: r, given: x, dropped: x, replaced: -1, returned: -1, newOnReceiver: newOnReceiver})
	}
	b.tryReplace(best, busiest, r, x, newOnReceiver)
}

// trySwapOfNew considers changes for rank r when r has reached its limit of new experts (those that
// it does not hold in the base layout and would copy). Expert x takes the place of another new expert
// of r, so r has no more experts to copy than before.
func (b *balancer) trySwapOfNew(best *balanceChange, busiest, r, x int) {
	for _, z := range b.layout[r] {
		if !b.heldBefore[r][z] && b.copies[z] >= 2 {
			b.consider(best, busiest, balanceChange{receiver: r, given: x, dropped: -1, replaced: int(z), returned: -1})
		}
	}
}

// tryReplace considers changes in which expert x replaces another expert of rank r, which may move
// to the busiest rank in exchange.
func (b *balancer) tryReplace(best *balanceChange, busiest, r, x, newOnReceiver int) {
	for _, z := range b.layout[r] {
		if b.copies[z] >= 2 {
			b.consider(best, busiest, balanceChange{receiver: r, given: x, dropped: -1, replaced: int(z), returned: -1, newOnReceiver: newOnReceiver})
			b.consider(best, busiest, balanceChange{receiver: r, given: x, dropped: x, replaced: int(z), returned: -1, newOnReceiver: newOnReceiver})
		}
		if b.loadPerCopy(int(z)) >= b.loadPerCopy(x) || slices.Contains(b.layout[busiest], z) {
			continue
		}
		newOnBusiest := b.copiesNeeded(busiest, int(z))
		if b.newExperts[busiest]+newOnBusiest <= b.lim.maxNew(busiest) {
			b.consider(best, busiest, balanceChange{receiver: r, given: x, dropped: x, replaced: int(z), returned: int(z), newOnReceiver: newOnReceiver, newOnBusiest: newOnBusiest})
		}
	}
}

// tryShare considers changes in which rank r gets a copy of expert x, the busiest rank keeps its own,
// and another expert of r moves to the busiest rank in return.
//
// If most load of the busiest rank is a single expert, half of it makes any other rank the busiest,
// unless that rank passes load on. No other candidate does both, and without this one the layout
// would stay as it is for as long as the demand lasts. The search considers it only when it finds no
// other change, because these changes are many and each takes up to two copies.
func (b *balancer) tryShare(best *balanceChange, busiest, r, x int) {
	newOnReceiver := b.copiesNeeded(r, x)
	if len(b.layout[busiest]) >= b.lim.ExpertsPerRank || b.newExperts[r]+newOnReceiver > b.lim.maxNew(r) {
		return
	}
	for _, z := range b.layout[r] {
		newOnBusiest := b.copiesNeeded(busiest, int(z))
		if b.newExperts[busiest]+newOnBusiest <= b.lim.maxNew(busiest) && !slices.Contains(b.layout[busiest], z) {
			b.consider(best, busiest, balanceChange{receiver: r, given: x, dropped: -1, replaced: int(z), returned: int(z), newOnReceiver: newOnReceiver, newOnBusiest: newOnBusiest})
		}
	}
}

// copiesNeeded returns 1 if the rank would have to copy the expert, 0 if its base has it.
func (b *balancer) copiesNeeded(r, e int) int {
	if b.heldBefore[r][e] {
		return 0
	}
	return 1
}

// consider replaces best by a candidate that gains more.
func (b *balancer) consider(best *balanceChange, busiest int, t balanceChange) {
	if b.makesReceiverBusiest(busiest, &t) {
		return
	}
	b.clearLoadDeltas()
	b.addCopyDeltas(t.given, t.receiver, t.dropped == t.given, busiest)
	if t.replaced >= 0 {
		if t.returned >= 0 {
			b.addLoadDelta(t.receiver, -b.loadPerCopy(t.replaced))
			b.addLoadDelta(busiest, b.loadPerCopy(t.replaced))
		} else {
			b.dropCopyDeltas(t.replaced, t.receiver)
		}
	}
	gain := -b.lim.PricePerCopy * float64(t.newOnReceiver+t.newOnBusiest)
	for _, r := range b.changedRanks {
		gain += b.timePower[r] - sixthPower(b.rankTime(r, b.loadDelta[r]))
	}
	if gain > best.gain+minGain {
		t.gain = gain
		*best = t
	}
}

// makesReceiverBusiest reports whether the receiver would become at least as slow as the busiest
// rank is. This holds for most candidates, and checking it takes a fifth of the time of rating them.
func (b *balancer) makesReceiverBusiest(busiest int, t *balanceChange) bool {
	extraLoad := b.copyLoad[t.given]
	if t.dropped != t.given {
		extraLoad = b.loads[t.given] / float64(b.copies[t.given]+1)
	}
	if t.replaced >= 0 {
		extraLoad -= b.copyLoad[t.replaced]
	}
	return b.rankTime(t.receiver, extraLoad) >= b.rankTime(busiest, 0)
}

// minGain keeps the search from following rounding errors.
const minGain = 1e-9

func sixthPower(w float64) float64 {
	cube := w * w * w
	return cube * cube
}

// addLoadDelta records a change of the load of a rank by the candidate.
func (b *balancer) addLoadDelta(r int, d float64) {
	if b.loadDelta[r] == 0 {
		b.changedRanks = append(b.changedRanks, r)
	}
	b.loadDelta[r] += d
}

func (b *balancer) clearLoadDeltas() {
	for _, r := range b.changedRanks {
		b.loadDelta[r] = 0
	}
	b.changedRanks = b.changedRanks[:0]
}

// addCopyDeltas records the load changes if rank to gets a copy of expert e. If moved is set, rank
// from loses its copy of e.
func (b *balancer) addCopyDeltas(e, to int, moved bool, from int) {
	if moved {
		w := b.loadPerCopy(e)
		b.addLoadDelta(from, -w)
		b.addLoadDelta(to, w)
		return
	}
	w := b.loads[e] / float64(b.copies[e]+1)
	relief := b.loadPerCopy(e) - w
	for _, r := range b.holders[e] {
		b.addLoadDelta(r, -relief)
	}
	b.addLoadDelta(to, w)
}

// dropCopyDeltas records the load changes if rank r loses its copy of expert e.
func (b *balancer) dropCopyDeltas(e, r int) {
	extra := b.loads[e]/float64(b.copies[e]-1) - b.loadPerCopy(e)
	for _, h := range b.holders[e] {
		if h != r {
			b.addLoadDelta(h, extra)
		}
	}
	b.addLoadDelta(r, -b.loadPerCopy(e))
}

func (b *balancer) apply(busiest int, t balanceChange) {
	if t.replaced >= 0 {
		b.remove(t.receiver, t.replaced)
	}
	if t.dropped >= 0 {
		b.remove(busiest, t.dropped)
	}
	b.insert(t.receiver, t.given)
	if t.returned >= 0 {
		b.insert(busiest, t.returned)
	}
	b.updateRankLoads()
}

func (b *balancer) remove(r, e int) {
	b.layout[r] = slices.DeleteFunc(b.layout[r], func(x uint16) bool { return int(x) == e })
	b.holders[e] = slices.DeleteFunc(b.holders[e], func(x int) bool { return x == r })
	b.copies[e]--
	b.updateCopyLoad(e)
	b.newExperts[r] -= b.copiesNeeded(r, e)
}

func (b *balancer) insert(r, e int) {
	b.layout[r] = append(b.layout[r], uint16(e))
	b.holders[e] = append(b.holders[e], r)
	b.copies[e]++
	b.updateCopyLoad(e)
	b.newExperts[r] += b.copiesNeeded(r, e)
}
