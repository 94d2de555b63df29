package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/heatherrail/heatherrail/placing"
	"github.com/heatherrail/heatherrail/result"
	"github.com/heatherrail/heatherrail/serving"
)

// acquireTarget returns the target of the next attempt and records the attempt there. If the
// target needs a permit, acquireTarget returns only when the permit is valid.
func (d *dispatch) acquireTarget(ctx context.Context) (*serving.Target, *result.Error) {
	d.r.placement.AvoidRateLimited, d.r.placement.Requeued = false, false
	for permitRequests := 1; ; permitRequests++ {
		target, e := d.selectTarget(ctx)
		switch {
		case e != nil:
			return nil, e
		case target == nil:
			return d.awaitPermit(ctx)
		case d.acquirePermit(ctx, target) && d.g.tracker.Accepts(target, time.Now()):
			return target, nil
		}
		d.releaseTarget(target)
		d.r.placement.AvoidRateLimited, d.r.placement.Requeued = permitRequests >= maxPermitRequests, true
	}
}

// selectTarget returns a target for the next attempt and records the attempt there. It returns
// nil if there is no target, or if all targets report a rate limit.
func (d *dispatch) selectTarget(ctx context.Context) (*serving.Target, *result.Error) {
	if queue := d.g.admissionQueue(d.r.service); queue != nil && d.mustQueue() {
		return d.awaitAdmission(ctx, queue)
	}
	if e := d.awaitRest(ctx); e != nil {
		return nil, e
	}
	targets := d.targets()
	if d.g.tracker.AllRateLimited(targets, time.Now()) {
		return nil, nil
	}
	target := d.g.tracker.Place(d.g.tracker.AllowedTargets(targets, &d.r.placement), d.wasTried, time.Now())
	if target != nil {
		d.g.tracker.StartAttempt(target, d.r.placement.Size)
	}
	return target, nil
}

// targets returns the targets of the request's service.
func (d *dispatch) targets() []*serving.Target {
	return d.g.state.snapshot().targets[d.r.service.Name]
}

// releaseTarget ends an attempt that was recorded but not sent.
func (d *dispatch) releaseTarget(target *serving.Target) {
	state := d.g.tracker.TargetState(target)
	d.g.tracker.RecordResponseStart(state, d.r.placement.Size)
	d.g.endAttempt(state, d.r)
}

// mustQueue reports whether the request goes through the admission queue: for its first attempt,
// and after a refusal that concerns all targets alike.
func (d *dispatch) mustQueue() bool {
	return d.sendCount == 0 || (d.mayHaveRunCount == 0 && d.lastErr != nil && (d.lastErr.Code == result.RankLost || d.lastErr.Code == result.TargetBusy))
}

// wasTried reports whether the request was sent to this run of a target before.
func (d *dispatch) wasTried(target *serving.Target) bool { return d.triedRuns[target.Run()] }

// awaitAdmission waits in the admission queue for a target. It returns nil if all targets report
// a rate limit.
func (d *dispatch) awaitAdmission(ctx context.Context, queue *placing.AdmissionQueue) (*serving.Target, *result.Error) {
	isDown, downFor := d.g.tracker.IsServiceDown(d.r.service.Name, time.Now())
	queue.SetServiceDown(isDown)
	// While engines are missing, one request at a time is queued to notice when the engines are
	// back. Other requests are refused.
	if downFor > 0 && queue.HasWaiting() {
		e := result.New(result.NoTarget, "all groups of service %s have lacked engines for %d ms", d.r.service.Name, downFor.Milliseconds())
		e.RetryAfter = placing.ShortageRetryAfter(downFor)
		return nil, d.preferLastError(e)
	}
	if d.g.tracker.AllRateLimited(d.targets(), time.Now()) {
		return nil, nil
	}
	if e := d.refuseIfResting(); e != nil {
		return nil, e
	}
	if allEvacuated(d.targets()) {
		return nil, d.preferLastError(result.New(result.NoTarget, "all targets of service %s are evacuated", d.r.service.Name))
	}
	if retryAfter, ok := queue.CanFinish(&d.r.placement, time.Now()); !ok {
		e := result.New(result.DeadlineUnmet, "response of about %.0f events cannot finish before the deadline", d.r.placement.ExpectedEvents)
		e.RetryAfter = retryAfter
		return nil, d.preferLastError(e)
	}
	waiter, retryAfter, ok := queue.Enqueue(&d.r.placement, time.Now())
	if !ok {
		e := result.New(result.WaitTooLong, "expected wait of %d ms exceeds the limit of the request", retryAfter.Milliseconds())
		e.RetryAfter = retryAfter
		return nil, e
	}
	d.g.admitQueued(d.r.service.Name)
	timer := time.NewTimer(time.Until(d.r.arrived.Add(d.r.placement.MaxWait)))
	defer timer.Stop()
	select {
	case target := <-waiter.Granted():
		if target == nil {
			return d.retryAdmission(ctx, queue)
		}
		return target, nil
	case <-timer.C:
	case <-ctx.Done():
	}
	if !queue.Remove(waiter) {
		target := <-waiter.Granted()
		if ctx.Err() == nil {
			return target, nil
		}
		if target != nil {
			d.releaseTarget(target)
		}
	}
	if e := d.stopError(ctx); e != nil {
		return nil, e
	}
	if len(d.targets()) == 0 {
		return nil, result.New(result.NoTarget, "no target of service %s", d.r.service.Name)
	}
	return nil, d.preferLastError(result.New(result.WaitTooLong, "no target accepted the request within %d ms", time.Since(d.r.arrived).Milliseconds()))
}

// retryAdmission handles a request that was released from the admission queue without a target: it
// is refused, returns nil to wait for a permit, or is queued again if targets have become free
// meanwhile.
func (d *dispatch) retryAdmission(ctx context.Context, queue *placing.AdmissionQueue) (*serving.Target, *result.Error) {
	if d.g.tracker.AllRateLimited(d.targets(), time.Now()) {
		return nil, nil
	}
	d.r.placement.Requeued = true
	return d.awaitAdmission(ctx, queue)
}

// allEvacuated reports whether there are targets and an operator has ordered to evacuate all of
// them.
func allEvacuated(targets []*serving.Target) bool {
	return len(targets) > 0 && !slices.ContainsFunc(targets, func(t *serving.Target) bool { return !t.Evacuated })
}
