package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/heatherrail/heatherrail/peers"
	"github.com/heatherrail/heatherrail/placing"
	"github.com/heatherrail/heatherrail/result"
	"github.com/heatherrail/heatherrail/serving"
)

// A target that reports a rate limit or is cold gets a request only with a permit. The permits of a
// target are issued by one of the entries, its permit owner.
const (
	// maxPermitRequests is the number of permits that may be denied to a request before it avoids
	// targets that report a rate limit.
	maxPermitRequests = 2
	// permitTimeout limits the wait for the answer of a permit owner. It is many times the network
	// delay between two entries of a region.
	permitTimeout = 100 * time.Millisecond
	// permitOwnerRetryDelay is how long this entry sends nothing to a target whose permit owner
	// did not answer.
	permitOwnerRetryDelay = 500 * time.Millisecond
)

// acquirePermit reports whether the request may go to a target now. If the target needs a permit,
// acquirePermit requests one and waits until it is valid.
func (d *dispatch) acquirePermit(ctx context.Context, target *serving.Target) bool {
	coldRate := d.coldRate(target, time.Now())
	if rate, _ := d.g.tracker.RateLimitOf(target.Run()); rate != placing.Unlimited {
		return d.g.requestPermit(ctx, target, placing.PermitQuery{ColdRate: coldRate}).Granted
	}
	if coldRate == 0 {
		return true
	}
	permit := d.g.requestPermit(ctx, target, placing.PermitQuery{ColdRate: coldRate, MaxWait: d.r.maxPermitWait(time.Now())})
	if !permit.Granted {
		return false
	}
	sleep(ctx, permit.Wait)
	return d.acceptsWork(target)
}

// coldRate returns the requests per second that a target accepts while it is cold or has just ended
// a rest; 0 if it is neither.
func (d *dispatch) coldRate(target *serving.Target, now time.Time) float64 {
	rate := d.g.tracker.RecoveryRate(target, now)
	if cold := d.r.service.ColdRate; target.IsCold(now) && cold > 0 && (rate == 0 || cold < rate) {
		return cold
	}
	return rate
}

// awaitPermit waits for a permit of a target that reports a rate limit. If no permit becomes valid
// within maxPermitWait, the request is refused at once.
func (d *dispatch) awaitPermit(ctx context.Context) (*serving.Target, *result.Error) {
	candidates, ownerRetryIn := d.g.tracker.TargetsNeedingPermits(d.targets(), d.wasTried, time.Now())
	if len(candidates) == 0 && ownerRetryIn == 0 {
		return nil, d.preferLastError(result.New(result.NoTarget, "no untried target of service %s", d.r.service.Name))
	}
	candidates = candidates[:min(len(candidates), maxPermitRequests)]
	permit := placing.Permit{Wait: ownerRetryIn, RetryAfter: ownerRetryIn}
	for i, target := range candidates {
		permit = d.g.requestPermit(ctx, target, placing.PermitQuery{
			MaxWait:        d.r.maxPermitWait(time.Now()),
			RejectIfDenied: i == len(candidates)-1,
			ColdRate:       d.coldRate(target, time.Now()),
		})
		if !permit.Granted {
			continue
		}
		d.g.tracker.StartAttempt(target, d.r.placement.Size)
		sleep(ctx, permit.Wait)
		if e := d.stopError(ctx); e != nil {
			d.releaseTarget(target)
			return nil, e
		}
		if !d.acceptsWork(target) {
			d.releaseTarget(target)
			continue
		}
		return target, nil
	}
	if e := d.stopError(ctx); e != nil {
		return nil, e
	}
	e := result.New(result.TargetLimit, "no permit for a target of service %s within %d ms", d.r.service.Name, permit.Wait.Milliseconds())
	e.RetryAfter = permit.RetryAfter
	return nil, d.preferLastError(e)
}

// acceptsWork reports whether a target still accepts requests after the wait for its permit.
func (d *dispatch) acceptsWork(target *serving.Target) bool {
	now := time.Now()
	return slices.ContainsFunc(d.targets(), func(o *serving.Target) bool { return o.Run() == target.Run() && d.g.tracker.Accepts(o, now) })
}

// maxPermitWait returns how long the request may wait for a permit: as long as a request that has
// just arrived may wait and still be on time. Permits are thus left to requests that can be on
// time.
func (r *request) maxPermitWait(now time.Time) time.Duration {
	remaining := max(r.deadline.Sub(now), 0)
	if r.placement.LatencyObjective > 0 {
		return min(r.placement.MaxOnTimeWait(), remaining)
	}
	return min(r.placement.MaxWait, remaining)
}

