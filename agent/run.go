package agent

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/heatherrail/heatherrail/outside"
	"github.com/heatherrail/heatherrail/result"
	"github.com/heatherrail/heatherrail/wire"
)

const relayBufferBytes = 8 << 10

// ServeStream implements wire.Handler.
func (a *Agent) ServeStream(ctx context.Context, s *wire.Stream, m wire.Method, payload []byte) {
	if a.serveControl(ctx, s, m, payload) {
		return
	}
	if m == wire.MethodRank && a.rank != nil {
		a.rank.serve(ctx, s, payload)
		return
	}
	if m != wire.MethodRequest {
		a.refuse(s, "", result.New(result.WireUnknownKind, "method %d", m))
		return
	}
	var req wire.Request
	if _, err := req.UnmarshalMsg(payload); err != nil {
		a.refuse(s, "", result.New(result.WireMalformed, "request: %w", err))
		return
	}
	req.Sched.Entry = s.Conn().Peer().Name
	a.recordActivity(s.Conn())
	if !req.Repeatable {
		a.serveNonRepeatable(ctx, s, &req)
		return
	}
	if err := a.admit(&req); err != nil {
		a.refuse(s, req.ID, err)
		return
	}
	defer a.finishRequest()
	a.run(ctx, s, &req)
}

// admit counts the request as in flight, or returns the reason why it does not run. The
// request is counted before leaving is checked, so that either a drain sees the request in
// flight or the request sees the drain.
func (a *Agent) admit(req *wire.Request) error {
	n := a.inFlight.Add(1)
	err := a.checkAdmission(req, int(n))
	if err != nil {
		a.finishRequest()
	}
	return err
}

func (a *Agent) checkAdmission(req *wire.Request, running int) error {
	if err := a.checkIncarnation(req); err != nil {
		return err
	}
	switch {
	case a.isSuperseded(req.ConfigVersion, time.Now()):
		return result.New(result.StaleVersion, "version %d is superseded by %d", req.ConfigVersion, a.config.newestVersion())
	case a.leaving.Load():
		return result.New(result.TargetLeaving, "%s is leaving", a.opts.Settings.Target)
	case running > a.opts.Settings.Queue:
		return result.New(result.TargetBusy, "%d requests in flight, limit %d", running, a.opts.Settings.Queue)
	case req.DeadlineMs <= 0:
		return result.New(result.DeadlineUnmet, "no time left before the deadline")
	}
	return nil
}

// checkIncarnation refuses a request that was sent to an earlier process at this address:
// its sender may already have been told that the request is lost.
func (a *Agent) checkIncarnation(req *wire.Request) error {
	if req.AgentInc != a.opts.Incarnation && !a.opts.Off.Incarnation {
		return result.New(result.StaleAgent, "request is for incarnation %d, this is %d", req.AgentInc, a.opts.Incarnation)
	}
	return nil
}

func (a *Agent) finishRequest() {
	if a.inFlight.Add(-1) == 0 {
		select {
		case a.idle <- struct{}{}:
		default:
		}
	}
}

func (a *Agent) refuse(s *wire.Stream, id string, err error) {
	e := result.From(err)
	a.opts.Metrics.CountResult(e.Code)
	a.log.V(1).Info("refused", "request", id, "code", e.Code, "detail", e.Detail)
	_ = s.Refuse(e) // on a lost connection there is no receiver
}

// runContext returns a context that ends at the deadline of the request.
func (a *Agent) runContext(ctx context.Context, req *wire.Request) (context.Context, context.CancelFunc) {
	return context.WithTimeoutCause(ctx, time.Duration(req.DeadlineMs)*time.Millisecond,
		result.New(result.DeadlinePast, "deadline passed on %s", a.opts.Settings.Target))
}

func (a *Agent) run(ctx context.Context, s *wire.Stream, req *wire.Request) {
	ctx, cancel := a.runContext(ctx, req)
	defer cancel()
	run, err := a.crashes.start(ctx, req)
	if err != nil {
		a.refuse(s, req.ID, err)
		return
	}
	defer run.finish()
	reply, err := a.opts.Backend.Run(ctx, backendCall(req))
	if err != nil {
		a.refuse(s, req.ID, a.runError(ctx, run, err))
		return
	}
	defer func() { _ = reply.Body.Close() }()
	if err := a.relayAnswer(ctx, s, run, reply); err != nil {
		a.log.Info("answer broken", "request", req.ID, "detail", err.Error())
		_ = s.Abort(err) // on a lost connection the entry notices the loss itself
		return
	}
	a.opts.Metrics.CountResult(result.OK)
}

func backendCall(req *wire.Request) *outside.Call {
	c := &outside.Call{Method: req.Method, Path: req.Path, Body: req.Body, Sched: backendSched(req)}
	for _, h := range req.Headers {
		c.Headers = append(c.Headers, [2]string{h.Name, h.Value})
	}
	c.Headers = append(c.Headers, [2]string{"Heatherrail-Request-Id", req.ID})
	if req.Key != "" {
		c.Headers = append(c.Headers, [2]string{"Idempotency-Key", req.Key})
	}
	return c
}

// backendError converts a failed backend call into a result. The result is "not run" only
// if no byte of the call was sent.
func backendError(ctx context.Context, err error) error {
	var send *outside.SendError
	if errors.As(err, &send) && !send.MayHaveRun {
		if r := new(result.Error); errors.As(send.Err, &r) {
			return r // a result of the agent's own queue
		}
		return result.New(result.Unreachable, "backend: %w", err)
	}
	return midRunError(ctx, err)
}

func midRunError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return result.From(context.Cause(ctx))
	}
	return result.New(result.EngineLost, "backend: %w", err)
}

// runError is backendError for a request that may have been on the engine when it crashed.
func (a *Agent) runError(ctx context.Context, run *engineRequest, err error) error {
	err = backendError(ctx, err)
	code := result.From(err).Code
	switch {
	case code == result.EngineLost:
		run.recordEngineLoss()
	case code == result.Unreachable && ctx.Err() == nil: // a cancelled dial does not show that the engine is down
		a.health.recordDown()
	}
	return err
}

// modelHeader is the header in which an engine names its model version.
const modelHeader = "Heatherrail-Model"

func (a *Agent) answerHeader(reply *outside.Reply) wire.Answer {
	answer := wire.Answer{
		Status: reply.Status,
		Target: a.opts.Settings.Target,
		Model:  outside.Header(reply.Headers, modelHeader),
	}
	for _, h := range reply.Headers {
		answer.Headers = append(answer.Headers, wire.Header{Name: h[0], Value: h[1]})
	}
	return answer
}

// relayAnswer copies the answer into the stream. The credit of the stream applies back
// pressure to the backend when the caller reads slowly.
func (a *Agent) relayAnswer(ctx context.Context, s *wire.Stream, run *engineRequest, reply *outside.Reply) error {
	answer := a.answerHeader(reply)
	if err := s.SendMessage(wire.MessageAnswer, &answer); err != nil {
		return fmt.Errorf("send answer: %w", err)
	}
	buf := make([]byte, relayBufferBytes)
	for {
		n, err := reply.Body.Read(buf)
		if n > 0 {
			if sendErr := s.Send(ctx, buf[:n]); sendErr != nil {
				return fmt.Errorf("send chunk: %w", sendErr)
			}
		}
		if errors.Is(err, io.EOF) {
			return s.Finish()
		}
		if err != nil {
			return a.runError(ctx, run, err)
		}
	}
}
