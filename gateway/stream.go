package gateway

import (
	"cmp"
	"context"
	"errors"
	"io"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/heatherrail/heatherrail/internal/ablate"
	"github.com/heatherrail/heatherrail/result"
)

// streamBody is the response body of a stream. fasthttp reads it while it writes to the caller, so
// a slow caller slows down the target. A read error closes the caller's connection, so that a
// partial stream never looks complete.
type streamBody struct {
	g              *Gateway
	ctx            context.Context
	dispatch       *dispatch
	current        *attempt // running attempt; nil after the last one has failed
	headAttempt    *attempt // attempt that received the first event; the caller gets the header of its response
	scanner        eventScanner
	pending        []byte // complete events not yet delivered
	pendingRead    int    // bytes of pending already delivered
	endErr         error  // error that ended the stream; io.EOF after a complete stream
	failure        *result.Error
	firstEventAt   time.Time
	lastEventAt    time.Time
	provingAttempt *attempt // attempt whose first event came at provingSince
	provingSince   time.Time
	longestPause   time.Duration // longest pause between two events of the stream
	resumed        bool          // the stream has been resumed since its latest event
	reserved       int           // memory of the buffers beyond freeStreamBytes
	onDone         func(b *streamBody)
}

// serveStream answers with a stream. It waits for the first event before it sends the header:
// until then the request can be retried, or refused with a status.
func (g *Gateway) serveStream(ctx context.Context, c *fasthttp.RequestCtx, d *dispatch, onDone func(*streamBody)) *result.Error {
	a, e := d.nextResponse(ctx, "")
	if e != nil {
		return e
	}
	b := &streamBody{g: g, ctx: ctx, dispatch: d, current: a, headAttempt: a, onDone: onDone}
	b.scanner.lastID = -1
	if id, err := strconv.ParseInt(d.r.resumeAfter, 10, 64); err == nil {
		b.scanner.lastID = id
	}
	if a.resp.Status != fasthttp.StatusOK {
		return b.forwardFailure(c)
	}
	b.fill()
	if len(b.pending) == 0 && b.endErr != io.EOF {
		return b.failure
	}
	g.copyHeader(c, b.headAttempt)
	c.Response.Header.Del(fasthttp.HeaderContentLength)
	c.Response.SetBodyStream(b, -1)
	return nil
}

// forwardFailure delivers a target's own error response.
func (b *streamBody) forwardFailure(c *fasthttp.RequestCtx) *result.Error {
	body, err := b.dispatch.readBody(b.current)
	if err == nil {
		err = b.dispatch.checkUnframedEnd(b.ctx, b.current)
	}
	defer b.current.close()
	if err != nil {
		return result.New(result.AnswerBroken, "%s: %w", b.current.target.ID, err)
	}
	b.g.crashes.recordCompleted(b.current)
	b.g.copyHeader(c, b.current)
	setBody(c, body)
	b.endErr = io.EOF
	b.onDone(b)
	return nil
}

// Read implements io.Reader.
func (b *streamBody) Read(p []byte) (int, error) {
	if b.pendingRead == len(b.pending) {
		b.pending, b.pendingRead = b.pending[:0], 0
		b.fill()
	}
	if b.pendingRead < len(b.pending) {
		n := copy(p, b.pending[b.pendingRead:])
		b.pendingRead += n
		return n, nil
	}
	return 0, b.endErr
}

// fill reads from the target until there are complete events to pass on, or the stream has ended. If
// a target fails, the stream resumes at another target after the last complete event.
//
// The response header for the caller comes from the attempt that received the first event.
// headAttempt holds that attempt, because current may be a later attempt when the header is
// written: if one read returns both the first event and the end of the target's stream, the attempt
// that received the event has ended before the header is written, and a further attempt may have
// replaced it.
func (b *streamBody) fill() {
	var buf [4 << 10]byte
	for len(b.pending) == 0 && b.endErr == nil {
		n, err := b.current.resp.Read(buf[:])
		if n > 0 {
			var scanErr error
			if b.pending, scanErr = b.scanner.add(b.pending, buf[:n]); scanErr != nil {
				err = scanErr
			} else if reserveErr := b.reserve(); reserveErr != nil {
				err = reserveErr
			}
		}
		if len(b.pending) > 0 {
			b.recordEvents(time.Now())
		}
		if err == io.EOF && (b.scanner.hasPartialEvent() || b.endedUnbegun()) {
			err = errEventTruncated
		}
		if err == io.EOF {
			err = cmp.Or(b.dispatch.checkUnframedEnd(b.ctx, b.current), io.EOF)
		}
		switch {
		case err == nil:
		case err == io.EOF:
			b.g.crashes.recordCompleted(b.current)
			b.endErr = io.EOF
		default:
			b.handleBrokenStream(err)
		}
	}
}

