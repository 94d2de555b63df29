package entry

import (
	"context"
	"sync"

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
// ranks.
func (e *Entry) askRanks(ctx context.Context, ranks []string, o wire.RankOrder, of func(rank int, o *wire.RankOrder)) ([]*wire.RankReply, []error) {
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
				return
			}
			replies[i], errs[i] = l.rankOrder(ctx, &order)
		})
	}
	wg.Wait()
	return replies, errs
}

func firstError(errs []error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func holdReply(r *wire.RankReply) expert.HoldReply {
	h := expert.HoldReply{
		Incarnation: r.Incarnation,
		Start:       r.Start,
		Joined:      r.Entered,
		Next:        r.Next,
		Inside:      r.Inside,
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
	ranks map[string]bool // by target
}

func (s *stuckRanks) heard(target string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ranks == nil {
		s.ranks = make(map[string]bool)
	}
	s.ranks[target] = true
}

// take returns whether one of the ranks was heard of, and forgets them: agents
// repeat themselves for as long as it lasts.
func (s *stuckRanks) take(ranks []string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	any := false
	for _, r := range ranks {
		any = any || s.ranks[r]
		delete(s.ranks, r)
	}
	return any
}
