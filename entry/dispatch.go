package entry

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/heatherrail/heatherrail/config"
	"github.com/heatherrail/heatherrail/result"
	"github.com/heatherrail/heatherrail/wire"
)

// Call is one request of a caller. Its strings and bytes are copies, because the HTTP library
// reuses its own buffers.
type Call struct {
	ID         string
	Team       string
	Service    string
	Method     string
	Path       string
	Headers    []wire.Header
	Body       []byte
	Key        string
	Repeatable bool
	Priority   int8
	Deadline   time.Time
	sched      schedState
}

// Exchange is an answer in progress.
type Exchange struct {
	Answer wire.Answer
	Target string
	Models []string // model versions that produced the answer, in order

	retrier        *retrier
	stream         *wire.Stream
	ctx            context.Context
	cancel         context.CancelFunc
	textStream     *textStream // nil if the answer is not a text stream
	deliveredBytes int         // bytes returned by Recv
	skipBytes      int         // leading bytes of a replayed answer that Recv has returned before
}

// Do runs a call under one configuration version and returns when its answer begins. The
// error is a *result.Error. Cancelling ctx releases the target.
func (e *Entry) Do(ctx context.Context, snap *config.Snapshot, c *Call) (*Exchange, error) {
	if w := e.stopWindow.Load(); w != nil && !w.Takes(time.Now(), c.Deadline) {
		return nil, result.New(result.EntryLeaving, "entry is shutting down, and the request may last longer")
	}
	cancel := func() {}
	if !e.opts.Off.Deadline {
		ctx, cancel = context.WithDeadlineCause(ctx, c.Deadline, result.New(result.DeadlinePast, "deadline passed"))
	}
	policy := snap.Policy(snap.Service(c.Service))
	e.outcomes.recordRequest(c.Service, policy.RetryShare)
	t := newRetrier(e, snap, c, policy)
	e.requestStarted()
	a, err := t.nextAttempt(ctx, c.Body)
	if err != nil {
		cancel()
		e.requestEnded()
		return nil, err
	}
	x := &Exchange{retrier: t, ctx: ctx, cancel: cancel}
	x.useAttempt(a)
	x.Answer = a.answer
	x.textStream = newTextStream(c, &a.answer)
	return x, nil
}

// useAttempt continues the exchange with the stream of an attempt.
func (x *Exchange) useAttempt(a *attempt) {
	x.stream, x.Target = a.stream, a.target
	if n := len(x.Models); n == 0 || x.Models[n-1] != a.answer.Model {
		x.Models = append(x.Models, a.answer.Model)
	}
}

// Recv returns the next bytes of the answer. It returns io.EOF only after a complete answer.
func (x *Exchange) Recv() ([]byte, error) {
	for {
		data, err := x.receiveNew()
		if err == nil && len(data) > 0 {
			x.deliveredBytes += len(data)
			return data, nil
		}
		if errors.Is(err, io.EOF) {
			x.retrier.recordSuccess(x.Target)
			return nil, io.EOF
		}
		if err == nil {
			continue
		}
		if rest, resumed := x.resume(err); !resumed {
			return nil, err
		} else if len(rest) > 0 {
			return rest, nil
		}
	}
}

// receiveNew receives one event and returns the bytes that are new, which Recv has not
// returned before. It returns none if the event has no new bytes.
func (x *Exchange) receiveNew() ([]byte, error) {
	ev, err := x.stream.Recv(x.ctx)
	if err != nil && x.textStream != nil {
		return x.textStream.handleEnd(err)
	}
	if err != nil || ev.Message != 0 {
		return nil, err
	}
	data := ev.Data
	n := min(x.skipBytes, len(data))
	x.skipBytes -= n
	data = data[n:]
	if x.textStream != nil {
		data = x.textStream.feed(data)
	}
	return data, nil
}

// Close releases the target if the answer has not ended. It must be called once.
func (x *Exchange) Close() {
	x.stream.Close()
	x.cancel()
	x.retrier.entry.requestEnded()
}

// resume continues, with a further attempt, an answer whose target was lost. If ok is false,
// the caller must get the original error, because part of the request has run.
func (x *Exchange) resume(cause error) (rest []byte, ok bool) {
	x.stream.Close()
	t := x.retrier
	t.recordFailure(x.Target, cause)
	body, ok := x.remainingRequest()
	if !ok {
		return nil, false
	}
	if body == nil {
		return x.textStream.endMark(), true
	}
	if !t.waitForRetry(x.ctx, x.Target, cause) {
		return nil, false
	}
	a, err := t.nextAttempt(x.ctx, body)
	if err != nil {
		return nil, false
	}
	// The caller has already received the status of the first attempt.
	if a.answer.Status != x.Answer.Status || (x.skipBytes > 0 && !a.answer.Replay) {
		a.stream.Close()
		return nil, false
	}
	x.useAttempt(a)
	if x.textStream != nil && x.deliveredBytes > 0 {
		rest = x.textStream.continuationComment(a)
	}
	return rest, true
}

// remainingRequest returns the request body for the part of the answer that has not been
// delivered. body is nil if only the end mark is missing; ok is false if the answer cannot be
// resumed.
func (x *Exchange) remainingRequest() (body []byte, ok bool) {
	c := x.retrier.call
	switch {
	case !c.Repeatable:
		x.skipBytes = x.deliveredBytes // the home target (the only one that may run this key) replays its stored answer
		return c.Body, true
	case x.deliveredBytes == 0:
		if x.textStream != nil {
			x.textStream.dropPartialEvent()
		}
		return c.Body, true
	case x.textStream != nil:
		x.textStream.dropPartialEvent()
		if x.retrier.entry.opts.Off.Continue {
			return c.Body, true
		}
		return x.textStream.continuationBody(c)
	}
	return nil, false
}

// chooseTarget returns the target of the next attempt of a repeatable request.
func (e *Entry) chooseTarget(snap *config.Snapshot, c *Call, avoid map[string]bool) (string, error) {
	svc := snap.Service(c.Service)
	view := e.fleetView(snap, svc.Fleet)
	return e.placeRequest(snap, c, view, e.outcomes.excludedTargets(view.declaredTargets, avoid))
}
