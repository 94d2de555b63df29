package losses

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/heatherrail/heatherrail/story"
)

// Delay is the part of a stream that took too long.
type Delay uint8

// Values of Delay.
const (
	NoDelay         Delay = iota // not a stream, or neither late nor refused after a wait
	AdmissionWait                // the first event was late, and at least half of its time was a wait in the admission queue
	LateFirstEvent               // the first event was late for another reason
	LongPause                    // the first event was on time, but a pause between two events was too long
	WaitUntilRefuse              // the request was refused after a wait in the admission queue
	delayCount
)

// String returns the name of the delay in reports.
func (d Delay) String() string {
	return [...]string{"none", "wait, then late first event", "late first event", "long pause", "wait, then refused"}[d]
}

// admissionWaitShare is the share of the time to a late first event from which a wait in the
// admission queue counts as its reason. The log does not state the objective, so whether the event
// would have been on time without the wait is unknown.
const admissionWaitShare = 0.5

// delayOf returns the delay of a lost request and its length from the last line of the request.
func delayOf(line *story.Line) (Delay, time.Duration) {
	if line.Get("kind") != "stream" {
		return NoDelay, 0
	}
	ms := func(key string) time.Duration { return time.Duration(line.Int(key)) * time.Millisecond }
	if line.Event == "refused" {
		if line.Get("reason") == "wait_too_long" {
			return WaitUntilRefuse, ms("ms")
		}
		return NoDelay, 0
	}
	first, wait := ms("first_ms"), ms("wait_ms")
	switch {
	case line.Get("late") == "pause":
		return LongPause, ms("gap_ms")
	case line.Get("late") != "first event":
		return NoDelay, 0
	case float64(wait) >= admissionWaitShare*float64(first):
		return AdmissionWait, wait
	}
	return LateFirstEvent, first
}

// Pass describes the longest pass that was logged for a group during a request, and what happened
// to the group meanwhile.
type Pass struct {
	Group     string // "": not logged
	MS        float64
	Running   int // streams of all ranks of the group
	Waiting   int
	Imbalance float64
	Shifted   bool // demand shifted between experts
	Copying   bool // a new map was planned or taken into use
	Held      bool // a switch left the group on hold, or the group stood still
}

// groupEvent is a log line about a group of engines.
type groupEvent struct {
	at     time.Time
	source string
	group  string // "": not logged
	kind   groupEventKind
	pass   Pass // for passLogged and peakPassLogged
}

type groupEventKind uint8

const (
	passLogged     groupEventKind = iota // mean pass time at the time of the line
	peakPassLogged                       // longest pass after a demand shift, at the time of the pass
	demandShifted
	mapChanged
	groupStopped
)

// groupEventKinds maps log events to their kind.
var groupEventKinds = map[string]groupEventKind{
	"group load": passLogged, "longest pass": peakPassLogged, "demand moved": demandShifted, "map planned": mapChanged, "map switched": mapChanged,
	"this rank is left held": groupStopped, "group stands still": groupStopped, "group held by nobody": groupStopped,
	"group let go without its leader": groupStopped, "switch taken back": groupStopped,
}

// passLogInterval is the interval at which leaders log the passes of their group. A line that is
// written up to this time after the end of a request may describe a pass of the request.
const passLogInterval = time.Second

// recordGroup records a log line about a group, or the group at which a request was placed.
func (a *analyser) recordGroup(line *story.Line) {
	if line.Event == "placed" {
		if group := line.Get("group"); group != "" {
			a.requestGroups[line.Get("request")] = group
		}
		return
	}
	kind, ok := groupEventKinds[line.Event]
	if !ok {
		return
	}
	e := groupEvent{at: line.At, source: line.Source, group: line.Get("group"), kind: kind}
	if e.group != "" {
		a.sourceGroups[e.source] = e.group
	}
	if kind == passLogged || kind == peakPassLogged {
		e.pass = Pass{Group: e.group, MS: line.Float("pass_ms"), Running: line.Int("running"), Waiting: line.Int("waiting"), Imbalance: line.Float("imbalance")}
	}
	if kind == peakPassLogged {
		e.at = e.at.Add(-time.Duration(line.Int("age_ms")) * time.Millisecond)
		e.pass.Shifted, e.pass.Copying, e.pass.Held = true, line.Get("copying") == "true", line.Int("held_ms") > 0
	}
	a.groupEvents = append(a.groupEvents, e)
}

// prepareGroupEvents sorts the lines about groups, and adds the group to those that do not state it:
// a process is the agent of one engine, and an engine belongs to one group.
func (a *analyser) prepareGroupEvents() {
	for i := range a.groupEvents {
		e := &a.groupEvents[i]
		e.group = cmp.Or(e.group, a.sourceGroups[e.source])
	}
	slices.SortStableFunc(a.groupEvents, func(x, y groupEvent) int { return x.at.Compare(y.at) })
}

