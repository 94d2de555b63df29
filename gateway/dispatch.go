package gateway

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/heatherrail/heatherrail/placing"
	"github.com/heatherrail/heatherrail/result"
	"github.com/heatherrail/heatherrail/serving"
	"github.com/heatherrail/heatherrail/upstream"
)

// tries are the tries of one request.
type tries struct {
	g     *Gateway
	r     *request
	tried map[serving.Run]bool
	sent  int // targets that may have begun to work on it
	count int // sends, those that were refused among them
	last  *result.Error
	// waited is how long the request waited for its first target.
	waited time.Duration
}

// exchange is a try whose target answers.
type exchange struct {
	target  *serving.Target
	account *placing.TargetState
	resp    *upstream.Response
	reading bool // no answer has come yet
	sentAt  time.Time
	tries   *tries
}

// close ends a try. The connection is kept if the answer was whole.
func (x *exchange) close() {
	x.firstByte()
	x.resp.Close()
	x.tries.g.endTry(x.account, x.tries.r)
}

// firstByte books that the target has begun to answer.
func (x *exchange) firstByte() {
	if x.reading {
		x.reading = false
		x.tries.g.book.RecordResponseStart(x.account, x.tries.r.wish.Size)
	}
}

// triesMax bounds the sends of one request that certainly did not run; each of
// them costs a round trip.
const triesMax = 4

// next sends the request to a target, and to others after failures that allow it.
// It returns an answer to deliver, or the reason why there is none.
func (t *tries) next(ctx context.Context, resumeAfter string) (*exchange, *result.Error) {
	for {
		if e := t.ended(ctx); e != nil {
			return nil, e
		}
		target, e := t.target(ctx)
		if e != nil {
			return nil, e
		}
		t.logPlaced(target)
		x, e := t.send(ctx, target, resumeAfter)
		if e == nil {
			return x, nil
		}
		t.last = e
		again := t.mayRetry(e)
		t.logFailed(target, e, again)
		if !again {
			if cause := t.ended(ctx); cause != nil {
				return nil, cause
			}
			return nil, e
		}
		t.g.opts.Metrics.Retry(e.Code)
	}
}

// target returns the target of the next try, with the try booked there, once the request may
// go to it.
func (t *tries) target(ctx context.Context) (*serving.Target, *result.Error) {
	t.r.wish.AvoidRateLimited, t.r.wish.Requeued = false, false
	for asked := 1; ; asked++ {
		target, e := t.choose(ctx)
		switch {
		case e != nil:
			return nil, e
		case target == nil:
			return t.awaitPermit(ctx)
		case t.mayGo(ctx, target):
			return target, nil
		}
		t.giveBack(target)
		t.r.wish.AvoidRateLimited, t.r.wish.Requeued = asked >= permitAsks, true
	}
}

// choose returns a target with the next try booked there; nil if there is none, or none but
// such as name a rate.
func (t *tries) choose(ctx context.Context) (*serving.Target, *result.Error) {
	if gt := t.g.gate(t.r.service); gt != nil && t.atGate() {
		return t.wait(ctx, gt)
	}
	targets := t.targets()
	if t.g.book.AllRateLimited(targets) {
		return nil, nil
	}
	target := t.g.book.Place(t.g.book.AllowedTargets(targets, &t.r.wish), t.had, time.Now())
	if target != nil {
		t.g.book.StartAttempt(target, t.r.wish.Size)
	}
	return target, nil
}

// targets returns the targets of the request's service.
func (t *tries) targets() []*serving.Target {
	return t.g.knowledge.view().targets[t.r.service.Name]
}

// giveBack ends a try that was booked and not made.
func (t *tries) giveBack(target *serving.Target) {
	a := t.g.book.TargetState(target)
	t.g.book.RecordResponseStart(a, t.r.wish.Size)
	t.g.endTry(a, t.r)
}

// atGate tells whether the request waits at the gate for its target: at first, and
// after a refusal that concerned all targets alike.
func (t *tries) atGate() bool {
	return t.count == 0 || (t.sent == 0 && t.last != nil && (t.last.Code == result.RankLost || t.last.Code == result.TargetBusy))
}

// had tells whether a target has had this request.
func (t *tries) had(target *serving.Target) bool { return t.tried[target.Run()] }

