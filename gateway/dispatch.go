package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/heatherrail/heatherrail/callers"
	"github.com/heatherrail/heatherrail/placing"
	"github.com/heatherrail/heatherrail/result"
	"github.com/heatherrail/heatherrail/route"
	"github.com/heatherrail/heatherrail/serving"
	"github.com/heatherrail/heatherrail/upstream"
)

// dispatch is the delivery of one request, with all its attempts at targets.
type dispatch struct {
	g               *Gateway
	r               *request
	triedRuns       map[serving.Run]bool
	mayHaveRunCount int // attempts whose target may have run the request
	sendCount       int // attempts, including refused ones
	lastErr         *result.Error
	// queueTime is the time between the arrival of the request and its first attempt.
	queueTime        time.Duration
	partsProven      bool      // the current attempt has shown that no part of the prompt crashes its target
	hasBegunResponse bool      // the caller has part of a stream
	retryReserved    bool      // the retry budget has counted the next attempt, or the current one until it is answered
	trial            *ownTrial // trial of the current attempt; nil: the request runs like any other
	conn             *callers.Conn
	cancel           context.CancelCauseFunc // ends the request
}

// attempt is an attempt of a request whose target has sent a response header.
type attempt struct {
	target            *serving.Target
	targetState       *placing.TargetState
	resp              *upstream.Response
	answer            serving.Answer // decoded header of resp
	awaitingFirstByte bool
	sentAt            time.Time
	dispatch          *dispatch
}

// close ends the attempt. The connection is reused if the response was read to its end.
func (a *attempt) close() {
	a.recordFirstByte()
	a.dispatch.endTrial()
	a.resp.Close()
	a.dispatch.g.endAttempt(a.targetState, a.dispatch.r)
}

// recordFirstByte records that the target has started its response.
func (a *attempt) recordFirstByte() {
	if a.awaitingFirstByte {
		a.awaitingFirstByte = false
		a.dispatch.g.tracker.RecordResponseStart(a.targetState, a.dispatch.r.placement.Size)
	}
}

// maxSends is how often a request that certainly did not run may be sent. The number is limited
// because each attempt costs a round trip.
const maxSends = 4

// nextResponse sends the request to a target, and to other targets after failures that permit a
// retry. It returns the attempt whose response is to be delivered, or the final error.
func (d *dispatch) nextResponse(ctx context.Context, resumeAfter string) (*attempt, *result.Error) {
	a, e := d.tryTargets(ctx, resumeAfter)
	if e != nil {
		e = d.truthful(e)
		d.cancelRetry()
		d.setRestRetryAfter(e)
	}
	return a, e
}

func (d *dispatch) tryTargets(ctx context.Context, resumeAfter string) (*attempt, *result.Error) {
	for {
		if e := d.stopError(ctx); e != nil {
			return nil, e
		}
		target, e := d.acquireBeforeStop(ctx)
		if e != nil {
			return nil, e
		}
		d.logPlaced(target)
		a, e := d.sendAttempt(ctx, target, resumeAfter)
		if e == nil {
			return a, nil
		}
		d.lastErr = e
		retry := d.canRetry(e)
		d.logAttemptFailed(target, e, retry)
		if !retry {
			if cause := d.stopError(ctx); cause != nil {
				return nil, cause
			}
			return nil, e
		}
		d.g.opts.Metrics.CountRetry(e.Code)
	}
}

// acquireBeforeStop is acquireForSend for a request that must not be passed on once the shutdown of the
// gateway could cut off its response. A stream that is interrupted is resumed all the same: it could only
// end sooner.
func (d *dispatch) acquireBeforeStop(ctx context.Context) (*serving.Target, *result.Error) {
	if d.hasBegunResponse {
		return d.acquireForSend(ctx)
	}
	watched, done := d.g.stopGate.watch(ctx, d.r)
	defer done()
	target, e := d.acquireForSend(watched)
	if e != nil {
		return nil, e
	}
	if e := d.g.stopGate.check(d.r); e != nil {
		d.endTrial()
		d.releaseTarget(target)
		return nil, d.unlessMayHaveRun(e)
	}
	return target, nil
}

