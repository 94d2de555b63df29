package bench

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
)

// Set holds the reports of several benchmarks and runs, as "bench all" writes them.
type Set struct {
	Reports []*Report `json:"reports"`
}

// Write writes the set to w: as JSON if format is FormatJSON, otherwise as a text summary.
func (s *Set) Write(w io.Writer, format string) error {
	if format == FormatJSON {
		return writeJSON(w, s)
	}
	return s.summary().Write(w, FormatText)
}

// summary returns the medians and ranges of the set as a Comparison with an empty older set.
func (s *Set) summary() *Comparison { return Compare(new(Set), s) }

func writeJSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	if err := enc.Encode(v); err != nil {
		return fmt.Errorf("write: %w", err)
	}
	return nil
}

// Spread is the median and range of one figure over several runs.
type Spread struct {
	Runs   int     `json:"runs"`
	Median float64 `json:"median"`
	Low    float64 `json:"low"`
	High   float64 `json:"high"`
}

// ComparedFigure is one figure in two sets.
type ComparedFigure struct {
	Bench string `json:"bench"`
	Case  string `json:"case"`
	Name  string `json:"name"`
	Unit  string `json:"unit"`
	Old   Spread `json:"old"`
	New   Spread `json:"new"`
	// Disjoint is true if the ranges of the two sets do not overlap. Overlapping ranges are
	// no evidence of a change.
	Disjoint bool `json:"apart"`
}

// Comparison holds the figures of two sets side by side.
type Comparison struct {
	Rows []ComparedFigure `json:"rows"`
}

type rowKey struct{ bench, caseName, name string }

// Compare returns the figures of two sets side by side, in the order of their first
// appearance.
func Compare(older, newer *Set) *Comparison {
	var comparison Comparison
	rowIndex := make(map[rowKey]int)
	values := make(map[rowKey]*[2][]float64)
	for i, set := range []*Set{older, newer} {
		for _, r := range set.Reports {
			for _, row := range r.Rows {
				k := rowKey{r.Bench, row.Case, row.Name}
				if values[k] == nil {
					values[k] = new([2][]float64)
					rowIndex[k] = len(comparison.Rows)
					comparison.Rows = append(comparison.Rows, ComparedFigure{Bench: r.Bench, Case: row.Case, Name: row.Name, Unit: row.Unit})
				}
				values[k][i] = append(values[k][i], row.Value)
			}
		}
	}
	for k, v := range values {
		row := &comparison.Rows[rowIndex[k]]
		row.Old, row.New = spread(v[0]), spread(v[1])
		row.Disjoint = row.Old.Runs > 0 && row.New.Runs > 0 && (row.Old.High < row.New.Low || row.New.High < row.Old.Low)
	}
	return &comparison
}

func spread(values []float64) Spread {
	if len(values) == 0 {
		return Spread{}
	}
	sorted := slices.Sorted(slices.Values(values))
	middle := len(sorted) / 2
	median := sorted[middle]
	if len(sorted)%2 == 0 {
		median = (sorted[middle-1] + sorted[middle]) / 2
	}
	return Spread{Runs: len(sorted), Median: median, Low: sorted[0], High: sorted[len(sorted)-1]}
}

// Write writes the comparison to w: as JSON if format is FormatJSON, otherwise as a table.
func (c *Comparison) Write(w io.Writer, format string) error {
	if format == FormatJSON {
		return writeJSON(w, c)
	}
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, r := range c.Rows {
		mark := ""
		if r.Disjoint {
			mark = "apart"
		}
		fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", r.Bench, r.Case, r.Name, r.Old, r.New, r.Unit, mark)
	}
	if err := tw.Flush(); err != nil {
		return fmt.Errorf("write comparison: %w", err)
	}
	return nil
}

// String returns the median followed by the range in brackets, or "-" if there are no runs.
func (s Spread) String() string {
	if s.Runs == 0 {
		return "-"
	}
	return fmt.Sprintf("%.5g [%.5g, %.5g]", s.Median, s.Low, s.High)
}
