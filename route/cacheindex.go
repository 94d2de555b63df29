package route

import (
	"math/bits"
	"unsafe"
)

// CacheIndex is what an entry believes about prompts that engines hold: for each
// block a bit mask of targets. Events come late and with gaps, so it is a belief:
// every target has a trust by which its matches are discounted. Memory is fixed:
// a full set forgets in turn, which costs a match and nothing else.
type CacheIndex struct {
	sets  []cacheSet
	trust [IndexTargets]float64
	next  [IndexTargets]uint64 // sequence number of the next events
}

// IndexTargets is how many targets one index can tell apart.
const IndexTargets = 64

// cacheWays is how many blocks share a set.
const cacheWays = 8

// cacheSet holds the blocks with one beginning of their hash.
type cacheSet struct {
	keys  [cacheWays]uint64
	masks [cacheWays]uint64
	hand  uint8
}

// Trust falls by half with each gap and grows back with each event batch that
// follows without one.
const (
	trustGap    = 0.5
	trustRepair = 0.05
	trustMin    = 0.05
)

// NewCacheIndex returns an index for about the given number of blocks.
func NewCacheIndex(blocks int) *CacheIndex {
	n := 1 << bits.Len(uint(max(1, blocks/cacheWays)-1))
	x := &CacheIndex{sets: make([]cacheSet, n)}
	for i := range x.trust {
		x.trust[i] = 1
	}
	return x
}

// Bytes returns the memory that the index takes, and for how many blocks.
func (x *CacheIndex) Bytes() (bytes, blocks int) {
	return int(unsafe.Sizeof(*x)) + len(x.sets)*int(unsafe.Sizeof(cacheSet{})), len(x.sets) * cacheWays
}

// Add notes that a target holds a block.
func (x *CacheIndex) Add(target int, block uint64) {
	b := x.cacheSet(block)
	for i, k := range b.keys {
		if k == block {
			b.masks[i] |= 1 << target
			return
		}
	}
	for i, m := range b.masks {
		if m == 0 {
			b.keys[i], b.masks[i] = block, 1<<target
			return
		}
	}
	b.keys[b.hand], b.masks[b.hand] = block, 1<<target
	b.hand = (b.hand + 1) % cacheWays
}

// Remove notes that a target dropped a block.
func (x *CacheIndex) Remove(target int, block uint64) {
	b := x.cacheSet(block)
	for i, k := range b.keys {
		if k == block {
			b.masks[i] &^= 1 << target
		}
	}
}

// RemoveTarget forgets a target: its engine is new.
func (x *CacheIndex) RemoveTarget(target int) {
	for i := range x.sets {
		for w := range x.sets[i].masks {
			x.sets[i].masks[w] &^= 1 << target
		}
	}
	x.trust[target], x.next[target] = 1, 0
}

// AcceptBatch takes the sequence number of a batch of events and reports whether the
// batch is new. A gap lowers the trust in the target; a batch that came before
// is not new.
func (x *CacheIndex) AcceptBatch(target int, seq uint64) bool {
	want := x.next[target]
	if want != 0 && seq < want {
		return false
	}
	if want != 0 && seq > want {
		x.trust[target] = max(trustMin, x.trust[target]*trustGap)
	} else {
		x.trust[target] += trustRepair * (1 - x.trust[target])
	}
	x.next[target] = seq + 1
	return true
}

// Confidence returns the trust in a target's events, from 0 to 1.
func (x *CacheIndex) Confidence(target int) float64 { return x.trust[target] }

// CachedTokens returns how many leading tokens a target is believed to hold,
// discounted by trust.
func (x *CacheIndex) CachedTokens(target int, blocks []uint64) float64 {
	n := 0
	for _, block := range blocks {
		if x.mask(block)&(1<<target) == 0 {
			break
		}
		n++
	}
	return float64(n*BlockTokens) * x.trust[target]
}

// LongestMatch writes targets that hold the longest beginning of the blocks, and
// returns how many it wrote. Of several, rnd decides.
func (x *CacheIndex) LongestMatch(blocks []uint64, rnd uint64, into []int) int {
	held := ^uint64(0)
	depth := 0
	for _, block := range blocks {
		m := x.mask(block)
		if held&m == 0 {
			break
		}
		held &= m
		depth++
	}
	if depth == 0 {
		return 0
	}
	turn := int(rnd % IndexTargets)
	held = bits.RotateLeft64(held, -turn)
	n := 0
	for held != 0 && n < len(into) {
		at := bits.TrailingZeros64(held)
		into[n] = (at + turn) % IndexTargets
		held &^= 1 << at
		n++
	}
	return n
}

func (x *CacheIndex) mask(block uint64) uint64 {
	b := x.cacheSet(block)
	for i, k := range b.keys {
		if k == block {
			return b.masks[i]
		}
	}
	return 0
}

func (x *CacheIndex) cacheSet(block uint64) *cacheSet {
	return &x.sets[block>>1&uint64(len(x.sets)-1)]
}
