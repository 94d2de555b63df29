package losses

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
)

// Row holds the number of losses of one cause, by outcome.
type Row struct {
	Cause   string `json:"cause"`
	Late    int    `json:"late"`
	Refused int    `json:"refused"`
	Failed  int    `json:"failed"`
	Savable int    `json:"savable"` // losses that a load balancer with perfect information could have avoided
}

// Report holds the numbers of losses in an Analysis, by cause, kind, data centre and second.
type Report struct {
	Answered      int            `json:"answered_in_time"`
	UnparsedLines int            `json:"lines_not_read"`
	Stops         StopCounts     `json:"unfinished_stops"`
	Causes        []Row          `json:"causes"`
	Delays        []DelayRow     `json:"delays"`
	Kinds         map[string]int `json:"by_kind"`
	DataCentres   map[string]int `json:"by_data_centre"`
	Seconds       []Second       `json:"by_second"` // seconds with losses, in order
}

// StopCounts holds the number of processes that started again without an end of the shutdown that
// they had been ordered before.
type StopCounts struct {
	All          int `json:"all"`
	CutByRestart int `json:"in_restart_of_all"` // those that a restart of the deployment cut off, as after a loss of power
}

// Second holds the number of losses of one second, by cause.
type Second struct {
	Second int            `json:"second"`
	Causes map[string]int `json:"causes"`
}

// Report counts the losses by cause, kind, data centre and second.
func (a *Analysis) Report() *Report {
	r := &Report{Answered: a.Answered, UnparsedLines: a.UnparsedLines, Delays: a.delayRows(), Kinds: make(map[string]int), DataCentres: make(map[string]int)}
	r.Stops = StopCounts{All: a.UnfinishedStops, CutByRestart: a.StopsCutByRestart}
	var rows [causeCount]Row
	for _, loss := range a.Losses {
		row := &rows[loss.Cause]
		switch loss.Outcome {
		case Late:
			row.Late++
		case Refused:
			row.Refused++
		case Failed:
			row.Failed++
		}
		if loss.Cause.Savable() {
			row.Savable++
		}
		r.Kinds[loss.Kind]++
		r.DataCentres[loss.DataCentre]++
		if len(r.Seconds) == 0 || r.Seconds[len(r.Seconds)-1].Second != loss.Second {
			r.Seconds = append(r.Seconds, Second{Second: loss.Second, Causes: make(map[string]int)})
		}
		r.Seconds[len(r.Seconds)-1].Causes[loss.Cause.String()]++
	}
	for c := range rows {
		if row := rows[c]; row.Late+row.Refused+row.Failed > 0 {
			row.Cause = Cause(c).String()
			r.Causes = append(r.Causes, row)
		}
	}
	return r
}

// WriteJSON writes the report as JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(r)
}

// WriteText writes the report as text tables.
func (r *Report) WriteText(w io.Writer) error {
	b := &strings.Builder{}
	fmt.Fprintf(b, "answered in time: %d; lines not read: %d\n", r.Answered, r.UnparsedLines)
	if r.Stops.All > 0 {
		fmt.Fprintf(b, "processes started again after \"stopping\" without \"stopped\": %d, of these %d in a restart of all\n", r.Stops.All, r.Stops.CutByRestart)
	}
	b.WriteByte('\n')
	fmt.Fprintf(b, "%-28s %6s %8s %7s %8s\n", "cause", "late", "refused", "failed", "savable")
	for _, row := range r.Causes {
		fmt.Fprintf(b, "%-28s %6d %8d %7d %8d\n", row.Cause, row.Late, row.Refused, row.Failed, row.Savable)
	}
	writeDelays(b, r.Delays)
	writeCounts(b, "kind", r.Kinds)
	writeCounts(b, "data centre", r.DataCentres)
	fmt.Fprintf(b, "\n%6s  losses by cause\n", "second")
	for _, s := range r.Seconds {
		fmt.Fprintf(b, "%6d ", s.Second)
		for c := range NumCauses {
			if n := s.Causes[Cause(c).String()]; n > 0 {
				fmt.Fprintf(b, " %s %d", Cause(c), n)
			}
		}
		b.WriteByte('\n')
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// writeCounts writes a table with the number of losses for each name.
func writeCounts(b *strings.Builder, title string, counts map[string]int) {
	fmt.Fprintf(b, "\n%-28s %6s\n", title, "losses")
	for _, name := range sortedKeys(counts) {
		label := name
		if label == "" {
			label = "not known"
		}
		fmt.Fprintf(b, "%-28s %6d\n", label, counts[name])
	}
}
