package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/heatherrail/heatherrail/expert"
	"github.com/heatherrail/heatherrail/result"
	"github.com/heatherrail/heatherrail/wire"
)

// sendRankOrder sends one order to the rank of this link's target and waits for the reply.
func (l *link) sendRankOrder(ctx context.Context, o *wire.RankOrder) (*wire.RankReply, error) {
	l.mu.Lock()
	conn := l.conn
	l.mu.Unlock()
	if conn == nil {
		return nil, result.New(result.Unreachable, "no connection to %s", l.target)
	}
	s, err := conn.Open(wire.MethodRank, o)
	if err != nil {
		return nil, result.New(result.Unreachable, "open stream to %s: %w", l.target, err)
	}
	defer s.Close()
	ev, err := s.Recv(ctx)
	if err != nil {
		return nil, err
	}
	reply := new(wire.RankReply)
	if _, err := reply.UnmarshalMsg(ev.Data); err != nil {
		return nil, result.New(result.WireMalformed, "decode rank reply: %w", err)
	}
	return reply, nil
}

// sendToRanks sends an order to all ranks of a group in parallel. customize sets the fields
// that differ by rank; it may be nil. Replies and errors are in the order of the ranks. The
// first error cancels the open calls: their replies would be of no use, and a slow one could
// take minutes.
func (e *Entry) sendToRanks(ctx context.Context, ranks []string, o wire.RankOrder, customize func(rank int, o *wire.RankOrder)) ([]*wire.RankReply, []error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	replies := make([]*wire.RankReply, len(ranks))
	errs := make([]error, len(ranks))
	var wg conc.WaitGroup
	for i, target := range ranks {
		wg.Go(func() {
			order := o
			if customize != nil {
				customize(i, &order)
			}
			l := e.link(target)
			if l == nil {
				errs[i] = result.New(result.Unreachable, "no connection to %s", target)
			} else {
				replies[i], errs[i] = l.sendRankOrder(ctx, &order)
			}
			if errs[i] != nil {
				cancel()
			}
		})
	}
	wg.Wait()
	return replies, errs
}

// notifyRanks sends an order to all ranks of a group and ignores replies and errors.
func (e *Entry) notifyRanks(ctx context.Context, ranks []string, o wire.RankOrder) {
	var wg conc.WaitGroup
	for _, target := range ranks {
		wg.Go(func() {
			if l := e.link(target); l != nil {
				_, _ = l.sendRankOrder(ctx, &o)
			}
		})
	}
	wg.Wait()
}

// firstError returns the error that cancelled the other calls, or nil if all ranks answered.
func firstError(errs []error) error {
	var first error
	for _, err := range errs {
		if err != nil && (first == nil || errors.Is(first, context.Canceled)) {
			first = err
		}
	}
	return first
}

// toHoldReply converts a rank's wire reply to a hold reply.
func toHoldReply(r *wire.RankReply) expert.HoldReply {
	h := expert.HoldReply{
		Incarnation: r.Incarnation,
		EngineRun:   r.Start,
		Joined:      r.Entered,
		NextStep:    r.Next,
		InStep:      r.Inside,
		Map:         expert.MapID(r.Map),
		HoldAt:      r.HoldAt,
		Loaded:      []expert.MapID{},
	}
	for _, id := range r.Loaded {
		h.Loaded = append(h.Loaded, expert.MapID(id))
	}
	return h
}

// prepareOrder returns o as an order to load the map m.
func prepareOrder(o wire.RankOrder, m *expert.Map) wire.RankOrder {
	o.Op = wire.RankPrepare
	o.Ranks, o.Layers, o.Experts, o.SlotsOfRank = m.Shape.Ranks, m.Shape.Layers, m.Shape.Experts, m.Shape.SlotsOfRank
	o.Slots = wire.EncodeSlots(m.Slot)
	return o
}

// stalledRanks records the reports of agents whose rank is stalled.
type stalledRanks struct {
	mu      sync.Mutex
	periods map[string]stallPeriod // periods in which ranks were reported stalled, by target
}

// stallPeriod is the time of the first and the last report of one stall.
type stallPeriod struct{ firstReport, lastReport time.Time }

// stallReportTTL is how long after its last report a rank counts as stalled. Agents repeat
// the report twice a second. One missed report must not restart the recovery delay, or the
// recovery would never begin.
const stallReportTTL = 2 * time.Second

// recordReport records that an agent reported its rank as stalled.
func (s *stalledRanks) recordReport(target string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.periods == nil {
		s.periods = make(map[string]stallPeriod)
	}
	period := s.periods[target]
	if now.Sub(period.lastReport) > stallReportTTL {
		period.firstReport = now
	}
	period.lastReport = now
	s.periods[target] = period
}

// stalledSince returns when the earliest of the ranks stalled, and false if none is stalled.
func (s *stalledRanks) stalledSince(ranks []string, now time.Time) (first time.Time, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range ranks {
		period, known := s.periods[r]
		if !known || now.Sub(period.lastReport) > stallReportTTL {
			continue
		}
		if !ok || period.firstReport.Before(first) {
			first, ok = period.firstReport, true
		}
	}
	return first, ok
}

// remove discards the stall reports of ranks that have been released.
func (s *stalledRanks) remove(ranks []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range ranks {
		delete(s.periods, r)
	}
}
