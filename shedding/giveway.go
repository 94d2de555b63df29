package shedding

import (
	"slices"
	"time"
)

// Decision is what becomes of a connection that needs more memory.
type Decision struct {
	Granted  bool
	Refused  bool
	GiveWay  []*Holder       // connections that must be told to give way, also if the request is refused
	Released <-chan struct{} // if neither granted nor refused: closed once memory has been released, then Grow is to be called again
}

// Grow reserves memory for a connection. If there is none left, connections that have stalled give way, and for small ones the largest.
func (h *Holder) Grow(n int, now time.Time) Decision {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.grow(h, n, now)
}

// Begin records that a request begins to arrive, and reserves memory for it like Grow.
func (h *Holder) Begin(n int, now time.Time) Decision {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if !h.closed {
		h.enter(Head, now)
	}
	return a.grow(h, n, now)
}

func (a *Account) grow(h *Holder, n int, now time.Time) Decision {
	if h.closed || h.leaving {
		return Decision{Refused: true}
	}
	var giveWay []*Holder
	waits := false
	for i, g := range h.groups {
		over := g.bytes + n - a.limitOf(i, h.bytes+n)
		if over <= 0 {
			continue
		}
		waits = true
		over -= g.leaving
		for _, v := range giveWay {
			if v.isIn(i, h) {
				over -= v.bytes
			}
		}
		for over > 0 {
			v := a.yieldingMemory(h, i, n, giveWay, now)
			if v == nil {
				h.leave() // others wait for what it holds, and are not refused at the same moment
				return Decision{Refused: true, GiveWay: leaveStalled(giveWay, now)}
			}
			giveWay = append(giveWay, v)
			over -= v.bytes
		}
	}
	for _, v := range giveWay {
		v.leave()
	}
	if waits {
		if a.released == nil {
			a.released = make(chan struct{})
		}
		return Decision{GiveWay: giveWay, Released: a.released}
	}
	h.add(n)
	return Decision{Granted: true}
}

// leaveStalled makes those of some connections give way that have stalled: they have no claim to the memory, although it would not be enough.
func leaveStalled(list []*Holder, now time.Time) (stalled []*Holder) {
	for _, h := range list {
		if h.isStalled(now) {
			h.leave()
			stalled = append(stalled, h)
		}
	}
	return stalled
}

// limitOf returns the limit on the memory of the group with an index, for a connection that would hold some bytes.
func (a *Account) limitOf(group, bytes int) int {
	forSmall := a.limits.Bytes / smallShareDivisor
	limit := a.limits.Bytes - forSmall
	if group > 0 {
		limit = a.limits.Bytes / groupShareDivisor
	}
	if bytes <= SmallBytes {
		limit += forSmall
	}
	return limit
}

// isIn reports whether a holder is in the group with an index of another one.
func (h *Holder) isIn(group int, of *Holder) bool {
	return group == 0 || group < len(h.groups) && h.groups[group] == of.groups[group]
}

// yieldingMemory returns the connection that gives way next to one that needs n bytes more: among those that have stalled the one
// that has for longest, otherwise the largest of those that may give way to it. It is nil if none does.
func (a *Account) yieldingMemory(to *Holder, group, n int, chosen []*Holder, now time.Time) *Holder {
	var stalled, largest *Holder
	for h := range a.open {
		if h == to || h.leaving || h.bytes == 0 || slices.Contains(chosen, h) || !h.isIn(group, to) {
			continue
		}
		if h.isStalled(now) && (stalled == nil || h.progress() < stalled.progress()) {
			stalled = h
		}
		if h.givesWayTo(to, n) && (largest == nil || h.bytes > largest.bytes) {
			largest = h
		}
	}
	if stalled != nil {
		return stalled
	}
	return largest
}

// progress returns the time of the latest progress of the connection.
func (h *Holder) progress() int64 {
	if h.unread > 0 {
		return h.stalled
	}
	return h.moved.Load()
}

// HasStalled reports whether the connection has had no progress for so long that it gives way to any other.
func (h *Holder) HasStalled(now time.Time) bool {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	return h.isStalled(now)
}