// stopError returns why no further attempt can be made: the caller has disconnected, the deadline has
// passed, or the gateway stops. The error says that the request did not run unless an attempt may have
// run.
func (d *dispatch) stopError(ctx context.Context) *result.Error {
	cause := context.Cause(ctx)
	switch {
	case cause == nil:
		return nil
	case errors.Is(cause, context.DeadlineExceeded) && d.mayHaveRunCount == 0:
		return result.New(result.DeadlineUnmet, "no target accepted the request before its deadline")
	case errors.Is(cause, context.DeadlineExceeded):
		return result.New(result.DeadlinePast, "deadline passed after %d attempts that may have run", d.mayHaveRunCount)
	}
	return d.truthful(result.From(cause))
}

// truthful returns an error that does not say that the request did not run if an attempt may have run it.
func (d *dispatch) truthful(e *result.Error) *result.Error {
	if e.Run() != result.RunNot {
		return e
	}
	return d.unlessMayHaveRun(e)
}

// preferLastError returns the error of the last attempt if there is one, as it is more specific
// than e. If any attempt may have run the request, the returned error never says that it did not
// run.
func (d *dispatch) preferLastError(e *result.Error) *result.Error {
	switch {
	case d.lastErr == nil && d.mayHaveRunCount > 0 && e.Run() == result.RunNot:
		return result.New(result.TargetLost, "the request may have run; then: %w", e)
	case d.lastErr == nil:
		return e
	case d.mayHaveRunCount > 0 && d.lastErr.Run() == result.RunNot:
		return result.New(result.TargetLost, "an earlier attempt may have run; last error: %w", d.lastErr)
	}
	return d.lastErr
}

// unlessMayHaveRun returns an error that says that the request did not run, or the error of the last
// attempt if one may have run it.
func (d *dispatch) unlessMayHaveRun(e *result.Error) *result.Error {
	if d.mayHaveRunCount > 0 {
		return d.preferLastError(e)
	}
	return e
}

// canRetry decides whether the request may be sent again after a failed attempt.
func (d *dispatch) canRetry(e *result.Error) bool {
	r := d.r.route
	switch {
	case d.mayHaveRunCount >= r.MaxAttempts:
		return false
	case d.sendCount >= maxSends && e.Code != result.RankLost && e.Code != result.TargetLeaving:
		return false
	case e.Run() != result.RunNot && !r.Repeatable():
		return false
	case e.Code == result.CallerGone || e.Code == result.DeadlinePast:
		return false
	case e.Code == result.Unreachable:
		return true // no target received anything, so the retry needs no budget
	}
	return d.reserveRetry()
}

// sendAttempt sends the request to a target and checks the response header.
func (d *dispatch) sendAttempt(ctx context.Context, target *serving.Target, resumeAfter string) (*attempt, *result.Error) {
	d.sendCount++
	d.partsProven = false
	state := d.g.tracker.TargetState(target)
	req := d.r.requestForAttempt(&d.g.opts.Headers, target, time.Now(), resumeAfter)
	stopTimeout, sentAt := d.watchTimeout(target), time.Now()
	resp, err := d.g.connPools.forTarget(target).Send(ctx, req)
	stopTimeout(err == nil)
	if mayHaveRun(err) {
		d.recordRetryAnswered()
	}
	a := &attempt{target: target, targetState: state, resp: resp, awaitingFirstByte: true, sentAt: sentAt, dispatch: d}
	if err != nil {
		d.g.tracker.RecordResponseStart(state, d.r.placement.Size)
		d.g.endAttempt(state, d.r)
		e := d.handleSendError(ctx, target, sentAt, err)
		d.endTrial()
		return nil, e
	}
	a.answer = d.g.opts.DecodeAnswer(resp.Status, &resp.Header)
	d.recordStatements(a)
	d.triedRuns[target.Run()] = true
	if e := d.checkResponse(a); e != nil {
		// After a rank loss the target may be used again once its group has recovered.
		d.triedRuns[target.Run()] = e.Code != result.RankLost
		a.close()
		return nil, e
	}
	return a, nil
}

// mayHaveRun reports whether an attempt with this error, or none, may have reached its target.
func mayHaveRun(err error) bool {
	var sendErr *upstream.SendError
	return !errors.As(err, &sendErr) || sendErr.MayHaveRun
}

