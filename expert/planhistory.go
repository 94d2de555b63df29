package expert

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

// Outcomes of plans. The outcome of a failed switch is the text of its error.
const (
	OutcomeMapKept  = "map kept"
	OutcomeSwitched = "switched"
)

// maxPlans is the maximum number of plans in a PlanHistory.
const maxPlans = 8

// PlanRow is one plan as shown to operators.
type PlanRow struct {
	At             time.Time
	SkewBefore     float64
	SkewAfter      float64
	SkewLowerBound float64
	Moves          int
	Gigabytes      float64
	Gain           float64 // gain of the plan in units of CostWeights, like Price
	Price          float64
	Reason         Reason
	Outcome        string
}

// PlanHistory holds the map, the slow ranks and the latest plans of a group. The entry that owns
// the group shows them in its status.
type PlanHistory struct {
	Group      string
	Map        uint64
	Stragglers []int
	Plans      []PlanRow // oldest first
}

// AddPlan adds a plan and updates the group's map and stragglers.
func (h *PlanHistory) AddPlan(group string, mapID uint64, at time.Time, p *Plan, outcome string, stragglers []int) {
	h.Group, h.Map, h.Stragglers = group, mapID, stragglers
	if len(h.Plans) == maxPlans {
		h.Plans = slices.Delete(h.Plans, 0, 1)
	}
	h.Plans = append(h.Plans, PlanRow{
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
func (h *PlanHistory) Clone() PlanHistory {
	c := *h
	c.Plans = slices.Clone(h.Plans)
	c.Stragglers = slices.Clone(h.Stragglers)
	return c
}

// WriteMapStatus writes the output of `status maps`.
func WriteMapStatus(w io.Writer, histories []PlanHistory) error {
	slices.SortFunc(histories, func(a, b PlanHistory) int { return cmp.Compare(a.Group, b.Group) })
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for i := range histories {
		h := &histories[i]
		fmt.Fprintf(tw, "group %s\tmap %016x\n", h.Group, h.Map)
		for _, r := range h.Stragglers {
			fmt.Fprintf(tw, "  rank %d is slow for long: replace its VM\n", r)
		}
		fmt.Fprintln(tw, "  at\tskew\tplanned\tbound\tmoves\tGB\tgain\tprice\treason\toutcome")
		for _, p := range h.Plans {
			fmt.Fprintf(tw, "  %s\t%.3f\t%.3f\t%.3f\t%d\t%.2f\t%.2f\t%.2f\t%s\t%s\n", p.At.UTC().Format(time.TimeOnly),
				p.SkewBefore, p.SkewAfter, p.SkewLowerBound, p.Moves, p.Gigabytes, p.Gain, p.Price, p.Reason, p.Outcome)
		}
	}
	if err := tw.Flush(); err != nil {
		return fmt.Errorf("write map status: %w", err)
	}
	return nil
}
