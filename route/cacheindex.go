package route

import (
	"math/bits"
	"unsafe"
)

// CacheIndex is an entry's estimate of which prompt blocks the engines have cached: a
// bit mask of targets for each block. Cache events arrive late and some are lost, so
// matches are discounted by a confidence for each target. Memory is fixed: each block
// has its place in one cacheSet. A full set evicts its blocks in turn, and an evicted
// block only costs a match.
type CacheIndex struct {
	sets       []cacheSet
	confidence [IndexTargets]float64
	nextSeq    [IndexTargets]uint64 // expected sequence number of the next event batch
}

// IndexTargets is the number of targets that one index can hold.
const IndexTargets = 64

// cacheWays is the number of blocks in a cacheSet.
const cacheWays = 8

// cacheSet holds the cached blocks whose hashes select this set, with a mask of targets
// for each.
type cacheSet struct {
	keys   [cacheWays]uint64
	masks  [cacheWays]uint64
	victim uint8 // index of the block that is evicted next
}

// Confidence in a target is halved by each gap in its event batches, and recovers with
// each batch that follows without a gap.
const (
	gapFactor     = 0.5
	recoveryStep  = 0.05 // part of the missing confidence that one batch restores
	minConfidence = 0.05
)

// NewCacheIndex returns an empty index with room for about the given number of blocks.
func NewCacheIndex(blocks int) *CacheIndex {
	n := 1 << bits.Len(uint(max(1, blocks/cacheWays)-1))
	x := &CacheIndex{sets: make([]cacheSet, n)}
	for i := range x.confidence {
		x.confidence[i] = 1
	}
	return x
}

// Bytes returns the memory of the index in bytes and its capacity in blocks.
func (x *CacheIndex) Bytes() (bytes, blocks int) {
	return int(unsafe.Sizeof(*x)) + len(x.sets)*int(unsafe.Sizeof(cacheSet{})), len(x.sets) * cacheWays
}

// Add records that a target has cached a block.
func (x *CacheIndex) Add(target int, block uint64) {
	set := x.setOf(block)
	for i, k := range set.keys {
		if k == block {
			set.masks[i] |= 1 << target
			return
		}
	}
	for i, m := range set.masks {
		if m == 0 {
			set.keys[i], set.masks[i] = block, 1<<target
			return
		}
	}
	set.keys[set.victim], set.masks[set.victim] = block, 1<<target
	set.victim = (set.victim + 1) % cacheWays
}

// Remove records that a target has evicted a block.
func (x *CacheIndex) Remove(target int, block uint64) {
	set := x.setOf(block)
	for i, k := range set.keys {
		if k == block {
			set.masks[i] &^= 1 << target
		}
	}
}

// RemoveTarget drops all blocks of a target whose engine has restarted, and resets its
// confidence and sequence number.
func (x *CacheIndex) RemoveTarget(target int) {
	for i := range x.sets {
		for w := range x.sets[i].masks {
			x.sets[i].masks[w] &^= 1 << target
		}
	}
	x.confidence[target], x.nextSeq[target] = 1, 0
}

// AcceptBatch records the sequence number of a batch of cache events and reports whether
// the batch is new. A gap in the sequence lowers the confidence in the target.
func (x *CacheIndex) AcceptBatch(target int, seq uint64) bool {
	expected := x.nextSeq[target]
	if expected != 0 && seq < expected {
		return false
	}
	if expected != 0 && seq > expected {
		x.confidence[target] = max(minConfidence, x.confidence[target]*gapFactor)
	} else {
		x.confidence[target] += recoveryStep * (1 - x.confidence[target])
	}
	x.nextSeq[target] = seq + 1
	return true
}

// Confidence returns the confidence in a target's cache events, from 0 to 1.
func (x *CacheIndex) Confidence(target int) float64 { return x.confidence[target] }

// CachedTokens returns how many leading tokens of the blocks the index shows as cached at
// a target, multiplied by the confidence in the target.
func (x *CacheIndex) CachedTokens(target int, blocks []uint64) float64 {
	n := 0
	for _, block := range blocks {
		if x.targetsOf(block)&(1<<target) == 0 {
			break
		}
		n++
	}
	return float64(n*BlockTokens) * x.confidence[target]
}

// LongestMatch writes to dst the targets that have cached the longest prefix of the
// blocks, and returns how many it wrote. If more targets match than dst has room for,
// rnd selects among them.
func (x *CacheIndex) LongestMatch(blocks []uint64, rnd uint64, dst []int) int {
	matching := ^uint64(0)
	depth := 0
	for _, block := range blocks {
		m := x.targetsOf(block)
		if matching&m == 0 {
			break
		}
		matching &= m
		depth++
	}
	if depth == 0 {
		return 0
	}
	shift := int(rnd % IndexTargets)
	matching = bits.RotateLeft64(matching, -shift)
	n := 0
	for matching != 0 && n < len(dst) {
		bit := bits.TrailingZeros64(matching)
		dst[n] = (bit + shift) % IndexTargets
		matching &^= 1 << bit
		n++
	}
	return n
}

// targetsOf returns the mask of targets that have cached a block.
func (x *CacheIndex) targetsOf(block uint64) uint64 {
	set := x.setOf(block)
	for i, k := range set.keys {
		if k == block {
			return set.masks[i]
		}
	}
	return 0
}

func (x *CacheIndex) setOf(block uint64) *cacheSet {
	return &x.sets[block>>1&uint64(len(x.sets)-1)]
}
