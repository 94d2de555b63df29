package entry

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/heatherrail/heatherrail/config"
	"github.com/heatherrail/heatherrail/result"
	"github.com/heatherrail/heatherrail/route"
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
	stream *wire.Stream
	ctx    context.Context
	cancel context.CancelFunc
}

// Recv returns the next bytes; io.EOF only after a whole answer.
func (x *Exchange) Recv() ([]byte, error) {
	for {
		ev, err := x.stream.Recv(x.ctx)
		if err != nil {
			return nil, err
		}
		if ev.Message == 0 {
			return ev.Data, nil
		}
	}
}

// Close frees the target if the answer has not ended.
func (x *Exchange) Close() {
	x.stream.Close()
	x.cancel()
}

// maxTries bounds the tries of one request; the retry budget comes on top.
const maxTries = 3

// Do runs a call under one configuration version and returns when its answer
// begins. The error is a *result.Error. Cancelling ctx frees the target.
func (e *Entry) Do(ctx context.Context, snap *config.Snapshot, c *Call) (*Exchange, error) {
	ctx, cancel := context.WithDeadlineCause(ctx, c.Deadline, result.New(result.DeadlinePast, "deadline passed"))
	avoid := make(map[string]bool)
	var last error
	for range maxTries {
		target, err := e.choose(snap, c, avoid)
		if err != nil {
			if last == nil {
				last = err
			}
			break
		}
		x, err := e.try(ctx, snap, c, target)
		if err == nil {
			x.cancel = cancel
			return x, nil
		}
		last = err
		if !mayRetry(ctx, c, err) {
			break
		}
		avoid[target] = true
		e.opts.Metrics.Retry(result.From(err).Code)
	}
	cancel()
	return nil, result.From(last)
}

// mayRetry: a request that certainly did not run may go elsewhere; one that may
// have run only if its caller allows repeats.
func mayRetry(ctx context.Context, c *Call, err error) bool {
	if ctx.Err() != nil {
		return false
	}
	r := result.From(err)
	if r.Run() == result.RunNot {
		return r.Code.Info().RetryAfter > 0
	}
	return c.Repeatable
}

// choose returns the target of the next try.
func (e *Entry) choose(snap *config.Snapshot, c *Call, avoid map[string]bool) (string, error) {
	svc := snap.Service(c.Service)
	if !c.Repeatable {
		c.prepare(snap, svc, 0)
		return home(c, snap.Targets(svc.Fleet))
	}
	return e.place(snap, c, avoid, len(avoid))
}

func home(c *Call, declared []config.Target) (string, error) {
	names := make([]string, len(declared))
	for i, t := range declared {
		names[i] = t.Name
	}
	i := route.Home(c.Team+"\x00"+c.Service+"\x00"+c.Key, names)
	if i < 0 {
		return "", result.New(result.NoTarget, "service %s has no targets", c.Service)
	}
	return names[i], nil
}

// try sends the call to one target and waits for the start of its answer.
func (e *Entry) try(ctx context.Context, snap *config.Snapshot, c *Call, target string) (*Exchange, error) {
	l := e.link(target)
	if l == nil {
		return nil, result.New(result.Unreachable, "no link to %s", target)
	}
	req := &wire.Request{
		ID:            c.ID,
		Team:          c.Team,
		Service:       c.Service,
		Method:        c.Method,
		Path:          c.Path,
		Headers:       c.Headers,
		Body:          c.Body,
		Key:           c.Key,
		Repeatable:    c.Repeatable,
		Priority:      c.Priority,
		DeadlineMs:    time.Until(c.Deadline).Milliseconds(),
		ConfigVersion: snap.Version,
		Sched:         c.sched.wire(),
	}
	s, err := l.open(req)
	if err != nil {
		return nil, err
	}
	x := &Exchange{Target: target, stream: s, ctx: ctx}
	if err := x.awaitAnswer(); err != nil {
		s.Close()
		return nil, err
	}
	return x, nil
}

func (x *Exchange) awaitAnswer() error {
	ev, err := x.stream.Recv(x.ctx)
	switch {
	case errors.Is(err, io.EOF):
		return result.New(result.AnswerBroken, "%s ended the stream without an answer", x.Target)
	case err != nil:
		return err
	case ev.Message != wire.MessageAnswer:
		return result.New(result.WireMalformed, "%s sent no answer first", x.Target)
	}
	if _, err := x.Answer.UnmarshalMsg(ev.Data); err != nil {
		return result.New(result.WireMalformed, "answer: %w", err)
	}
	return nil
}
