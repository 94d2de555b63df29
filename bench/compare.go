package bench

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
)

// Set is the reports of several benches and runs, as bench all writes it.
type Set struct {
	Reports []*Report `json:"reports"`
}

// Write writes the set in a format.
func (s *Set) Write(w io.Writer, format string) error {
	if format == FormatJSON {
		return writeJSON(w, s)
	}
	return s.summary().Write(w, FormatText)
}

// summary compares a set with nothing.
func (s *Set) summary() *Comparison { return Compare(new(Set), s) }

func writeJSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	if err := enc.Encode(v); err != nil {
		return fmt.Errorf("write: %w", err)
	}
	return nil
}

// Spread is one figure over several runs.
type Spread struct {
	Runs   int     `json:"runs"`
	Median float64 `json:"median"`
	Low    float64 `json:"low"`
	High   float64 `json:"high"`
}

// Compared is one figure of two sets.
type Compared struct {
	Bench string `json:"bench"`
	Case  string `json:"case"`
	Name  string `json:"name"`
	Unit  string `json:"unit"`
	Old   Spread `json:"old"`
	New   Spread `json:"new"`
	// Apart is true if the two spreads do not overlap: less is no evidence of a
	// change.
	Apart bool `json:"apart"`
}

// Comparison is two sets side by side.
type Comparison struct {
	Rows []Compared `json:"rows"`
}

type rowKey struct{ bench, kase, name string }

// Compare puts two sets side by side, in the order in which rows first appear.
func Compare(older, newer *Set) *Comparison {
	var c Comparison
	at := make(map[rowKey]int)
	values := make(map[rowKey]*[2][]float64)
	for i, set := range []*Set{older, newer} {
		for _, r := range set.Reports {
			for _, row := range r.Rows {
				k := rowKey{r.Bench, row.Case, row.Name}
				if values[k] == nil {
					values[k] = new([2][]float64)
					at[k] = len(c.Rows)
					c.Rows = append(c.Rows, Compared{Bench: r.Bench, Case: row.Case, Name: row.Name, Unit: row.Unit})
				}
				values[k][i] = append(values[k][i], row.Value)
			}
		}
	}
	for k, v := range values {
		row := &c.Rows[at[k]]
		row.Old, row.New = spread(v[0]), spread(v[1])
		row.Apart = row.Old.Runs > 0 && row.New.Runs > 0 && (row.Old.High < row.New.Low || row.New.High < row.Old.Low)
	}
	return &c
}

func spread(values []float64) Spread {
	if len(values) == 0 {
		return Spread{}
	}
	sorted := slices.Sorted(slices.Values(values))
	mid := len(sorted) / 2
	median := sorted[mid]
	if len(sorted)%2 == 0 {
		median = (sorted[mid-1] + sorted[mid]) / 2
	}
	return Spread{Runs: len(sorted), Median: median, Low: sorted[0], High: sorted[len(sorted)-1]}
}

// Write writes the comparison in a format.
func (c *Comparison) Write(w io.Writer, format string) error {
	if format == FormatJSON {
		return writeJSON(w, c)
	}
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, r := range c.Rows {
		mark := ""
		if r.Apart {
			mark = "apart"
		}
		fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", r.Bench, r.Case, r.Name, r.Old, r.New, r.Unit, mark)
	}
	if err := tw.Flush(); err != nil {
		return fmt.Errorf("write comparison: %w", err)
	}
	return nil
}

// String returns the median and, in brackets, the spread.
func (s Spread) String() string {
	if s.Runs == 0 {
		return "-"
	}
	return fmt.Sprintf("%.5g [%.5g, %.5g]", s.Median, s.Low, s.High)
}
