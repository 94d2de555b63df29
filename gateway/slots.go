package gateway

import (
	"context"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/heatherrail/heatherrail/peers"
	"github.com/heatherrail/heatherrail/placing"
	"github.com/heatherrail/heatherrail/result"
	"github.com/heatherrail/heatherrail/serving"
)

// Targets that name a rate get a request only at a slot, which the entry that keeps the slots of
// the target grants.
const (
	// slotAsks is how many targets a request asks a slot of before it leaves such targets alone.
	slotAsks = 2
	// slotLimit is many times the way between two entries of a region.
	slotLimit = 100 * time.Millisecond
	// slotRest is for how long a target gets nothing from here after nobody granted a slot of it.
	slotRest = 500 * time.Millisecond
)

// mayGo tells whether the request may go to a target right now.
func (t *tries) mayGo(ctx context.Context, target *serving.Target) bool {
	if rate, _ := t.g.book.RateOf(target.Run()); rate == placing.Unlimited {
		return true
	}
	return t.g.slot(ctx, target, placing.SlotQuery{}).Granted
}

// awaitSlot waits for a slot of a target that names a rate, if one comes in time; else the
// request is refused at once.
func (t *tries) awaitSlot(ctx context.Context) (*serving.Target, *result.Error) {
	candidates, unkept := t.g.book.Limited(t.targets(), t.had, time.Now())
	if len(candidates) == 0 && unkept == 0 {
		return nil, t.orLast(result.New(result.NoTarget, "no target of %s is left", t.r.service.Name))
	}
	candidates = candidates[:min(len(candidates), slotAsks)]
	slot := placing.Slot{Wait: unkept, ComeBack: unkept}
	for i, target := range candidates {
		slot = t.g.slot(ctx, target, placing.SlotQuery{MaxWait: t.r.slotWait(time.Now()), Refuses: i == len(candidates)-1})
		if !slot.Granted {
			continue
		}
		t.g.book.Begin(target, t.r.wish.Size)
		sleep(ctx, slot.Wait)
		if e := t.ended(ctx); e != nil {
			t.giveBack(target)
			return nil, e
		}
		return target, nil
	}
	if e := t.ended(ctx); e != nil {
		return nil, e
	}
	e := result.New(result.TargetLimit, "no target of %s takes it within %d ms", t.r.service.Name, slot.Wait.Milliseconds())
	e.RetryAfter = slot.ComeBack
	return nil, t.orLast(e)
}

// slotWait is how long the request may wait for a slot: one that could not be in time after it
// leaves the slot to others.
func (r *request) slotWait(now time.Time) time.Duration {
	left := max(r.deadline.Sub(now), 0)
	if r.wish.Aim > 0 {
		return min(r.wish.WaitInTime(), left)
	}
	return min(r.wish.MaxWait, left)
}

// slot asks for a slot of a target. If none is granted the target gets nothing from this entry
// until one may be free.
func (g *Gateway) slot(ctx context.Context, target *serving.Target, q placing.SlotQuery) placing.Slot {
	slot, kept := g.mesh.slot(ctx, target.Run(), q)
	now := time.Now()
	switch {
	case !kept:
		g.opts.Metrics.Count("slots_not_answered", 1)
		g.book.Unkept(target.Run(), now.Add(slotRest))
		return placing.Slot{Wait: slotRest, ComeBack: slotRest}
	case slot.Granted:
		g.opts.Metrics.Count("slots_granted", 1)
	default:
		g.opts.Metrics.Count("slots_denied", 1)
		g.book.NoSlot(target.Run(), now.Add(slot.Wait))
	}
	return slot
}

// slot asks the entry that keeps the slots of a target; kept is false if that can't be told or
// does not answer.
func (m *mesh) slot(ctx context.Context, run serving.Run, q placing.SlotQuery) (slot placing.Slot, kept bool) {
	keeper, self := m.keeper(run)
	if self {
		return m.g.book.TakeSlot(run, m.part(), q, time.Now()), true
	}
	if keeper == "" {
		return placing.Slot{}, false
	}
	sent := time.Now()
	question := &peers.SlotQuery{Rate: m.rate(run, sent), MaxWaitMS: uint32(q.MaxWait.Milliseconds()), Refuses: q.Refuses}
	answer, err := m.askSlot(ctx, keeper, question)
	if err != nil {
		m.g.opts.Log.Info("slot of a target not told", "target", run.ID, "keeper", keeper, "error", err.Error())
		return placing.Slot{}, false
	}
	m.rateTold(&answer.Rate, sent, time.Now())
	return placing.Slot{
		Granted:  answer.Granted,
		Wait:     time.Duration(answer.WaitMS) * time.Millisecond,
		ComeBack: time.Duration(answer.ComeBackMS) * time.Millisecond,
	}, answer.Kept
}

// askSlot asks another entry. Questions to one entry go one after the other, so it is the wait for
// the answer that is bounded; a slot that is granted after it is lost.
func (m *mesh) askSlot(ctx context.Context, keeper string, q *peers.SlotQuery) (*peers.SlotResult, error) {
	ctx, cancel := context.WithTimeout(ctx, slotLimit)
	defer cancel()
	answer, failed := new(peers.SlotResult), make(chan error, 1)
	go func() { failed <- m.group.Ask(ctx, keeper, peers.KindSlot, q, answer, slotLimit) }()
	select {
	case err := <-failed:
		return answer, err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// answerSlot grants or denies a slot to another entry.
func (m *mesh) answerSlot(payload []byte) (msgp.Marshaler, error) {
	var q peers.SlotQuery
	if _, err := q.UnmarshalMsg(payload); err != nil {
		return nil, err
	}
	now := time.Now()
	if m.rateTold(&q.Rate, time.Time{}, now).Tell {
		m.tell()
	}
	run := serving.Run{ID: q.Rate.Target, Born: q.Rate.Born}
	if _, self := m.keeper(run); !self {
		return &peers.SlotResult{}, nil
	}
	slot := m.g.book.TakeSlot(run, m.part(), placing.SlotQuery{
		MaxWait: time.Duration(q.MaxWaitMS) * time.Millisecond,
		Refuses: q.Refuses,
	}, now)
	return &peers.SlotResult{
		Kept:       true,
		Granted:    slot.Granted,
		WaitMS:     roundUp(slot.Wait),
		ComeBackMS: roundUp(slot.ComeBack),
		Rate:       m.rate(run, now),
	}, nil
}

// rate returns what this entry knows of the rate of a target.
func (m *mesh) rate(run serving.Run, now time.Time) peers.Rate {
	rate, said := m.g.book.RateOf(run)
	return rateMessage(placing.ToldRate{RateLimit: placing.RateLimit{Run: run, Rate: rate}, Said: said}, now)
}

// keeper returns the entry that keeps the slots of a target; "" if this entry can't tell, since
// it has just started and knows nobody.
func (m *mesh) keeper(run serving.Run) (name string, self bool) {
	if living, _ := m.group.Table().Count(); living == 1 {
		if _, loaded := m.g.knowledge.position(serving.TopicEntries); !loaded {
			return "", false
		}
	}
	name, self = m.group.Table().Keeper(run.ID)
	if !self {
		m.g.book.LeaveSlots(run)
	}
	return name, self
}

// part returns the part of the entries known lately that live.
func (m *mesh) part() float64 {
	living, known := m.group.Table().Count()
	return float64(living) / float64(known)
}
