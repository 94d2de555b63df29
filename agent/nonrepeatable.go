package agent

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/heatherrail/heatherrail/result"
	"github.com/heatherrail/heatherrail/wire"
)

// serveNonRepeatable runs a request that must not run twice, or attaches a repeat to the
// first attempt. The deduplication table is checked before every other reason to refuse: a
// target that is merely busy or leaving must not answer "not run" to a repeat of a request
// that ran.
func (a *Agent) serveNonRepeatable(ctx context.Context, s *wire.Stream, req *wire.Request) {
	if err := a.checkIncarnation(req); err != nil {
		a.refuse(s, req.ID, err)
		return
	}
	r, err := a.dedup.lookup(dedupKeyOf(req), bodyDigestOf(req.Body))
	fresh := false
	if err == nil && r == nil && req.AttachOnly {
		err = result.New(result.TargetLeaving, "%s is leaving according to the platform", a.opts.Settings.Target)
	} else if err == nil && r == nil {
		r, fresh, err = a.startNonRepeatable(ctx, req)
	}
	if err != nil {
		a.refuse(s, req.ID, err)
		return
	}
	a.streamRecord(ctx, s, req, r, fresh)
}

// startNonRepeatable starts a request whose key is unknown here.
func (a *Agent) startNonRepeatable(ctx context.Context, req *wire.Request) (*record, bool, error) {
	if err := a.dispatches.confirmNotRun(ctx, req); err != nil {
		return nil, false, err
	}
	if err := a.admit(req); err != nil {
		return nil, false, err
	}
	window := time.Duration(req.DedupMs) * time.Millisecond
	r, fresh, err := a.dedup.claim(dedupKeyOf(req), bodyDigestOf(req.Body), req.DedupKeys, window, time.Now())
	if err != nil || !fresh {
		a.finishRequest()
		return r, false, err
	}
	go a.executeNonRepeatable(req, r)
	return r, true, nil
}

// executeNonRepeatable runs the request to its end or deadline. It does not stop when the
// first caller disconnects: the run cannot be undone, and a repeat needs its answer.
func (a *Agent) executeNonRepeatable(req *wire.Request, r *record) {
	defer a.finishRequest()
	ctx, cancel := a.runContext(a.ctx, req)
	defer cancel()
	run, err := a.crashes.start(ctx, req)
	if err != nil {
		a.dedup.release(dedupKeyOf(req))
		r.finish(err)
		return
	}
	defer run.finish()
	reply, err := a.opts.Backend.Run(ctx, backendCall(req))
	if err != nil {
		err = a.runError(ctx, run, err)
		if result.From(err).Run() == result.RunNot {
			a.dedup.release(dedupKeyOf(req))
		}
		r.finish(err)
		return
	}
	defer func() { _ = reply.Body.Close() }()
	answer := a.answerHeader(reply)
	r.startAnswer(&answer)
	buf := make([]byte, relayBufferBytes)
	for {
		n, err := reply.Body.Read(buf)
		if n > 0 {
			if werr := r.write(ctx, buf[:n]); werr != nil {
				r.finish(result.From(werr))
				return
			}
		}
		if errors.Is(err, io.EOF) {
			a.dedup.retainAnswer(r)
			r.finish(io.EOF)
			return
		}
		if err != nil {
			r.finish(a.runError(ctx, run, err))
			return
		}
	}
}

// streamRecord streams a record's answer to one caller; first is true for the caller whose
// request ran.
func (a *Agent) streamRecord(ctx context.Context, s *wire.Stream, req *wire.Request, r *record, first bool) {
	a.inFlight.Add(1) // so that a shutdown waits for callers that are still reading
	defer a.finishRequest()
	if first {
		defer r.markCallerGone()
	}
	ctx, cancel := a.runContext(ctx, req)
	defer cancel()
	answer, err := r.waitForAnswer(ctx)
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
		_ = s.Abort(err) // on a lost connection the entry notices the loss itself
		return
	}
	if !first {
		a.opts.Metrics.Count("replayed_answers_total", 1)
	}
	a.opts.Metrics.CountResult(result.OK)
}

func (a *Agent) relayRecord(ctx context.Context, s *wire.Stream, r *record, answer wire.Answer, first bool) error {
	answer.Replay = !first
	if err := s.SendMessage(wire.MessageAnswer, &answer); err != nil {
		return err
	}
	for pos := 0; ; {
		p, err := r.nextBytes(ctx, pos)
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
			r.recordConsumed(pos)
		}
	}
}