// longestPass returns the longest pass that was logged for a group from one time to another, and what
// else was logged of the group; nil if no pass was. Without a group, it considers the lines of all
// groups.
func (a *analyser) longestPass(group string, from, to time.Time) *Pass {
	first, _ := slices.BinarySearchFunc(a.groupEvents, from, func(e groupEvent, at time.Time) int { return e.at.Compare(at) })
	var longest *Pass
	during := a.groupEvents[first:]
	for i := range during {
		e := &during[i]
		if e.at.After(to.Add(passLogInterval)) {
			during = during[:i]
			break
		}
		isPass := e.kind == passLogged || e.kind == peakPassLogged && !e.at.After(to)
		if isPass && (group == "" || e.group == group) && (longest == nil || e.pass.MS > longest.MS) {
			longest = &e.pass
		}
	}
	if longest == nil {
		return nil
	}
	p := *longest
	for i := range during {
		if e := &during[i]; (group == "" || e.group == group) && !e.at.After(to) {
			p.Shifted = p.Shifted || e.kind == demandShifted
			p.Copying = p.Copying || e.kind == mapChanged
			p.Held = p.Held || e.kind == groupStopped
		}
	}
	return &p
}

// DelayRow describes the losses with one delay. The values of passes are medians over the losses
// for which the log has a pass.
type DelayRow struct {
	Delay     string  `json:"delay"`
	Losses    int     `json:"losses"`
	MedianMS  float64 `json:"median_ms"`
	P90MS     float64 `json:"p90_ms"`
	Passes    int     `json:"with_pass"` // losses for which the log has a pass
	PassMS    float64 `json:"pass_ms"`
	Running   float64 `json:"running"`
	Imbalance float64 `json:"imbalance"`
	Shifted   int     `json:"demand_shifted"` // losses during which demand shifted, and so on
	Copying   int     `json:"copying"`
	Held      int     `json:"held"`
}

// delayRows returns a row for each delay that occurred.
func (a *Analysis) delayRows() []DelayRow {
	var rows []DelayRow
	for d := NoDelay + 1; d < delayCount; d++ {
		row := DelayRow{Delay: d.String()}
		var delays, passes, running, imbalances []float64
		for i := range a.Losses {
			loss := &a.Losses[i]
			if loss.Delay != d {
				continue
			}
			delays = append(delays, float64(loss.DelayTime)/float64(time.Millisecond))
			if p := loss.Pass; p != nil {
				passes, running, imbalances = append(passes, p.MS), append(running, float64(p.Running)), append(imbalances, p.Imbalance)
				row.Shifted += countIf(p.Shifted)
				row.Copying += countIf(p.Copying)
				row.Held += countIf(p.Held)
			}
		}
		if len(delays) == 0 {
			continue
		}
		row.Losses, row.MedianMS, row.P90MS = len(delays), quantile(delays, 0.5), quantile(delays, 0.9)
		row.Passes, row.PassMS, row.Running, row.Imbalance = len(passes), quantile(passes, 0.5), quantile(running, 0.5), quantile(imbalances, 0.5)
		rows = append(rows, row)
	}
	return rows
}

func countIf(b bool) int {
	if b {
		return 1
	}
	return 0
}

// quantile returns the value at a share of the sorted values, 0 without values. It sorts values.
func quantile(values []float64, share float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[max(int(math.Ceil(share*float64(len(values))))-1, 0)]
}

// writeDelays writes the table of delays.
func writeDelays(b *strings.Builder, rows []DelayRow) {
	if len(rows) == 0 {
		return
	}
	b.WriteString("\ndelays of streams, with the longest pass of the group meanwhile (medians), and the number of losses during which demand\n" +
		"shifted, the map changed or the group was held\n")
	fmt.Fprintf(b, "%-28s %6s %9s %8s %8s %8s %9s %7s %7s %6s\n", "delay", "losses", "median ms", "90% ms", "pass ms", "streams", "imbalance", "shifted", "copying", "held")
	for i := range rows {
		r := &rows[i]
		pass, streams, imbalance := "-", "-", "-"
		if r.Passes > 0 {
			pass, streams, imbalance = strconv.FormatFloat(r.PassMS, 'f', 1, 64), strconv.FormatFloat(r.Running, 'f', 0, 64), strconv.FormatFloat(r.Imbalance, 'f', 2, 64)
		}
		fmt.Fprintf(b, "%-28s %6d %9.0f %8.0f %8s %8s %9s %7d %7d %6d\n", r.Delay, r.Losses, r.MedianMS, r.P90MS, pass, streams, imbalance, r.Shifted, r.Copying, r.Held)
	}
}
