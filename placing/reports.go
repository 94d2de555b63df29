package placing

import (
	"time"

	"github.com/heatherrail/heatherrail/serving"
)

// reportLife is how long a report is believed.
const reportLife = 2 * time.Second

// ReportLife returns how long a report is believed.
func ReportLife() time.Duration { return reportLife }

// RankLoad is what is reported of one target of a group.
type RankLoad struct {
	Running, Waiting int
	Pace             float64 // how many times as long as usual it takes
}

// GroupState is what is reported of a group.
type GroupState struct {
	Imbalance float64 // how many times as long as even loads the ranks take for their experts
	Worst     float64 // the most of it lately
	Pace      float64 // of the slowest rank, in times as long as usual
	Mean      int     // requests of a target, running and waiting
	At        time.Time
	// assumed are the requests of other entries at each target while nothing is
	// reported.
	assumed float64
}

// reportedLoad is what a target's agent says that runs there.
type reportedLoad struct {
	RankLoad
	at      time.Time
	ownThen int // requests of this entry that the report counts

	shared bool // the room that the report shows has been divided
	part   int  // of it this entry's
	taken  int  // of that, less what has ended since
}

// Reported takes what is reported of a service's group and of its targets, by their
// addresses.
func (b *Book) Reported(service string, targets []*serving.Target, loads map[string]RankLoad, state GroupState) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, t := range targets {
		l, ok := loads[t.Address]
		if !ok {
			continue
		}
		l.Pace = max(l.Pace, 1)
		a := b.account(t)
		a.others = reportedLoad{RankLoad: l, at: state.At, ownThen: a.running}
	}
	b.groups[service] = state
}

// NewGroupState sums up the loads of a group's ranks.
func NewGroupState(loads map[string]RankLoad, imbalance, worst float64, at time.Time) GroupState {
	s := GroupState{Imbalance: imbalance, Worst: worst, Pace: 1, At: at}
	total := 0
	for _, l := range loads {
		total += l.Running + l.Waiting
		s.Pace = max(s.Pace, l.Pace)
	}
	s.Mean = total / max(len(loads), 1)
	return s
}

// reportAge returns how old the latest report on a service's group is.
func (b *Book) reportAge(service string, now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return now.Sub(b.groups[service].At)
}

// assume reckons what other entries have running at each target, as long as nobody
// reports it: as much as this one.
//
// Failure: the agent that reports for a group stands still. Symptom: every entry
// sees only its own requests, fills all targets by itself, and those that wait
// inside the engines are late or given up by their callers. Entries get about the
// same share of the callers, so what each assumes adds up to about what runs.
func (b *Book) assume(l Lane, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	state := b.groups[l.Service.Name]
	state.assumed = 0
	if now.Sub(state.At) >= reportLife && len(l.Targets) > 0 {
		own := 0
		for _, a := range b.accounts {
			if a.target.Service == l.Service.Name {
				own += a.running
			}
		}
		state.assumed = float64(own*(l.Entries-1)) / float64(len(l.Targets))
	}
	b.groups[l.Service.Name] = state
}

// load returns how many requests a target has: this entry's, and those of others
// by the latest report. A target that the reports of its group leave out, since its
// agent is away, counts as one like the others: if it counted as empty, all entries
// would send to it.
func (b *Book) load(t *serving.Target, now time.Time) int {
	own := 0
	a := b.accounts[t.ID]
	if a != nil {
		own = a.running
		if now.Sub(a.others.at) < reportLife {
			return own + max(a.others.Running+a.others.Waiting-a.others.ownThen, 0)
		}
	}
	state := b.groups[t.Service]
	if now.Sub(state.At) < reportLife {
		return max(own, state.Mean)
	}
	return own + int(state.assumed+0.5)
}

// reserve books a try at the target with the least work that runs fewer requests
// than most, and of whose room a part is this entry's; nil if there is none.
func (b *Book) reserve(l Lane, most int, s Size, now time.Time) *serving.Target {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.place(l.Targets, func(t *serving.Target) bool { return !b.hasRoom(t, most, l.Entries, now) }, now)
	if t != nil {
		b.begin(t, s).others.taken++
	}
	return t
}

// hasRoom tells whether this entry may send to a target; the lock must be held.
//
// Failure: all targets are full but one, and all entries have that report.
// Symptom: each of 46 sends there what waits, and fifty requests queue at one
// engine while others get room. So the room that a report shows is divided by the
// number of entries; the rest of the division is drawn, so that in the mean all of
// it is used. What this entry's own requests free is its own.
func (b *Book) hasRoom(t *serving.Target, most, entries int, now time.Time) bool {
	room := most - b.load(t, now)
	if room <= 0 {
		return false
	}
	a := b.accounts[t.ID]
	if a == nil || now.Sub(a.others.at) > reportLife {
		return true
	}
	if !a.others.shared {
		a.others.shared = true
		a.others.part = int(float64(room)/float64(max(entries, 1)) + b.rng.Float64())
	}
	return a.others.taken < a.others.part
}
