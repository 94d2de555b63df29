package gateway

import (
	"context"
	"errors"
	"io"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/heatherrail/heatherrail/internal/ablate"
	"github.com/heatherrail/heatherrail/result"
)

// streamBody is a stream of events on its way to a caller. The library reads it
// while it writes: a slow caller holds back the target, and an end with an error
// closes the connection, so that a part never looks whole.
type streamBody struct {
	g      *Gateway
	ctx    context.Context
	t      *tries
	x      *exchange // the try that goes on; nil after the last has failed
	head   *exchange // the try whose head the answer has: the one that the first event is of
	events eventScanner
	out    []byte // whole events that the caller does not have yet
	sent   int    // of them, bytes already handed over
	ended  error  // io.EOF after the whole stream
	reason *result.Error
	first  time.Time     // when the first event came
	latest time.Time     // when the latest came
	gap    time.Duration // longest pause between events
	done   func(b *streamBody)
}

// serveStream answers with a stream. The first event is awaited before anything
// goes out: until then the request can be placed again, or refused with a status.
func (g *Gateway) serveStream(ctx context.Context, c *fasthttp.RequestCtx, t *tries, done func(*streamBody)) *result.Error {
	x, e := t.next(ctx, "")
	if e != nil {
		return e
	}
	b := &streamBody{g: g, ctx: ctx, t: t, x: x, head: x, done: done}
	b.events.last = -1
	if id, err := strconv.ParseInt(t.r.resumeAt, 10, 64); err == nil {
		b.events.last = id
	}
	if x.resp.Status != fasthttp.StatusOK {
		return b.failure(c)
	}
	b.fill()
	if len(b.out) == 0 && b.ended != io.EOF {
		return b.reason
	}
	g.copyHead(c, b.head)
	c.Response.Header.Del(fasthttp.HeaderContentLength)
	c.Response.SetBodyStream(b, -1)
	return nil
}

// failure passes on a target's own failure, whole.
func (b *streamBody) failure(c *fasthttp.RequestCtx) *result.Error {
	body, err := readWhole(b.x)
	defer b.x.close()
	if err != nil {
		return result.New(result.AnswerBroken, "%s: %w", b.x.target.ID, err)
	}
	b.g.copyHead(c, b.x)
	c.Response.SetBodyRaw(body)
	b.ended = io.EOF
	b.done(b)
	return nil
}

// Read implements io.Reader.
func (b *streamBody) Read(p []byte) (int, error) {
	if b.sent == len(b.out) {
		b.out, b.sent = b.out[:0], 0
		b.fill()
	}
	if b.sent < len(b.out) {
		n := copy(p, b.out[b.sent:])
		b.sent += n
		return n, nil
	}
	return 0, b.ended
}

// fill waits for events. When a target fails, the stream goes on at another one
// after the last whole event.
//
// Failure: a first event and the end of its target come in one read. Symptom: by the time
// the answer's head is written that try is over, and the head of the next one, or of none,
// would be taken. So the try that the first event is of is kept for it.
func (b *streamBody) fill() {
	var buf [4 << 10]byte
	for len(b.out) == 0 && b.ended == nil {
		n, err := b.x.resp.Read(buf[:])
		if n > 0 {
			var bad error
			if b.out, bad = b.events.add(b.out, buf[:n]); bad != nil {
				err = bad
			}
		}
		if len(b.out) > 0 {
			b.came(time.Now())
		}
		if err == io.EOF && b.events.half() {
			err = errEventHalf
		}
		switch {
		case err == nil:
		case err == io.EOF:
			b.ended = io.EOF
		default:
			b.broken(err)
		}
	}
}

// came notes that events have come.
func (b *streamBody) came(now time.Time) {
	if b.first.IsZero() {
		b.first, b.head = now, b.x
		b.x.firstByte()
	} else {
		pause := now.Sub(b.latest)
		b.gap = max(b.gap, pause)
		if gt := b.g.gate(b.t.r.service); gt != nil {
			gt.RecordEventGap(pause, now)
		}
	}
	b.latest = now
}

// What makes an answer late.
const (
	lateNot   = "no"
	lateFirst = "first event"
	latePause = "pause"
	// lateAnswer is for answers that are no streams.
	lateAnswer = "answer"
)

// lateBy tells what made the stream late.
func (b *streamBody) lateBy() string {
	route := b.t.r.route
	switch {
	case b.first.IsZero():
		return lateNot
	case route.LatencyObjective > 0 && b.first.Sub(b.t.r.arrived) > route.LatencyObjective:
		return lateFirst
	case route.EventGapObjective > 0 && b.gap > route.EventGapObjective:
		return latePause
	}
	return lateNot
}

// broken goes on at another target, or ends the stream.
func (b *streamBody) broken(err error) {
	lost := b.x
	lost.close()
	b.x = nil
	b.events.restart()
	b.reason = b.t.ended(b.ctx)
	if b.reason == nil {
		b.g.book.RecordOutcome(lost.target, false, time.Now())
		b.reason = result.New(result.AnswerBroken, "%s: %w", lost.target.ID, err)
		b.t.last = b.reason
		if b.t.mayRetry(b.reason) && !ablate.Off(ablate.Resume) {
			b.resume()
			return
		}
	}
	b.ended = b.reason
}

func (b *streamBody) resume() {
	after := ""
	if b.events.last >= 0 {
		after = strconv.FormatInt(b.events.last, 10)
	}
	b.g.opts.Metrics.Retry(b.reason.Code)
	x, e := b.t.next(b.ctx, after)
	switch {
	case e != nil:
		b.reason, b.ended = e, e
	case x.resp.Status != fasthttp.StatusOK:
		b.reason = result.New(result.EngineLost, "%s answered %d in the middle of a stream", x.target.ID, x.resp.Status)
		b.ended = b.reason
		x.close()
	default:
		b.x = x
	}
}

var errNotRead = errors.New("caller stopped reading")

// Close implements io.Closer; the library calls it when the answer is over.
func (b *streamBody) Close() error {
	if b.x != nil {
		b.x.close()
		b.x = nil
	}
	if b.ended == nil {
		b.reason = b.t.ended(b.ctx)
		if b.reason == nil {
			b.reason = result.New(result.CallerGone, "%w", errNotRead)
		}
		b.ended = b.reason
	}
	b.done(b)
	return nil
}
