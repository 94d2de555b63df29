package losses

import (
	"time"

	"github.com/heatherrail/heatherrail/story"
)

// Cause is why a request was late, refused or failed.
type Cause uint8

// Causes, the ones that outweigh others first: a request during whose time several
// things happened is put down to the first of them.
const (
	CallersOwn    Cause = iota // the caller left, or asked for what it may not have
	NoConfig                   // the entry did not know a configuration or a target yet
	EntryStopping              // the entry was about to stop
	TargetFailed               // a target was lost, or spoilt or failed its answer
	RateNamed                  // all targets named a rate that was used up
	Restarted                  // most processes had just started
	GroupBroken                // a rank was lost
	SlowRank                   // a rank took many times as long as usual
	GroupHeld                  // a switch of maps was left half done
	LeaderSilent               // nobody reported the group's loads
	MapBehind                  // the map did not fit demand
	TargetSlow                 // a plain target took its time
	Backlog                    // none of these: more waited than there was room for
	causeCount
)

// Causes is the number of causes.
const Causes = int(causeCount)

// String returns the name used in reports.
func (c Cause) String() string {
	return [...]string{"callers' own", "no configuration or target", "entry stopping", "target failed", "rates of targets", "all restarted", "group broken",
		"slow rank", "group held", "leader silent", "map behind demand", "target slow", "backlog"}[c]
}

// Savable tells whether an all-knowing system could have served the request in time:
// not so if it had no working group, or none whose passes are short enough.
func (c Cause) Savable() bool {
	switch c {
	case CallersOwn, NoConfig, RateNamed, GroupBroken, SlowRank, TargetSlow:
		return false
	}
	return true
}

// Bounds beyond which what lines tell counts as a cause.
const (
	slowPace      = 2.0 // times as long as usual
	badImbalance  = 1.5 // longest rank over the mean
	oldReport     = 2 * time.Second
	restartWindow = 6 * time.Second // after which what a restart left is worked off
	restartShare  = 0.5             // of all processes
)

// refusals are the causes of refusals that their reason tells.
var refusals = map[string]Cause{
	"unauthorized": CallersOwn, "unknown_path": CallersOwn, "caller_gone": CallersOwn, "bad_request": CallersOwn,
	"headers_too_large": CallersOwn, "body_too_large": CallersOwn, "request_timeout": CallersOwn,
	"no_config": NoConfig, "no_target": NoConfig, "entry_leaving": EntryStopping,
	"target_lost": TargetFailed, "engine_lost": TargetFailed, "answer_broken": TargetFailed, "target_leaving": TargetFailed,
	"unreachable": TargetFailed, "rank_lost": GroupBroken, "target_limit": RateNamed,
}

// cause finds why a request did not fare well. failed tells that a try of it failed.
func (l *ledger) cause(line *story.Line, failed bool) Cause {
	if c, ok := refusals[line.Get("reason")]; ok {
		return c
	}
	if failed {
		return TargetFailed
	}
	if line.Get("kind") != "stream" {
		return TargetSlow
	}
	took := time.Duration(line.Int("ms")) * time.Millisecond
	m := l.during(line.At.Add(-took), line.At)
	switch {
	case m.restarted:
		return Restarted
	case m.broken:
		return GroupBroken
	case m.pace >= slowPace:
		return SlowRank
	case m.held:
		return GroupHeld
	case m.report >= oldReport:
		return LeaderSilent
	case m.imbalance >= badImbalance:
		return MapBehind
	}
	return Backlog
}

// moment is what the lines of one second tell.
type moment struct {
	pace, imbalance float64
	report          time.Duration // age of the oldest report that a placement went by
	held, broken    bool
	restarted       bool
	starts          int
}

func (m *moment) add(o *moment) {
	m.pace, m.imbalance, m.report = max(m.pace, o.pace), max(m.imbalance, o.imbalance), max(m.report, o.report)
	m.held, m.broken, m.restarted = m.held || o.held, m.broken || o.broken, m.restarted || o.restarted
}

// note takes what a line tells of its second.
func (l *ledger) note(line *story.Line) {
	m := l.moment(line.At)
	switch line.Event {
	case "placed", "group load":
		m.pace = max(m.pace, line.Float("pace"))
		m.imbalance = max(m.imbalance, line.Float("imbalance"))
		m.report = max(m.report, time.Duration(line.Int("report_ms"))*time.Millisecond)
	case "this rank is left held", "group stands still", "group held by nobody", "group let go without its leader":
		m.held = true
	case "try failed":
		m.broken = m.broken || line.Get("reason") == "rank_lost"
	case "started":
		m.starts++
		l.processes[line.Source] = true
		if dc := line.Get("data_centre"); dc != "" {
			l.dataCentres[line.Source] = dc
		}
	}
}

// spreadRestarts marks the time after most processes have started at once.
func (l *ledger) spreadRestarts() {
	first := l.first()
	for second, m := range l.moments {
		if second <= first || float64(m.starts+l.startsAt(second-1)) < restartShare*float64(len(l.processes)) {
			continue // the first start of all is no restart
		}
		for s := second; s < second+int64(restartWindow/time.Second); s++ {
			if later := l.moments[s]; later != nil {
				later.restarted = true
			}
		}
	}
}
