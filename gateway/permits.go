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

// A target that names a rate, or is cold, gets a request only with a permit of the entry that owns it.
const (
	// permitAsks is how many targets a request needs a permit of before it leaves such targets
	// alone.
	permitAsks = 2
	// permitLimit is many times the way between two entries of a region.
	permitLimit = 100 * time.Millisecond
	// permitRest is for how long a target gets nothing from here after its owner did not answer.
	permitRest = 500 * time.Millisecond
)

// mayGo tells whether the request may go to a target right now.
func (t *tries) mayGo(ctx context.Context, target *serving.Target) bool {
	cold := t.coldRate(target, time.Now())
	if rate, _ := t.g.book.RateLimitOf(target.Run()); rate != placing.Unlimited {
		return t.g.permit(ctx, target, placing.PermitQuery{ColdRate: cold}).Granted
	}
	if cold == 0 {
		return true
	}
	permit := t.g.permit(ctx, target, placing.PermitQuery{ColdRate: cold, MaxWait: t.r.permitWait(time.Now())})
	if !permit.Granted {
		return false
	}
	sleep(ctx, permit.Wait)
	return t.open(target)
}

// coldRate returns how many requests a second a target takes since it is cold; 0 if it is not.
func (t *tries) coldRate(target *serving.Target, now time.Time) float64 {
	if !target.IsCold(now) {
		return 0
	}
	return t.r.service.ColdRate
}

// awaitPermit waits for a permit of a target that names a rate, if one is valid in time; else
// the request is refused at once.
func (t *tries) awaitPermit(ctx context.Context) (*serving.Target, *result.Error) {
	candidates, unowned := t.g.book.PermitBoundTargets(t.targets(), t.had, time.Now())
	if len(candidates) == 0 && unowned == 0 {
		return nil, t.orLast(result.New(result.NoTarget, "no target of %s is left", t.r.service.Name))
	}
	candidates = candidates[:min(len(candidates), permitAsks)]
	permit := placing.Permit{Wait: unowned, RetryAfter: unowned}
	for i, target := range candidates {
		permit = t.g.permit(ctx, target, placing.PermitQuery{
			MaxWait:        t.r.permitWait(time.Now()),
			RejectIfDenied: i == len(candidates)-1,
			ColdRate:       t.coldRate(target, time.Now()),
		})
		if !permit.Granted {
			continue
		}
		t.g.book.StartAttempt(target, t.r.wish.Size)
		sleep(ctx, permit.Wait)
		if e := t.ended(ctx); e != nil {
			t.giveBack(target)
			return nil, e
		}
		if !t.open(target) {
			t.giveBack(target)
			continue
		}
		return target, nil
	}
	if e := t.ended(ctx); e != nil {
		return nil, e
	}
	e := result.New(result.TargetLimit, "no target of %s takes it within %d ms", t.r.service.Name, permit.Wait.Milliseconds())
	e.RetryAfter = permit.RetryAfter
	return nil, t.orLast(e)
}

// open tells whether a target may get work still, after a wait for its permit.
func (t *tries) open(target *serving.Target) bool {
	return slices.ContainsFunc(t.targets(), func(o *serving.Target) bool { return o.Run() == target.Run() && o.IsAvailable() })
}

// permitWait is how long the request may wait for a permit: as long as one that has just come
// may and still be in time, so that those that can't be leave permits to others.
func (r *request) permitWait(now time.Time) time.Duration {
	left := max(r.deadline.Sub(now), 0)
	if r.wish.LatencyObjective > 0 {
		return min(r.wish.MaxOnTimeWait(), left)
	}
	return min(r.wish.MaxWait, left)
}

// permit asks for permission to send a request to a target. If it is not granted the target gets
// nothing from this entry until it may be.
func (g *Gateway) permit(ctx context.Context, target *serving.Target, q placing.PermitQuery) placing.Permit {
	permit, answered := g.mesh.permit(ctx, target.Run(), q)
	now := time.Now()
	switch {
	case !answered:
		g.opts.Metrics.Count("permits_not_answered", 1)
		g.book.RecordOwnerUnreachable(target.Run(), now.Add(permitRest))
		return placing.Permit{Wait: permitRest, RetryAfter: permitRest}
	case permit.Granted:
		g.opts.Metrics.Count("permits_granted", 1)
	case q.ColdRate > 0:
		g.opts.Metrics.Count("permits_denied_cold", 1)
		g.book.RecordColdPermitDenied(target.Run(), now.Add(permit.Wait))
	default:
		g.opts.Metrics.Count("permits_denied", 1)
		g.book.RecordPermitDenied(target.Run(), now.Add(permit.Wait))
	}
	return permit
}

