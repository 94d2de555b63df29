package entry

import (
	"sync"
	"time"

	"github.com/heatherrail/heatherrail/result"
	"github.com/heatherrail/heatherrail/route"
	"github.com/heatherrail/heatherrail/wire"
)

// dispatched is one request in the entry's books of a target. It watches the
// request's stream, so the books are exact without any report.
type dispatched struct {
	link *link

	mu    sync.Mutex
	left  route.Cost
	ended bool
}

// count adds a request to the books.
func (l *link) count(s *wire.Sched) *dispatched {
	b := &dispatched{link: l, left: route.Cost{Prompt: float64(s.Prompt), Decode: float64(s.Decode)}}
	l.change(1, b.left)
	return b
}

func (l *link) change(requests float64, c route.Cost) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.work.own.Requests += requests
	l.work.own.Prompt += c.Prompt
	l.work.own.Decode += c.Decode
	if l.work.own.Requests == 0 {
		l.work.own = route.Work{} // rounding errors don't add up
	}
}

// Arrived implements wire.Watcher.
func (b *dispatched) Arrived(chunk []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended {
		return
	}
	tokens, _ := route.EstimateTokens(chunk)
	n := min(b.left.Decode, float64(tokens))
	done := route.Cost{Prompt: -b.left.Prompt, Decode: -n}
	b.left.Prompt = 0
	b.left.Decode -= n
	b.link.change(0, done)
}

// Ended implements wire.Watcher.
func (b *dispatched) Ended() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended {
		return
	}
	b.ended = true
	b.link.change(-1, route.Cost{Prompt: -b.left.Prompt, Decode: -b.left.Decode})
}

// openCounted opens the stream of a request with a dispatched that watches it.
func (l *link) openCounted(conn *wire.Conn, req *wire.Request) (*wire.Stream, error) {
	b := l.count(&req.Sched)
	s, err := conn.OpenWatched(wire.MethodRequest, req, b)
	if err != nil {
		b.Ended()
		return nil, result.New(result.Unreachable, "open stream to %s: %w", l.target, err)
	}
	return s, nil
}

// takeLoad takes a report; one that is older than the last of its connection is
// dropped. Another connection may lead to another agent, whose numbers begin
// anew. Called with l.mu.
func (l *link) takeLoad(from *wire.Conn, load *wire.Load) {
	if l.hasLoad && l.work.from == from && load.Seq <= l.load.Seq {
		return // late or doubled
	}
	l.work.from = from
	l.load, l.hasLoad = *load, true
	l.load.Target = l.target
	l.work.reported = time.Now()
	l.work.others = othersOf(load)
	if f := l.fleet.Load(); f != nil {
		f.mu.Lock()
		f.means.RecordSpeeds(&route.Target{
			TokensPerSec:      float64(load.TokensPerSec),
			PrefillPerSec:     float64(load.PrefillPerSec),
			FirstTokenBaseSec: float64(load.FirstTokenBaseSec),
		}, len(f.slots))
		f.means.RecordLoad(l.work.own, l.work.others, len(f.slots))
		if load.AnswerTokens > 0 {
			f.answer = float64(load.AnswerTokens)
		}
		f.mu.Unlock()
	}
}

func othersOf(l *wire.Load) route.Work {
	return route.Work{
		Requests: float64(max(0, l.Total.Requests-l.FromReceiver.Requests)),
		Prompt:   float64(max(0, l.Total.Prompt-l.FromReceiver.Prompt)),
		Decode:   float64(max(0, l.Total.Decode-l.FromReceiver.Decode)),
	}
}

// read fills in what the link knows and returns the others' work by the last
// report, and its age.
func (l *link) read(t *route.Target) (route.Work, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state(t)
	t.Slots = l.load.Slots
	t.TokensPerSec = float64(l.load.TokensPerSec)
	t.PrefillPerSec = float64(l.load.PrefillPerSec)
	t.FirstTokenBaseSec = float64(l.load.FirstTokenBaseSec)
	t.Own = l.work.own
	return l.work.others, time.Since(l.work.reported)
}
