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

// rankOrder sends one order to the rank behind the link and waits for its reply.
func (l *link) rankOrder(ctx context.Context, o *wire.RankOrder) (*wire.RankReply, error) {
	l.mu.Lock()
	conn := l.conn
	l.mu.Unlock()
	if conn == nil {
		return nil, result.New(result.Unreachable, "no link to %s", l.target)
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
		return nil, result.New(result.WireMalformed, "rank reply: %w", err)
	}
	return reply, nil
}

// askRanks sends an order to all ranks of a group at once. of fills in what
// differs by rank and may be nil. Replies and errors are in the order of the
// ranks. The first error ends the questions that are still open: none of the
// answers would be of use, and a slow one could take minutes.
func (e *Entry) askRanks(ctx context.Context, ranks []string, o wire.RankOrder, of func(rank int, o *wire.RankOrder)) ([]*wire.RankReply, []error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	replies := make([]*wire.RankReply, len(ranks))
	errs := make([]error, len(ranks))
	var wg conc.WaitGroup
	for i, target := range ranks {
		wg.Go(func() {
			order := o
			if of != nil {
				of(i, &order)
			}
			l := e.link(target)
			if l == nil {
				errs[i] = result.New(result.Unreachable, "no link to %s", target)
			} else {
				replies[i], errs[i] = l.rankOrder(ctx, &order)
			}
			if errs[i] != nil {
				cancel()
			}
		})
	}
	wg.Wait()
	return replies, errs
}

// tellRanks sends an order to all ranks of a group; what becomes of it is seen
// elsewhere.
func (e *Entry) tellRanks(ctx context.Context, ranks []string, o wire.RankOrder) {
	var wg conc.WaitGroup
	for _, target := range ranks {
		wg.Go(func() {
			if l := e.link(target); l != nil {
				_, _ = l.rankOrder(ctx, &o)
			}
		})
	}
	wg.Wait()
}

// firstError returns the error that ended the questions, nil if all were answered.
func firstError(errs []error) error {
	var first error
	for _, err := range errs {
		if err != nil && (first == nil || errors.Is(first, context.Canceled)) {
			first = err
		}
	}
	return first
}

func holdReply(r *wire.RankReply) expert.HoldReply {
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

func prepareOrder(o wire.RankOrder, m *expert.Map) wire.RankOrder {
	o.Op = wire.RankPrepare
	o.Ranks, o.Layers, o.Experts, o.SlotsOfRank = m.Shape.Ranks, m.Shape.Layers, m.Shape.Experts, m.Shape.SlotsOfRank
	o.Slots = wire.EncodeSlots(m.Slot)
	return o
}

// stuckRanks is what agents say of ranks that stand still.
type stuckRanks struct {
	mu    sync.Mutex
	ranks map[string]stuckSpan // by target
}

type stuckSpan struct{ first, last time.Time }

// stuckQuiet is how long agents, which repeat themselves twice a second, are
// silent before a rank counts as running again. A single missed report must not
// start the wait for a rescue anew: it would never come.
const stuckQuiet = 2 * time.Second

func (s *stuckRanks) heard(target string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ranks == nil {
		s.ranks = make(map[string]stuckSpan)
	}
	span := s.ranks[target]
	if now.Sub(span.last) > stuckQuiet {
		span.first = now
	}
	span.last = now
	s.ranks[target] = span
}

// since returns when the first of the ranks began to stand still; false: all run.
func (s *stuckRanks) since(ranks []string, now time.Time) (first time.Time, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range ranks {
		span, known := s.ranks[r]
		if !known || now.Sub(span.last) > stuckQuiet {
			continue
		}
		if !ok || span.first.Before(first) {
			first, ok = span.first, true
		}
	}
	return first, ok
}

// forget drops what was said of ranks that have been released since.
func (s *stuckRanks) forget(ranks []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range ranks {
		delete(s.ranks, r)
	}
}
