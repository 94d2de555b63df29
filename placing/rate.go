package placing

import "time"

// admissionRate tracks how fast requests are admitted, over the last rateSamples admissions.
type admissionRate struct {
	admittedAt [rateSamples]time.Time
	count      int
}

const rateSamples = 16

func (r *admissionRate) record(now time.Time) {
	r.admittedAt[r.count%rateSamples] = now
	r.count++
}

// expectedWait returns the expected time until n more requests have been admitted; 0 while there
// are too few admissions to tell.
func (r *admissionRate) expectedWait(n int, now time.Time) time.Duration {
	if r.count < rateSamples {
		return 0
	}
	span := now.Sub(r.admittedAt[r.count%rateSamples])
	return span / rateSamples * time.Duration(n)
}

// perSecond returns the admissions a second; 0 while there are too few to tell.
func (r *admissionRate) perSecond(now time.Time) float64 {
	each := r.expectedWait(1, now)
	if each <= 0 {
		return 0
	}
	return float64(time.Second) / float64(each)
}
