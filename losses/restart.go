package losses

import (
	"slices"
	"time"

	"github.com/heatherrail/heatherrail/story"
)

// Properties of a restart of the deployment, as after a loss of power.
const (
	restartShare  = 0.5             // minimum share of all processes that start in it
	restartSpread = 2 * time.Second // maximum time from the first to the last of these starts
	// startLogTime is the time before its "started" line in which a starting process may log other lines.
	startLogTime = 2 * time.Second
)

// processLog holds what the log lines of one process state about its runs.
type processLog struct {
	first  time.Time // time of the earliest line
	starts []time.Time
	stops  []time.Time // orders to stop
	ends   []time.Time // ends of shutdowns
}

// recordProcess records a log line of a process.
func (a *analyser) recordProcess(line *story.Line) {
	p := a.processes[line.Source]
	if p == nil {
		p = &processLog{first: line.At}
		a.processes[line.Source] = p
	}
	if line.At.Before(p.first) {
		p.first = line.At
	}
	switch line.Event {
	case "started":
		p.starts = append(p.starts, line.At)
	case "stopping":
		p.stops = append(p.stops, line.At)
	case "stopped":
		p.ends = append(p.ends, line.At)
	}
}

// unorderedRestarts returns the starts of a process that ran before and was not ordered to stop. The
// first start of a deployment and the starts of a rolling restart are not among them.
func (p *processLog) unorderedRestarts() []time.Time {
	slices.SortFunc(p.starts, time.Time.Compare)
	var restarts []time.Time
	runningSince := p.first
	for i, start := range p.starts {
		if !containsBetween(p.stops, runningSince, start) && (i > 0 || start.Sub(p.first) > startLogTime) {
			restarts = append(restarts, start)
		}
		runningSince = start
	}
	return restarts
}

// unfinishedStops returns the starts of a process that was ordered to stop before and did not log the
// end of its shutdown.
func (p *processLog) unfinishedStops() []time.Time {
	slices.SortFunc(p.starts, time.Time.Compare)
	var unfinished []time.Time
	runningSince := p.first
	for _, start := range p.starts {
		if containsBetween(p.stops, runningSince, start) && !containsBetween(p.ends, runningSince, start) {
			unfinished = append(unfinished, start)
		}
		runningSince = start
	}
	return unfinished
}

// containsBetween reports whether one of the times is neither before from nor after to.
func containsBetween(times []time.Time, from, to time.Time) bool {
	return slices.ContainsFunc(times, func(t time.Time) bool { return !t.Before(from) && !t.After(to) })
}

// countUnfinishedStops sets the numbers of unfinished stops of an analysis. It needs the result of
// markRestarts.
func (a *analyser) countUnfinishedStops(out *Analysis) {
	for _, p := range a.processes {
		for _, start := range p.unfinishedStops() {
			out.UnfinishedStops++
			if a.statsAt(start).restarted {
				out.StopsCutByRestart++
			}
		}
	}
}

// markRestarts sets restarted for the seconds of each restart of the deployment and restartWindow
// after it.
func (a *analyser) markRestarts() {
	type restart struct {
		at     time.Time
		source string
	}
	var restarts []restart
	for source, p := range a.processes {
		for _, at := range p.unorderedRestarts() {
			restarts = append(restarts, restart{at, source})
		}
	}
	slices.SortFunc(restarts, func(x, y restart) int { return x.at.Compare(y.at) })
	countBySource := make(map[string]int) // restarts from the oldest to the current one
	oldest := 0
	for _, r := range restarts {
		countBySource[r.source]++
		for r.at.Sub(restarts[oldest].at) > restartSpread {
			source := restarts[oldest].source
			if countBySource[source]--; countBySource[source] == 0 {
				delete(countBySource, source)
			}
			oldest++
		}
		if float64(len(countBySource)) < restartShare*float64(len(a.processes)) {
			continue
		}
		for s := restarts[oldest].at.Unix(); s < r.at.Add(restartWindow).Unix(); s++ {
			if stats := a.statsBySecond[s]; stats != nil {
				stats.restarted = true
			}
		}
	}
}
