package expert

import (
	"slices"
)

// Layout holds the experts of each rank in one set of layers. Ranks may hold different numbers of
// experts.
type Layout [][]uint16

// Clone returns a copy that shares no memory.
func (l Layout) Clone() Layout {
	c := make(Layout, len(l))
	for r := range l {
		c[r] = slices.Clone(l[r])
	}
	return c
}

// InitialLayout returns the layout that engines start with: experts assigned to ranks round-robin.
func InitialLayout(ranks, experts int) Layout {
	l := make(Layout, ranks)
	for e := range experts {
		l[e%ranks] = append(l[e%ranks], uint16(e))
	}
	return l
}

// MaxAndMeanTime returns the step time of the slowest rank and the mean load of a rank. The copies
// of an expert share its load evenly. slowdown is the factor by which each rank is slower than
// usual; nil means 1 for all.
func (l Layout) MaxAndMeanTime(loads, slowdown []float64) (slowest, mean float64) {
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
		slowest = max(slowest, sum*slowdownOf(slowdown, r))
		total += sum
	}
	return slowest, total / float64(len(l))
}

func slowdownOf(slowdown []float64, rank int) float64 {
	if slowdown == nil {
		return 1
	}
	return slowdown[rank]
}
