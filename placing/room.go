package placing

import (
	"math"
	"time"

	"github.com/heatherrail/heatherrail/internal/ablate"
	"github.com/heatherrail/heatherrail/serving"
)

// roomShare is the part of a group's room that is this entry's until the next
// report.
//
// Load pattern: a group is nearly full, and each of many entries has a request now and
// then. All have the same report. If each took the room that it shows for its own,
// as many requests would queue at one engine; if each took an even part, most of the
// room would stay with entries that have nothing to send, while requests wait at
// others. So the room is divided by who wants it: by the requests that wait at all
// entries, and those that will come until the next report.
type roomShare struct {
	known    bool
	odds     float64 // that a request may go; 1: there is room for all that can be in time
	left     int     // requests that may still go
	entered  int     // that the gate had taken in when left was computed
	lateOdds float64 // the same for requests that are late already
	lateLeft int
}

// reportsApart is how far apart reports come, at most.
const reportsApart = 200 * time.Millisecond

// renew computes the share after a report, and adds to it for requests that have
// come since. The lock must be held.
func (b *Tracker) renew(l *groupLane, d demand, now time.Time) {
	state := b.group(l.key)
	if now.Sub(state.ReportedAt) >= ReportTTL {
		state.share = roomShare{}
		return
	}
	s := &state.share
	if !s.known {
		room := l.most*float64(openOf(l.Targets)) - float64(state.TotalRequests)
		coming := d.perSecond * float64(l.Entries) * reportsApart.Seconds()
		want := float64(max(state.Queued.InTime, d.waiting.InTime)) + coming
		*s = roomShare{
			known:    true,
			odds:     part(room, want),
			lateOdds: part(room-want, float64(max(state.Queued.Late, d.waiting.Late))),
			entered:  d.entered,
		}
		s.left = b.rounded(s.odds * float64(d.waiting.InTime))
		s.lateLeft = b.rounded(s.lateOdds * float64(d.waiting.Late))
		return
	}
	s.left += b.rounded(s.odds * float64(d.entered-s.entered))
	s.entered = d.entered
}

// part returns which part of a demand there is room for.
func part(room, demand float64) float64 { return min(max(room/max(demand, 1), 0), 1) }

// rounded returns a whole number whose mean is v.
func (b *Tracker) rounded(v float64) int { return int(v + b.rng.Float64()) }

// mayGo tells whether one more request may go to a group; the lock must be held.
//
// Requests that are late already go when there is room for all that can be in time,
// at whichever entry they wait, and then as far as there is room for them.
func (s *roomShare) mayGo(late bool) bool {
	switch {
	case !s.known || ablate.Off(ablate.Room):
		return true
	case late:
		return s.odds >= 1 && (s.lateOdds >= 1 || s.lateLeft > 0)
	}
	return s.odds >= 1 || s.left > 0
}

// sent takes what one request needs.
func (s *roomShare) sent(late bool) {
	if late {
		s.lateLeft--
	} else {
		s.left--
	}
}

// lateMayGo tells whether a request that is late already may go to some group.
func (b *Tracker) lateMayGo(lanes []groupLane) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(lanes) == 0 {
		return false
	}
	part, room := 0.0, false
	for i := range lanes {
		l := &lanes[i]
		part += l.most * float64(openOf(l.Targets)) / float64(max(l.Entries, 1))
		room = room || b.group(l.key).share.mayGo(true)
	}
	return room && b.lates(lanes[0].Service.Name).mayGo(part)
}

// freed gives room back that a request of this entry has left.
func (s *roomShare) freed() {
	s.left++
	s.lateLeft++
}

// reserve books a try at the target with the least work that runs fewer requests than its
// group bears; nil if there is none, or if this entry's shares of the room are used.
func (b *Tracker) reserve(lanes []groupLane, r *Request, now time.Time) *serving.Target {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := range lanes {
		if t := b.reserveIn(&lanes[i], r, now); t != nil {
			return t
		}
	}
	return nil
}

func (b *Tracker) reserveIn(l *groupLane, r *Request, now time.Time) *serving.Target {
	state := b.group(l.key)
	late := !r.inTime(now)
	if !state.share.mayGo(late) || state.breaker.closed(now) {
		return nil
	}
	most := int(math.Ceil(l.most))
	t := b.place(b.allowed(l.Targets, r), func(t *serving.Target) bool { return b.load(t, now) >= most }, now)
	if t != nil {
		b.begin(t, r.Size)
		state.share.sent(late)
		state.breaker.sent(now)
		b.lates(l.Service.Name).begin(r, late, now)
	}
	return t
}
