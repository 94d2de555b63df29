package placing

import (
	"time"

	"github.com/heatherrail/heatherrail/serving"
)

// ReportTTL is how long a report is believed.
const ReportTTL = 2 * time.Second

// RankLoad is what is reported of one target of a group.
type RankLoad struct {
	Running, Waiting int
	Slowdown         float64 // how many times as long as usual it takes
}

// QueueCounts counts requests that wait at gates.
type QueueCounts struct {
	InTime int // those that can still be in time
	Late   int // those that can't
}

// GroupState is what is reported of a group.
type GroupState struct {
	Name          string
	Complete      bool        // all ranks are there, and it runs passes
	Imbalance     float64     // how many times as long as even loads the ranks take for their experts
	PeakImbalance float64     // the most of it lately
	MaxSlowdown   float64     // of the slowest rank, in times as long as usual
	MeanRequests  int         // requests of a target, running and waiting
	TotalRequests int         // requests of all targets
	Queued        QueueCounts // requests that wait at all entries
	ReportedAt    time.Time
}

// reportedLoad is what a target's agent says that runs there.
type reportedLoad struct {
	RankLoad
	at      time.Time
	ownThen int // requests of this entry that the report counts
}

// ApplyLoadReport takes what is reported of a service's group and of its targets, by their
// addresses.
func (b *Tracker) ApplyLoadReport(service string, targets []*serving.Target, loads map[string]RankLoad, state GroupState) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, t := range targets {
		l, ok := loads[t.Address]
		if !ok {
			continue
		}
		l.Slowdown = max(l.Slowdown, 1)
		a := b.account(t)
		a.group = state.Name
		a.others = reportedLoad{RankLoad: l, at: state.ReportedAt, ownThen: a.running}
	}
	g := b.group(groupKey{service: service, name: state.Name})
	g.GroupState, g.share, g.assumed = state, roomShare{}, 0
}

// NewGroupState sums up the loads of a group's ranks.
func NewGroupState(loads map[string]RankLoad, imbalance, worst float64, wanting QueueCounts, at time.Time) GroupState {
	s := GroupState{Complete: true, Imbalance: imbalance, PeakImbalance: worst, MaxSlowdown: 1, Queued: wanting, ReportedAt: at}
	total := 0
	for _, l := range loads {
		total += l.Running + l.Waiting
		s.MaxSlowdown = max(s.MaxSlowdown, l.Slowdown)
	}
	s.TotalRequests = total
	s.MeanRequests = total / max(len(loads), 1)
	return s
}

// assume estimates what other entries have running at each target, as long as nobody
// reports it: as much as this one.
//
// Failure: the agent that reports for a group stands still. Symptom: every entry
// sees only its own requests, fills all targets by itself, and those that wait
// inside the engines are late or given up by their callers. Entries get about the
// same share of the callers, so what each assumes adds up to about what runs.
//
// The lock must be held.
func (b *Tracker) assume(l *groupLane, now time.Time) {
	state := b.group(l.key)
	state.assumed = 0
	if now.Sub(state.ReportedAt) >= ReportTTL && len(l.Targets) > 0 {
		own := 0
		for _, a := range b.accounts {
			if b.keyOf(a.target, now) == l.key {
				own += a.running
			}
		}
		state.assumed = float64(own*(l.Entries-1)) / float64(len(l.Targets))
	}
}

// TargetSnapshot is what placing knows of a target.
type TargetSnapshot struct {
	Requests    int           // requests there
	ReportAge   time.Duration // of the report that this comes from
	Imbalance   float64       // of its group
	MaxSlowdown float64       // of its group's slowest rank
	RateLimit   float64       // that it names; Unlimited: none
}

// Snapshot returns what is known of a target.
func (b *Tracker) Snapshot(t *serving.Target, now time.Time) TargetSnapshot {
	b.mu.Lock()
	defer b.mu.Unlock()
	state := b.group(b.keyOf(t, now))
	k := TargetSnapshot{Requests: b.load(t, now), Imbalance: state.Imbalance, MaxSlowdown: state.MaxSlowdown, RateLimit: b.limits.rate(t.Run())}
	if !state.ReportedAt.IsZero() {
		k.ReportAge = now.Sub(state.ReportedAt)
	}
	return k
}

// load returns how many requests a target has: this entry's, and those of others
// by the latest report. A target that the reports of its group leave out, since its
// agent is away, counts as one like the others: if it counted as empty, all entries
// would send to it.
func (b *Tracker) load(t *serving.Target, now time.Time) int {
	own := 0
	a := b.accounts[t.Run()]
	if a != nil {
		own = a.running
		if now.Sub(a.others.at) < ReportTTL {
			return own + max(a.others.Running+a.others.Waiting-a.others.ownThen, 0)
		}
	}
	state := b.group(b.keyOf(t, now))
	if now.Sub(state.ReportedAt) < ReportTTL {
		return max(own, state.MeanRequests)
	}
	return own + int(state.assumed+0.5)
}
