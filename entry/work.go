package entry

import (
	"sync"
	"time"

	"github.com/heatherrail/heatherrail/result"
	"github.com/heatherrail/heatherrail/route"
	"github.com/heatherrail/heatherrail/wire"
)

// trackedRequest is one request in the entry's record of its own work at a target. It watches
// the request's stream, so the record is exact without load reports.
type trackedRequest struct {
	link *link

	mu        sync.Mutex
	remaining route.Cost
	ended     bool
}

// trackRequest adds a request to the entry's own work at the target.
func (l *link) trackRequest(s *wire.Sched) *trackedRequest {
	r := &trackedRequest{link: l, remaining: route.Cost{Prompt: float64(s.Prompt), Decode: float64(s.Decode)}}
	l.addOwnWork(1, r.remaining)
	return r
}

// addOwnWork changes the entry's own work at the target by the given amounts.
func (l *link) addOwnWork(requests float64, c route.Cost) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.work.own.Requests += requests
	l.work.own.Prompt += c.Prompt
	l.work.own.Decode += c.Decode
	if l.work.own.Requests == 0 {
		l.work.own = route.Work{} // clears accumulated rounding errors
	}
}

// ChunkReceived implements wire.Watcher.
func (r *trackedRequest) ChunkReceived(chunk []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		return
	}
	tokens, _ := route.EstimateTokens(chunk)
	n := min(r.remaining.Decode, float64(tokens))
	progress := route.Cost{Prompt: -r.remaining.Prompt, Decode: -n}
	r.remaining.Prompt = 0
	r.remaining.Decode -= n
	r.link.addOwnWork(0, progress)
}

// StreamEnded implements wire.Watcher.
func (r *trackedRequest) StreamEnded() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		return
	}
	r.ended = true
	r.link.addOwnWork(-1, route.Cost{Prompt: -r.remaining.Prompt, Decode: -r.remaining.Decode})
}

// openTracked opens the stream of a request and adds the request to the entry's own work. A
// trackedRequest watches the stream to keep that work up to date.
func (l *link) openTracked(conn *wire.Conn, req *wire.Request) (*wire.Stream, error) {
	r := l.trackRequest(&req.Sched)
	s, err := conn.OpenWatched(wire.MethodRequest, req, r)
	if err != nil {
		r.StreamEnded()
		return nil, result.New(result.Unreachable, "open stream to %s: %w", l.target, err)
	}
	return s, nil
}

// applyLoad stores a load report. It drops a report that is not newer than the last one of
// the same connection. Another connection may lead to another agent, whose sequence numbers
// start again. The caller holds l.mu.
func (l *link) applyLoad(source *wire.Conn, load *wire.Load) {
	if l.hasLoad && l.work.source == source && load.Seq <= l.load.Seq {
		return // the report is reordered or duplicated
	}
	l.work.source = source
	l.load, l.hasLoad = *load, true
	l.load.Target = l.target
	l.work.reportedAt = time.Now()
	l.work.others = othersWork(load)
	if f := l.fleetState.Load(); f != nil {
		f.mu.Lock()
		f.loadMeans.RecordSpeeds(&route.Target{
			TokensPerSec:      float64(load.TokensPerSec),
			PrefillPerSec:     float64(load.PrefillPerSec),
			FirstTokenBaseSec: float64(load.FirstTokenBaseSec),
		}, len(f.indexSlots))
		f.loadMeans.RecordLoad(l.work.own, l.work.others, len(f.indexSlots))
		if load.AnswerTokens > 0 {
			f.meanAnswer = float64(load.AnswerTokens)
		}
		f.mu.Unlock()
	}
}

// othersWork returns the reported work of all entries but this one.
func othersWork(l *wire.Load) route.Work {
	return route.Work{
		Requests: float64(max(0, l.Total.Requests-l.FromReceiver.Requests)),
		Prompt:   float64(max(0, l.Total.Prompt-l.FromReceiver.Prompt)),
		Decode:   float64(max(0, l.Total.Decode-l.FromReceiver.Decode)),
	}
}

// readTarget fills in t from the link. It returns the other entries' work by the last load
// report, and the age of that report.
func (l *link) readTarget(t *route.Target) (route.Work, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.readAvailabilityLocked(t)
	t.Slots = l.load.Slots
	t.TokensPerSec = float64(l.load.TokensPerSec)
	t.PrefillPerSec = float64(l.load.PrefillPerSec)
	t.FirstTokenBaseSec = float64(l.load.FirstTokenBaseSec)
	t.Own = l.work.own
	return l.work.others, time.Since(l.work.reportedAt)
}
