package losses

import (
	"time"

	"github.com/heatherrail/heatherrail/story"
)

// Cause is why a request was late, refused or failed.
type Cause uint8

// Causes in order of precedence: a request during which several of them apply is
// attributed to the first.
const (
	CallerFault       Cause = iota // the caller disconnected, or its request was invalid or not allowed
	NoConfig                       // the entry had no configuration or no target yet
	EntryStopping                  // the entry was shutting down
	TargetFailed                   // a target was lost, or its response failed or was incomplete
	TargetRateLimited              // the rate limits of all targets were used up
	AfterRestart                   // most processes had just restarted
	GroupBroken                    // a rank was lost
	SlowRank                       // a rank took many times its usual step time
	GroupHeld                      // an incomplete switch of the expert map left the group on hold
	LoadReportStale                // placements used old load reports of the group
	MapOutdated                    // the expert map was not yet adapted to the demand
	TargetSlow                     // a plain target answered slowly
	Backlog                        // none of the above: the queue exceeded the capacity
	causeCount
)

// NumCauses is the number of causes.
const NumCauses = int(causeCount)

// String returns the cause's name in reports.
func (c Cause) String() string {
	return [...]string{"callers' own", "no configuration or target", "entry stopping", "target failed", "rates of targets", "all restarted", "group broken",
		"slow rank", "group held", "leader silent", "map behind demand", "target slow", "backlog"}[c]
}

// Savable reports whether a load balancer with perfect information could have served
// the request on time. That is impossible without a working target or without a group
// whose passes are short enough.
func (c Cause) Savable() bool {
	switch c {
	case CallerFault, NoConfig, TargetRateLimited, GroupBroken, SlowRank, TargetSlow:
		return false
	}
	return true
}

// Thresholds from which a logged value counts as the cause of a loss.
const (
	slowdownThreshold  = 2.0 // step time divided by the usual step time
	imbalanceThreshold = 1.5 // load of the most loaded rank divided by the mean
	staleReportAge     = 2 * time.Second
	restartWindow      = 6 * time.Second // losses in this time after a restart are attributed to its backlog
)

// causeByReason maps the logged reason of a refusal or failure to its cause.
var causeByReason = map[string]Cause{
	"unauthorized": CallerFault, "unknown_path": CallerFault, "caller_gone": CallerFault, "bad_request": CallerFault,
	"headers_too_large": CallerFault, "body_too_large": CallerFault, "request_timeout": CallerFault,
	"no_config": NoConfig, "no_target": NoConfig, "entry_leaving": EntryStopping,
	"target_lost": TargetFailed, "engine_lost": TargetFailed, "answer_broken": TargetFailed, "target_leaving": TargetFailed,
	"unreachable": TargetFailed, "rank_lost": GroupBroken, "target_limit": TargetRateLimited, "target_resting": TargetRateLimited,
}

// cause returns the cause of a loss. line is the last log line of the request;
// attemptFailed is true if one of the request's attempts failed.
func (a *analyser) cause(line *story.Line, attemptFailed bool) Cause {
	if c, ok := causeByReason[line.Get("reason")]; ok {
		return c
	}
	if attemptFailed {
		return TargetFailed
	}
	if line.Get("kind") != "stream" {
		return TargetSlow
	}
	duration := time.Duration(line.Int("ms")) * time.Millisecond
	stats := a.statsBetween(line.At.Add(-duration), line.At)
	switch {
	case stats.restarted:
		return AfterRestart
	case stats.groupBroken:
		return GroupBroken
	case stats.slowdown >= slowdownThreshold:
		return SlowRank
	case stats.groupHeld:
		return GroupHeld
	case stats.reportAge >= staleReportAge:
		return LoadReportStale
	case stats.imbalance >= imbalanceThreshold:
		return MapOutdated
	}
	return Backlog
}

// secondStats holds the worst values and the faults that the log lines of one second report.
type secondStats struct {
	slowdown, imbalance    float64
	reportAge              time.Duration // age of the oldest load report used by a placement
	groupHeld, groupBroken bool
	restarted              bool
}

// merge takes the larger of each value and sets each flag that o has set.
func (s *secondStats) merge(o *secondStats) {
	s.slowdown, s.imbalance, s.reportAge = max(s.slowdown, o.slowdown), max(s.imbalance, o.imbalance), max(s.reportAge, o.reportAge)
	s.groupHeld, s.groupBroken, s.restarted = s.groupHeld || o.groupHeld, s.groupBroken || o.groupBroken, s.restarted || o.restarted
}

// recordStats adds the system state that a log line reports to the stats of the second
// of the line.
func (a *analyser) recordStats(line *story.Line) {
	stats := a.statsAt(line.At)
	switch line.Event {
	case "placed", "group load":
		stats.slowdown = max(stats.slowdown, line.Float("pace"))
		stats.imbalance = max(stats.imbalance, line.Float("imbalance"))
		stats.reportAge = max(stats.reportAge, time.Duration(line.Int("report_ms"))*time.Millisecond)
	case "this rank is left held", "group stands still", "group held by nobody", "group let go without its leader", "switch taken back":
		stats.groupHeld = true
	case "try failed":
		stats.groupBroken = stats.groupBroken || line.Get("reason") == "rank_lost"
	case "started":
		if dc := line.Get("data_centre"); dc != "" {
			a.dataCentres[line.Source] = dc
		}
	}
}