// ReadsNothing reports whether the caller has read nothing of its response for so long that the connection counts as stalled.
func (h *Holder) ReadsNothing(now time.Time) bool {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	return h.unread > 0 && h.isStalled(now)
}

// isStalled reports whether the connection has had no progress for so long that it gives way to any other.
func (h *Holder) isStalled(now time.Time) bool {
	since := time.Duration(now.UnixNano() - h.progress())
	switch {
	case h.unread > 0:
		return since >= unreadTime
	case h.state == Head, h.state == Body:
		return since >= stallTime
	}
	return false
}

// givesWayTo reports whether a connection that has not stalled gives way to one that needs n bytes more. Requests whose body arrives give
// way to small ones only: if each gave way to those that hold less, none would be served while more keep coming. Among
// responses, one that has no end gives way to all others.
func (h *Holder) givesWayTo(to *Holder, n int) bool {
	after := to.bytes + n
	switch {
	case h.state == Response && to.state == Response:
		return h.bytes >= 2*after
	case h.state == Response || h.state == Body:
		return after <= SmallBytes && h.bytes > SmallBytes
	}
	return false
}

// Stalled records how many bytes of its response a caller has not read, and for how long it has read nothing. It returns the
// connections that give way because of it.
func (h *Holder) Stalled(unread int, since time.Duration, now time.Time) (giveWay []*Holder) {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if h.closed {
		return nil
	}
	if unread != h.unread {
		h.add(unread - h.unread)
		if unread < h.unread {
			a.notifyReleased()
		}
		h.unread = unread
	}
	h.stalled = now.Add(-since).UnixNano()
	over := a.all.bytes - a.all.leaving - a.limits.Bytes
	for over > 0 {
		v := a.longestUnread(now)
		if v == nil {
			break
		}
		v.leave()
		giveWay = append(giveWay, v)
		over -= v.bytes
	}
	return giveWay
}

// longestUnread returns the connection whose caller has read nothing for longest, nil if none has stalled.
func (a *Account) longestUnread(now time.Time) (longest *Holder) {
	for h := range a.open {
		if h.unread > 0 && !h.leaving && h.isStalled(now) && (longest == nil || h.stalled < longest.stalled) {
			longest = h
		}
	}
	return longest
}

// yieldOrder are the states in which a connection gives way to a new one, in this order.
var yieldOrder = [...]State{Silent, Head, Idle, Closing}

// stallOrder are the states in which a connection gives way to a new one if it has stalled, in this order.
var stallOrder = [...]State{Body, Response, Running}

// yieldWindow is how many connections of a state are compared, those that have been in it for longest.
const yieldWindow = 64

// yieldingConnection returns the connection that gives way to a new one: one that sends nothing, of the address that has most of them; or
// one whose request, or the caller's reading of the response, has stalled. It is nil if none does.
func (a *Account) yieldingConnection(eligible func(*Holder) bool, now time.Time) *Holder {
	for _, s := range yieldOrder {
		if h := a.longestInState(s, eligible); h != nil {
			return h
		}
	}
	for _, s := range stallOrder {
		for h := a.inState[s].first; h != nil; h = h.next {
			if !h.leaving && eligible(h) && h.isStalled(now) {
				return h
			}
		}
	}
	return nil
}

// isFresh reports whether the connection has been in its state for less than MinSilence: its request may be on its way.
func (h *Holder) isFresh(now time.Time) bool {
	return now.UnixNano()-h.moved.Load() < int64(h.account.limits.MinSilence)
}

// longestInState returns one of the connections that have been in a state for longest: that of the address with most in it.
func (a *Account) longestInState(s State, eligible func(*Holder) bool) (longest *Holder) {
	seen := 0
	for h := a.inState[s].first; h != nil && seen < yieldWindow; h = h.next {
		if h.leaving || !eligible(h) {
			continue
		}
		seen++
		if longest == nil || h.groups[addressGroup].states[s] > longest.groups[addressGroup].states[s] {
			longest = h
		}
	}
	return longest
}
