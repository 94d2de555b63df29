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
	OutcomeMapKept  = "map kept"
	OutcomeSwitched = "switched"
)

// keptPlans is how many plans a PlanHistory remembers.
const keptPlans = 8

// PlanRow is one plan as operators see it.
type PlanRow struct {
	At             time.Time
	SkewBefore     float64
	SkewAfter      float64
	SkewLowerBound float64
	Moves          int
	Gigabytes      float64
	Gain           float64 // in the unit of CostWeights
	Price          float64
	Reason         Reason
	Outcome        string
}

// PlanHistory is what an owner remembers of a group for status.
type PlanHistory struct {
	Group      string
	Map        uint64
	Stragglers []int
	Plans      []PlanRow // newest last
}

// AddPlan books a plan.
func (l *PlanHistory) AddPlan(group string, mapID uint64, at time.Time, p *Plan, outcome string, stragglers []int) {
	l.Group, l.Map, l.Stragglers = group, mapID, stragglers
	if len(l.Plans) == keptPlans {
		l.Plans = slices.Delete(l.Plans, 0, 1)
	}
	l.Plans = append(l.Plans, PlanRow{
		At:             at,
		SkewBefore:     p.SkewBefore,
		SkewAfter:      p.SkewAfter,
		SkewLowerBound: p.SkewLowerBound,
		Moves:          p.Moves,
		Gigabytes:      p.Bytes / 1e9,
		Gain:           p.Gain,
		Price:          p.Price,
		Reason:         p.Reason,
		Outcome:        outcome,
	})
}

// Clone returns a copy that shares no memory.
func (l *PlanHistory) Clone() PlanHistory {
	c := *l
	c.Plans = slices.Clone(l.Plans)
	c.Stragglers = slices.Clone(l.Stragglers)
	return c
}

// WriteMapStatus writes what `status maps` shows.
func WriteMapStatus(w io.Writer, logs []PlanHistory) error {
	slices.SortFunc(logs, func(a, b PlanHistory) int { return cmp.Compare(a.Group, b.Group) })
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
				p.SkewBefore, p.SkewAfter, p.SkewLowerBound, p.Moves, p.Gigabytes, p.Gain, p.Price, p.Reason, p.Outcome)
		}
	}
	if err := tw.Flush(); err != nil {
		return fmt.Errorf("write maps: %w", err)
	}
	return nil
}