// handleSendError records an attempt that got no response and returns the error for the request.
func (d *dispatch) handleSendError(ctx context.Context, target *serving.Target, sentAt time.Time, err error) *result.Error {
	var sendErr *upstream.SendError
	errors.As(err, &sendErr)
	mayHaveRun := mayHaveRun(err)
	d.triedRuns[target.Run()] = true
	if mayHaveRun {
		d.mayHaveRunCount++
		d.recordCutOff(ctx, target, sentAt, err)
	}
	if context.Cause(ctx) == nil {
		d.g.tracker.RecordOutcome(target, false, time.Now())
		d.recordBrokenConn(target, sendErr)
	}
	if cause := d.stopError(ctx); cause != nil {
		return cause
	}
	if !mayHaveRun {
		return result.New(result.Unreachable, "%s at %s: %w", target.ID, target.Address, err)
	}
	return result.New(result.TargetLost, "%s: %w", target.ID, err)
}

// checkResponse checks the response header and records the outcome. It returns nil if the
// response is to be delivered to the caller.
func (d *dispatch) checkResponse(a *attempt) *result.Error {
	status := a.resp.Status
	fromOther := a.answer.Instance != "" && a.answer.Instance != a.target.ID
	verdict := route.JudgeResponse(status, a.answer.NotRun, fromOther, d.r.route.Repeatable())
	// A caller that expects another version makes sound targets answer 421.
	failed := status/100 == 5 || status == fasthttp.StatusMisdirectedRequest && !d.r.expectsVersion
	switch verdict {
	case route.VerdictReplaced:
		d.g.tracker.MarkReplaced(a.target)
		return result.New(result.TargetLeaving, "%s has taken the address of %s", a.answer.Instance, a.target.ID)
	case route.VerdictNotRun:
		e := result.New(result.TargetBusy, "%s did not run the request, status %d", a.target.ID, status)
		if a.answer.FaultAt != "" {
			e.Code = result.RankLost
			e.Detail += ", fault at " + a.answer.FaultAt
			d.g.tracker.RecordGroupRefusal(a.target, time.Now())
		} else if status != fasthttp.StatusMisdirectedRequest || failed {
			d.g.tracker.RecordOutcome(a.target, false, time.Now())
		}
		if a.answer.Rest == 0 { // a rest concerns this target only
			e.RetryAfter = a.answer.RetryAfter
		}
		return e
	}
	d.mayHaveRunCount++
	if status/100 == 2 && d.g.admissionQueue(d.r.service) != nil {
		d.g.tracker.RecordGroupResponse(a.target, time.Now())
	}
	switch {
	case status/100 == 2 && !a.answer.Sealed:
		d.g.tracker.RecordOutcome(a.target, false, time.Now())
		return result.New(result.AnswerBroken, "%s answered %d without a seal", a.target.ID, status)
	}
	if status/100 != 2 { // a success counts once the body, or the first event of a stream, has arrived
		d.g.tracker.RecordOutcome(a.target, !failed, time.Now())
	}
	switch {
	case verdict == route.VerdictWithhold:
		return result.New(result.EngineLost, "%s answered with status %d and does not state that the request did not run", a.target.ID, status)
	case verdict == route.VerdictRepeat && d.mayHaveRunCount < d.r.route.MaxAttempts && d.hasAlternative():
		return result.New(result.EngineLost, "%s answered with status %d", a.target.ID, status)
	}
	return nil
}

// hasAlternative reports whether another target can take the request now. If no other target can,
// the target's own error response is passed to the caller.
func (d *dispatch) hasAlternative() bool {
	targets := d.g.tracker.AllowedTargets(d.targets(), &placing.Request{AvoidRateLimited: true})
	return d.g.tracker.Place(targets, d.wasTried, time.Now()) != nil
}

// endAttempt records the end of an attempt and admits queued requests into the headroom that the
// attempt leaves.
func (g *Gateway) endAttempt(state *placing.TargetState, r *request) {
	g.tracker.EndAttempt(state, &r.placement, time.Now())
	g.admitIfQueued(r.service.Name)
}