// wait waits at the gate for a target; nil if all name a rate.
func (t *tries) wait(ctx context.Context, gt *placing.AdmissionQueue) (*serving.Target, *result.Error) {
	broken, short := t.g.book.IsServiceDown(t.r.service.Name, time.Now())
	gt.SetServiceDown(broken)
	if short > 0 && gt.HasWaiting() { // one at a time waits all the same, to see whether engines refuse it still
		e := result.New(result.NoTarget, "the group of %s lacks engines for %d ms", t.r.service.Name, short.Milliseconds())
		e.RetryAfter = placing.ShortageRetryAfter(short)
		return nil, t.orLast(e)
	}
	if t.g.book.AllRateLimited(t.targets()) {
		return nil, nil
	}
	if allEvacuated(t.targets()) {
		return nil, t.orLast(result.New(result.NoTarget, "all targets of %s are evacuated", t.r.service.Name))
	}
	if comeBack, ok := gt.CanFinish(&t.r.wish, time.Now()); !ok {
		e := result.New(result.DeadlineUnmet, "%.0f events would not end in time", t.r.wish.ExpectedEvents)
		e.RetryAfter = comeBack
		return nil, t.orLast(e)
	}
	w, comeBack, ok := gt.Enqueue(&t.r.wish, time.Now())
	if !ok {
		e := result.New(result.WaitTooLong, "the wait would be %d ms", comeBack.Milliseconds())
		e.RetryAfter = comeBack
		return nil, e
	}
	t.g.admitWaiting(t.r.service.Name)
	timer := time.NewTimer(time.Until(t.r.arrived.Add(t.r.wish.MaxWait)))
	defer timer.Stop()
	select {
	case target := <-w.Granted():
		return target, nil
	case <-timer.C:
	case <-ctx.Done():
	}
	if !gt.Remove(w) {
		target := <-w.Granted()
		if ctx.Err() == nil {
			return target, nil
		}
		if target != nil {
			t.giveBack(target)
		}
	}
	if e := t.ended(ctx); e != nil {
		return nil, e
	}
	if len(t.targets()) == 0 {
		return nil, result.New(result.NoTarget, "no target of %s", t.r.service.Name)
	}
	return nil, t.orLast(result.New(result.WaitTooLong, "waited %d ms", time.Since(t.r.arrived).Milliseconds()))
}

// allEvacuated tells whether targets are known and an operator wants none of them to get work.
func allEvacuated(targets []*serving.Target) bool {
	return len(targets) > 0 && !slices.ContainsFunc(targets, func(t *serving.Target) bool { return !t.Evacuated })
}

// ended tells why nothing more can be done: the caller has left, or the time is
// over. Without a try that may have run, the request certainly did not run.
func (t *tries) ended(ctx context.Context) *result.Error {
	cause := context.Cause(ctx)
	switch {
	case cause == nil:
		return nil
	case errors.Is(cause, context.DeadlineExceeded) && t.sent == 0:
		return result.New(result.DeadlineUnmet, "no target took it in time")
	case errors.Is(cause, context.DeadlineExceeded):
		return result.New(result.DeadlinePast, "after %d tries", t.sent)
	}
	return result.From(cause)
}

// orLast returns the failure of the last try, which tells more than that nothing
// is left to be tried. If some try may have run, the answer must not say that the
// request did not.
func (t *tries) orLast(e *result.Error) *result.Error {
	switch {
	case t.last == nil:
		return e
	case t.sent > 0 && t.last.Run() == result.RunNot:
		return result.New(result.TargetLost, "an earlier try may have run; last: %w", t.last)
	}
	return t.last
}

// mayRetry decides after a failed try.
func (t *tries) mayRetry(e *result.Error) bool {
	r := t.r.route
	switch {
	case t.sent >= r.MaxAttempts:
		return false
	case t.count >= triesMax && e.Code != result.RankLost && e.Code != result.TargetLeaving:
		return false
	case e.Run() != result.RunNot && !r.Repeatable():
		return false
	case e.Code == result.CallerGone || e.Code == result.DeadlinePast:
		return false
	case e.Code == result.Unreachable:
		return true // nothing arrived anywhere
	}
	return t.g.budget(t.r.service.Name).take(time.Now(), t.g.mesh.known())
}

