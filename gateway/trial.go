package gateway

import (
	"context"
	"time"

	"github.com/heatherrail/heatherrail/internal/ablate"
	"github.com/heatherrail/heatherrail/result"
	"github.com/heatherrail/heatherrail/route"
	"github.com/heatherrail/heatherrail/serving"
)

const (
	// trialSettleTime is the time between the announcement of a trial and its start, in which other
	// entries learn of it and their trials become known here.
	trialSettleTime = 100 * time.Millisecond
	// trialRetryInterval is the pause before another target is tried for a trial.
	trialRetryInterval = 50 * time.Millisecond
	// maxTrialWait is how long a suspect waits for its trial. It is about the time of another trial.
	maxTrialWait = time.Second
	// heldRetryAfter is the Retry-After of a suspect that got no trial.
	heldRetryAfter = 500 * time.Millisecond
)

// checkQuarantine refuses a request that has crashed too many targets, or that has a part in its prompt that has.
func (d *dispatch) checkQuarantine(ctx context.Context) (verdict, *result.Error) {
	d.g.crashes.awaitChecks(ctx, d.r.fingerprint)
	v := d.g.crashes.check(d.r)
	if v.action != route.QuarantineReject {
		return v, nil
	}
	d.g.opts.Metrics.Count("quarantine_refusals", 1)
	e := result.New(result.CrashRefused, "%d targets crashed while they ran %s", d.g.crashes.crashCount(v.cause), describeSuspect(v.cause))
	e.RetryAfter = time.Until(v.until)
	return v, d.unlessMayHaveRun(e)
}

// describeSuspect names a request or a part of prompts.
func describeSuspect(fingerprint uint64) string {
	if route.IsPart(fingerprint) {
		return "prompt part " + contentID(fingerprint)
	}
	return "content " + contentID(fingerprint)
}

func (w *crashWatch) crashCount(fingerprint uint64) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.quarantine.Crashes(fingerprint)
}

// acquireForSend acquires a target for the next attempt. The quarantine is asked before the request
// waits for a target, so that a refusal comes at once, and again just before the send.
func (d *dispatch) acquireForSend(ctx context.Context) (*serving.Target, *result.Error) {
	giveUpAt := time.Now().Add(maxTrialWait)
	for {
		if _, e := d.checkQuarantine(ctx); e != nil {
			return nil, e
		}
		target, e := d.acquireTarget(ctx)
		if e != nil {
			return nil, e
		}
		v, e := d.checkQuarantine(ctx)
		if e != nil {
			d.releaseTarget(target)
			return nil, e
		}
		if v.action == route.QuarantineAllow || d.beginTrial(ctx, target, v.cause) {
			if e := d.confirmRetry(); e != nil {
				d.endTrial()
				d.releaseTarget(target)
				return nil, e
			}
			return target, nil
		}
		d.releaseTarget(target)
		if e := d.stopError(ctx); e != nil {
			return nil, e
		}
		if time.Now().After(giveUpAt) {
			e := result.New(result.SuspectHeld, "%s ran on targets that crashed, and other suspects run", describeSuspect(v.cause))
			e.RetryAfter = heldRetryAfter
			return nil, d.unlessMayHaveRun(e)
		}
		sleep(ctx, trialRetryInterval)
	}
}

// beginTrial announces a trial of the request and returns whether it may start. The quarantine may
// have changed meanwhile.
func (d *dispatch) beginTrial(ctx context.Context, target *serving.Target, suspect uint64) bool {
	w := d.g.crashes
	t := w.announceTrial(d, target, suspect)
	if t == nil {
		return false
	}
	d.trial = t
	d.g.cluster.notify()
	sleep(ctx, trialSettleTime)
	if ctx.Err() == nil && w.mayStart(d.r, t) && d.g.tracker.Accepts(target, time.Now()) {
		d.g.opts.Metrics.Count("suspect_trials", 1)
		d.g.opts.Log.Info("suspect runs alone", "request", d.r.id, "content", contentID(d.r.fingerprint), "suspect", contentID(t.fingerprint), "target", target.ID)
		return true
	}
	d.endTrial()
	return false
}

// announceTrial records a trial; it returns nil if a trial that is known excludes it.
func (w *crashWatch) announceTrial(d *dispatch, target *serving.Target, suspect uint64) *ownTrial {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.trialSeq++
	t := &ownTrial{fingerprint: suspect, Trial: route.Trial{
		Entry: w.g.opts.Name, Seq: w.trialSeq, Target: crashID(target.Run()), Until: d.r.deadline.Add(trialSettleTime),
	}}
	if !w.quarantine.StartTrial(t.fingerprint, t.Trial, time.Now()) {
		return nil
	}
	return t
}

// mayStart reports whether an announced trial of a request may start now.
func (w *crashWatch) mayStart(r *request, t *ownTrial) bool {
	if w.check(r).action == route.QuarantineReject {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.quarantine.HasPrecedence(t.fingerprint, t.Trial, time.Now())
}

// hasTrial reports whether a suspect runs alone on a target. Other requests should go elsewhere: one that
// crashes the target would cast suspicion on the trial.
func (w *crashWatch) hasTrial(run serving.Run) bool {
	if ablate.Off(ablate.SuspectTrial) {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.quarantine.HasTrial(crashID(run), time.Now())
}

// endTrial ends the trial of the request, if it has one.
func (d *dispatch) endTrial() {
	if d.trial == nil {
		return
	}
	w := d.g.crashes
	w.mu.Lock()
	w.quarantine.EndTrial(d.trial.fingerprint, d.trial.Trial, time.Now())
	w.mu.Unlock()
	d.trial = nil
	d.g.cluster.notify()
}
