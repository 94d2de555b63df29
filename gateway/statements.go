package gateway

import (
	"context"
	"time"

	"github.com/heatherrail/heatherrail/peers"
	"github.com/heatherrail/heatherrail/placing"
	"github.com/heatherrail/heatherrail/result"
	"github.com/heatherrail/heatherrail/serving"
)

// recordStatements records what a target states of itself in a response.
func (d *dispatch) recordStatements(a *attempt) {
	d.g.recordRateLimit(a)
	d.recordRest(a)
	if a.answer.Leaving {
		now := time.Now()
		d.g.applyLeaving(placing.Leaving{Run: a.target.Run(), SaidAt: now}, now)
	}
}

// applyLeaving records that a target leaves and notifies other entries if this is new.
func (g *Gateway) applyLeaving(l placing.Leaving, now time.Time) {
	if !g.tracker.RecordLeaving(l, now) {
		return
	}
	g.opts.Metrics.Count("leavings_learnt", 1)
	g.opts.Log.Info("target says that it leaves", "target", l.Run.ID, "said_ms", now.Sub(l.SaidAt).Milliseconds())
	g.cluster.notify()
}

// leavingMessages returns statements of targets that they leave, for other entries; see
// placing.Tracker.Leavings.
func (c *cluster) leavingMessages(fresh, older int) []peers.Leaving {
	now := time.Now()
	var messages []peers.Leaving
	for _, l := range c.g.tracker.Leavings(fresh, older, now) {
		messages = append(messages, peers.Leaving{Target: l.Run.ID, StartedAtMS: l.Run.StartedAtMS, AgeMS: ageMS(l.SaidAt, now)})
	}
	return messages
}

// applyLeavingMessages merges statements from another entry.
func (c *cluster) applyLeavingMessages(messages []peers.Leaving) {
	now := time.Now()
	for _, m := range messages {
		if peers.IsName(m.Target) && m.AgeMS != peers.Never {
			c.g.applyLeaving(placing.Leaving{Run: serving.Run{ID: m.Target, StartedAtMS: m.StartedAtMS}, SaidAt: timeBefore(now, m.AgeMS)}, now)
		}
	}
}

// recordRest records that a target has asked this entry for rest.
func (d *dispatch) recordRest(a *attempt) {
	if a.answer.Rest <= 0 {
		return
	}
	d.g.opts.Metrics.Count("rests_asked", 1)
	if d.g.tracker.RecordRest(a.target.Run(), a.answer.Rest, time.Now()) {
		d.g.opts.Log.Info("target asks for rest", "target", a.target.ID, "ms", a.answer.Rest.Milliseconds(), "request", d.r.id)
	}
}

// awaitRest waits for the end of the first rest if all targets that the request may still be sent
// to rest. The request is refused at once if it cannot wait that long.
func (d *dispatch) awaitRest(ctx context.Context) *result.Error {
	for {
		now := time.Now()
		rest := d.g.tracker.RestOfAll(d.targets(), d.wasTried, now)
		if rest == 0 {
			return nil
		}
		if rest > d.r.maxPermitWait(now) {
			return d.restError(rest)
		}
		sleep(ctx, rest)
		if e := d.stopError(ctx); e != nil {
			return e
		}
	}
}

// refuseIfResting refuses a request at once that cannot wait in the admission queue until the first
// of the targets ends its rest.
func (d *dispatch) refuseIfResting() *result.Error {
	now := time.Now()
	rest := d.g.tracker.RestOfAll(d.targets(), nil, now)
	if rest == 0 || d.r.placement.CanWait(rest, now) {
		return nil
	}
	return d.restError(rest)
}

// restError returns the error of a request that is not sent because all targets rest.
func (d *dispatch) restError(rest time.Duration) *result.Error {
	return d.unlessMayHaveRun(result.New(result.TargetResting, "all targets of service %s rest, the first one for %d ms", d.r.service.Name, rest.Milliseconds()))
}

// setRestRetryAfter sets the Retry-After of a refused request to the end of the first rest if all
// targets rest.
func (d *dispatch) setRestRetryAfter(e *result.Error) {
	if e.Run() != result.RunNot {
		return
	}
	now := time.Now()
	targets := d.targets()
	if rest := d.g.tracker.RestOfAll(targets, nil, now); rest > 0 {
		e.RetryAfter = d.g.tracker.RestRetryAfter(d.r.service.Name, targets, rest, d.g.cluster.knownCount(), now)
	}
}
