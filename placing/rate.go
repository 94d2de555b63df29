package placing

import "time"

// rate tells how fast requests are admitted.
type rate struct {
	times [rateMemory]time.Time
	n     int
}

const rateMemory = 16

func (r *rate) count(now time.Time) {
	r.times[r.n%rateMemory] = now
	r.n++
}

// expect returns how long it takes until so many more have been admitted; 0 as long
// as too few have been to tell.
func (r *rate) expect(n int, now time.Time) time.Duration {
	if r.n < rateMemory {
		return 0
	}
	span := now.Sub(r.times[r.n%rateMemory])
	return span / rateMemory * time.Duration(n)
}

// perSecond returns how many requests are admitted a second.
func (r *rate) perSecond(now time.Time) float64 {
	each := r.expect(1, now)
	if each <= 0 {
		return 0
	}
	return float64(time.Second) / float64(each)
}
