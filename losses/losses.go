// Package losses reads the logs of all processes and attributes each request that was
// late, refused or failed to one cause. It counts these losses by cause, second, kind
// and data centre.
package losses

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/heatherrail/heatherrail/story"
)

// Loss is one request that was late, refused or failed.
type Loss struct {
	Second     int    // seconds since the first second of the logs
	Kind       string // request kind, as logged
	DataCentre string // data centre of the entry; empty if unknown
	Cause      Cause
	Outcome    Outcome
	Delay      Delay
	DelayTime  time.Duration // length of the delay
	Pass       *Pass         // longest pass of the stream's group while it was in progress; nil: not a stream, or not logged
}

// Outcome is the result of a lost request for its caller.
type Outcome string

// Values of Outcome.
const (
	Late    Outcome = "late"
	Refused Outcome = "refused"
	Failed  Outcome = "failed" // the request may have run
)

// Analysis holds the requests found in the logs and the cause of each loss.
type Analysis struct {
	Seconds       int // length of the logs in seconds, up to the last finished request
	Answered      int // requests answered on time
	Losses        []Loss
	UnparsedLines int // lines that could not be parsed

	UnfinishedStops   int // starts of processes that were ordered to stop before and logged no end of their shutdown
	StopsCutByRestart int // those in a restart of the deployment, as after a loss of power
}

// analyser collects log lines and derives an Analysis from them.
type analyser struct {
	finished       []story.Line           // last log line of each request
	failedRequests map[string]bool        // IDs of requests with a failed attempt
	statsBySecond  map[int64]*secondStats // by Unix time in seconds
	processes      map[string]*processLog // by Line.Source
	groupEvents    []groupEvent
	requestGroups  map[string]string // group of engines at which each request was last placed, by request ID
	sourceGroups   map[string]string // group of engines of each agent that logged it, by Line.Source
	dataCentres    map[string]string // data centre of each process, by Line.Source
	unparsed       int
}

// maxLineBytes is the largest log line that is read; a longer one is an error.
const maxLineBytes = 1 << 20

// Read reads the logs of any number of processes and analyses them. The lines may be
// in any order.
func Read(r io.Reader) (*Analysis, error) {
	a := &analyser{
		failedRequests: make(map[string]bool),
		statsBySecond:  make(map[int64]*secondStats),
		processes:      make(map[string]*processLog),
		requestGroups:  make(map[string]string),
		sourceGroups:   make(map[string]string),
		dataCentres:    make(map[string]string),
	}
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLineBytes)
	for sc.Scan() {
		line, err := story.Parse(sc.Text())
		if err != nil {
			a.unparsed++
			continue
		}
		a.addLine(line)
	}
	if err := sc.Err(); err != nil {
		return nil, fmt.Errorf("read log: %w", err)
	}
	return a.finish(), nil
}

// addLine adds a log line to the stats of its second. It keeps the line if it is the last
// one of a request, and records the request if the line reports a failed attempt.
func (a *analyser) addLine(line story.Line) {
	a.recordStats(&line)
	a.recordProcess(&line)
	a.recordGroup(&line)
	switch line.Event {
	case "answered", "refused", "broken off":
		a.finished = append(a.finished, line)
	case "try failed":
		a.failedRequests[line.Get("request")] = true
	}
}

// statsAt returns the stats of the second that contains a time, and creates them if
// necessary.
func (a *analyser) statsAt(at time.Time) *secondStats {
	stats := a.statsBySecond[at.Unix()]
	if stats == nil {
		stats = new(secondStats)
		a.statsBySecond[at.Unix()] = stats
	}
	return stats
}

// statsBetween returns the merged stats of all seconds from one time to another.
func (a *analyser) statsBetween(from, to time.Time) *secondStats {
	sum := new(secondStats)
	for s := from.Unix(); s <= to.Unix(); s++ {
		if stats := a.statsBySecond[s]; stats != nil {
			sum.merge(stats)
		}
	}
	return sum
}

// firstSecond returns the earliest second in the logs as Unix time, 0 if there is none.
func (a *analyser) firstSecond() int64 {
	first := int64(0)
	for second := range a.statsBySecond {
		if first == 0 || second < first {
			first = second
		}
	}
	return first
}

// finish determines the cause of each loss and returns the analysis.
func (a *analyser) finish() *Analysis {
	a.markRestarts()
	a.prepareGroupEvents()
	first := a.firstSecond()
	out := &Analysis{UnparsedLines: a.unparsed}
	a.countUnfinishedStops(out)
	for i := range a.finished {
		line := &a.finished[i]
		second := int(line.At.Unix() - first)
		out.Seconds = max(out.Seconds, second+1)
		outcome, isLoss := outcomeOf(line)
		if !isLoss {
			out.Answered++
			continue
		}
		loss := Loss{
			Second:     second,
			Kind:       line.Get("kind"),
			DataCentre: a.dataCentres[line.Source],
			Cause:      a.cause(line, a.failedRequests[line.Get("request")]),
			Outcome:    outcome,
		}
		loss.Delay, loss.DelayTime = delayOf(line)
		if loss.Delay != NoDelay {
			duration := time.Duration(line.Int("ms")) * time.Millisecond
			loss.Pass = a.longestPass(a.requestGroups[line.Get("request")], line.At.Add(-duration), line.At)
		}
		out.Losses = append(out.Losses, loss)
	}
	slices.SortStableFunc(out.Losses, func(a, b Loss) int { return cmp.Compare(a.Second, b.Second) })
	return out
}

// outcomeOf returns the outcome of a request from its last line. The second result is
// false if the request was answered on time.
func outcomeOf(line *story.Line) (Outcome, bool) {
	switch line.Event {
	case "refused":
		return Refused, true
	case "broken off":
		return Failed, true
	}
	if status := line.Get("status"); status != "" && status[0] != '2' {
		return Failed, true
	}
	return Late, line.Get("late") != "no"
}
