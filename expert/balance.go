package expert

import (
	"cmp"
	"slices"
)

// Layout says which experts each rank holds in one set of layers. Ranks may hold
// different numbers of them.
type Layout [][]uint16

// Clone returns a copy that shares no memory.
func (l Layout) Clone() Layout {
	c := make(Layout, len(l))
	for r := range l {
		c[r] = slices.Clone(l[r])
	}
	return c
}

// InitialLayout returns the layout that engines start with: the experts in turn.
func InitialLayout(ranks, experts int) Layout {
	l := make(Layout, ranks)
	for e := range experts {
		l[e%ranks] = append(l[e%ranks], uint16(e))
	}
	return l
}

// MaxAndMeanTime returns the time of the rank that takes longest, and of a rank if all
// were alike. An expert's copies share its load evenly. pace is how many times as
// long as usual each rank takes; nil: all are alike.
func (l Layout) MaxAndMeanTime(loads, pace []float64) (longest, mean float64) {
	copies := make([]int, len(loads))
	for _, list := range l {
		for _, e := range list {
			copies[e]++
		}
	}
	total := 0.0
	for r, list := range l {
		sum := 0.0
		for _, e := range list {
			sum += loads[e] / float64(copies[e])
		}
		longest = max(longest, sum*paceOf(pace, r))
		total += sum
	}
	return longest, total / float64(len(l))
}

func paceOf(pace []float64, rank int) float64 {
	if pace == nil {
		return 1
	}
	return pace[rank]
}

// BalanceLimits bound one change of a layout.
type BalanceLimits struct {
	Base           Layout    // what ranks hold and need not copy; nil: the layout itself
	ExpertsPerRank int       // experts on one rank
	MaxNewPerRank  int       // experts that a rank gets and did not hold
	MaxNewByRank   []int     // the same for each rank by itself, where that is less; nil: no bound
	Slowdown       []float64 // how many times as long as usual each rank takes; nil: all are alike
	PricePerCopy   float64   // that a step must gain for each expert that is copied
	MaxSteps       int       // of the search
}

// fresh returns how many new experts a rank may get.
func (l *BalanceLimits) fresh(rank int) int {
	if l.MaxNewByRank == nil {
		return l.MaxNewPerRank
	}
	return min(l.MaxNewPerRank, l.MaxNewByRank[rank])
}

// Balance changes a layout so that its busiest rank has less to do. It goes step
// by step: each step takes load off the rank that is busiest then, by giving an
// expert another copy, moving one, or exchanging two. A step counts if it lowers
// the sum of a high power of all ranks' loads by more than the price of what must
// be copied: the busiest rank decides, but ranks that are nearly as busy count
// too, since they come next. The power is high enough for a rank at twice the
// mean to outweigh sixty at the mean.
func Balance(l Layout, loads []float64, lim BalanceLimits) Layout {
	b := newBalance(l, loads, lim)
	for range lim.MaxSteps {
		if !b.step() {
			break
		}
	}
	return b.lists
}

type balance struct {
	lim    BalanceLimits
	lists  Layout
	loads  []float64 // in means of a rank
	before [][]bool  // by rank and expert
	fresh  []int
	copies []int
	part   []float64 // of each expert's load, at one of the ranks that hold it
	work   []float64 // of each rank
	power  []float64 // of each rank's time, see power
	at     [][]int   // ranks that hold an expert
	order  []int     // ranks, those with least work first
	delta  []float64 // change of the work of each rank in a trial
	dirty  []int     // ranks whose delta is set
}

// trial is one candidate change: add goes to rank to, in the place of out (if
// any); the busiest rank a loses drop (if any) and gets back (if any).
type trial struct {
	to              int
	add, drop       int // experts, -1: none
	out, back       int
	gain            float64
	freshTo, freshA int
}