// permit asks the owner of a target; answered is false if it is not known or does not answer.
func (m *mesh) permit(ctx context.Context, run serving.Run, q placing.PermitQuery) (permit placing.Permit, answered bool) {
	owner, self := m.owner(run)
	if self {
		return m.g.book.IssuePermit(run, m.part(), q, time.Now()), true
	}
	if owner == "" {
		return placing.Permit{}, false
	}
	sent := time.Now()
	question := &peers.PermitQuery{Rate: m.rate(run, sent), MaxWaitMS: uint32(q.MaxWait.Milliseconds()), RejectIfDenied: q.RejectIfDenied, ColdRate: q.ColdRate}
	answer, err := m.askPermit(ctx, owner, question)
	if err != nil {
		m.g.opts.Log.Info("owner of a target does not answer", "target", run.ID, "owner", owner, "error", err.Error())
		return placing.Permit{}, false
	}
	m.rateTold(&answer.Rate, sent, time.Now())
	return placing.Permit{
		Granted:    answer.Granted,
		Wait:       time.Duration(answer.WaitMS) * time.Millisecond,
		RetryAfter: time.Duration(answer.RetryAfterMS) * time.Millisecond,
	}, answer.Owner
}

// askPermit asks another entry. Questions to one entry go one after the other, so it is the wait
// for the answer that is bounded; a permit that is granted later is lost.
func (m *mesh) askPermit(ctx context.Context, owner string, q *peers.PermitQuery) (*peers.PermitResult, error) {
	ctx, cancel := context.WithTimeout(ctx, permitLimit)
	defer cancel()
	answer, failed := new(peers.PermitResult), make(chan error, 1)
	go func() { failed <- m.group.Ask(ctx, owner, peers.KindPermit, q, answer, permitLimit) }()
	select {
	case err := <-failed:
		return answer, err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// answerPermit grants or denies a permit to another entry.
func (m *mesh) answerPermit(payload []byte) (msgp.Marshaler, error) {
	var q peers.PermitQuery
	if _, err := q.UnmarshalMsg(payload); err != nil {
		return nil, err
	}
	now := time.Now()
	if m.rateTold(&q.Rate, time.Time{}, now).Propagate {
		m.tell()
	}
	run := serving.Run{ID: q.Rate.Target, StartedAtMS: q.Rate.StartedAtMS}
	if _, self := m.owner(run); !self {
		return &peers.PermitResult{}, nil
	}
	permit := m.g.book.IssuePermit(run, m.part(), placing.PermitQuery{
		MaxWait:        time.Duration(q.MaxWaitMS) * time.Millisecond,
		RejectIfDenied: q.RejectIfDenied,
		ColdRate:       q.ColdRate,
	}, now)
	return &peers.PermitResult{
		Owner:        true,
		Granted:      permit.Granted,
		WaitMS:       roundUp(permit.Wait),
		RetryAfterMS: roundUp(permit.RetryAfter),
		Rate:         m.rate(run, now),
	}, nil
}

// rate returns what this entry knows of the rate of a target.
func (m *mesh) rate(run serving.Run, now time.Time) peers.Rate {
	rate, said := m.g.book.RateLimitOf(run)
	return rateMessage(placing.ReportedRateLimit{RateLimit: placing.RateLimit{Run: run, Rate: rate}, ReportedAt: said}, now)
}

// owner returns the entry that issues the permits of a target; "" if this entry can't tell,
// since it has just started and knows nobody.
func (m *mesh) owner(run serving.Run) (name string, self bool) {
	if living, _ := m.group.Table().Counts(); living == 1 {
		if _, loaded := m.g.knowledge.position(serving.TopicEntries); !loaded {
			return "", false
		}
	}
	name, self = m.group.Table().Owner(run.ID)
	if !self {
		m.g.book.StopIssuingPermits(run)
	}
	return name, self
}

// part returns the part of the entries known lately that live.
func (m *mesh) part() float64 {
	living, known := m.group.Table().Counts()
	return float64(living) / float64(known)
}