// send makes one try.
func (t *tries) send(ctx context.Context, target *serving.Target, resumeAfter string) (*exchange, *result.Error) {
	t.count++
	a := t.g.book.TargetState(target)
	m := t.r.forTry(&t.g.opts.Headers, target, time.Now(), resumeAfter)
	heard, sentAt := t.expect(target), time.Now()
	resp, err := t.g.pools.of(target).Send(ctx, m)
	heard(err == nil)
	x := &exchange{target: target, account: a, resp: resp, reading: true, sentAt: sentAt, tries: t}
	if err != nil {
		t.g.book.RecordResponseStart(a, t.r.wish.Size)
		t.g.endTry(a, t.r)
		return nil, t.lost(ctx, target, err)
	}
	t.g.noteRate(x)
	if e := t.judge(x); e != nil {
		t.tried[target.Run()] = e.Code != result.RankLost // it is as good as any once the group is back
		x.close()
		return nil, e
	}
	t.tried[target.Run()] = true
	return x, nil
}

// lost makes a result of a try without an answer.
func (t *tries) lost(ctx context.Context, target *serving.Target, err error) *result.Error {
	var failed *upstream.SendError
	sent := !errors.As(err, &failed) || failed.MayHaveRun
	t.tried[target.Run()] = true
	if sent {
		t.sent++
	}
	if context.Cause(ctx) == nil {
		t.g.book.RecordOutcome(target, false, time.Now())
		t.doubt(target, failed)
	}
	if cause := t.ended(ctx); cause != nil {
		return cause
	}
	if !sent {
		return result.New(result.Unreachable, "%s at %s: %w", target.ID, target.Address, err)
	}
	return result.New(result.TargetLost, "%s: %w", target.ID, err)
}

// judge looks at the head of an answer: nil means that it is the target's own and
// to be delivered.
func (t *tries) judge(x *exchange) *result.Error {
	p := &t.g.opts.Headers
	h := &x.resp.Header
	status := x.resp.Status
	notRun := len(h.Peek(p.NotRun)) > 0
	switch {
	case status == statusMisdirected:
		t.g.book.MarkReplaced(x.target)
		return result.New(result.TargetLeaving, "another target has the address of %s", x.target.ID)
	case notRun:
		e := result.New(result.TargetBusy, "%s did not run it, status %d", x.target.ID, status)
		if fault := string(h.Peek(p.FaultAt)); fault != "" {
			e.Code = result.RankLost
			e.Detail += ", fault at " + fault
			t.g.book.RecordGroupRefusal(x.target, time.Now())
		} else {
			t.g.book.RecordOutcome(x.target, false, time.Now())
		}
		e.RetryAfter = retryAfter(string(h.Peek("Retry-After")))
		return e
	}
	t.sent++
	if status/100 == 2 && t.g.gate(t.r.service) != nil {
		t.g.book.RecordGroupResponse(x.target, time.Now())
	}
	switch {
	case status/100 == 2 && len(h.Peek(p.Seal)) == 0:
		t.g.book.RecordOutcome(x.target, false, time.Now())
		return result.New(result.AnswerBroken, "%s answered %d without its proof", x.target.ID, status)
	case status/100 == 5 && t.r.route.Repeatable() && t.sent < t.r.route.MaxAttempts && t.canSpare():
		t.g.book.RecordOutcome(x.target, false, time.Now())
		return result.New(result.EngineLost, "%s failed with %d", x.target.ID, status)
	}
	t.g.book.RecordOutcome(x.target, status/100 != 5, time.Now())
	return nil
}

// canSpare tells whether a failure of a target may be dropped for another try.
// The failure is an answer too; without another target it is what the caller gets.
func (t *tries) canSpare() bool {
	sure := t.g.book.AllowedTargets(t.targets(), &placing.Request{AvoidRateLimited: true})
	return t.g.book.Place(sure, t.had, time.Now()) != nil
}

// endTry books the end of a try, which may let another request go.
func (g *Gateway) endTry(a *placing.TargetState, r *request) {
	g.book.EndAttempt(a, &r.wish, time.Now())
	g.roomMade(r.service.Name)
}

const statusMisdirected = 421
