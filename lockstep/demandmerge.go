package lockstep

import (
	"maps"
	"slices"
	"time"
)

// groupSample is the demand sample of another group of the service.
type groupSample struct {
	group      string
	loads      []float64
	total      float64   // sum of loads
	shiftAt    time.Time // when the group detected the shift
	receivedAt time.Time
}

// sampleUse is what an estimate does with a sample of another group.
type sampleUse int

const (
	sampleRejected  sampleUse = iota // it does not fit
	sampleUsed                       // its selections count
	sampleAnnounces                  // it shows a shift that this group has not seen yet
)

// otherGroups is the part of a demand estimate that comes from other groups.
type otherGroups struct {
	samples    map[string]groupSample // samples that fit this group's own selections since the shift, by group
	announced  groupSample            // latest announced shift; group is empty if there is none
	distrusted map[string]bool        // groups whose latest announcement this group's own selections did not confirm
}

// Parameters of the use of samples of other groups.
const (
	// sameDemandShare is the squared difference of two samples, as a share of their variation, up to
	// which they are of the same demand. It is about 0.01 between two groups of one service.
	sameDemandShare = 0.03
	// announceTime is how long this group's own selections may take to confirm a shift that another
	// group has announced. All groups shift within 0.3 s, and no selections are collected while ranks
	// copy experts.
	announceTime = time.Second
	// minFollowShare is the part of an announced new demand that a sample must contain to confirm it.
	minFollowShare = 0.3
	// groupSampleTTL is how long a sample of another group is used. Later the group's own selections
	// are many.
	groupSampleTTL = time.Second
)

// hear takes a sample of another group. Its selections count only if they fit this group's own.
func (d *demand) hear(s groupSample, now time.Time) sampleUse {
	if len(s.loads) != len(d.steady.loads) || s.total < minSelectionsPerExpert*float64(len(s.loads)) || d.steady.total == 0 ||
		now.Sub(s.receivedAt) > groupSampleTTL || s.shiftAt.Before(d.shiftAt.Add(-sameShiftTime)) {
		return sampleRejected
	}
	change := compareLoads(s.loads, d.steady.loads)
	if change.isSameDemand() {
		if d.others.samples == nil {
			d.others.samples = make(map[string]groupSample)
		}
		d.others.samples[s.group] = s
		delete(d.others.distrusted, s.group)
		if d.restarted {
			d.unsettledTill = time.Time{} // two groups have selections of the same demand
		}
		return sampleUsed
	}
	delete(d.others.samples, s.group)
	if !change.isShift() || d.others.distrusted[s.group] || s.shiftAt.Before(d.shiftAt.Add(sameShiftTime)) {
		return sampleRejected
	}
	if d.others.announced.group == "" {
		// A plan for the earlier demand would soon be replaced.
		d.unsettledTill = now.Add(settleTimeout)
	}
	if d.others.announced.group == "" || d.others.announced.group == s.group {
		d.others.announced = s
	}
	return sampleAnnounces
}

// followAnnouncement reports whether the current sample confirms an announced shift, and if so restarts
// the estimate. The sample may cover passes before and after the shift: it then lies between the
// estimate and the announced demand, which is used in its place.
func (d *demand) followAnnouncement(now time.Time) bool {
	s := d.others.announced
	if s.group == "" {
		return false
	}
	if now.Sub(s.receivedAt) > announceTime {
		d.distrust(s.group)
		return false
	}
	share, fits := mixedShare(d.sample, d.steady.loads, s.loads)
	if !fits || share < minFollowShare {
		return false
	}
	if compareLoads(d.sample, s.loads).isSameDemand() {
		d.restart(d.sample, d.sampleTotal, s.shiftAt)
		d.others.samples = map[string]groupSample{s.group: s}
	} else {
		d.restart(scaled(s.loads, min(d.sampleTotal/s.total, 1)), min(d.sampleTotal, s.total), s.shiftAt)
		d.borrowed = true
	}
	d.shiftSeenBy = s.group
	return true
}

// distrust drops the announcement of a group, which this group's own selections have not confirmed, and
// ignores further ones until a sample of that group fits.
func (d *demand) distrust(group string) {
	if d.others.distrusted == nil {
		d.others.distrusted = make(map[string]bool)
	}
	d.others.distrusted[group] = true
	d.others.announced = groupSample{}
}

// loads returns the demand to plan for, by set and expert: this group's own selections and those of
// other groups. A group counts for no more than this one.
func (d *demand) loads() []float64 {
	if len(d.others.samples) == 0 {
		return d.steady.loads
	}
	sum := slices.Clone(d.steady.loads)
	for _, name := range slices.Sorted(maps.Keys(d.others.samples)) {
		s := d.others.samples[name]
		weight := min(d.steady.total/s.total, 1)
		for e, n := range s.loads {
			sum[e] += weight * n
		}
	}
	return sum
}

// dropOldSamples removes the samples of other groups that have expired.
func (d *demand) dropOldSamples(now time.Time) {
	maps.DeleteFunc(d.others.samples, func(_ string, s groupSample) bool { return now.Sub(s.receivedAt) > groupSampleTTL })
}

// isSameDemand reports whether the difference is that of two samples of the same demand.
func (c loadChange) isSameDemand() bool {
	return c.difference <= max(chanceFactor*c.chance, sameDemandShare*c.variation)
}

// mixedShare returns the share of the demand after that a sample contains if it is a mixture with the
// demand before; fits is false if it is no such mixture.
func mixedShare(sample, before, after []float64) (share float64, fits bool) {
	x, b, a := normalized(sample), normalized(before), normalized(after)
	var product, square float64
	for e := range x {
		product += (x[e] - b[e]) * (a[e] - b[e])
		square += (a[e] - b[e]) * (a[e] - b[e])
	}
	if square == 0 {
		return 0, false
	}
	share = min(max(product/square, 0), 1)
	mixture := make([]float64, len(x))
	for e := range mixture {
		mixture[e] = b[e] + share*(a[e]-b[e])
	}
	change := compareLoads(x, mixture)
	change.chance = compareLoads(sample, before).chance + compareLoads(sample, after).chance
	return share, change.isSameDemand()
}

// normalized returns loads with a mean of 1.
func normalized(loads []float64) []float64 {
	sum := 0.0
	for _, n := range loads {
		sum += n
	}
	if sum == 0 {
		return slices.Clone(loads)
	}
	return scaled(loads, float64(len(loads))/sum)
}

// scaled returns loads multiplied by a factor.
func scaled(loads []float64, factor float64) []float64 {
	result := make([]float64, len(loads))
	for e, n := range loads {
		result[e] = n * factor
	}
	return result
}
