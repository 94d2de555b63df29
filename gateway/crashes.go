package gateway

import (
	"context"
	"encoding/binary"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/heatherrail/heatherrail/internal/ablate"
	"github.com/heatherrail/heatherrail/route"
	"github.com/heatherrail/heatherrail/serving"
	"github.com/heatherrail/heatherrail/upstream"
)

// crashWatch finds out which targets have crashed, and which requests ran there. A request that loses
// its connection to a target may have lost it to a fault of the network; the target has crashed only
// if its process is gone.
type crashWatch struct {
	g *Gateway

	mu         sync.Mutex
	checks     map[serving.Run]*processCheck // running checks
	quarantine *route.Quarantine
	trialSeq   uint64
	reported   map[uint64]bool // parts of prompts whose rejection has been logged
}

// processCheck is a running check of a target that has broken connections.
type processCheck struct {
	lost   []uint64   // fingerprints of the requests whose connections broke
	parts  []uint64   // those of the parts of their prompts
	trials []ownTrial // trials of these requests
	at     time.Time
	done   chan struct{}
}

// ownTrial is a trial of a suspect at this entry.
type ownTrial struct {
	fingerprint uint64
	route.Trial
}

// quarantinePolicy lets a request that was on one crashed target run like any other: most of these
// requests were beside the one that caused the crash.
var quarantinePolicy = route.QuarantinePolicy{AloneAfter: route.MaxCrashes - 1, AloneFor: 10 * time.Minute}

func newCrashWatch(g *Gateway) *crashWatch {
	return &crashWatch{
		g:          g,
		checks:     make(map[serving.Run]*processCheck),
		quarantine: route.NewQuarantine(quarantinePolicy),
		trialSeq:   uint64(time.Now().UnixNano()), // above those of earlier starts of this entry
	}
}

// recordBroken records that the connection of a request to a target broke before the response was
// complete, and starts a check of the target unless one is running.
func (w *crashWatch) recordBroken(d *dispatch, target *serving.Target, sentAt time.Time, err error) {
	if upstream.IsTimeout(err) || w.g.isLeaving(target) {
		return
	}
	now := time.Now()
	w.g.opts.Metrics.Count("responses_cut_off", 1)
	w.g.opts.Log.Info("response cut off", "request", d.r.id, "content", contentID(d.r.fingerprint), "target", target.ID,
		"try", d.sendCount, "after_ms", now.Sub(sentAt).Milliseconds(), "error", err.Error())
	w.mu.Lock()
	defer w.mu.Unlock()
	check := w.checks[target.Run()]
	if check == nil {
		check = &processCheck{at: now, done: make(chan struct{})}
		w.checks[target.Run()] = check
		w.g.tasks.Go(func() { w.run(target, check) })
	}
	check.lost = append(check.lost, d.r.fingerprint)
	if !d.partsProven {
		check.parts = append(check.parts, d.r.parts...)
	}
	if d.trial != nil {
		check.trials = append(check.trials, *d.trial)
		d.trial = nil
	}
}

// brokenConnsWindow is how long a check waits first: all connections to a process that has ended
// break within it.
const brokenConnsWindow = 20 * time.Millisecond

// run checks the process of a target. If it is gone, the requests that lost their connections to it
// become suspects.
func (w *crashWatch) run(target *serving.Target, check *processCheck) {
	defer close(check.done)
	sleep(w.g.ctx, brokenConnsWindow)
	state := w.g.connPools.forTarget(target).CheckProcess(w.g.ctx)
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.checks, target.Run())
	now := time.Now()
	if state == upstream.ProcessGone {
		w.recordCrash(target, check, now)
	}
	for _, t := range check.trials {
		w.quarantine.EndTrial(t.fingerprint, t.Trial, now)
	}
	w.g.opts.Log.Info("target checked", "target", target.ID, "process", state.String(), "cut_off", len(check.lost))
}

// recordCrash records the crash of a target and tells other entries of it. The lock must be held.
func (w *crashWatch) recordCrash(target *serving.Target, check *processCheck, now time.Time) {
	w.g.opts.Metrics.Count("targets_crashed", 1)
	suspects := slices.Concat(check.lost, check.parts)
	slices.Sort(suspects)
	suspects = slices.Compact(suspects)
	for _, fingerprint := range w.quarantine.RecordCrash(crashID(target.Run()), false, suspects, check.at, now) {
		if route.IsPart(fingerprint) {
			continue // see reportRejectedParts
		}
		w.logQuarantined(fingerprint, target.ID)
		w.g.keepRejection(w.quarantine.State(fingerprint), now)
	}
	w.g.cluster.notify()
}

func (w *crashWatch) logQuarantined(fingerprint uint64, seenAt string) {
	w.g.opts.Metrics.Count("requests_quarantined", 1)
	w.g.opts.Log.Info("request quarantined", "content", contentID(fingerprint), "crashes", w.quarantine.Crashes(fingerprint), "seen", seenAt)
}

// crashID identifies the crash of a run of a target at all entries.
func crashID(run serving.Run) uint64 {
	var startedAt [8]byte
	binary.LittleEndian.PutUint64(startedAt[:], uint64(run.StartedAtMS))
	return route.Fingerprint(startedAt[:], run.ID)
}

