package placing

import (
	"time"

	"github.com/heatherrail/heatherrail/serving"
)

// roomShare is the part of a group's room that is this entry's until the next
// report.
//
// Load pattern: a group is nearly full, and each of 46 entries has a request now and
// then. All have the same report. If each took the room that it shows for its own,
// fifty requests would queue at one engine; if each took its 46th part, most of the
// room would stay with entries that have nothing to send, while requests wait at
// others. So the room is divided by who wants it: by the requests that wait at all
// entries, and those that will come until the next report.
type roomShare struct {
	known   bool
	odds    float64 // that a request may go; 1: there is room for all
	left    int     // requests that may still go
	entered int     // that the gate had taken in when left was reckoned
}

// reportsApart is how far apart reports come, at most.
const reportsApart = 200 * time.Millisecond

// renew reckons the share after a report, and adds to it for requests that have
// come since. The lock must be held.
func (b *Book) renew(l Lane, most float64, d demand, now time.Time) {
	state := b.groups[l.Service.Name]
	defer func() { b.groups[l.Service.Name] = state }()
	if now.Sub(state.At) >= reportLife {
		state.share = roomShare{}
		return
	}
	s := &state.share
	if !s.known {
		room := most*float64(len(l.Targets)) - float64(state.Total)
		coming := d.perSecond * float64(l.Entries) * reportsApart.Seconds()
		want := max(float64(max(state.Wanting, d.waiting))+coming, 1)
		*s = roomShare{known: true, odds: min(max(room/want, 0), 1), entered: d.entered}
		s.left = b.rounded(s.odds * float64(d.waiting))
		return
	}
	s.left += b.rounded(s.odds * float64(d.entered-s.entered))
	s.entered = d.entered
}

// rounded returns a whole number whose mean is v.
func (b *Book) rounded(v float64) int { return int(v + b.rng.Float64()) }

// mayGo tells whether one more request may go to a group; the lock must be held.
func (b *Book) mayGo(service string) bool {
	s := b.groups[service].share
	return !s.known || s.odds >= 1 || s.left > 0
}

// roomForAll tells whether a group has room for all that want it. Else no request may
// go that is late already: at other entries some wait that can still be in time.
func (b *Book) roomForAll(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.groups[service].share
	return !s.known || s.odds >= 1
}

// addShare gives back room that a request of this entry has freed, or takes what one
// needs; the lock must be held.
func (b *Book) addShare(service string, n int) {
	state := b.groups[service]
	state.share.left += n
	b.groups[service] = state
}

// reserve books a try at the target with the least work that runs fewer requests
// than most; nil if there is none, or if this entry's share of the room is used.
func (b *Book) reserve(l Lane, most int, r *Request, now time.Time) *serving.Target {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.mayGo(l.Service.Name) {
		return nil
	}
	t := b.place(l.Targets, func(t *serving.Target) bool { return b.load(t, now) >= most }, now)
	if t != nil {
		b.begin(t, r.Size)
		b.addShare(l.Service.Name, -1)
	}
	return t
}
