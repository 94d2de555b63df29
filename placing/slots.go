package placing

import (
	"time"

	"github.com/heatherrail/heatherrail/serving"
)

// SlotQuery asks for a moment at which one request may go to a target that names a rate.
type SlotQuery struct {
	MaxWait time.Duration // that the request may wait for it
	Refuses bool          // without a slot its caller is refused, and told when to come back
}

// Slot is what an entry that asked for one gets.
type Slot struct {
	Granted  bool
	Wait     time.Duration // until the slot, or until one may be free
	ComeBack time.Duration // for a caller that is refused
}

// slots space the requests that go to a target from all entries together.
//
// One entry keeps the slots of a target, the others ask it for each request. A share of the rate
// for each entry would not do: with more entries than the rate allows requests in a few seconds,
// one request of each is too many already.
type slots struct {
	kept     time.Time // since when this entry keeps them; zero: another one does
	last     time.Time // the latest slot that was granted
	promised time.Time // until when refused callers were told to come back
}

// Figures of slots.
const (
	// takeOver: whoever begins to keep the slots of a target grants none for so long, in which
	// whoever kept them before hears of it and stops.
	takeOver = time.Second
	// slotMost is the longest time between two slots. A target that asks for next to nothing is
	// sent a request now and then all the same, or it would never be heard to want more.
	slotMost = 30 * time.Second
	// promiseMost: refused callers are told to come back one after the other over this time.
	promiseMost = 5 * time.Second
)

// interval returns the time between two slots.
func interval(rate float64) time.Duration {
	if rate*slotMost.Seconds() < 1 {
		return slotMost
	}
	return time.Duration(float64(time.Second) / rate)
}

// take grants the next slot, if it comes in time.
func (s *slots) take(rate float64, q SlotQuery, now time.Time) Slot {
	every := interval(rate)
	free := later(now, s.kept.Add(takeOver))
	if !s.last.IsZero() {
		free = later(free, s.last.Add(every))
	}
	slot := Slot{Wait: free.Sub(now)}
	switch {
	case slot.Wait <= q.MaxWait:
		slot.Granted, s.last = true, free
	case q.Refuses:
		slot.ComeBack = s.promise(free, every).Sub(now)
	}
	return slot
}

// promise returns when the next caller that is refused should come back: each at the time of
// another slot, or all would come for the same one.
func (s *slots) promise(free time.Time, every time.Duration) time.Time {
	s.promised = later(s.promised.Add(every), free)
	if s.promised.Sub(free) > promiseMost {
		s.promised = free
	}
	return s.promised
}

// TakeSlot grants a slot of a target as the entry that keeps them. part is the part of the fleet
// that this entry sees alive: if the fleet has split, each side has that part of the rate.
func (b *Book) TakeSlot(run serving.Run, part float64, q SlotQuery, now time.Time) Slot {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := b.limits.byRun[run]
	if known == nil || known.rate == Unlimited {
		return Slot{Granted: true}
	}
	if known.slots.kept.IsZero() {
		known.slots.kept = now
	}
	return known.slots.take(known.rate*part, q, now)
}

// LeaveSlots notes that another entry keeps the slots of a target.
func (b *Book) LeaveSlots(run serving.Run) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if known := b.limits.byRun[run]; known != nil {
		known.slots.kept = time.Time{}
	}
}
