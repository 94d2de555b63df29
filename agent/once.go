package agent

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/heatherrail/heatherrail/result"
	"github.com/heatherrail/heatherrail/wire"
)

// serveOnce runs a request that must not run twice, or attaches a repeat to the
// first try. What is known of the key goes before every other refusal: a repeat
// must not hear "not run" from a target that is merely busy or leaving.
func (a *Agent) serveOnce(ctx context.Context, s *wire.Stream, req *wire.Request) {
	if err := a.checkIncarnation(req); err != nil {
		a.refuse(s, req.ID, err)
		return
	}
	r, err := a.ledger.find(keyOf(req), digestOf(req.Body))
	fresh := false
	if err == nil && r == nil && req.AttachOnly {
		err = result.New(result.TargetLeaving, "the platform says that %s is leaving", a.opts.Settings.Target)
	} else if err == nil && r == nil {
		r, fresh, err = a.startOnce(ctx, req)
	}
	if err != nil {
		a.refuse(s, req.ID, err)
		return
	}
	a.follow(ctx, s, req, r, fresh)
}

// startOnce begins to run a request whose key is unknown here.
func (a *Agent) startOnce(ctx context.Context, req *wire.Request) (*record, bool, error) {
	if err := a.witness.vouch(ctx, req); err != nil {
		return nil, false, err
	}
	if err := a.admit(req); err != nil {
		return nil, false, err
	}
	window := time.Duration(req.DedupMs) * time.Millisecond
	r, fresh, err := a.ledger.claim(keyOf(req), digestOf(req.Body), req.DedupKeys, window, time.Now())
	if err != nil || !fresh {
		a.leave()
		return r, false, err
	}
	go a.execute(req, r)
	return r, true, nil
}

// execute runs the request to its end or deadline. It does not stop when the
// first caller leaves: the run can't be undone, and a repeat wants its answer.
func (a *Agent) execute(req *wire.Request, r *record) {
	defer a.leave()
	ctx, cancel := a.runContext(a.ctx, req)
	defer cancel()
	run, err := a.crashes.begin(ctx, req)
	if err != nil {
		a.ledger.release(keyOf(req))
		r.end(err)
		return
	}
	defer run.end()
	reply, err := a.opts.Backend.Run(ctx, call(req))
	if err != nil {
		err = a.runError(ctx, run, err)
		if result.From(err).Run() == result.RunNot {
			a.ledger.release(keyOf(req))
		}
		r.end(err)
		return
	}
	defer func() { _ = reply.Body.Close() }()
	answer := a.answer(reply)
	r.begin(&answer)
	buf := make([]byte, relayBuffer)
	for {
		n, err := reply.Body.Read(buf)
		if n > 0 {
			if werr := r.write(ctx, buf[:n]); werr != nil {
				r.end(result.From(werr))
				return
			}
		}
		if errors.Is(err, io.EOF) {
			a.ledger.keep(r)
			r.end(io.EOF)
			return
		}
		if err != nil {
			r.end(a.runError(ctx, run, err))
			return
		}
	}
}

// follow streams a record's answer to one caller.
func (a *Agent) follow(ctx context.Context, s *wire.Stream, req *wire.Request, r *record, first bool) {
	a.running.Add(1) // a shutdown waits for whoever still reads
	defer a.leave()
	if first {
		defer r.leave()
	}
	ctx, cancel := a.runContext(ctx, req)
	defer cancel()
	answer, err := r.started(ctx)
	if err != nil {
		if !first {
			err = repeatError(err)
		}
		a.refuse(s, req.ID, err)
		return
	}
	if err := a.relayRecord(ctx, s, r, *answer, first); err != nil {
		if !first {
			err = repeatError(err)
		}
		a.log.Info("answer broken", "request", req.ID, "detail", err.Error())
		_ = s.Abort(err) // without a connection the entry sees the loss itself
		return
	}
	if !first {
		a.opts.Metrics.Count("replayed_answers_total", 1)
	}
	a.opts.Metrics.Result(result.OK)
}

func (a *Agent) relayRecord(ctx context.Context, s *wire.Stream, r *record, answer wire.Answer, first bool) error {
	answer.Replay = !first
	if err := s.SendMessage(wire.MessageAnswer, &answer); err != nil {
		return err
	}
	for pos := 0; ; {
		p, err := r.next(ctx, pos)
		if errors.Is(err, io.EOF) {
			return s.Finish()
		}
		if err != nil {
			return err
		}
		if err := s.Send(ctx, p); err != nil {
			return err
		}
		pos += len(p)
		if first {
			r.took(pos)
		}
	}
}
