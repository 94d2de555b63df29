package expert

import "math"

// A rank reports the load of each slot in one byte: its share of the load of the busiest slot, on a
// logarithmic scale of sixteen bands per octave. The rounding error is 2.2 % at most.
const (
	bandsPerOctave = 16
	zeroBand       = 255 // no load, or less than 1/60000 of the busiest slot's
)

// EncodeLoads encodes slot loads as bands; unit is the load of the busiest slot.
func EncodeLoads(loads []float64) (unit float64, bands []byte) {
	for _, v := range loads {
		unit = max(unit, v)
	}
	bands = make([]byte, len(loads))
	for i, v := range loads {
		bands[i] = zeroBand
		if v > 0 {
			bands[i] = byte(min(zeroBand, math.Round(-math.Log2(v/unit)*bandsPerOctave)))
		}
	}
	return unit, bands
}

// DecodeLoads decodes the result of EncodeLoads.
func DecodeLoads(unit float64, bands []byte) []float64 {
	loads := make([]float64, len(bands))
	AddLoads(loads, unit, bands)
	return loads
}

// AddLoads decodes the result of EncodeLoads and adds the loads to sum, slot by slot.
func AddLoads(sum []float64, unit float64, bands []byte) {
	for i, b := range bands {
		sum[i] += unit * bandShares[b]
	}
}

// Coarse bands are half octaves, two of them in a byte. The rounding error is 19 % at most, which
// cancels out where the loads of many ranks are added. Coarse bands halve the size of a report.
// Ranks at the leaves of the collection tree, which are most of the ranks, send them.
const (
	bandsPerCoarseBand = bandsPerOctave / 2
	coarseZero         = 15 // no load, or less than 1/128 of the busiest slot's
)

// PackCoarse converts the bands of EncodeLoads to coarse bands of half an octave and packs two of
// them into each byte.
func PackCoarse(bands []byte) []byte {
	packed := make([]byte, (len(bands)+1)/2)
	for i, b := range bands {
		c := min((b/bandsPerCoarseBand)+(b%bandsPerCoarseBand)/(bandsPerCoarseBand/2), coarseZero)
		packed[i/2] |= c << (4 * (i % 2))
	}
	return packed
}

// AddCoarse is AddLoads for the result of PackCoarse.
func AddCoarse(sum []float64, unit float64, packed []byte) {
	for i := range sum {
		if c := packed[i/2] >> (4 * (i % 2)) & 0xf; c < coarseZero {
			sum[i] += unit * bandShares[c*bandsPerCoarseBand]
		}
	}
}

// bandShares holds the load of each band as a share of the unit. A leader of 64 ranks decodes
// thousands of bands several times a second, and computing the exponential takes ten times as long
// as the table.
var bandShares = func() (shares [zeroBand + 1]float64) {
	for b := range zeroBand {
		shares[b] = math.Exp2(-float64(b) / bandsPerOctave)
	}
	return shares
}()

// RankLoads extracts the slot loads of one rank, ordered by layer, from the loads of all slots.
func (m *Map) RankLoads(rank int, slots []float64) []float64 {
	k, n := m.Shape.SlotsOfRank, m.Shape.Slots()
	out := make([]float64, 0, m.Shape.Layers*k)
	for l := range m.Shape.Layers {
		out = append(out, slots[l*n+rank*k:l*n+(rank+1)*k]...)
	}
	return out
}

// AddRankLoads adds the slot loads of one rank to the loads of the experts.
func (m *Map) AddRankLoads(rank int, slots, experts []float64) {
	s := m.Shape
	for l := range s.Layers {
		for k, e := range m.RankLayer(l, rank) {
			experts[l*s.Experts+int(e)] += slots[l*s.SlotsOfRank+k]
		}
	}
}

// SplitLoads returns the load of each slot of the map. The copies of an expert share its load evenly.
func (m *Map) SplitLoads(experts []float64) []float64 {
	s := m.Shape
	copies := make([]int, s.Experts)
	out := make([]float64, 0, len(m.Slot))
	for l := range s.Layers {
		clear(copies)
		for _, e := range m.Layer(l) {
			copies[e]++
		}
		for _, e := range m.Layer(l) {
			out = append(out, experts[l*s.Experts+int(e)]/float64(copies[e]))
		}
	}
	return out
}
