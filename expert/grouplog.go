package expert

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

// Outcomes of plans; a failed switch has its error instead.
const (
	OutcomeKept     = "map kept"
	OutcomeSwitched = "switched"
)

// keptPlans is how many plans a GroupLog remembers.
const keptPlans = 8

// PlanRow is one plan as operators see it.
type PlanRow struct {
	At         time.Time
	SkewBefore float64
	SkewAfter  float64
	Bound      float64
	Moves      int
	Gigabytes  float64
	Gain       float64 // in the unit of Weights
	Price      float64
	Reason     Reason
	Outcome    string
}

// GroupLog is what an owner remembers of a group for status.
type GroupLog struct {
	Group      string
	Map        uint64
	Stragglers []int
	Plans      []PlanRow // newest last
}

// Add books a plan.
func (l *GroupLog) Add(group string, mapID uint64, at time.Time, p *Plan, outcome string, stragglers []int) {
	l.Group, l.Map, l.Stragglers = group, mapID, stragglers
	if len(l.Plans) == keptPlans {
		l.Plans = slices.Delete(l.Plans, 0, 1)
	}
	l.Plans = append(l.Plans, PlanRow{
		At:         at,
		SkewBefore: p.SkewBefore,
		SkewAfter:  p.SkewAfter,
		Bound:      p.Bound,
		Moves:      p.Moves,
		Gigabytes:  p.Bytes / 1e9,
		Gain:       p.Gain,
		Price:      p.Price,
		Reason:     p.Reason,
		Outcome:    outcome,
	})
}

// Clone returns a copy that shares no memory.
func (l *GroupLog) Clone() GroupLog {
	c := *l
	c.Plans = slices.Clone(l.Plans)
	c.Stragglers = slices.Clone(l.Stragglers)
	return c
}

// WriteMaps writes what `status maps` shows.
func WriteMaps(w io.Writer, logs []GroupLog) error {
	slices.SortFunc(logs, func(a, b GroupLog) int { return cmp.Compare(a.Group, b.Group) })
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for i := range logs {
		l := &logs[i]
		fmt.Fprintf(tw, "group %s\tmap %016x\n", l.Group, l.Map)
		for _, r := range l.Stragglers {
			fmt.Fprintf(tw, "  rank %d is slow for long: replace its VM\n", r)
		}
		fmt.Fprintln(tw, "  at\tskew\tplanned\tbound\tmoves\tGB\tgain\tprice\treason\toutcome")
		for _, p := range l.Plans {
			fmt.Fprintf(tw, "  %s\t%.3f\t%.3f\t%.3f\t%d\t%.2f\t%.2f\t%.2f\t%s\t%s\n", p.At.UTC().Format(time.TimeOnly),
				p.SkewBefore, p.SkewAfter, p.Bound, p.Moves, p.Gigabytes, p.Gain, p.Price, p.Reason, p.Outcome)
		}
	}
	if err := tw.Flush(); err != nil {
		return fmt.Errorf("write maps: %w", err)
	}
	return nil
}