// freeStreamBytes is the part of the buffers of a stream that the memory of its connection covers.
const freeStreamBytes = 16 << 10

// reserve reserves the memory of the buffers beyond freeStreamBytes.
func (b *streamBody) reserve() error {
	more := cap(b.pending) + cap(b.scanner.pending) - freeStreamBytes - b.reserved
	if more <= 0 {
		return nil
	}
	b.reserved += more
	return b.dispatch.conn.Reserve(more)
}

// endedUnbegun reports whether a stream that ends with its connection has ended before its first event: the target has crashed.
func (b *streamBody) endedUnbegun() bool {
	return !b.current.resp.Framed && b.firstEventAt.IsZero() && b.dispatch.r.resumeAfter == ""
}

// recordEvents records the arrival of events and the pause before them.
func (b *streamBody) recordEvents(now time.Time) {
	if b.firstEventAt.IsZero() {
		b.firstEventAt, b.headAttempt = now, b.current
		b.current.recordFirstByte()
	} else {
		pause := now.Sub(b.lastEventAt)
		b.longestPause = max(b.longestPause, pause)
		// A gap that spans two attempts is not the time of a pass.
		if queue := b.g.admissionQueue(b.dispatch.r.service); queue != nil && !b.resumed {
			queue.RecordEventGap(pause, now)
			b.g.tracker.RecordEventGap(b.current.target, pause, now)
		}
	}
	if b.provingAttempt != b.current {
		b.g.tracker.RecordOutcome(b.current.target, true, now)
	}
	b.lastEventAt, b.resumed = now, false
	b.proveParts(now)
}

// proveParts records when the current target has been answering for long enough to clear the parts of the prompt.
func (b *streamBody) proveParts(now time.Time) {
	if b.provingAttempt != b.current {
		b.provingAttempt, b.provingSince = b.current, now
	}
	if len(b.dispatch.r.parts) > 0 && !b.dispatch.partsProven && now.Sub(b.provingSince) >= answeringProofTime {
		b.g.crashes.proveParts(b.dispatch)
	}
}

// Causes of a late response.
const (
	notLate        = "no"
	lateFirstEvent = "first event"
	latePause      = "pause"
	// lateAnswer is for responses that are not streams.
	lateAnswer = "answer"
)

// lateness returns the cause of a late stream, notLate if the stream was on time.
func (b *streamBody) lateness() string {
	route := b.dispatch.r.route
	switch {
	case b.firstEventAt.IsZero():
		return notLate
	case route.LatencyObjective > 0 && b.firstEventAt.Sub(b.dispatch.r.arrived) > route.LatencyObjective:
		return lateFirstEvent
	case route.EventGapObjective > 0 && b.longestPause > route.EventGapObjective:
		return latePause
	}
	return notLate
}

// handleBrokenStream resumes the stream at another target, or ends it.
func (b *streamBody) handleBrokenStream(err error) {
	broken := b.current
	b.dispatch.recordCutOff(b.ctx, broken.target, broken.sentAt, err)
	broken.close()
	b.current = nil
	b.scanner.discardPending()
	b.failure = b.dispatch.stopError(b.ctx)
	if b.failure == nil {
		b.g.tracker.RecordOutcome(broken.target, false, time.Now())
		b.failure = result.New(result.AnswerBroken, "%s: %w", broken.target.ID, err)
		b.dispatch.lastErr = b.failure
		if !ablate.Off(ablate.Resume) && b.dispatch.canRetry(b.failure) {
			b.resume()
			return
		}
	}
	b.endErr = b.failure
}

func (b *streamBody) resume() {
	after := ""
	if b.scanner.lastID >= 0 {
		after = strconv.FormatInt(b.scanner.lastID, 10)
	}
	b.g.opts.Metrics.CountRetry(b.failure.Code)
	b.dispatch.hasBegunResponse = !b.firstEventAt.IsZero()
	a, e := b.dispatch.nextResponse(b.ctx, after)
	switch {
	case e != nil:
		b.failure, b.endErr = e, e
	case a.resp.Status != fasthttp.StatusOK:
		b.failure = result.New(result.EngineLost, "%s answered the resumption of a stream with status %d", a.target.ID, a.resp.Status)
		b.endErr = b.failure
		a.close()
	default:
		b.current, b.resumed = a, true
	}
}

var errCallerStoppedReading = errors.New("caller stopped reading")

// Close implements io.Closer; fasthttp calls it after the response.
func (b *streamBody) Close() error {
	if b.current != nil {
		b.current.close()
		b.current = nil
	}
	if b.endErr == nil {
		b.failure = b.dispatch.stopError(b.ctx)
		if b.failure == nil {
			b.failure = result.New(result.CallerGone, "%w", errCallerStoppedReading)
		}
		b.endErr = b.failure
	}
	b.onDone(b)
	return nil
}
