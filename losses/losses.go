// Package losses reads the logs of all processes and puts down each request that was
// late, refused or failed to one cause, by second, kind and data centre.
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

// Loss is one request that did not fare well.
type Loss struct {
	Second     int // of the logs' first one
	Kind       string
	DataCentre string // of the entry
	Cause      Cause
	Outcome    Outcome
}

// Outcome is what the caller got.
type Outcome string

// Outcomes.
const (
	Late    Outcome = "late"
	Refused Outcome = "refused"
	Failed  Outcome = "failed" // after it may have run
)

// Ledger is what the logs tell of all requests.
type Ledger struct {
	Seconds  int
	Answered int // in time
	Losses   []Loss
	Unread   int // lines that are no events
}

// ledger is a Ledger that is being put together.
type ledger struct {
	lines       []story.Line // of requests that have ended
	failed      map[string]bool
	moments     map[int64]*moment // by Unix second
	processes   map[string]bool   // that have started
	dataCentres map[string]string // by VM
	unread      int
}

// lineMax bounds one line of a log.
const lineMax = 1 << 20

// Read reads logs of any number of processes, in any order.
func Read(r io.Reader) (*Ledger, error) {
	l := &ledger{
		failed:      make(map[string]bool),
		moments:     make(map[int64]*moment),
		processes:   make(map[string]bool),
		dataCentres: make(map[string]string),
	}
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, lineMax)
	for sc.Scan() {
		line, err := story.Parse(sc.Text())
		if err != nil {
			l.unread++
			continue
		}
		l.take(line)
	}
	if err := sc.Err(); err != nil {
		return nil, fmt.Errorf("read log: %w", err)
	}
	return l.close(), nil
}

func (l *ledger) take(line story.Line) {
	l.note(&line)
	switch line.Event {
	case "answered", "refused", "broken off":
		l.lines = append(l.lines, line)
	case "try failed":
		l.failed[line.Get("request")] = true
	}
}

func (l *ledger) moment(at time.Time) *moment {
	m := l.moments[at.Unix()]
	if m == nil {
		m = new(moment)
		l.moments[at.Unix()] = m
	}
	return m
}

// during sums up what happened in a time.
func (l *ledger) during(from, to time.Time) *moment {
	sum := new(moment)
	for s := from.Unix(); s <= to.Unix(); s++ {
		if m := l.moments[s]; m != nil {
			sum.add(m)
		}
	}
	return sum
}

func (l *ledger) first() int64 {
	first := int64(0)
	for second := range l.moments {
		if first == 0 || second < first {
			first = second
		}
	}
	return first
}

func (l *ledger) startsAt(second int64) int {
	if m := l.moments[second]; m != nil {
		return m.starts
	}
	return 0
}

func (l *ledger) close() *Ledger {
	l.spreadRestarts()
	first := l.first()
	out := &Ledger{Unread: l.unread}
	for i := range l.lines {
		line := &l.lines[i]
		second := int(line.At.Unix() - first)
		out.Seconds = max(out.Seconds, second+1)
		outcome, lost := outcomeOf(line)
		if !lost {
			out.Answered++
			continue
		}
		out.Losses = append(out.Losses, Loss{
			Second:     second,
			Kind:       line.Get("kind"),
			DataCentre: l.dataCentres[line.Source],
			Cause:      l.cause(line, l.failed[line.Get("request")]),
			Outcome:    outcome,
		})
	}
	slices.SortStableFunc(out.Losses, func(a, b Loss) int { return cmp.Compare(a.Second, b.Second) })
	return out
}

// outcomeOf tells what a request's last line says of it; false if it fared well.
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