func newBalance(l Layout, loads []float64, lim BalanceLimits) *balance {
	b := &balance{
		lim:    lim,
		lists:  l.Clone(),
		loads:  slices.Clone(loads),
		before: make([][]bool, len(l)),
		fresh:  make([]int, len(l)),
		copies: make([]int, len(loads)),
		part:   make([]float64, len(loads)),
		work:   make([]float64, len(l)),
		power:  make([]float64, len(l)),
		at:     make([][]int, len(loads)),
		delta:  make([]float64, len(l)),
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
		b.before[r] = make([]bool, len(loads))
		b.order = append(b.order, r)
		for _, e := range base[r] {
			b.before[r][e] = true
		}
		for _, e := range list {
			b.copies[e]++
			b.at[e] = append(b.at[e], r)
			b.fresh[r] += b.freshness(r, int(e))
		}
	}
	for e := range b.loads {
		b.share(e)
	}
	b.sumUp()
	return b
}

// share books an expert's load at each rank that holds it.
func (b *balance) share(e int) { b.part[e] = b.loads[e] / float64(b.copies[e]) }

// sumUp books the work of all ranks.
func (b *balance) sumUp() {
	for r, list := range b.lists {
		b.work[r] = 0
		for _, e := range list {
			b.work[r] += b.part[e]
		}
		b.power[r] = power(b.time(r, 0))
	}
}

// time returns how long a rank takes if its work changes by d.
func (b *balance) time(r int, d float64) float64 { return (b.work[r] + d) * paceOf(b.lim.Slowdown, r) }

func (b *balance) weight(e int) float64 { return b.part[e] }

// receivers bounds the ranks that are looked at for what the busiest one gives.
const receivers = 16

func (b *balance) step() bool {
	a := 0
	for r := range b.work {
		if b.time(r, 0) > b.time(a, 0) {
			a = r
		}
	}
	slices.SortFunc(b.order, func(x, y int) int {
		return cmp.Or(cmp.Compare(b.time(x, 0), b.time(y, 0)), x-y)
	})
	best := trial{gain: 0}
	for _, x := range b.lists[a] {
		for _, r := range b.order[:min(receivers, len(b.order))] {
			if r != a && !slices.Contains(b.lists[r], x) {
				b.tryRank(&best, a, r, int(x))
			}
		}
	}
	if best.gain <= 0 {
		return false
	}
	b.apply(a, best)
	return true
}

// tryRank considers what can be done with expert x of rank a and rank r.
func (b *balance) tryRank(best *trial, a, r, x int) {
	freshTo := b.freshness(r, x)
	if b.fresh[r]+freshTo > b.lim.fresh(r) {
		b.tryReturn(best, a, r, x)
		return
	}
	if len(b.lists[r]) < b.lim.ExpertsPerRank {
		b.consider(best, a, trial{to: r, add: x, drop: -1, out: -1, back: -1, freshTo: freshTo})
		b.consider(best, a, trial{to: r, add: x, drop: x, out: -1, back: -1, freshTo: freshTo})
	}
	b.tryReplace(best, a, r, x, freshTo)
}

// tryReturn is for a rank that can take no more new experts: giving back one that
// came in this change frees the room for another.
func (b *balance) tryReturn(best *trial, a, r, x int) {
	for _, z := range b.lists[r] {
		if !b.before[r][z] && b.copies[z] >= 2 {
			b.consider(best, a, trial{to: r, add: x, drop: -1, out: int(z), back: -1})
		}
	}
}

func (b *balance) tryReplace(best *trial, a, r, x, freshTo int) {
	for _, z := range b.lists[r] {
		if b.copies[z] >= 2 {
			b.consider(best, a, trial{to: r, add: x, drop: -1, out: int(z), back: -1, freshTo: freshTo})
			b.consider(best, a, trial{to: r, add: x, drop: x, out: int(z), back: -1, freshTo: freshTo})
		}
		if b.weight(int(z)) >= b.weight(x) || slices.Contains(b.lists[a], z) {
			continue
		}
		freshA := b.freshness(a, int(z))
		if b.fresh[a]+freshA <= b.lim.fresh(a) {
			b.consider(best, a, trial{to: r, add: x, drop: x, out: int(z), back: int(z), freshTo: freshTo, freshA: freshA})
		}
	}
}