// awaitChecks waits until it is known whether the targets that a request was on have crashed. It
// returns early when ctx ends.
func (w *crashWatch) awaitChecks(ctx context.Context, fingerprint uint64) {
	for {
		check := w.checkOf(fingerprint)
		if check == nil {
			return
		}
		select {
		case <-check.done:
		case <-ctx.Done():
			return
		}
	}
}

func (w *crashWatch) checkOf(fingerprint uint64) *processCheck {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, check := range w.checks {
		if slices.Contains(check.lost, fingerprint) {
			return check
		}
	}
	return nil
}

// observe counts a request for each suspected part of its prompt.
func (w *crashWatch) observe(r *request) {
	if len(r.parts) == 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.quarantine.Observe(r.parts)
}

// verdict is what the quarantine requires of a request.
type verdict struct {
	action route.QuarantineAction
	until  time.Time
	cause  uint64 // fingerprint of the request, or of the part of its prompt that is the reason
}

// check returns what the quarantine requires of a request.
func (w *crashWatch) check(r *request) verdict {
	v := verdict{cause: r.fingerprint}
	if ablate.Off(ablate.Quarantine) {
		return v
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	v.action, v.until = w.quarantine.Check(r.fingerprint, now)
	if action, part, until := w.quarantine.CheckParts(r.parts, now); action > v.action {
		v = verdict{action: action, until: until, cause: part}
	}
	if v.action == route.QuarantineRunAlone && ablate.Off(ablate.SuspectTrial) {
		v.action = route.QuarantineAllow
	}
	return v
}

// answeringProofTime is how long a target must have been answering a request to show that no part of the prompt
// crashes it: a part that does so crashes it as the answer begins.
const answeringProofTime = 500 * time.Millisecond

// recordCompleted records that a request has completed, which clears it and the parts of its prompt if they were suspects. A
// response that ends with its connection may have been ended by a crash, so the target is checked first; this is done for suspects only.
func (w *crashWatch) recordCompleted(a *attempt) {
	r := a.dispatch.r
	if a.resp.Framed {
		w.clear(r)
		return
	}
	if !w.isSuspect(r) {
		return
	}
	pool := w.g.connPools.forTarget(a.target)
	w.g.tasks.Go(func() {
		sleep(w.g.ctx, brokenConnsWindow)
		if pool.CheckProcess(w.g.ctx) == upstream.ProcessRunning {
			w.clear(r)
		}
	})
}

var errEndedByCrash = errors.New("the target's process is gone, and its response had no length")

// checkUnframedEnd returns an error if a response has ended with its connection because the process of its
// target has ended. The kernel closes the connections of a killed process in the ordinary way.
func (d *dispatch) checkUnframedEnd(ctx context.Context, a *attempt) error {
	if a.resp.Framed || !d.g.connPools.forTarget(a.target).RefusesConnections(ctx) {
		return nil
	}
	d.g.opts.Metrics.Count("responses_ended_by_crash", 1)
	return errEndedByCrash
}

func (w *crashWatch) clear(r *request) {
	w.mu.Lock()
	now := time.Now()
	cleared := w.quarantine.Clear(r.fingerprint, now)
	cleared = w.quarantine.Prove(r.parts, now) || cleared
	w.mu.Unlock()
	w.reportCleared(cleared)
}

// proveParts records that a target has been answering a request for answeringProofTime.
func (w *crashWatch) proveParts(d *dispatch) {
	d.partsProven = true
	w.mu.Lock()
	cleared := w.quarantine.Prove(d.r.parts, time.Now())
	w.mu.Unlock()
	w.reportCleared(cleared)
}

func (w *crashWatch) reportCleared(cleared bool) {
	if cleared {
		w.g.opts.Metrics.Count("suspects_cleared", 1)
		w.g.cluster.notify()
	}
}

// isSuspect reports whether a target has crashed while it ran the request or one with a part of its prompt.
func (w *crashWatch) isSuspect(r *request) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	hasCrashes := func(fingerprint uint64) bool { return w.quarantine.Crashes(fingerprint) > 0 }
	return hasCrashes(r.fingerprint) || slices.ContainsFunc(r.parts, hasCrashes)
}

// isLeaving reports whether a run of a target has ended in an orderly way, or is about to: it leaves,
// or its record is gone.
func (g *Gateway) isLeaving(target *serving.Target) bool {
	isCurrent := func(t *serving.Target) bool { return t.Run() == target.Run() && !t.Leaving }
	return !slices.ContainsFunc(g.state.snapshot().targets[target.Service], isCurrent) || g.tracker.IsLeaving(target.Run())
}

// recordCutOff records that a target cut off its response to a request, unless this entry or the
// caller ended it. A trial is checked in any case, as its target may have crashed at the same moment.
func (d *dispatch) recordCutOff(ctx context.Context, target *serving.Target, sentAt time.Time, err error) {
	if context.Cause(ctx) == nil || d.trial != nil {
		d.g.crashes.recordBroken(d, target, sentAt, err)
	}
}
