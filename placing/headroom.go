package placing

import (
	"math"
	"time"

	"github.com/heatherrail/heatherrail/internal/ablate"
	"github.com/heatherrail/heatherrail/serving"
)

// headroomShare is this entry's share of a group's headroom until the next report.
//
// It guards against both over- and underuse of a group that is nearly full, when each of many
// entries has a request now and then and all entries have the same report. If each entry claimed
// the whole headroom, as many requests as entries would queue at one engine. If each claimed an
// even share, most of the headroom would stay with entries that have nothing to send while requests
// wait at others. So the headroom is divided by demand: the requests that wait at all entries, and
// those expected until the next report.
type headroomShare struct {
	known     bool
	ratio     [NumLevels]float64 // probability that an on-time request of a level is admitted; 1: there is headroom for all of them
	left      [NumLevels]int     // on-time requests of a level that may still be admitted
	freed     int                // slots of requests that have ended, less those that requests without a share have used
	covered   bool               // there is headroom for all on-time requests of all levels
	enqueued  LevelCounts        // requests added to the queue when left was last computed
	lateRatio float64            // probability that a late request is admitted
	lateLeft  int                // late requests that may still be admitted
}

// reportInterval is the maximum time between two load reports.
const reportInterval = 200 * time.Millisecond

// updateShare computes this entry's share of a group's headroom after each load report. Between
// reports it adds to the share for requests that have arrived since. The lock must be held.
func (tr *Tracker) updateShare(p *groupPool, d demand, now time.Time) {
	state := tr.group(p.key)
	if now.Sub(state.ReportedAt) >= ReportTTL {
		state.headroom = headroomShare{}
		return
	}
	s := &state.headroom
	if !s.known {
		headroom := tr.capacity(p, now) - float64(state.TotalRequests)
		*s = tr.divideHeadroom(headroom, &state.Queued, &d, p.EntryCount)
		return
	}
	for level, n := range d.enqueuedByLevel {
		s.left[level] += tr.roundRandomly(s.ratio[level] * float64(n-s.enqueued[level]))
	}
	s.enqueued = d.enqueuedByLevel
}

// divideHeadroom returns this entry's share of a group's headroom. On-time requests of a level get
// what all more urgent requests of all entries leave, and late requests get the rest. With a share
// that is the same for all levels, the urgent requests of one entry would wait while deferrable ones
// of other entries fill the group.
func (tr *Tracker) divideHeadroom(headroom float64, reported *QueueCounts, d *demand, entries int) headroomShare {
	s := headroomShare{known: true, covered: true, enqueued: d.enqueuedByLevel}
	queued, own := reported.levels(d), d.queued.levels(d)
	arriving := d.admittedPerSecond * float64(entries) * reportInterval.Seconds()
	for level := range NumLevels {
		wanted := float64(max(queued[level], own[level])) + arriving*d.mix[level]
		s.ratio[level] = coveredShare(headroom, wanted)
		if wanted > 0 {
			s.covered = s.covered && s.ratio[level] >= 1
			s.left[level] = tr.roundRandomly(s.ratio[level] * float64(own[level]))
			headroom -= wanted
		}
	}
	s.lateRatio = coveredShare(headroom, float64(max(reported.Late, d.queued.Late)))
	s.lateLeft = tr.roundRandomly(s.lateRatio * float64(d.queued.Late))
	return s
}

// coveredShare returns the share of a demand that the headroom covers.
func coveredShare(headroom, demand float64) float64 { return min(max(headroom/max(demand, 1), 0), 1) }

// roundRandomly rounds v up or down to a whole number at random, so that the mean result is v.
func (tr *Tracker) roundRandomly(v float64) int { return int(v + tr.rng.Float64()) }

// canAdmit reports whether one more request of an urgency level may be sent to the group, or one more
// late request. The lock must be held.
//
// Late requests are admitted only if there is headroom for all on-time requests at all entries, and
// then as far as the remaining headroom goes.
func (s *headroomShare) canAdmit(level int, late bool) bool {
	switch {
	case !s.known || ablate.Off(ablate.Headroom):
		return true
	case late:
		return s.covered && (s.lateRatio >= 1 || s.lateLeft > 0)
	}
	return s.ratio[level] >= 1 || s.left[level]+s.freed > 0
}

// takeSlot deducts one admitted request from the share.
func (s *headroomShare) takeSlot(level int, late bool) {
	switch {
	case late:
		s.lateLeft--
	case s.left[level] > 0:
		s.left[level]--
	default:
		s.freed--
	}
}

// canAdmitLate reports whether a request that is already late may be sent to any of the groups.
func (tr *Tracker) canAdmitLate(pools []groupPool, now time.Time) bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if len(pools) == 0 {
		return false
	}
	capacity, hasHeadroom := 0.0, false
	for i := range pools {
		p := &pools[i]
		capacity += tr.capacity(p, now) / float64(max(p.EntryCount, 1))
		hasHeadroom = hasHeadroom || tr.group(p.key).headroom.canAdmit(0, true)
	}
	return hasHeadroom && tr.lateShareOf(pools[0].Service.Name).canAdmit(capacity)
}

// returnSlot adds one slot to the share for a request of this entry that has ended.
func (s *headroomShare) returnSlot() {
	s.freed++
	s.lateLeft++
}

// reserve starts an attempt in the first group that admits the request, at the target with the least
// cost among those below the stream limit of the group. It returns nil if every group is full or
// this entry's headroom shares are used up.
func (tr *Tracker) reserve(pools []groupPool, r *Request, now time.Time) *serving.Target {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	for i := range pools {
		if t := tr.reserveInGroup(&pools[i], r, now); t != nil {
			return t
		}
	}
	return nil
}

func (tr *Tracker) reserveInGroup(p *groupPool, r *Request, now time.Time) *serving.Target {
	state := tr.group(p.key)
	late, level := !r.isOnTime(now), r.UrgencyLevel(now)
	if !state.headroom.canAdmit(level, late) || state.breaker.blocks(now) {
		return nil
	}
	maxRequests := int(math.Ceil(p.maxStreams))
	t := tr.place(tr.allowed(p.Targets, r), func(t *serving.Target) bool { return tr.load(t, now) >= maxRequests }, now)
	if t != nil {
		tr.startAttempt(t, r.Size)
		state.headroom.takeSlot(level, late)
		state.breaker.recordProbe(now)
		tr.lateShareOf(p.Service.Name).recordStart(r, late, now)
	}
	return t
}