// freshness is 1 if the rank would have to copy the expert.
func (b *balance) freshness(r, e int) int {
	if b.before[r][e] {
		return 0
	}
	return 1
}

// consider keeps a trial that gains more than the best one.
func (b *balance) consider(best *trial, a int, t trial) {
	if b.inVain(a, &t) {
		return
	}
	b.clean()
	b.recount(t.add, t.to, t.drop == t.add, a)
	if t.out >= 0 {
		if t.back >= 0 {
			b.change(t.to, -b.weight(t.out))
			b.change(a, b.weight(t.out))
		} else {
			b.recountWithout(t.out, t.to)
		}
	}
	gain := -b.lim.PricePerCopy * float64(t.freshTo+t.freshA)
	for _, r := range b.dirty {
		gain += b.power[r] - power(b.time(r, b.delta[r]))
	}
	if gain > best.gain+minGain {
		t.gain = gain
		*best = t
	}
}

// inVain tells whether the rank that gets an expert would be as busy as the busiest
// one is. Most trials are such, and telling it takes a fifth of trying them.
func (b *balance) inVain(a int, t *trial) bool {
	gets := b.part[t.add]
	if t.drop != t.add {
		gets = b.loads[t.add] / float64(b.copies[t.add]+1)
	}
	if t.out >= 0 {
		gets -= b.part[t.out]
	}
	return b.time(t.to, gets) >= b.time(a, 0)
}

// minGain keeps the search from following the rounding of floats.
const minGain = 1e-9

// power raises to the sixth.
func power(w float64) float64 {
	cube := w * w * w
	return cube * cube
}

// change books in delta that a rank's work changes.
func (b *balance) change(r int, d float64) {
	if b.delta[r] == 0 {
		b.dirty = append(b.dirty, r)
	}
	b.delta[r] += d
}

func (b *balance) clean() {
	for _, r := range b.dirty {
		b.delta[r] = 0
	}
	b.dirty = b.dirty[:0]
}

// recount books in delta that rank to gets a copy of expert e; if moved, rank
// from gives up its own.
func (b *balance) recount(e, to int, moved bool, from int) {
	if moved {
		w := b.weight(e)
		b.change(from, -w)
		b.change(to, w)
		return
	}
	w := b.loads[e] / float64(b.copies[e]+1)
	relief := b.weight(e) - w
	for _, r := range b.at[e] {
		b.change(r, -relief)
	}
	b.change(to, w)
}

// recountWithout books in delta that rank r gives up its copy of expert e.
func (b *balance) recountWithout(e, r int) {
	extra := b.loads[e]/float64(b.copies[e]-1) - b.weight(e)
	for _, h := range b.at[e] {
		if h != r {
			b.change(h, extra)
		}
	}
	b.change(r, -b.weight(e))
}

func (b *balance) apply(a int, t trial) {
	if t.out >= 0 {
		b.remove(t.to, t.out)
	}
	if t.drop >= 0 {
		b.remove(a, t.drop)
	}
	b.insert(t.to, t.add)
	if t.back >= 0 {
		b.insert(a, t.back)
	}
	b.sumUp()
}

func (b *balance) remove(r, e int) {
	b.lists[r] = slices.DeleteFunc(b.lists[r], func(x uint16) bool { return int(x) == e })
	b.at[e] = slices.DeleteFunc(b.at[e], func(x int) bool { return x == r })
	b.copies[e]--
	b.share(e)
	b.fresh[r] -= b.freshness(r, e)
}

func (b *balance) insert(r, e int) {
	b.lists[r] = append(b.lists[r], uint16(e))
	b.at[e] = append(b.at[e], r)
	b.copies[e]++
	b.share(e)
	b.fresh[r] += b.freshness(r, e)
}
