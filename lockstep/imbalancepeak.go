package lockstep

import "time"

// imbalancePeak holds the imbalance of the map in use and its recent peak, which decays over time.
// Demand that has shifted once is likely to shift again.
type imbalancePeak struct {
	current, peak float64
	updatedAt     time.Time
}

// peakHalfLife is the time in which the excess of the peak over 1 (perfect balance) halves.
const peakHalfLife = 30 * time.Second

func (p *imbalancePeak) observe(imbalance float64, now time.Time) {
	if !p.updatedAt.IsZero() {
		p.peak = 1 + (p.peak-1)*decayFactor(now.Sub(p.updatedAt), peakHalfLife)
	}
	p.current, p.updatedAt = imbalance, now
	p.peak = max(p.peak, imbalance)
}
