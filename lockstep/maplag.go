package lockstep

import (
	"time"

	"github.com/heatherrail/heatherrail/logging"
)

// mapLag detects a map that does not follow demand: it has not fitted for longer than a switch takes,
// and not by choice of the leader.
type mapLag struct {
	since     time.Time // time since which the map has not fitted demand; zero: it fits
	loggedAt  time.Time // time of the latest log line of this lag; zero: none
	imbalance float64   // latest imbalance of the map in use
	cause     string    // why the group was not on a better map in the latest round
}

// Causes of a lag, for the log.
const (
	// lagNone states that the map is kept by choice, since a better one costs more than it gains, or
	// that it can't be changed, which is logged when the leader begins to lead. Neither is a lag.
	lagNone         = ""
	lagIncomplete   = "not all ranks answer"
	lagHeld         = "the group is held"
	lagUnknownMap   = "the map in use is unknown or differs between ranks"
	lagNoSwitch     = "no switch can begin before the next pass, or without the agent of the proxy"
	lagSwitching    = "the next map is not in use yet"
	lagRefused      = "ranks have refused maps"
	lagSlowSwitches = "switches take too long to pay"
	lagNoBetterMap  = "no better map is found"
)

const (
	// maxMapLag is the time after which a map that does not fit is reported. A shift in demand is
	// usually answered within one second.
	maxMapLag = 2 * time.Second
	// mapLagLogInterval is the interval between log lines of a lag.
	mapLagLogInterval = 10 * time.Second
)

// observe records the imbalance of the map in use under the current demand.
func (m *mapLag) observe(imbalance float64, now time.Time) {
	m.imbalance = imbalance
	switch {
	case imbalance < largeImbalance:
		m.since, m.loggedAt = time.Time{}, time.Time{}
	case m.since.IsZero():
		m.since = now
	}
}

// shouldLog reports whether the lag is due to be logged.
func (m *mapLag) shouldLog(now time.Time) bool {
	if m.since.IsZero() || now.Sub(m.since) < maxMapLag || m.cause == lagNone || now.Sub(m.loggedAt) < mapLagLogInterval {
		return false
	}
	m.loggedAt = now
	return true
}

// logMapLag logs and counts a map that does not follow demand, at the end of a round.
func (l *leader) logMapLag(group string, now time.Time) {
	if !l.lag.shouldLog(now) {
		return
	}
	l.a.opts.Metrics.Count("maps_behind_demand", 1)
	l.a.opts.Log.Info("map does not follow demand", "group", group, "ms", now.Sub(l.lag.since).Milliseconds(),
		"imbalance", logging.Round2(l.lag.imbalance), "version", l.version, "cause", l.lag.cause)
}

// causeToKeepMap returns why the best plan p is to keep the map.
func (pl *planner) causeToKeepMap(p *plan) string {
	switch {
	case !p.rejected:
		return lagNoBetterMap
	case pl.switchCosts.overhead+pl.switchCosts.stall > slowSwitch:
		return lagSlowSwitches
	}
	return lagNone
}

// slowSwitch is the mean time of switches above which they leave less than half of the horizon for a
// plan to gain.
const slowSwitch = time.Duration(horizonSec / 2 * float64(time.Second))
