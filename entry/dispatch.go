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

// Call is one caller's request. Its strings and bytes are owned by it: the HTTP
// library reuses its own buffers.
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
	sched      sched
}

// Exchange is a running answer.
type Exchange struct {
	Answer wire.Answer
	Target string
	Models []string // model versions that produced the answer, in order

	tries     *tries
	stream    *wire.Stream
	ctx       context.Context
	cancel    context.CancelFunc
	text      *textStream // nil: the answer is no stream of text
	delivered int         // bytes handed to the caller
	skip      int         // bytes of a replayed answer that the caller has already
}

// Do runs a call under one configuration version and returns when its answer
// begins. The error is a *result.Error. Cancelling ctx frees the target.
func (e *Entry) Do(ctx context.Context, snap *config.Snapshot, c *Call) (*Exchange, error) {
	cancel := func() {}
	if !e.opts.Off.Deadline {
		ctx, cancel = context.WithDeadlineCause(ctx, c.Deadline, result.New(result.DeadlinePast, "deadline passed"))
	}
	policy := snap.Policy(snap.Service(c.Service))
	e.out.request(c.Service, policy.RetryShare)
	t := newTries(e, snap, c, policy)
	e.begin()
	a, err := t.next(ctx, c.Body)
	if err != nil {
		cancel()
		e.end()
		return nil, err
	}
	x := &Exchange{tries: t, ctx: ctx, cancel: cancel}
	x.adopt(a)
	x.Answer = a.answer
	x.text = newTextStream(c, &a.answer)
	return x, nil
}

// adopt goes on with the stream of a try.
func (x *Exchange) adopt(a *attempt) {
	x.stream, x.Target = a.stream, a.target
	if n := len(x.Models); n == 0 || x.Models[n-1] != a.answer.Model {
		x.Models = append(x.Models, a.answer.Model)
	}
}

// Recv returns the next bytes; io.EOF only after a whole answer.
func (x *Exchange) Recv() ([]byte, error) {
	for {
		data, err := x.receive()
		if err == nil && len(data) > 0 {
			x.delivered += len(data)
			return data, nil
		}
		if errors.Is(err, io.EOF) {
			x.tries.succeeded(x.Target)
			return nil, io.EOF
		}
		if err == nil {
			continue
		}
		if rest, recovered := x.recover(err); !recovered {
			return nil, err
		} else if len(rest) > 0 {
			return rest, nil
		}
	}
}

// receive returns bytes that the caller does not have yet, none if an event held
// only others.
func (x *Exchange) receive() ([]byte, error) {
	ev, err := x.stream.Recv(x.ctx)
	if err != nil && x.text != nil {
		return x.text.end(err)
	}
	if err != nil || ev.Message != 0 {
		return nil, err
	}
	data := ev.Data
	n := min(x.skip, len(data))
	x.skip -= n
	data = data[n:]
	if x.text != nil {
		data = x.text.feed(data)
	}
	return data, nil
}

// Close frees the target if the answer has not ended. It is called once.
func (x *Exchange) Close() {
	x.stream.Close()
	x.cancel()
	x.tries.entry.end()
}

// recover goes on with an answer whose target was lost. Where it can't, the
// first error stands: part of the request has run.
func (x *Exchange) recover(cause error) (rest []byte, ok bool) {
	x.stream.Close()
	t := x.tries
	t.failed(x.Target, cause)
	body, ok := x.remainder()
	if !ok {
		return nil, false
	}
	if body == nil {
		return x.text.finish(), true
	}
	if !t.again(x.ctx, x.Target, cause) {
		return nil, false
	}
	a, err := t.next(x.ctx, body)
	if err != nil {
		return nil, false
	}
	// The caller has the first status already.
	if a.answer.Status != x.Answer.Status || (x.skip > 0 && !a.answer.Replay) {
		a.stream.Close()
		return nil, false
	}
	x.adopt(a)
	if x.text != nil && x.delivered > 0 {
		rest = x.text.continued(a)
	}
	return rest, true
}

// remainder returns the body of the request for what the caller does not have
// yet; nil if nothing but the end is missing.
func (x *Exchange) remainder() (body []byte, ok bool) {
	c := x.tries.call
	switch {
	case !c.Repeatable:
		x.skip = x.delivered // the home replays its one run
		return c.Body, true
	case x.delivered == 0:
		if x.text != nil {
			x.text.reset()
		}
		return c.Body, true
	case x.text != nil:
		x.text.reset()
		if x.tries.entry.opts.Off.Continue {
			return c.Body, true
		}
		return x.text.remainder(c)
	}
	return nil, false
}

// choose returns the target of the next try of a repeatable request.
func (e *Entry) choose(snap *config.Snapshot, c *Call, avoid map[string]bool) (string, error) {
	svc := snap.Service(c.Service)
	view := e.fleetView(snap, svc.Fleet)
	return e.place(snap, c, view, e.out.keepOut(view.declared, avoid))
}
