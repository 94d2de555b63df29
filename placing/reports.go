package placing

import (
	"time"

	"github.com/heatherrail/heatherrail/serving"
)

// ReportTTL is how long a load report counts.
const ReportTTL = 2 * time.Second

// RankLoad is the reported load of one target of a group.
type RankLoad struct {
	Running, Waiting int
	Slowdown         float64 // pass time as a multiple of the usual pass time
}

// QueueCounts counts requests in admission queues.
type QueueCounts struct {
	OnTime int // requests that can still have their first event on time
	Late   int // requests that can no longer have their first event on time

	ByLevel LevelCounts // on-time requests by urgency level
}

// Add adds the counts of o.
func (c *QueueCounts) Add(o *QueueCounts) {
	c.OnTime += o.OnTime
	c.Late += o.Late
	c.ByLevel.Add(&o.ByLevel)
}

// GroupState is the reported state of a group.
type GroupState struct {
	Name          string
	Complete      bool        // all ranks are present and the group runs passes
	Imbalance     float64     // time that the ranks spend on their experts, as a multiple of the time with even loads
	PeakImbalance float64     // recent peak of Imbalance
	MaxSlowdown   float64     // slowdown of the slowest rank
	MeanRequests  int         // mean requests per target, running and waiting
	TotalRequests int         // requests at all targets of the group
	Queued        QueueCounts // requests in the queues of all entries
	ReportedAt    time.Time
}

// reportedLoad is the load that a target's agent reports.
type reportedLoad struct {
	RankLoad
	reportedAt  time.Time
	ownAtReport int // requests of this entry that were running at the time of the report
}

// ApplyLoadReport applies a load report on a group of a service and on its targets. loads maps the
// address of each target to its load.
func (tr *Tracker) ApplyLoadReport(service string, targets []*serving.Target, loads map[string]RankLoad, state GroupState) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	for _, t := range targets {
		l, ok := loads[t.Address]
		if !ok {
			continue
		}
		l.Slowdown = max(l.Slowdown, 1)
		ts := tr.targetState(t)
		ts.group = state.Name
		ts.reported = reportedLoad{RankLoad: l, reportedAt: state.ReportedAt, ownAtReport: ts.running}
	}
	g := tr.group(groupKey{service: service, name: state.Name})
	g.GroupState, g.headroom, g.assumedOthers = state, headroomShare{}, 0
}

// NewGroupState returns the state of a complete group from the loads of its ranks.
func NewGroupState(loads map[string]RankLoad, imbalance, peakImbalance float64, queued QueueCounts, reportedAt time.Time) GroupState {
	s := GroupState{Complete: true, Imbalance: imbalance, PeakImbalance: peakImbalance, MaxSlowdown: 1, Queued: queued, ReportedAt: reportedAt}
	total := 0
	for _, l := range loads {
		total += l.Running + l.Waiting
		s.MaxSlowdown = max(s.MaxSlowdown, l.Slowdown)
	}
	s.TotalRequests = total
	s.MeanRequests = total / max(len(loads), 1)
	return s
}

// assumeOtherLoad estimates the requests of other entries at each target while there are no
// reports. The estimate is that each other entry has as many requests as this one.
//
// The estimate is needed while the leader agent of a group, which sends the load reports of the
// group, is stalled. Without it each entry would see only its own requests and fill all targets by
// itself, and requests that wait inside the engines would be late or abandoned by their callers.
// Entries get about the same share of the callers, so the estimates add up to about the real load.
//
// The lock must be held.
func (tr *Tracker) assumeOtherLoad(p *groupPool, now time.Time) {
	state := tr.group(p.key)
	state.assumedOthers = 0
	if now.Sub(state.ReportedAt) >= ReportTTL && len(p.Targets) > 0 {
		own := 0
		for _, ts := range tr.states {
			if tr.groupKeyOf(ts.target, now) == p.key {
				own += ts.running
			}
		}
		state.assumedOthers = float64(own*(p.EntryCount-1)) / float64(len(p.Targets))
	}
}

// TargetSnapshot is what the tracker knows of a target.
type TargetSnapshot struct {
	Group       string        // group of the target; "": none or unknown
	Requests    int           // requests at the target
	ReportAge   time.Duration // age of the latest load report of the target's group
	Imbalance   float64       // imbalance of the target's group
	MaxSlowdown float64       // slowdown of the slowest rank in the target's group
	RateLimit   float64       // rate limit that the target reports, in requests a second; Unlimited: none
	Rest        time.Duration // how long the target still wants no requests from this entry; 0: it does not rest
}

// Snapshot returns what is known of a target.
func (tr *Tracker) Snapshot(t *serving.Target, now time.Time) TargetSnapshot {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	key := tr.groupKeyOf(t, now)
	state := tr.group(key)
	s := TargetSnapshot{Group: key.name, Requests: tr.load(t, now), Imbalance: state.Imbalance, MaxSlowdown: state.MaxSlowdown, RateLimit: tr.stated.rate(t.Run()), Rest: tr.stated.restOf(t.Run(), now)}
	if !state.ReportedAt.IsZero() {
		s.ReportAge = now.Sub(state.ReportedAt)
	}
	return s
}

// load returns the number of requests at a target: those of this entry, plus those of other entries
// by the latest report. A target that is missing from the reports of its group, because its agent
// is unreachable, counts with at least the mean load of the group. If it counted as empty, all
// entries would send to it.
func (tr *Tracker) load(t *serving.Target, now time.Time) int {
	own := 0
	ts := tr.states[t.Run()]
	if ts != nil {
		own = ts.running
		if now.Sub(ts.reported.reportedAt) < ReportTTL {
			return own + max(ts.reported.Running+ts.reported.Waiting-ts.reported.ownAtReport, 0)
		}
	}
	state := tr.group(tr.groupKeyOf(t, now))
	if now.Sub(state.ReportedAt) < ReportTTL {
		return max(own, state.MeanRequests)
	}
	return own + int(state.assumedOthers+0.5)
}
