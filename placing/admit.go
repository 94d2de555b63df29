package placing

import (
	"time"

	"github.com/heatherrail/heatherrail/serving"
)

// TargetPool holds the targets of one service and the settings by which requests are placed on
// them.
type TargetPool struct {
	Service           *serving.Service
	EventGapObjective time.Duration // objective for the gap between two events of a stream; 0: none
	Targets           []*serving.Target
	EntryCount        int // number of entries that send to these targets
}

// Admit grants targets to requests in the admission queue while the targets have headroom.
//
// If every target that accepts requests reports a rate limit, Admit releases the whole queue without
// targets: the permits of the targets then decide when each request is sent. If all targets rest, it
// releases the requests that cannot wait for the end of the first rest.
func Admit(q *AdmissionQueue, tr *Tracker, pool TargetPool, now time.Time) {
	if tr.AllRateLimited(pool.Targets, now) {
		q.release(func(*Request) bool { return true })
		return
	}
	if rest := tr.RestOfAll(pool.Targets, nil, now); rest > 0 {
		q.release(func(r *Request) bool { return !r.CanWait(rest, now) })
		return
	}
	pools := tr.groupPools(pool, now)
	q.setSlowRank(tr.hasSlowRank(pools, now))
	tr.updateHeadroom(pools, q.demand(now), now)
	q.grant(now, func() bool { return tr.canAdmitLate(pools, now) }, func(r *Request) *serving.Target { return tr.reserve(pools, r, now) })
}

// updateHeadroom recomputes this entry's share of each group's headroom.
func (tr *Tracker) updateHeadroom(pools []groupPool, d demand, now time.Time) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	for i := range pools {
		p := &pools[i]
		tr.lateShareOf(p.Service.Name).arrivals.update(d.enqueued, now)
		tr.assumeOtherLoad(p, now)
		tr.updateShare(p, d, now)
	}
}