// requestPermit requests a permit to send a request to a target. After a denial this entry does not
// use the target until a permit may be available.
func (g *Gateway) requestPermit(ctx context.Context, target *serving.Target, q placing.PermitQuery) placing.Permit {
	permit, answered := g.cluster.requestPermit(ctx, target.Run(), q)
	now := time.Now()
	switch {
	case !answered:
		g.opts.Metrics.Count("permits_not_answered", 1)
		g.tracker.RecordOwnerUnreachable(target.Run(), now.Add(permitOwnerRetryDelay))
		return placing.Permit{Wait: permitOwnerRetryDelay, RetryAfter: permitOwnerRetryDelay}
	case permit.Granted:
		g.opts.Metrics.Count("permits_granted", 1)
	case q.ColdRate > 0:
		g.opts.Metrics.Count("permits_denied_cold", 1)
		g.tracker.RecordColdPermitDenied(target.Run(), now.Add(permit.Wait))
	default:
		g.opts.Metrics.Count("permits_denied", 1)
		g.tracker.RecordPermitDenied(target.Run(), now.Add(permit.Wait))
	}
	return permit
}

// requestPermit requests a permit from the permit owner of a target. answered is false if the owner
// is unknown or did not answer.
func (c *cluster) requestPermit(ctx context.Context, run serving.Run, q placing.PermitQuery) (permit placing.Permit, answered bool) {
	owner, isSelf := c.permitOwner(run)
	if isSelf {
		return c.g.tracker.IssuePermit(run, c.liveShare(), q, time.Now()), true
	}
	if owner == "" {
		return placing.Permit{}, false
	}
	sent := time.Now()
	query := &peers.PermitQuery{Rate: c.rateMessageFor(run, sent), MaxWaitMS: uint32(q.MaxWait.Milliseconds()), RejectIfDenied: q.RejectIfDenied, ColdRate: q.ColdRate}
	answer, err := c.callPermit(ctx, owner, query)
	if err != nil {
		c.g.opts.Log.Info("owner of a target does not answer", "target", run.ID, "owner", owner, "error", err.Error())
		return placing.Permit{}, false
	}
	c.applyRateMessage(&answer.Rate, sent, time.Now())
	return placing.Permit{
		Granted:    answer.Granted,
		Wait:       time.Duration(answer.WaitMS) * time.Millisecond,
		RetryAfter: time.Duration(answer.RetryAfterMS) * time.Millisecond,
	}, answer.Owner
}

// callPermit requests a permit from another entry. Calls to an entry are sent one after the other,
// so the timeout includes the wait for earlier calls. A permit granted after the timeout is lost.
func (c *cluster) callPermit(ctx context.Context, owner string, q *peers.PermitQuery) (*peers.PermitResult, error) {
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	answer, done := new(peers.PermitResult), make(chan error, 1)
	go func() { done <- c.membership.Ask(ctx, owner, peers.KindPermit, q, answer, permitTimeout) }()
	select {
	case err := <-done:
		return answer, err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// servePermit grants or denies a permit to another entry.
func (c *cluster) servePermit(payload []byte) (msgp.Marshaler, error) {
	var q peers.PermitQuery
	if _, err := q.UnmarshalMsg(payload); err != nil {
		return nil, err
	}
	now := time.Now()
	if c.applyRateMessage(&q.Rate, time.Time{}, now).Propagate {
		c.notify()
	}
	run := serving.Run{ID: q.Rate.Target, StartedAtMS: q.Rate.StartedAtMS}
	if _, isSelf := c.permitOwner(run); !isSelf {
		return &peers.PermitResult{}, nil
	}
	permit := c.g.tracker.IssuePermit(run, c.liveShare(), placing.PermitQuery{
		MaxWait:        time.Duration(q.MaxWaitMS) * time.Millisecond,
		RejectIfDenied: q.RejectIfDenied,
		ColdRate:       q.ColdRate,
	}, now)
	return &peers.PermitResult{
		Owner:        true,
		Granted:      permit.Granted,
		WaitMS:       ceilMS(permit.Wait),
		RetryAfterMS: ceilMS(permit.RetryAfter),
		Rate:         c.rateMessageFor(run, now),
	}, nil
}

// rateMessageFor returns the rate limit of a target as this entry knows it.
func (c *cluster) rateMessageFor(run serving.Run, now time.Time) peers.Rate {
	rate, reportedAt := c.g.tracker.RateLimitOf(run)
	return newRateMessage(placing.ReportedRateLimit{RateLimit: placing.RateLimit{Run: run, Rate: rate}, ReportedAt: reportedAt}, now)
}

// permitOwner returns the entry that issues the permits of a target. The name is "" if the owner is
// unknown, because this entry has just started and has not read the records of other entries.
func (c *cluster) permitOwner(run serving.Run) (name string, isSelf bool) {
	if alive, _ := c.membership.Table().Counts(); alive == 1 {
		if _, loaded := c.g.state.readOffset(serving.TopicEntries); !loaded {
			return "", false
		}
	}
	name, isSelf = c.membership.Table().Owner(run.ID)
	if !isSelf {
		c.g.tracker.StopIssuingPermits(run)
	}
	return name, isSelf
}

// liveShare returns the share of the recently known entries that are alive.
func (c *cluster) liveShare() float64 {
	alive, known := c.membership.Table().Counts()
	return float64(alive) / float64(known)
}
