package peers

// PackLevels returns counts by urgency level for a message, without trailing zeros.
func PackLevels(counts []int) []uint16 {
	for len(counts) > 0 && counts[len(counts)-1] == 0 {
		counts = counts[:len(counts)-1]
	}
	packed := make([]uint16, len(counts))
	for level, n := range counts {
		packed[level] = ClampUint16(n)
	}
	return packed
}

// AddLevels adds the counts of a message to counts. Levels beyond the length of counts, which a
// newer peer may send, are added to the last one.
func AddLevels(counts []int, packed []uint16) {
	for level, n := range packed {
		counts[min(level, len(counts)-1)] += int(n)
	}
}
